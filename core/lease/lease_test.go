package lease_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/lease"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/internal/runs"
)

const (
	coldRate = 7.7 // requests per second that the upstream bears
	maxCold  = 1.5*coldRate + 5
	step     = 20 * time.Millisecond
	interval = 400 * time.Millisecond // between two reports
)

// allocator is the slot allocator of a control instance. Its boot clock runs at a rate
// of its own.
type allocator struct {
	name     lease.Holder
	rate     float64
	pool     *place.Pool
	until    time.Time // end of its lease, on its boot clock
	frozen   time.Time // until when it does nothing
	reportAt time.Time
	sent     time.Time // of the report on its way, on its boot clock
	arrives  time.Time // of this report at the leader; zero if there is none
	traffic  float64   // fraction of the requests that it gets
	seen     float64   // requests per second, averaged
}

// cluster is a failure domain with a cold upstream, several allocators, and a leader.
type cluster struct {
	rng        *rand.Rand
	now        time.Time
	upstream   *model.Upstream
	table      *lease.Table
	allocators []*allocator
	next       place.ID
	grants     []time.Time
	starts     uint64
	always     bool // every allocator takes itself for the only one
}

func newCluster(seed uint64, always bool) *cluster {
	c := &cluster{rng: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1000, 0), always: always}
	c.upstream = &model.Upstream{WarmupUntil: c.now.Add(time.Hour)}
	c.upstream.ID, c.upstream.Pool, c.upstream.Domain, c.upstream.Slots = "u1", "files", "a1", 5
	c.upstream.Phase, c.upstream.Version, c.upstream.Incarnation = corianderwing.Ready, "v1", 1
	c.table = lease.NewTable(time.Time{})
	for range 4 {
		a := &allocator{rate: 1 + corianderwing.MaxClockDrift*(2*c.rng.Float64()-1)/2}
		c.allocators = append(c.allocators, a)
		c.restart(a)
	}
	c.allocators[0].traffic = 1
	return c
}

func (c *cluster) restart(a *allocator) {
	c.starts++
	a.name = lease.Holder(fmt.Sprintf("c%d", c.starts))
	a.until, a.arrives, a.reportAt, a.seen = time.Time{}, time.Time{}, c.now, 0
	a.pool = place.New(place.Config{
		Name: "files", Domain: "a1", Seed: c.starts,
		RegionOf: func(corianderwing.DomainID) corianderwing.RegionID { return "a" },
	})
	a.pool.Sync(place.Setup{
		Upstreams: []*model.Upstream{c.upstream}, Version: "v1", ColdRate: coldRate,
		Evacuated: func(corianderwing.DomainID) bool { return false },
	}, c.now)
}

func (a *allocator) boot(now time.Time) time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(now.Sub(time.Unix(1000, 0))) * a.rate))
}

// disturb moves traffic, freezes or restarts an allocator, or changes the leader.
func (c *cluster) disturb() {
	a := c.allocators[c.rng.IntN(len(c.allocators))]
	switch c.rng.IntN(8) {
	case 0, 1, 2:
		for _, x := range c.allocators {
			x.traffic = c.rng.Float64()
		}
	case 3:
		for _, x := range c.allocators {
			x.traffic = 0
		}
		a.traffic = 1
	case 4, 5:
		a.frozen = c.now.Add(time.Duration(c.rng.IntN(4000)) * time.Millisecond)
	case 6:
		c.restart(a)
	case 7:
		c.table = lease.NewTable(c.now.Add(lease.GracePeriod()))
		for _, x := range c.allocators {
			x.arrives = time.Time{}
		}
	}
}

// report sends reports to the leader, and handles those that arrive.
func (c *cluster) report(a *allocator) {
	if a.arrives.IsZero() && !c.now.Before(a.reportAt) {
		a.sent = a.boot(c.now)
		a.arrives = c.now.Add(time.Duration(c.rng.IntN(600)) * time.Millisecond)
		a.reportAt = c.now.Add(interval)
	}
	if a.arrives.IsZero() || c.now.Before(a.arrives) {
		return
	}
	a.arrives = time.Time{}
	if c.table.Take(lease.Claim{Holder: a.name, Domain: "a1", ArrivalRate: a.seen}, c.now) {
		a.until = corianderwing.HolderDeadline(a.sent, lease.Duration)
	}
}

// serve submits the requests that arrive at an allocator within a step.
func (c *cluster) serve(a *allocator) {
	sole := c.always || a.boot(c.now).Before(a.until)
	a.pool.SetSoleAllocator(sole, c.now)
	n := 0
	for range 2 {
		if c.rng.Float64() >= a.traffic {
			continue
		}
		n++
		c.next++
		r := place.Request{ID: c.next, Class: "fetch", Object: uint64(c.next), NoForward: true, Goal: c.now, Deadline: c.now.Add(time.Second)}
		for _, e := range a.pool.Submit(r, c.now) {
			if e.Grant.Upstream != nil {
				c.grants = append(c.grants, c.now)
			}
		}
		a.pool.Release(place.Outcome{ID: c.next, Result: place.Succeeded, Latency: time.Millisecond}, c.now)
	}
	a.seen += (float64(n)/step.Seconds() - a.seen) * 0.05
}

// run plays some time and returns the most grants within a second, and their number.
func (c *cluster) run(d time.Duration) (most, total int) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(step) {
		if c.rng.IntN(60) == 0 {
			c.disturb()
		}
		for _, a := range c.allocators {
			if c.now.Before(a.frozen) {
				continue
			}
			c.report(a)
			c.serve(a)
		}
	}
	for i, at := range c.grants {
		n, _ := slices.BinarySearchFunc(c.grants, at.Add(time.Second), time.Time.Compare)
		most = max(most, n-i)
	}
	return most, len(c.grants)
}

// Guards against a cold upstream that is flooded because several allocators of its
// failure domain each take themselves for the only one.
func TestColdUpstreamOfSeveralAllocators(t *testing.T) {
	is := is.New(t)
	seed, err := runs.FirstFailure(1, 40, func(seed uint64) error {
		if most, total := newCluster(seed, false).run(time.Minute); float64(most) > maxCold || total == 0 {
			return fmt.Errorf("%d requests in one second, at most %v allowed; %d in all", most, maxCold, total)
		}
		return nil
	})
	if err != nil {
		t.Fatalf("seed %d: %v", seed, err)
	}
	most, _ := newCluster(1, true).run(time.Minute)
	is.True(float64(most) > maxCold) // without leases
}

// holders returns how many allocators may use the lease now. One that is frozen counts: it
// may run again at any moment.
func (c *cluster) holders() int {
	n := 0
	for _, a := range c.allocators {
		if a.boot(c.now).Before(a.until) {
			n++
		}
	}
	return n
}

// Guards against a lease that is given away while its holder still uses it. The requests
// to a cold upstream do not show this: a short overlap stays within what it bears.
func TestLeaseHasOneHolder(t *testing.T) {
	seed, err := runs.FirstFailure(1, 40, func(seed uint64) error {
		c := newCluster(seed, false)
		held := 0
		for end := c.now.Add(time.Minute); c.now.Before(end); c.grants = nil {
			c.run(step)
			n := c.holders()
			if n > 1 {
				return fmt.Errorf("%d holders at %v", n, c.now)
			}
			held += n
		}
		if held == 0 {
			return errors.New("nobody got the lease")
		}
		return nil
	})
	if err != nil {
		t.Fatalf("seed %d: %v", seed, err)
	}
}

// Guards against a lease that stays with an allocator at which no requests arrive.
func TestLeaseFollowsRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := lease.NewTable(time.Time{})
	claim := func(h lease.Holder, rate float64) bool {
		return table.Take(lease.Claim{Holder: h, Domain: "a1", ArrivalRate: rate}, now)
	}
	is.True(claim("c2", 0))
	is.True(!claim("c1", 0)) // not lapsed yet
	is.True(!claim("c2", 0)) // c1 comes first
	now = now.Add(lease.GracePeriod())
	is.True(claim("c1", 0))
	is.True(!claim("c2", 20))
	is.True(!claim("c1", 0.1))
	now = now.Add(lease.GracePeriod())
	is.True(claim("c2", 20))
	is.True(!claim("c1", 25)) // no clear lead
	is.True(claim("c2", 20))
}

// Guards against a lease that a new leader gives while that of its predecessor is valid.
func TestNewLeaderWaitsForLeases(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	sent := now // the last claim that the predecessor answered
	table := lease.NewTable(now.Add(lease.GracePeriod()))
	for !table.Take(lease.Claim{Holder: "c1", Domain: "a1"}, now) {
		now = now.Add(time.Millisecond)
	}
	is.True(!now.Before(corianderwing.HolderDeadline(sent, lease.Duration)))
}

// Guards against a lease that its busy holder loses to an idle allocator, or altogether,
// because one of its reports gets no answer: cold upstreams get no requests then.
func TestLostReportKeepsLease(t *testing.T) {
	is := is.New(t)
	const (
		reportTimeout = 900 * time.Millisecond
		roundTrip     = 50 * time.Millisecond
	)
	now := time.Unix(1000, 0)
	table := lease.NewTable(time.Time{})
	busy := lease.Claim{Holder: "c2", Domain: "a1", ArrivalRate: 50}
	idle := lease.Claim{Holder: "c1", Domain: "a1"}
	is.True(table.Take(busy, now))
	until := corianderwing.HolderDeadline(now, lease.Duration)
	lost := now.Add(interval + reportTimeout)
	for now = now.Add(interval); now.Before(lost.Add(interval)); now = now.Add(50 * time.Millisecond) {
		is.True(!table.Take(idle, now))
	}
	now = now.Add(roundTrip)
	is.True(table.Take(busy, now))
	is.True(now.Before(until))
}
