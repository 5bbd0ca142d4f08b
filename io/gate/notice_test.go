package gate

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/notice"
	"corianderwing/core/place"
	"corianderwing/platform"
)

// leavingFrom returns the script of an upstream that announces in its responses
// from the nth on that it leaves.
func leavingFrom(n int) func(int) reply {
	return func(i int) reply {
		if i < n {
			return reply{}
		}
		return reply{header: leavingHeader}
	}
}

// Guards against further requests on a kept connection to an upstream that has
// said in a response that it leaves, and against a first upstream that is spared
// before it said so.
func TestLeavingOnKeptConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		first, second := &fakeUpstream{script: leavingFrom(2)}, &fakeUpstream{script: plain}
		g := newFakeSite(t, first, second).startQuiet()
		defer g.Close()
		for i := range 6 {
			is.Equal(send(g, i).Code, http.StatusOK)
		}
		is.Equal(first.count(), 3)
		is.Equal(second.count(), 3)
	})
}

// Guards against an announcement that is overlooked because it comes with a
// rejection.
func TestLeavingInRejection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		checkAskedOnce(t, func(int) reply { return rejection(leavingHeader) })
	})
}

// Guards against an announcement that counts only once the whole response has
// arrived.
func TestLeavingInSlowResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		first := &fakeUpstream{script: func(int) reply { return reply{header: leavingHeader, bodyDelay: 2 * time.Second} }}
		second := &fakeUpstream{script: plain}
		g := newFakeSite(t, first, second).startQuiet()
		defer g.Close()
		done := make(chan int)
		go func() { done <- send(g, 1).Code }()
		time.Sleep(time.Millisecond)
		is.Equal(send(g, 2).Code, http.StatusOK)
		is.Equal(first.count(), 1)
		is.Equal(<-done, http.StatusOK)
	})
}

// Guards against a slot that was granted, or a connection that was being opened,
// before the upstream announced that it leaves. The slot must be given back, and
// the request must go to another upstream without using up the retry budget.
func TestLeavingWhileRequestWaits(t *testing.T) {
	for _, c := range []struct {
		name             string
		grantDelay, dial time.Duration
	}{
		{"waits for its slot", time.Second, 0},
		{"waits for its connection", 0, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				first, second := &fakeUpstream{script: leavingFrom(0)}, &fakeUpstream{script: plain}
				site := newFakeSite(t, first, second)
				g := site.startQuiet()
				defer g.Close()
				before := g.pool("files").budget.available(time.Now())
				early := make(chan int)
				first.script = func(int) reply { return reply{header: leavingHeader, delay: 500 * time.Millisecond} }
				go func() { early <- send(g, 1).Code }()
				time.Sleep(100 * time.Millisecond)
				site.mu.Lock()
				site.grantDelay = c.grantDelay
				site.mu.Unlock()
				first.setDialDelay(c.dial)
				is.Equal(send(g, 2).Code, http.StatusOK)
				is.Equal(<-early, http.StatusOK)
				is.Equal(first.count(), 1)
				is.Equal(second.count(), 1)
				is.True(g.pool("files").budget.available(time.Now()) > before) // two requests earned, none spent
				canceled := 0
				for _, o := range site.released {
					is.Equal(o.Leaving, o.ID <= 2) // both requests had a slot of the first upstream
					if o.Result == place.Canceled {
						canceled++
					}
				}
				is.Equal(canceled, 1)
				is.Equal(site.acquired[2].ExcludedUpstreams, []corianderwing.UpstreamID{"i-1"})
			})
		})
	}
}

// Guards against a request that never ends, or that is said to have run, while the
// allocator grants a leaving upstream again and again.
func TestSparedSlotsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		only := &fakeUpstream{script: leavingFrom(0)}
		site := newFakeSite(t, only)
		site.ignoreTried = true
		g := site.startQuiet()
		defer g.Close()
		is.Equal(send(g, 1).Code, http.StatusOK)
		w := send(g, 2)
		is.Equal(w.Code, http.StatusServiceUnavailable) // not executed
		is.True(w.Header().Get("Retry-After") != "")
		is.Equal(only.count(), 1)
		is.Equal(len(site.acquired), 1+1+maxSparedSlots)
	})
}

// Guards against an announcement that outlives its incarnation, and against one
// that is forgotten too early: by a response without it, while the incarnation is
// missing from the shared state for some seconds, as after a change of the control
// instance, or after a change of the settings.
func TestLeavingEndsWithIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		first := &fakeUpstream{script: func(n int) reply {
			if n == 1 { // the slower response was produced before the announcement
				return reply{delay: 300 * time.Millisecond}
			}
			return reply{header: leavingHeader, delay: 100 * time.Millisecond}
		}}
		second := &fakeUpstream{script: plain}
		site := newFakeSite(t, first, second)
		g := site.startQuiet()
		defer g.Close()
		same := corianderwing.Upstream{ID: "i-1", Incarnation: 1, Pool: "files", Addr: addrOf("i-1"), Seq: 9}
		done := make(chan int)
		for i := range 2 {
			go func() { done <- send(g, i).Code }()
		}
		is.Equal(<-done, http.StatusOK)
		is.Equal(<-done, http.StatusOK)
		spared := func() bool {
			n := first.count()
			is.Equal(send(g, 3).Code, http.StatusOK)
			return first.count() == n
		}
		is.True(spared())
		site.apply(t, &model.Command{Edit: &corianderwing.Edit{Pools: []corianderwing.Pool{{Name: "files", Version: 2, MaxConns: 50, Protocol: "h1"}}}})
		g.NotifyChange()
		synctest.Wait()
		is.True(spared())
		site.apply(t, &model.Command{Expire: []model.UpstreamRef{{ID: "i-1", Incarnation: 1}}})
		time.Sleep(20 * time.Second)
		site.announce(t, same)
		time.Sleep(time.Second)
		is.True(spared())
		next := same
		next.Incarnation = 2
		site.announce(t, next)
		first.script = plain
		time.Sleep(time.Second)
		is.True(!spared())
		is.Equal(len(g.pool("files").notices.byKey), 2)
		is.True(g.pool("files").notices.heard.Load() == nil)
	})
}

// Guards against an announcement of one upstream that is applied to another one: a
// response with which the address turns out to belong to another upstream says
// nothing of the one that the request was meant for.
func TestLeavingOfAnotherUpstreamAtTheAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		first := &fakeUpstream{script: func(n int) reply {
			if n == 0 {
				return reply{status: http.StatusMisdirectedRequest, header: leavingHeader}
			}
			return reply{}
		}}
		g := newFakeSite(t, first, &fakeUpstream{script: plain}).startQuiet()
		defer g.Close()
		is.Equal(send(g, 1).Code, http.StatusOK)
		is.Equal(send(g, 2).Code, http.StatusOK)
		is.Equal(first.count(), 2)
	})
}

// Guards against a trailer that is taken for a header: it is not passed on, and the
// response that it follows was complete before.
func TestLeavingInTrailer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		first := &fakeUpstream{script: func(int) reply { return reply{trailer: leavingHeader} }}
		g := newFakeSite(t, first, &fakeUpstream{script: plain}).startQuiet()
		defer g.Close()
		for i := range 3 {
			w := send(g, i)
			is.Equal(w.Code, http.StatusOK)
			is.Equal(w.Body.String(), "done")
		}
		is.Equal(first.count(), 3)
	})
}

// Guards against memory that grows with the upstreams that have come and gone, each
// of them leaving.
func TestNoticesOfGoneUpstreamsAreRemoved(t *testing.T) {
	is := is.New(t)
	p := newPool("files", nil, 0.2)
	site := newFakeSite(t, &fakeUpstream{})
	now := time.Unix(1000, 0)
	for i := range 1000 {
		u := &model.Upstream{Upstream: corianderwing.Upstream{ID: corianderwing.UpstreamID(fmt.Sprintf("u-%d", i)), Incarnation: 1, Pool: "files"}}
		n := p.connsTo(u).notice.incarnationKey
		p.observe(n, notice.Report{Leaving: true}, now)
		p.sync(site.view, now, now)
		p.observe(n, notice.Report{Leaving: true}, now) // a response that comes after its upstream has gone
		now = now.Add(100 * time.Millisecond)
	}
	is.True(len(p.notices.byKey) <= int(notice.Retention/(100*time.Millisecond))+1)
	p.sync(site.view, now, now.Add(notice.Retention))
	is.Equal(len(p.notices.byKey), 0)
	is.Equal(len(p.conns), 0)
	is.True(p.notices.heard.Load() == nil)
}

// Guards against a request that was sent elsewhere without a trace of why.
func TestSparedUpstreamIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out lockedBuffer
		site := newFakeSite(t, &fakeUpstream{script: leavingFrom(0)}, &fakeUpstream{script: plain})
		g := site.start(&platform.Adapter{}, &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &out}}, time.Now)
		send(g, 1)
		send(g, 2)
		site.announce(t, corianderwing.Upstream{ID: "i-1", Incarnation: 2, Pool: "files", Addr: addrOf("i-1")})
		time.Sleep(time.Second)
		g.Close()
		var lines []string
		for l := range strings.Lines(out.String()) {
			if strings.Contains(l, "spar") {
				lines = append(lines, l)
			}
		}
		is.Equal(len(lines), 3)
		for i, want := range []string{
			`"pool":"files","upstream":"i-1","incarnation":1,"reason":"leaving","heard_in":"0000000000000001","message":"sparing an upstream"`,
			`"spared":[{"upstream":"i-1","reason":"leaving"}]`,
			`"pool":"files","upstream":"i-1","incarnation":1,"reason":"restarted","message":"no longer sparing an upstream"`,
		} {
			if !strings.Contains(lines[i], want) {
				t.Errorf("line %d: %s has no %s", i, lines[i], want)
			}
		}
		is.Equal(g.meter.Counter("spare.leaving").Count(), int64(1))
		is.Equal(g.meter.Counter("spare.ended").Count(), int64(1))
	})
}
