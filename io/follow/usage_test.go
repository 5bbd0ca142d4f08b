package follow

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/quota"
	"corianderwing/core/usage"
	"corianderwing/io/clock"
	"corianderwing/io/peer"
	"corianderwing/io/plane"
	"corianderwing/io/quorum"
)

var (
	quiet       = &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	sameRegion  = func(corianderwing.DomainID) corianderwing.RegionID { return "r" }
	usageWindow = 5 * time.Second
)

// openGroup starts control instances of one group, which count usage in windows of the
// given length, and returns them by address. They are closed at the end of the test.
func openGroup(t *testing.T, n int, window time.Duration) map[string]*plane.Plane {
	t.Helper()
	var listeners []net.Listener
	var seeds []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		seeds = append(seeds, l.Addr().String())
	}
	group := map[string]*plane.Plane{}
	for i, l := range listeners {
		client, server := peer.NewClient([]byte("secret")), peer.NewServer([]byte("secret"))
		p, err := plane.Open(plane.Config{
			Quorum: quorum.Config{
				PeerAddr: seeds[i], Domain: corianderwing.DomainID(fmt.Sprint("d-", i)), Region: "r",
				DataDir: filepath.Join(t.TempDir(), "site"), Seeds: seeds, Bootstrap: true, NumVoters: n, Log: quiet,
			},
			RegionOf:          sameRegion,
			HeartbeatInterval: time.Minute,
			RateTolerance:     plane.RateTolerance{Window: 5 * time.Second, Fraction: 0.1, Requests: 20},
			UsageWindow:       window,
			Log:               quiet,
		}, client, server)
		if err != nil {
			t.Fatal(err)
		}
		go server.Serve(l)
		t.Cleanup(func() {
			stop(p)
			server.Stop()
			client.Close()
		})
		group[seeds[i]] = p
	}
	return group
}

func stop(p *plane.Plane) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	p.Close(ctx)
}

// followGroup starts a follower that reports the usage of a new recorder.
func followGroup(t *testing.T, i int, group map[string]*plane.Plane) (*Follower, *usage.Recorder) {
	t.Helper()
	var seeds []string
	for addr := range group {
		seeds = append(seeds, addr)
	}
	recorder := &usage.Recorder{}
	client := peer.NewClient([]byte("secret"))
	f := New(Config{
		Self: func() corianderwing.Instance {
			return corianderwing.Instance{ID: corianderwing.InstanceID(fmt.Sprint("e-", i)), Incarnation: 1, Domain: corianderwing.DomainID(fmt.Sprint("d-", i)), Region: "r"}
		},
		Seeds:      seeds,
		RegionOf:   sameRegion,
		Lease:      testLease,
		CurrentFor: 2 * time.Second,
		Log:        quiet,
		Limits:     &limiter{l: quota.NewLimiter(5 * time.Second)},
		Usage:      recorder,
		TakeTrials: func() []plane.Trial { return nil },
		SetShares:  func([]plane.MoveShare) {},
	}, client)
	t.Cleanup(func() {
		f.Close()
		client.Close()
	})
	return f, recorder
}

// leaderOf returns the address of the control instance that leads, or "".
func leaderOf(group map[string]*plane.Plane) string {
	for addr, p := range group {
		leads := false
		p.Measure(func(name string, v int64) { leads = leads || name == "leader" && v == 1 })
		if leads {
			return addr
		}
	}
	return ""
}

// totals returns the totals of all windows of a ledger.
func totals(l *usage.Ledger) map[corianderwing.WorkspaceID]uint64 {
	sum := map[corianderwing.WorkspaceID]uint64{}
	for _, w := range l.Windows() {
		for id, n := range l.Totals(w) {
			sum[id] += n
		}
	}
	return sum
}

// await waits until a condition holds.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not reached: " + what)
		}
	}
}

// Guards against counts that do not reach the leader, or that a new leader does not
// have, after the leader and the control instances of some entry instances are lost.
func TestUsageReachesEachLeader(t *testing.T) {
	group := openGroup(t, 3, usageWindow)
	recorders := make([]*usage.Recorder, 3)
	for i := range recorders {
		_, recorders[i] = followGroup(t, i, group)
	}
	want := map[corianderwing.WorkspaceID]uint64{}
	count := func() {
		for i, r := range recorders {
			for n := range 20 + i {
				id := corianderwing.WorkspaceID(fmt.Sprint("w-", n%4))
				w, ok := r.Sent(id, clock.Boot())
				if !ok {
					t.Fatal("not counted")
				}
				want[id]++
				if n%10 == 9 {
					r.Refused(w, id)
					want[id]--
				}
			}
		}
	}
	complete := func() bool {
		addr := leaderOf(group)
		return addr != "" && maps.Equal(totals(group[addr].Usage()), want)
	}
	await(t, "all instances count", func() bool {
		if leaderOf(group) == "" {
			return false
		}
		for _, r := range recorders {
			if !r.Enabled() {
				return false
			}
		}
		return true
	})
	count()
	await(t, "counts at the leader", complete)
	first := leaderOf(group)
	stop(group[first])
	delete(group, first)
	count()
	await(t, "counts at the next leader", complete)
	for _, r := range recorders {
		await(t, "all counts are acknowledged", func() bool { return r.Pending() == 0 })
	}
}

// Guards against work and bytes for usage in a deployment that counts none.
func TestUsageIsOff(t *testing.T) {
	is := is.New(t)
	group := openGroup(t, 1, 0)
	f, recorder := followGroup(t, 0, group)
	await(t, "a confirmed heartbeat", func() bool { return f.info.Load().Confirmed })
	is.True(!recorder.Enabled())
	q := &plane.HeartbeatRequest{}
	f.addUsage(q, leaderOf(group), clock.Boot())
	is.Equal(*q, plane.HeartbeatRequest{})
	r := f.info.Load()
	is.True(r.UsageWindow == 0 && r.Wall == 0 && r.Incarnation == 0)
}

// Guards against counts that are lost at a planned stop because they were made after
// the last periodic heartbeat.
func TestUsageLeavesAtStop(t *testing.T) {
	is := is.New(t)
	group := openGroup(t, 1, usageWindow)
	f, recorder := followGroup(t, 0, group)
	await(t, "counting", func() bool { return recorder.Enabled() && leaderOf(group) != "" })
	_, ok := recorder.Sent("w", clock.Boot())
	is.True(ok)
	f.ReportUsage(t.Context())
	is.Equal(totals(group[leaderOf(group)].Usage()), map[corianderwing.WorkspaceID]uint64{"w": 1})
}
