package gate

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/crash"
	"corianderwing/core/model"
)

// onCrashSite runs f on a site with n entry instances, under virtual time.
func onCrashSite(t *testing.T, n int, f func(is *is.I, c *crashSite)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrashSite(t, n)
		defer c.close()
		synctest.Wait()
		f(is.New(t), c)
	})
}

// Guards against a request that is sent to upstream after upstream and crashes each
// of them, at three entry instances none of which sees all crashes. Other requests
// are served throughout, also on the same path for another workspace.
func TestRequestThatCrashesUpstreams(t *testing.T) {
	onCrashSite(t, 3, func(is *is.I, c *crashSite) {
		c.setBad("/bad", true)
		var failed atomic.Int32
		every(100*time.Millisecond, 30*time.Second, func(n int) {
			if n%4 == 0 {
				c.send(n/4%3, "/bad", "k-1")
				return
			}
			if c.send(n%3, "/good", "k-1") != http.StatusOK {
				failed.Add(1)
			}
		})
		t.Logf("%d crashes, %d good requests failed", len(c.crashes), failed.Load())
		is.True(c.crashesAfter(3*time.Second) <= 3) // probes
		is.True(len(c.crashes) <= 6)
		is.True(failed.Load() <= 3)
		is.Equal(c.send(0, "/bad", "k-1"), http.StatusServiceUnavailable)
		crashes := len(c.crashes)
		c.send(0, "/bad", "k-2") // another workspace's request is another one
		is.Equal(len(c.crashes), crashes+2)
	})
}

// Guards against an entry instance that sends such a request on because it cannot
// reach the control role: it counts what it has seen itself.
func TestQuarantineWithoutControl(t *testing.T) {
	onCrashSite(t, 1, func(is *is.I, c *crashSite) {
		c.control[0].cut.Store(true)
		c.setBad("/bad", true)
		every(300*time.Millisecond, 30*time.Second, func(int) { c.send(0, "/bad", "k-1") })
		is.True(len(c.crashes) <= 4)
		is.Equal(c.machine.View().Suspects().Len(), 0)
		c.control[0].cut.Store(false)
		time.Sleep(maxCrashReportRetry)
		synctest.Wait()
		is.Equal(c.machine.View().Suspects().Len(), 1) // reported later
	})
}

// Guards against refusing a good request for as long as the control role cannot be
// reached: all upstreams crashed at once while it ran, and nobody grants a probe.
func TestQuarantineEndsWithoutControl(t *testing.T) {
	onCrashSite(t, 1, func(is *is.I, c *crashSite) {
		c.control[0].cut.Store(true)
		time.AfterFunc(500*time.Millisecond, c.crashAll)
		every(20*time.Millisecond, 500*time.Millisecond+crashRestart+2*lonelyProbeDelay, func(int) { c.send(0, "/good", "k-1") })
		is.Equal(c.send(0, "/good", "k-1"), http.StatusOK)
	})
}

// Guards against evidence from upstreams of the old version, which are stopped without
// warning once a version move is completed.
func TestStoppedVersionIsNoCrash(t *testing.T) {
	onCrashSite(t, 1, func(is *is.I, c *crashSite) {
		c.beforeCrash = func() {
			m := corianderwing.Move{ID: "files.v2", Pool: "files", To: "v2"}
			c.apply(&model.Command{Move: &m})
			m.Outcome = corianderwing.Done
			c.apply(&model.Command{EndMove: &m})
		}
		c.setBad("/bad", true)
		c.send(0, "/bad", "k-1")
		synctest.Wait()
		is.Equal(c.machine.View().Suspects().Len(), 0)
	})
}

// Guards against refusing a request for good that crashes upstreams no longer.
func TestMendedRequestIsServedAgain(t *testing.T) {
	onCrashSite(t, 3, func(is *is.I, c *crashSite) {
		c.setBad("/bad", true)
		every(100*time.Millisecond, 10*time.Second, func(n int) { c.send(n%3, "/bad", "k-1") })
		is.Equal(c.send(0, "/bad", "k-1"), http.StatusServiceUnavailable)
		c.setBad("/bad", false)
		every(100*time.Millisecond, 16*time.Second, func(n int) { c.send(n%3, "/bad", "k-1") })
		for i := range c.servers {
			is.Equal(c.send(i, "/bad", "k-1"), http.StatusOK)
		}
		is.Equal(c.machine.View().Suspects().Len(), 0)
	})
}

// Guards against refusing good requests after crashes that they did not cause: the
// upstreams crash one after another, and all at once, while many callers send the
// same request.
func TestGoodRequestSurvivesCrashes(t *testing.T) {
	onCrashSite(t, 3, func(is *is.I, c *crashSite) {
		const interval = 10 * time.Millisecond
		failed := func(d time.Duration) (n int32) {
			var count atomic.Int32
			every(interval, d, func(n int) {
				if c.send(n%3, "/good", "k-1") != http.StatusOK {
					count.Add(1)
				}
			})
			return count.Load()
		}
		for i := range crashSiteUpstreams {
			time.AfterFunc(time.Duration(i+1)*600*time.Millisecond, func() { c.crash(upstreamAddr(i)) })
		}
		is.Equal(failed(6*time.Second), int32(0)) // each was retried
		is.Equal(failed(4*time.Second), int32(0))

		time.AfterFunc(500*time.Millisecond, c.crashAll)
		failed(500*time.Millisecond + crashRestart + 250*time.Millisecond)
		is.Equal(failed(2*time.Second), int32(0)) // a probe was answered as soon as upstreams were back
	})
}

// Guards against a request whose upstreams crash after they have begun to respond.
func TestCrashDuringResponse(t *testing.T) {
	onCrashSite(t, 2, func(is *is.I, c *crashSite) {
		c.setBad("/bad", true)
		c.mu.Lock()
		c.begun["/bad"] = 5000
		c.mu.Unlock()
		every(100*time.Millisecond, 20*time.Second, func(n int) {
			defer func() { recover() }() // the caller's connection is aborted
			c.send(n%2, "/bad", "k-1")
		})
		is.True(c.crashesAfter(3*time.Second) <= 3)
		is.True(len(c.crashes) <= 6)
	})
}

// Guards against evidence from upstreams that did not crash: a connection that was
// lost, and one that ended with an upstream that was leaving.
func TestLostConnectionIsNoCrash(t *testing.T) {
	onCrashSite(t, 1, func(is *is.I, c *crashSite) {
		c.mu.Lock()
		c.lost["/lost"] = true
		c.mu.Unlock()
		for range 5 {
			is.Equal(c.send(0, "/lost", "k-1"), http.StatusBadGateway)
		}
		is.Equal(c.machine.View().Suspects().Len(), 0)

		c.beforeCrash = func() {
			for _, u := range c.machine.View().PoolUpstreams("files") {
				leaving := u.Upstream
				leaving.Phase = corianderwing.Draining
				c.apply(&model.Command{Announce: []model.Announcement{{Upstream: leaving}}})
			}
		}
		c.setBad("/bad", true)
		is.Equal(c.send(0, "/bad", "k-1"), http.StatusBadGateway)
		synctest.Wait()
		is.Equal(c.machine.View().Suspects().Len(), 0)
	})
}

// Guards against an attempt that is sent although its request was quarantined while
// it waited for a slot.
func TestQuarantineIsCheckedAfterWait(t *testing.T) {
	onCrashSite(t, 1, func(is *is.I, c *crashSite) {
		c.control[0].beforeGrant = func() {
			r := crash.Request{Method: http.MethodGet, Host: "shop.example", URI: "/bad", Workspace: "main"}
			var events []crash.Event
			for i := range 3 {
				events = append(events, crash.Event{Kind: crash.Crashed, Fingerprint: r.Fingerprint(), Upstream: crash.Upstream{ID: "x", Incarnation: corianderwing.Incarnation(i)}})
			}
			c.apply(model.NewSuspectCommand(events))
			synctest.Wait()
		}
		is.Equal(c.send(0, "/bad", "k-1"), http.StatusServiceUnavailable)
		is.Equal(c.runs["/bad"], 0)
	})
}

// Guards against an attempt that was sent before its request began to crash upstreams,
// and whose answer ends the suspicion.
func TestEarlierAnswerProvesNothing(t *testing.T) {
	onCrashSite(t, 1, func(is *is.I, c *crashSite) {
		s := c.servers[0]
		x := &exchange{s: s, fingerprint: "f"}
		sentAt := time.Now()
		time.Sleep(time.Millisecond)
		s.suspects.observe(crash.Event{Kind: crash.Crashed, Fingerprint: "f", Upstream: crash.Upstream{ID: "u"}}, time.Now())
		x.recordAnswer(sentAt)
		_, suspected := x.suspect()
		is.True(suspected)
		time.Sleep(time.Second)
		x.recordAnswer(time.Now())
		_, suspected = x.suspect()
		is.True(!suspected)
	})
}

// Guards against a suspicion that is taken for younger each time the state changes,
// while the control role cannot be reached: an answer to a request that was sent after
// the crash did not clear it, and its own probes were put off.
func TestObservationsKeepTheirTimes(t *testing.T) {
	is := is.New(t)
	q := newSuspects(&Config{Log: quiet})
	view := model.New()
	q.sync(view)
	crashed := time.Unix(1000, 0)
	for i, f := range []crash.Fingerprint{"first", "second"} {
		u := crash.Upstream{ID: corianderwing.UpstreamID(f), Incarnation: 1}
		q.observe(crash.Event{Kind: crash.Crashed, Fingerprint: f, Upstream: u}, crashed.Add(time.Duration(i)*time.Minute))
	}
	q.sync(view)
	s, ok := q.table.Load().Lookup("first")
	is.True(ok)
	is.Equal(s.CrashedAt, crashed)
	is.Equal(s.Changed, crashed)
}
