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

// always is a Control that hands out every slot at once.
type always struct {
	view     *model.View
	upstream *model.Upstream
}

func (d *always) View() (*model.View, bool)           { return d.view, true }
func (d *always) IsFresh() bool                       { return true }
func (d *always) IsCurrent() bool                     { return true }
func (d *always) Neighbors() []corianderwing.Instance { return nil }
func (d *always) Borrow(context.Context, corianderwing.WorkspaceID) (string, time.Duration, error) {
	return "", 0, nil
}
func (d *always) Repay(string, corianderwing.WorkspaceID) {}
func (d *always) Acquire(context.Context, *plane.Acquire) (*plane.Acquired, follow.Slot, bool) {
	return &plane.Acquired{ID: 1, Upstream: d.upstream.ID, Incarnation: d.upstream.Incarnation, Work: 1000, Longest: 3000, Known: true},
		follow.Slot{Peer: "control", Domain: "a"}, true
}
func (d *always) Release(follow.Slot, corianderwing.PoolID, place.Outcome) {}

// newAlways returns a Control whose only upstream is at an address.
func newAlways(b *testing.B, addr string) *always {
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
		{Announce: []model.Announced{{Upstream: corianderwing.Upstream{
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
		b.Fatal("the upstream is not there")
	}
	return &always{view, u}
}

// processor returns the processor time that this process has used.
func processor(b *testing.B) time.Duration {
	b.Helper()
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		b.Fatal(err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// BenchmarkRequest measures the processor time of a request on the whole path,
// caller and upstream included, with and without its log line. Half of what
// remains without it is about the entry instance's own.
func BenchmarkRequest(b *testing.B) {
	var wire platform.Client
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, err := wire.Arrival(r)
		if err != nil {
			return
		}
		wire.Answer(w.Header(), a, 1, 100)
		io.WriteString(w, "done")
	}))
	defer upstream.Close()
	for _, level := range []log.Level{log.InfoLevel, log.PanicLevel} {
		b.Run("log="+level.String(), func(b *testing.B) {
			lines := logs.New(io.Discard)
			defer lines.Close(time.Now().Add(time.Second))
			s := New(Config{
				Domain: "a", RegionOf: func(corianderwing.DomainID) corianderwing.RegionID { return "r" },
				Control: newAlways(b, upstream.Listener.Addr().String()), Limits: NewLimits(time.Second),
				Dialect: &platform.Adapter{}, Log: &log.Logger{Level: level, Writer: lines}, RetryRatio: 0.2,
			})
			defer s.Close()
			s.Changed()
			entry := httptest.NewServer(s)
			defer entry.Close()
			call := func(i int) {
				r, err := wire.Request(b.Context(), entry.Listener.Addr().String(), soak.Query{
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
			before, n := processor(b), 0
			for b.Loop() {
				n++
				call(n)
			}
			b.ReportMetric(float64((processor(b)-before).Nanoseconds())/float64(n), "cpu-ns/op")
		})
	}
}

// BenchmarkRecord measures the log line of a request alone.
func BenchmarkRecord(b *testing.B) {
	lines := logs.New(io.Discard)
	defer lines.Close(time.Now().Add(time.Second))
	d := newAlways(b, "127.0.0.1:1")
	s := New(Config{
		Domain: "a", RegionOf: func(corianderwing.DomainID) corianderwing.RegionID { return "r" },
		Control: d, Limits: NewLimits(time.Second), Dialect: &platform.Adapter{}, Log: &log.Logger{Level: log.InfoLevel, Writer: lines},
	})
	defer s.Close()
	rule, _ := d.view.Items().Rule("shop.example", "/files/1")
	owner, _ := d.view.Items().Owner("k-1")
	v := &visit{
		s: s, start: time.Now(), ask: corianderwing.CallerRequest{ID: "21f4b6f1a2b48370", Object: "4c"}, view: d.view, rule: rule, tenure: owner,
		pool: newPool("files", nil, 0.2), status: 200,
	}
	v.note(&slot{upstream: d.upstream, from: follow.Slot{Domain: "a"}, work: time.Second, known: true}, nil, time.Second)
	b.ReportAllocs()
	for b.Loop() {
		v.record()
	}
}
