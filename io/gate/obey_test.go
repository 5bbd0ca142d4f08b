package gate

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/platform"
)

// deafDialect overlooks some of what upstreams say of themselves. It shows that the
// scenarios break the rules if nothing is done.
type deafDialect struct {
	platform.Adapter
	leaving, pushback bool // what is overlooked
}

func (d *deafDialect) ParseResponse(status int, h http.Header) corianderwing.ResponseInfo {
	info := d.Adapter.ParseResponse(status, h)
	if d.leaving {
		info.Leaving = false
	}
	if d.pushback {
		info.Pushback = 0
	}
	return info
}

// upstreamPlan is what one upstream does in a scenario. Times are since its start.
type upstreamPlan struct {
	LeavesAt    time.Duration // announces in its responses that it leaves
	TakesBackAt time.Duration // no longer does so
	RestartsAt  time.Duration // crashes, and comes back a second later
	Latency     time.Duration // until the header
	BodyDelay   time.Duration
	DialDelay   time.Duration
	RejectsAt   time.Duration // begins to reject requests
	RejectsFor  time.Duration
	RetryAfter  time.Duration // given with rejections
}

// scenario is a drawn order of events.
type scenario struct {
	Upstreams  []upstreamPlan
	Requests   []time.Duration // when callers send them
	GrantDelay time.Duration   // between the choice of an upstream and the grant
	SuspendAt  time.Duration   // the machine is suspended for suspension
	Seed       uint64
}

// suspension is how long the machine of a scenario is suspended. Only the boot
// clock advances meanwhile.
const suspension = 8 * time.Second

// drawMillis draws a time of at most n ms.
func drawMillis(t *rapid.T, n int, name string) time.Duration {
	return time.Duration(rapid.IntRange(0, n).Draw(t, name)) * time.Millisecond
}

func drawScenario(t *rapid.T) scenario {
	var sc scenario
	for range 3 {
		sc.Upstreams = append(sc.Upstreams, upstreamPlan{
			LeavesAt:    drawMillis(t, 6000, "leaves"),
			TakesBackAt: drawMillis(t, 12000, "takes back"),
			RestartsAt:  drawMillis(t, 20000, "restarts"),
			Latency:     drawMillis(t, 600, "latency"),
			BodyDelay:   drawMillis(t, 600, "body"),
			DialDelay:   drawMillis(t, 300, "dial"),
			RejectsAt:   drawMillis(t, 6000, "rejects"),
			RejectsFor:  drawMillis(t, 2000, "rejects for"),
			RetryAfter:  drawMillis(t, 6000, "retry after"),
		})
	}
	for range rapid.IntRange(5, 40).Draw(t, "requests") {
		sc.Requests = append(sc.Requests, drawMillis(t, 8000, "request"))
	}
	sc.GrantDelay = drawMillis(t, 1500, "grant")
	sc.SuspendAt = drawMillis(t, 10000, "suspend")
	sc.Seed = rapid.Uint64().Draw(t, "seed")
	return sc
}

// judgedUpstream plays an upstreamPlan and checks the requests that reach it.
type judgedUpstream struct {
	fakeUpstream
	upstreamPlan
	start time.Time
	boot  func() time.Time

	mu       sync.Mutex
	leftAt   time.Time // when it first announced in this incarnation that it leaves
	freeAt   time.Time // end of its pushbacks in this incarnation, on the boot clock
	pushedAt time.Time // when it last pushed back
	broken   string
}

func newJudgedUpstream(p upstreamPlan, start time.Time, boot func() time.Time) *judgedUpstream {
	u := &judgedUpstream{upstreamPlan: p, start: start, boot: boot}
	u.dialDelay = p.DialDelay
	u.script = func(int) reply { return u.judge() }
	u.replied = u.heard
	return u
}

// downtime is how long an upstream is down when it restarts. It is announced
// announceLead before it accepts requests again.
const (
	downtime     = time.Second
	announceLead = time.Millisecond
)

// down reports whether the upstream has crashed and not come back.
func (u *judgedUpstream) down(now time.Time) bool {
	at := now.Sub(u.start)
	return at >= u.RestartsAt && at < u.RestartsAt+downtime
}

// judge checks a request that has arrived and returns the response.
func (u *judgedUpstream) judge() reply {
	now := time.Now()
	at := now.Sub(u.start)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.down(now) {
		return reply{noResponse: true}
	}
	if !u.leftAt.IsZero() && now.After(u.leftAt) {
		u.broken = fmt.Sprintf("a request reaches an upstream %v after it said that it leaves", now.Sub(u.leftAt))
	}
	if now.After(u.pushedAt) && u.boot().Before(u.freeAt) {
		u.broken = fmt.Sprintf("a request reaches an upstream %v after it pushed back, %v too early", now.Sub(u.pushedAt), u.freeAt.Sub(u.boot()))
	}
	r := reply{delay: u.Latency, bodyDelay: u.BodyDelay}
	if at >= u.RejectsAt && at < u.RejectsAt+u.RejectsFor {
		r.status, r.retryAfter = http.StatusServiceUnavailable, u.RetryAfter
	}
	if at >= u.LeavesAt && at < u.TakesBackAt {
		r.header = leavingHeader
	}
	return r
}

// heard records what the upstream has said.
func (u *judgedUpstream) heard(r reply) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if u.down(now) {
		return
	}
	if strings.Contains(r.header, leavingHeader) && u.leftAt.IsZero() {
		u.leftAt = now
	}
	if free := u.boot().Add(r.retryAfter); r.retryAfter > 0 && free.After(u.freeAt) {
		u.freeAt, u.pushedAt = free, now
	}
}

// restart ends an incarnation and begins the next one.
func (u *judgedUpstream) restart(t *testing.T, site *fakeSite, id corianderwing.UpstreamID, g *Server) {
	site.apply(t, &model.Command{Expire: []model.UpstreamRef{{ID: id, Incarnation: 1}}})
	g.NotifyChange()
	time.Sleep(downtime - announceLead)
	site.announce(t, corianderwing.Upstream{ID: id, Incarnation: 2, Pool: "files", Addr: addrOf(id)})
	g.NotifyChange()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leftAt, u.freeAt = time.Time{}, time.Time{}
}

// play plays a scenario in virtual time and returns the first broken rule.
func (sc *scenario) play(t *testing.T, d corianderwing.Dialect) (broken string) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var fakes []*fakeUpstream
		var judged []*judgedUpstream
		boot := func() time.Time {
			now := time.Now()
			if now.Sub(start) >= sc.SuspendAt {
				now = now.Add(suspension)
			}
			return now
		}
		for _, p := range sc.Upstreams {
			u := newJudgedUpstream(p, start, boot)
			judged, fakes = append(judged, u), append(fakes, &u.fakeUpstream)
		}
		site := newFakeSite(t, fakes...)
		site.grantDelay = sc.GrantDelay
		site.rng = rand.New(rand.NewPCG(sc.Seed, 1))
		g := site.start(d, quiet, boot)
		var wg sync.WaitGroup
		for i, u := range judged {
			wg.Go(func() {
				time.Sleep(u.RestartsAt)
				u.restart(t, site, corianderwing.UpstreamID(fmt.Sprintf("i-%d", i+1)), g)
			})
		}
		for i, at := range sc.Requests {
			wg.Go(func() {
				time.Sleep(at)
				send(g, i)
			})
		}
		wg.Wait()
		g.Close()
		time.Sleep(time.Minute) // until the upstreams have noticed
		for _, u := range judged {
			u.mu.Lock()
			if u.broken != "" {
				broken = u.broken
			}
			u.mu.Unlock()
		}
	})
	return broken
}

// Guards against any order of events in which a request reaches an upstream that
// wants none. Run with -rapid.checks=10000 for as many orders.
func TestNoticesAreObeyed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sc := drawScenario(rt)
		if broken := sc.play(t, &platform.Adapter{}); broken != "" {
			rt.Fatal(broken)
		}
	})
}

// overlooked is the number of scenarios that are played with a deafDialect.
const overlooked = 100

// Guards against a test of the rules that no order of events can fail.
func TestScenariosBreakRulesIfNoticesAreOverlooked(t *testing.T) {
	is := is.New(t)
	for _, d := range []*deafDialect{{leaving: true}, {pushback: true}} {
		broken := 0
		for seed := range overlooked {
			sc := rapid.Custom(drawScenario).Example(seed)
			if sc.play(t, d) != "" {
				broken++
			}
		}
		is.True(broken > 0)
		t.Logf("%d of %d scenarios break a rule: leaving overlooked %v, pushback %v", broken, overlooked, d.leaving, d.pushback)
	}
}
