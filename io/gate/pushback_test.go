package gate

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/platform"
)

// rejectFirst returns the script of an upstream that rejects its first n requests.
func rejectFirst(n int, retryAfter string) func(int) reply {
	return func(i int) reply {
		if i < n {
			return pushBack(retryAfter)
		}
		return reply{}
	}
}

// Guards against requests to an upstream that asked for none for some time, and
// against an upstream that gets none afterwards. The repeat of the rejected request
// spends the retry budget.
func TestPushbackIsObeyed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		first, second := &fakeUpstream{script: rejectFirst(1, "2")}, &fakeUpstream{script: plain}
		g := newFakeSite(t, first, second).startQuiet()
		defer g.Close()
		before := g.pool("files").budget.available(time.Now())
		is.Equal(send(g, 1).Code, http.StatusOK)
		is.True(g.pool("files").budget.available(time.Now()) < before)
		for i := range 19 {
			time.Sleep(100 * time.Millisecond)
			is.Equal(send(g, 2+i).Code, http.StatusOK)
		}
		is.Equal(first.count(), 1)
		is.Equal(second.count(), 20)
		time.Sleep(100 * time.Millisecond)
		is.Equal(send(g, 30).Code, http.StatusOK)
		is.Equal(first.count(), 2)
	})
}

// Guards against a pushback that is overlooked because the rest of the rejection is
// lost.
func TestPushbackInTruncatedResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		checkAskedOnce(t, func(int) reply {
			r := pushBack("2")
			r.truncated = true
			return r
		})
	})
}

// checkAskedOnce checks that of two upstreams, the one with the given script gets no
// request after its first response, and that all requests are served.
func checkAskedOnce(t *testing.T, script func(int) reply) {
	is := is.New(t)
	first, second := &fakeUpstream{script: script}, &fakeUpstream{script: plain}
	g := newFakeSite(t, first, second).startQuiet()
	defer g.Close()
	for i := range 3 {
		is.Equal(send(g, i).Code, http.StatusOK)
	}
	is.Equal(first.count(), 1)
}

// Guards against a pushback that is read from a response other than a rejection.
func TestRetryAfterOfOtherResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		only := &fakeUpstream{script: func(int) reply { return reply{header: "Retry-After: 60\r\n"} }}
		g := newFakeSite(t, only).startQuiet()
		defer g.Close()
		for i := range 3 {
			is.Equal(send(g, i).Code, http.StatusOK)
		}
	})
}

// Guards against callers that wait for nothing, or return together, while all
// upstreams of a pool push back.
func TestAllUpstreamsPushBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		first, second := &fakeUpstream{script: rejectFirst(1, "4")}, &fakeUpstream{script: rejectFirst(1, "3")}
		site := newFakeSite(t, first, second)
		g := site.startQuiet()
		defer g.Close()
		is.Equal(send(g, 1).Code, http.StatusServiceUnavailable)
		calls, start := len(site.acquired), time.Now()
		delays := map[time.Duration]bool{}
		for i := range 10 {
			w := send(g, 2+i)
			is.Equal(w.Code, http.StatusServiceUnavailable)
			sec, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			is.NoErr(err)
			d := time.Duration(sec * float64(time.Second))
			is.True(d >= 3*time.Second && d <= 4*time.Second) // the first is free after 3 s
			delays[d] = true
		}
		is.Equal(time.Since(start), time.Duration(0)) // rejected at once
		is.Equal(len(site.acquired), calls)           // without a request for a slot
		is.True(len(delays) > 5)
		is.Equal(first.count()+second.count(), 2)
		time.Sleep(3 * time.Second)
		is.Equal(send(g, 20).Code, http.StatusOK)
		is.Equal(second.count(), 2)
	})
}

// Guards against requests of a region that all go to another region at once because
// the upstreams of their own push back.
func TestPushbackStaysInRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		first, far := &fakeUpstream{script: rejectFirst(1, "2")}, &fakeUpstream{script: plain}
		site := newFakeSite(t, first)
		site.upstreams[addrOf("i-9")] = far
		site.apply(t, &model.Command{Announce: []model.Announcement{{Upstream: corianderwing.Upstream{
			ID: "i-9", Incarnation: 1, Pool: "files", Version: "v1", Domain: "z", Addr: addrOf("i-9"), Slots: 100, Phase: corianderwing.Ready,
		}}}})
		g := site.startQuiet()
		defer g.Close()
		is.Equal(send(g, 1).Code, http.StatusOK) // the slot of i-9 is lent
		is.Equal(send(g, 2).Code, http.StatusOK)
		is.True(!site.acquired[0].NoForward)
		is.True(site.acquired[1].NoForward)
		is.True(site.acquired[2].NoForward)
		time.Sleep(2 * time.Second)
		is.Equal(send(g, 3).Code, http.StatusOK)
		is.True(!site.acquired[3].NoForward)
		is.Equal(first.count(), 2)
	})
}

// Guards against a pushback on a clock that stands still while the machine is
// suspended, and against an announcement to leave that does not outlast it.
func TestSuspendedMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		first, second, third := &fakeUpstream{script: rejectFirst(1, "5")}, &fakeUpstream{script: leavingFrom(0)}, &fakeUpstream{script: plain}
		var mu sync.Mutex
		suspended := time.Duration(0)
		g := newFakeSite(t, first, second, third).start(&platform.Adapter{}, quiet, func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			return time.Now().Add(suspended)
		})
		defer g.Close()
		is.Equal(send(g, 1).Code, http.StatusOK) // rejected by the first, run by the second
		is.Equal(send(g, 2).Code, http.StatusOK)
		is.Equal([]int{first.count(), second.count(), third.count()}, []int{1, 1, 1})
		mu.Lock()
		suspended = suspension
		mu.Unlock()
		is.Equal(send(g, 3).Code, http.StatusOK)
		is.Equal([]int{first.count(), second.count(), third.count()}, []int{2, 1, 1})
		first.script = func(int) reply { return pushBack("5") }
		g.pool("files").budget.reserve = 1
		is.Equal(send(g, 4).Code, http.StatusOK)
		is.Equal([]int{first.count(), second.count(), third.count()}, []int{3, 1, 2})
	})
}

// Guards against more than one request at a time, or two in all, while an upstream
// pushes back for long.
func TestTrialsAreSentOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		first := &fakeUpstream{script: func(n int) reply {
			if n == 0 {
				return pushBack("60")
			}
			return reply{delay: time.Second}
		}}
		second := &fakeUpstream{script: plain}
		site := newFakeSite(t, first, second)
		g := site.startQuiet()
		defer g.Close()
		is.Equal(send(g, 1).Code, http.StatusOK)
		time.Sleep(31 * time.Second)
		for range 5 {
			var wg sync.WaitGroup
			for i := range 5 {
				wg.Go(func() { is.Equal(send(g, 2+i).Code, http.StatusOK) })
			}
			n := first.count()
			time.Sleep(time.Millisecond)
			is.True(first.count() <= n+1)
			wg.Wait()
		}
		is.Equal(first.count(), 1+2)
		time.Sleep(30 * time.Second)
		is.Equal(send(g, 9).Code, http.StatusOK)
		is.Equal(first.count(), 4)
	})
}

// Guards against a log that is flooded, or a request that fails, because of times
// that cannot be read; and against a pushback without a trace.
func TestPushbackIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out lockedBuffer
		first := &fakeUpstream{script: func(n int) reply {
			if n < 5 {
				return pushBack("soon")
			}
			return pushBack("1.5")
		}}
		site := newFakeSite(t, first, &fakeUpstream{script: plain})
		g := site.start(&platform.Adapter{}, &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &out}}, time.Now)
		for i := range 6 {
			g.pool("files").budget.reserve = 1
			is.Equal(send(g, i).Code, http.StatusOK)
		}
		time.Sleep(2 * time.Second)
		g.Close()
		count := func(text string) int { return strings.Count(out.String(), text) }
		is.Equal(count(`"message":"ignored a pushback with an invalid time"`), 1)
		is.Equal(g.meter.Counter("spare.invalid").Count(), int64(5))
		is.Equal(count(`"upstream":"i-1","incarnation":1,"reason":"pushback","heard_in":"0000000000000005","ms":1500,"message":"sparing an upstream"`), 1)
		is.Equal(count(`"upstream":"i-1","incarnation":1,"reason":"time over","message":"no longer sparing an upstream"`), 1)
		is.Equal(count(`"spared":[{"upstream":"i-1","reason":"pushback"}]`), 1)
		is.Equal(g.meter.Counter("spare.pushback").Count(), int64(1))
		is.Equal(g.meter.Counter("spare.ended").Count(), int64(1))
	})
}
