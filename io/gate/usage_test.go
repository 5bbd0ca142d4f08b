package gate

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/usage"
)

// startCounting lets an instance count in windows of 5 s.
func startCounting(g *Server) {
	now := g.cfg.Boot()
	g.cfg.Usage.Observe(time.Now(), now)
	g.cfg.Usage.Configure(5*time.Second, usage.Sample{Wall: time.Now(), Sent: now, Received: now})
}

// Guards against counting requests where they arrive: a retry that ran counts again,
// one that was refused does not, and neither does a request that was not sent.
func TestUsageCountsWhatRan(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply reply
		want  uint64
	}{
		{"served", reply{}, 1},
		{"refused and retried", rejection(""), 1},
		{"broken and retried", reply{noResponse: true}, 2},
		{"truncated and retried", reply{truncated: true}, 2},
		{"failed and retried", reply{status: 500}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const earlier = 10 // earns a retry
				s := newFakeSite(t, &fakeUpstream{script: func(n int) reply {
					if n < earlier {
						return reply{}
					}
					return c.reply
				}}, &fakeUpstream{script: plain})
				g := s.startQuiet()
				defer g.Close()
				for i := range earlier {
					is.Equal(send(g, i).Code, http.StatusOK)
				}
				is.Equal(len(g.cfg.Usage.Report("control")), 0) // nothing told the length of a window
				startCounting(g)
				is.Equal(send(g, earlier).Code, http.StatusOK)
				var total uint64
				for _, w := range g.cfg.Usage.Report("control") {
					is.Equal(w.Counts[0].Workspace, corianderwing.WorkspaceID("main"))
					total += w.Counts[0].Sent - w.Counts[0].Refused
				}
				is.Equal(total, c.want)
			})
		})
	}
}

// Guards against counts that come after their window was reported, or in the window
// of the response, because the response takes long.
func TestUsageCountsInWindowOfSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeSite(t, &fakeUpstream{script: func(n int) reply { return reply{delay: 3 * time.Second} }})
		g := s.startQuiet()
		defer g.Close()
		startCounting(g)
		length := 5 * time.Second
		window := usage.At(time.Now(), length)
		time.Sleep(time.Until(window.End(length)) - time.Second)
		done := make(chan int)
		go func() { done <- send(g, 1).Code }()
		synctest.Wait()
		report := g.cfg.Usage.Report("control")
		is.Equal(len(report), 1) // while it runs
		is.Equal(report[0].Window, window)
		is.Equal(<-done, http.StatusOK)
		is.Equal(g.cfg.Usage.Report("control"), report)
	})
}

// BenchmarkCount measures what counting adds to an attempt.
func BenchmarkCount(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprintf("on=%v", on), func(b *testing.B) {
			s := newTestServer(newGrantingControl(b, "127.0.0.1:1"), quiet)
			defer s.Close()
			if on {
				startCounting(s)
			}
			view, _ := s.cfg.Control.View()
			owner, _ := view.Items().PolicyByKey("k-1")
			sl := &slot{exchange: &exchange{s: s, policy: owner}}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				sl := *sl
				for pb.Next() {
					sl.countSent()
				}
			})
		})
	}
}
