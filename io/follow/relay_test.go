package follow

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/quota"
	"corianderwing/internal/extreme"
	"corianderwing/io/peer"
	"corianderwing/io/plane"
)

const testLease = 4 * time.Second

// newUncontrolled starts a follower that no control instance answers.
func newUncontrolled(t *testing.T) *Follower {
	client := peer.NewClient([]byte("secret"))
	f := New(Config{
		Self:       func() corianderwing.Instance { return corianderwing.Instance{ID: "e", Domain: "a", Region: "r"} },
		Seeds:      []string{"127.0.0.1:1"},
		RegionOf:   func(corianderwing.DomainID) corianderwing.RegionID { return "r" },
		Lease:      testLease,
		CurrentFor: 2 * time.Second,
		Log:        &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}},
		Limits:     &limiter{l: quota.NewLimiter(5 * time.Second)},
		TakeTrials: func() []plane.Trial { return nil },
		SetShares:  func([]plane.MoveShare) {},
	}, client)
	t.Cleanup(func() {
		f.Close()
		client.Close()
	})
	return f
}

// servePeer serves the methods that register adds, and returns an entry instance at
// their address.
func servePeer(t *testing.T, register func(*peer.Server)) corianderwing.Instance {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := peer.NewServer([]byte("secret"))
	register(s)
	go s.Serve(l)
	t.Cleanup(s.Stop)
	return corianderwing.Instance{ID: "other", Domain: "b", Region: "s", PeerAddr: l.Addr().String()}
}

// homesUpdate returns the update that gives the rule of the test a new version.
func homesUpdate(t *testing.T, revision corianderwing.Revision, homes ...corianderwing.RegionID) *model.Update {
	data, err := model.Encode(&model.Command{Edit: &corianderwing.Edit{
		Pools: []corianderwing.Pool{{Name: "files", Version: 1}},
		Rules: []corianderwing.Rule{{
			Name: "r", Version: corianderwing.Version(revision), Host: "shop.example", Prefix: "/", Timeout: 1000, HomeRegions: homes,
			Targets: []corianderwing.Target{{Pool: "files", Weight: 1}},
		}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return &model.Update{Revision: revision, Command: data}
}

// confirmAt tells a follower that its state was confirmed some time ago.
func confirmAt(f *Follower, r corianderwing.Revision, age time.Duration) {
	f.confirm(r, f.cfg.Now().Add(testLease-age))
}

func homesOf(f *Follower) []corianderwing.RegionID {
	view, _ := f.View()
	rule, ok := view.Items().MatchRule("shop.example", "/")
	if !ok {
		return nil
	}
	return rule.HomeRegions
}

// Guards against an entry instance that is cut off from all control instances, but not
// from other entry instances, and goes on without homes that a rule has gained: its
// requests run in other regions (review/4).
func TestCutOffInstanceLearnsNewHomes(t *testing.T) {
	for _, c := range []struct {
		name     string
		snapshot bool // the other instance no longer has the updates one by one
	}{{"updates", false}, {"snapshot", true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			other := newUncontrolled(t)
			is.NoErr(other.apply(homesUpdate(t, 1)))
			is.NoErr(other.apply(homesUpdate(t, 2, "s")))
			if c.snapshot {
				other.update(func(s *state) { s.history = model.History{} })
			}
			confirmAt(other, 2, 0)
			cut := newUncontrolled(t)
			is.NoErr(cut.apply(homesUpdate(t, 1)))
			cut.mu.Lock()
			cut.relays = []corianderwing.Instance{{PeerAddr: "127.0.0.1:1"}, servePeer(t, other.Register)}
			cut.mu.Unlock()
			confirmAt(cut, 1, 2200*time.Millisecond) // longer ago than CurrentFor
			is.True(!cut.IsCurrent())

			deadline := time.Now().Add(20 * time.Second)
			for len(homesOf(cut)) == 0 && time.Now().Before(deadline) {
				time.Sleep(10 * time.Millisecond)
			}
			is.Equal(homesOf(cut), []corianderwing.RegionID{"s"})
		})
	}
}

// Guards against relying on a confirmation of another entry instance for longer than
// that one may, and against an older state in place of a newer one.
func TestRelayedConfirmationKeepsItsAge(t *testing.T) {
	is := is.New(t)
	other, cut := newUncontrolled(t), newUncontrolled(t)
	for _, f := range []*Follower{other, cut} {
		is.NoErr(f.apply(homesUpdate(t, 1)))
		is.NoErr(f.apply(homesUpdate(t, 2, "s")))
	}
	is.NoErr(cut.apply(homesUpdate(t, 3, "r")))
	confirmAt(other, 2, time.Second)
	confirmAt(cut, 3, 3*time.Second)
	is.NoErr(cut.askRelay(t.Context(), servePeer(t, other.Register).PeerAddr))
	is.Equal(homesOf(cut), []corianderwing.RegionID{"r"})
	is.True(cut.StateAge() >= time.Second)
	is.True(!cut.FreshUntil().After(other.FreshUntil()))
}

// Guards against an instance that has no confirmed state and passes one on all the
// same.
func TestUnconfirmedStateIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	other := newUncontrolled(t)
	is.NoErr(other.apply(homesUpdate(t, 1)))
	r, err := other.handleRelay(&relayRequest{})
	is.NoErr(err)
	is.True(!r.Confirmed)
	is.Equal(len(r.Updates), 0)
}

// Guards against one unexpected message of another entry instance that ends the
// process, or takes the state away.
func TestHostileRelay(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(3, 1))
	addr := servePeer(t, func(s *peer.Server) {
		peer.Handle(s, relayMethod, func(context.Context, *relayRequest) (*relayResponse, error) {
			a := new(relayResponse)
			extreme.Fill(r, []string{"", "w", "r"}, a)
			return a, nil
		})
	}).PeerAddr
	f := newUncontrolled(t)
	is.NoErr(f.apply(homesUpdate(t, 1, "r")))
	for range 300 {
		_ = f.askRelay(t.Context(), addr) // an error leaves the state as it is
	}
	is.Equal(homesOf(f), []corianderwing.RegionID{"r"})
}

// Guards against an instance that asks one silent entry instance after the other, and
// learns new homes only after the bound for a change: each takes relayTimeout.
func TestSilentRelaysDoNotDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		addrs := []string{"silent 1", "silent 2", "silent 3", "silent 4", "silent 5", "refusing", "answering"}
		var answered time.Duration
		hedge(t.Context(), addrs, relayHedgeDelay, func(ctx context.Context, addr string) bool {
			if addr == "answering" {
				answered = time.Since(start)
				return true
			}
			if addr == "refusing" {
				return false
			}
			ctx, cancel := context.WithTimeout(ctx, relayTimeout)
			defer cancel()
			<-ctx.Done()
			return false
		})
		is.True(answered > 0)
		is.True(answered < time.Second)
		synctest.Wait() // no call is left
	})
}

// Guards against asking a silent entry instance first each time.
func TestAnsweringRelayIsAskedFirst(t *testing.T) {
	is := is.New(t)
	other, cut := newUncontrolled(t), newUncontrolled(t)
	is.NoErr(other.apply(homesUpdate(t, 1)))
	confirmAt(other, 1, 0)
	is.NoErr(cut.apply(homesUpdate(t, 1)))
	confirmAt(cut, 1, 500*time.Millisecond)
	relays := []corianderwing.Instance{{PeerAddr: "127.0.0.1:1"}, {PeerAddr: "127.0.0.1:2"}, servePeer(t, other.Register)}
	cut.mu.Lock()
	cut.relays = relays
	cut.mu.Unlock()
	cut.askRelays(t.Context())
	is.Equal(cut.relayAddrs()[0], relays[2].PeerAddr)
}

// Guards against waiting until a heartbeat has timed out, while a change must be in
// force soon, and against asking entry instances while the followed control instance
// answers: a probe of a silent one delays the next heartbeat, not its reply.
func TestOverdueReplyCountsAsCutOff(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := &Follower{cfg: Config{Now: func() time.Time { return now }, Lease: testLease}}
	f.state.Store(&state{view: model.New(), known: true, freshUntil: now.Add(testLease)})
	now = now.Add(heartbeatInterval + heartbeatTimeout)
	is.True(!f.isCutOff()) // a probe has timed out
	f.heartbeatAt = now
	is.True(!f.isCutOff())
	now = now.Add(maxReplyDelay + time.Millisecond)
	is.True(f.isCutOff())
	f.heartbeatAt = time.Time{} // a control instance replies, without a recent confirmation
	is.True(!f.isCutOff())
	f.failed = 1
	is.True(f.isCutOff())
}
