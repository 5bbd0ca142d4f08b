package gate

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/io/follow"
	"corianderwing/io/logs"
	"corianderwing/io/plane"
	"corianderwing/io/soak"
	"corianderwing/platform"
)

// grantingControl is a Control that grants every slot immediately.
type grantingControl struct {
	view     *model.View
	upstream *model.Upstream
}

func (c *grantingControl) View() (*model.View, bool)           { return c.view, true }
func (c *grantingControl) IsFresh() bool                       { return true }
func (c *grantingControl) IsCurrent() bool                     { return true }
func (c *grantingControl) LeaderMissing() bool                 { return false }
func (c *grantingControl) Neighbors() []corianderwing.Instance { return nil }
func (c *grantingControl) BorrowToken(context.Context, corianderwing.WorkspaceID) (string, time.Duration, error) {
	return "", 0, nil
}
func (c *grantingControl) ReturnToken(string, corianderwing.WorkspaceID) {}
func (c *grantingControl) Acquire(context.Context, *plane.AcquireRequest) (*plane.AcquireResponse, follow.SlotSource, bool) {
	return &plane.AcquireResponse{ID: 1, Upstream: c.upstream.ID, Incarnation: c.upstream.Incarnation, ExpectedLatency: 1000, MissLatency: 3000, ExpectHit: true},
		follow.SlotSource{Peer: "control", Domain: "a"}, true
}
func (c *grantingControl) Release(follow.SlotSource, corianderwing.PoolID, place.Outcome) {}

// newGrantingControl returns a Control with a single upstream at addr.
func newGrantingControl(b testing.TB, addr string) *grantingControl {
	b.Helper()
	now := time.Now()
	view := model.New()
	for _, c := range []*model.Command{
		{Edit: &corianderwing.Edit{
			Rules: []corianderwing.Rule{{
				Name: "r-1", Version: 1, Host: "shop.example", Prefix: "/files/", Timeout: 4000, TargetLatency: 600, Priority: 1, MaxAttempts: 2,
				Sticky: true, Targets: []corianderwing.Target{{Pool: "files", Weight: 1}},
			}},
			WorkspacePolicies: []corianderwing.WorkspacePolicy{{Name: "main", Version: 1, Keys: []string{"k-1"}}},
			Pools:             []corianderwing.Pool{{Name: "files", Version: 1, MaxConns: 100, Protocol: "h1"}},
			Limits:            &corianderwing.Limits{Version: 1, Header: 16 << 10, Body: 1 << 20, HeaderTimeout: 3000, IdleTimeout: 15000},
		}},
		{Announce: []model.Announcement{{Upstream: corianderwing.Upstream{
			ID: "i-1", Incarnation: 1, Pool: "files", Version: "v1", Domain: "a", Addr: addr, Slots: 100, Phase: corianderwing.Ready,
		}}}},
	} {
		next, err := view.Apply(c, now)
		if err != nil {
			b.Fatal(err)
		}
		view = next
	}
	u, ok := view.Upstream("i-1")
	if !ok {
		b.Fatal("upstream not found in the view")
	}
	return &grantingControl{view, u}
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		b.Fatal(err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// BenchmarkRequest measures the CPU time of a request on the whole path, including
// caller and upstream, with and without its log line. Without the log line, about
// half of the time is spent in the entry instance.
func BenchmarkRequest(b *testing.B) {
	var client platform.Client
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, err := client.Arrival(r)
		if err != nil {
			return
		}
		client.Answer(w.Header(), a, 1, 100)
		io.WriteString(w, "done")
	}))
	defer upstream.Close()
	for _, level := range []log.Level{log.InfoLevel, log.PanicLevel} {
		b.Run("log="+level.String(), func(b *testing.B) {
			lines := logs.New(io.Discard)
			defer lines.Close(time.Now().Add(time.Second))
			s := New(Config{
				Domain: "a", RegionOf: func(corianderwing.DomainID) corianderwing.RegionID { return "r" },
				Control: newGrantingControl(b, upstream.Listener.Addr().String()), Limits: NewLimits(time.Second),
				Dialect: &platform.Adapter{}, Log: &log.Logger{Level: level, Writer: lines}, RetryRatio: 0.2,
			})
			defer s.Close()
			s.NotifyChange()
			entry := httptest.NewServer(s)
			defer entry.Close()
			call := func(i int) {
				r, err := client.Request(b.Context(), entry.Listener.Addr().String(), soak.Query{
					ID: corianderwing.RequestID(fmt.Sprintf("%016x", i)), Host: "shop.example", Path: "/files/1", Key: "k-1",
					Deadline: time.Now().Add(time.Minute),
				})
				if err != nil {
					b.Fatal(err)
				}
				resp, err := http.DefaultClient.Do(r)
				if err != nil {
					b.Fatal(err)
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					b.Fatalf("status %d", resp.StatusCode)
				}
			}
			call(0)
			before, n := cpuTime(b), 0
			for b.Loop() {
				n++
				call(n)
			}
			b.ReportMetric(float64((cpuTime(b)-before).Nanoseconds())/float64(n), "cpu-ns/op")
		})
	}
}

// BenchmarkRecord measures only the log line of a request.
func BenchmarkRecord(b *testing.B) {
	lines := logs.New(io.Discard)
	defer lines.Close(time.Now().Add(time.Second))
	control := newGrantingControl(b, "127.0.0.1:1")
	s := New(Config{
		Domain: "a", RegionOf: func(corianderwing.DomainID) corianderwing.RegionID { return "r" },
		Control: control, Limits: NewLimits(time.Second), Dialect: &platform.Adapter{}, Log: &log.Logger{Level: log.InfoLevel, Writer: lines},
	})
	defer s.Close()
	rule, _ := control.view.Items().MatchRule("shop.example", "/files/1")
	owner, _ := control.view.Items().PolicyByKey("k-1")
	v := &exchange{
		s: s, start: time.Now(), ask: corianderwing.CallerRequest{ID: "21f4b6f1a2b48370", Object: "4c"}, view: control.view, rule: rule, tenure: owner,
		pool: newPool("files", nil, 0.2), status: 200,
	}
	v.logAttempt(&slot{upstream: control.upstream, source: follow.SlotSource{Domain: "a"}, expected: time.Second, objectKnown: true}, nil, time.Second)
	b.ReportAllocs()
	for b.Loop() {
		v.logRequest()
	}
}
