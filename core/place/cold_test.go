package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
)

// Guards against a starting upstream that crashes because it gets more
// requests than it can take, either from one Pool or from many entry instances
// that decide independently while their control instance does not respond.
func TestStartingUpstream(t *testing.T) {
	is := is.New(t)
	const rate = 3.2
	most := func(sharers, pools int) int {
		at := []time.Time{}
		for range pools {
			now := time.Unix(1000, 0)
			p := poolWithColdUpstream(sharers, rate, now)
			p.SetSoleAllocator(sharers == 1, now)
			for id := place.ID(1); id < 200; id++ {
				now = now.Add(20 * time.Millisecond)
				r := place.Request{ID: id, Class: "fetch", Object: uint64(id), NoForward: true, Goal: now.Add(10 * time.Millisecond), Deadline: now.Add(4 * time.Second)}
				for _, e := range p.Submit(r, now) {
					if e.Grant.Upstream != nil {
						at = append(at, now)
					}
				}
				p.Release(place.Outcome{ID: id, Result: place.Succeeded, Latency: 10 * time.Millisecond}, now)
			}
		}
		worst := 0
		for _, from := range at {
			n := 0
			for _, x := range at {
				if !x.Before(from) && x.Sub(from) < time.Second {
					n++
				}
			}
			worst = max(worst, n)
		}
		return worst
	}
	// The bound is 1.5 times the rate plus five requests.
	is.True(most(1, 1) > 0)
	is.True(float64(most(1, 1)) <= 1.5*rate+5)
	is.True(float64(most(15, 15)) <= 1.5*rate+5)
}

// poolWithColdUpstream returns a Pool with one upstream, which warms up for 10 s and may
// start the given number of requests a second.
func poolWithColdUpstream(allocators int, rate float64, now time.Time) *place.Pool {
	p := place.New(place.Config{
		Name: "files", Domain: "a1", Allocators: allocators,
		RegionOf: func(corianderwing.DomainID) corianderwing.RegionID { return "a" },
	})
	u := &model.Upstream{WarmupUntil: now.Add(10 * time.Second)}
	u.ID, u.Pool, u.Domain, u.Slots = "u1", "files", "a1", 4
	u.Phase, u.Version, u.Incarnation = corianderwing.Ready, "v1", 1
	p.Sync(place.Setup{
		Upstreams: []*model.Upstream{u}, Version: "v1", ColdRate: rate,
		Evacuated: func(corianderwing.DomainID) bool { return false },
	}, now)
	return p
}

// Guards against a cold upstream that gets two bursts in a row: one from the Pool that
// was the sole allocator until now, and one from the Pool that succeeds it.
func TestSoleAllocatorStartsWithoutBurst(t *testing.T) {
	is := is.New(t)
	const rate = 4
	now := time.Unix(1000, 0)
	p := poolWithColdUpstream(0, rate, now)
	last := place.ID(0)
	granted := func() bool {
		last++
		r := place.Request{ID: last, Class: "fetch", Object: uint64(last), NoForward: true, Goal: now, Deadline: now.Add(time.Second)}
		got := false
		for _, e := range p.Submit(r, now) {
			got = got || e.Grant.Upstream != nil
		}
		p.Cancel(last, now)
		if got {
			p.Release(place.Outcome{ID: last, Result: place.Succeeded, Latency: time.Millisecond}, now)
		}
		return got
	}
	for range 2 {
		now = now.Add(time.Second)
		is.True(!granted()) // another Pool is the sole allocator
		p.SetSoleAllocator(true, now)
		is.True(!granted())
		now = now.Add(time.Second / rate)
		p.SetSoleAllocator(true, now) // renewed
		is.True(granted())
		is.True(!granted())
		p.SetSoleAllocator(false, now)
	}
}

// Guards against a cold upstream that gets requests from two failure domains: the sole
// allocator of its own, and that of another to which its slots are lent.
func TestNoBorrowedSlotOfColdUpstream(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := place.New(place.Config{
		Name: "files", Domain: "a1",
		RegionOf: func(corianderwing.DomainID) corianderwing.RegionID { return "a" },
	})
	u := &model.Upstream{WarmupUntil: now.Add(3 * time.Second)}
	u.ID, u.Pool, u.Domain, u.Slots = "u1", "files", "a2", 4
	u.Phase, u.Version, u.Incarnation = corianderwing.Ready, "v1", 1
	p.SetSoleAllocator(true, now)
	p.Sync(place.Setup{
		Upstreams: []*model.Upstream{u}, Version: "v1", ColdRate: 4,
		Borrowed:  map[corianderwing.UpstreamID]int{"u1": 2},
		Evacuated: func(corianderwing.DomainID) bool { return false },
	}, now)
	granted := func(id place.ID) bool {
		r := place.Request{ID: id, Class: "fetch", Object: 1, NoForward: true, Goal: now, Deadline: now.Add(time.Second)}
		got := false
		for _, e := range p.Submit(r, now) {
			got = got || e.Grant.Upstream != nil
		}
		p.Cancel(id, now)
		return got
	}
	is.True(!granted(1))
	now = u.WarmupUntil
	is.True(granted(2))
}
