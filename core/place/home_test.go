package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
)

// newSixDomainPool returns the pool of a failure domain, in a deployment of
// three regions with two domains each and one upstream per domain.
func newSixDomainPool(t *testing.T, domain corianderwing.DomainID, evacuated ...corianderwing.DomainID) *place.Pool {
	t.Helper()
	p := place.New(place.Config{
		Name: "files", Domain: domain,
		RegionOf: func(d corianderwing.DomainID) corianderwing.RegionID { return corianderwing.RegionID(d[:1]) },
	})
	set := place.Setup{
		Version: "v1",
		Evacuated: func(d corianderwing.DomainID) bool {
			for _, e := range evacuated {
				if e == d {
					return true
				}
			}
			return false
		},
	}
	for _, d := range []corianderwing.DomainID{"a1", "a2", "b1", "b2", "c1", "c2"} {
		u := &model.Upstream{}
		u.ID, u.Pool, u.Domain, u.Slots = corianderwing.UpstreamID("u-"+d), "files", d, 4
		u.Phase, u.Version, u.Incarnation = corianderwing.Ready, "v1", 1
		set.Upstreams = append(set.Upstreams, u)
	}
	p.Sync(set, time.Unix(1000, 0))
	return p
}

// submit returns the failure domain that a request is forwarded to, or the
// upstream that it is granted.
func submit(p *place.Pool, r place.Request) (elsewhere corianderwing.DomainID, granted *model.Upstream) {
	now := time.Unix(1000, 0)
	r.ID, r.Class = 1, "fetch"
	r.Goal, r.Deadline = now.Add(time.Second), now.Add(4*time.Second)
	for _, e := range p.Submit(r, now) {
		if e.Err == nil {
			return e.ForwardTo, e.Grant.Upstream
		}
	}
	return "", nil
}

// Guards against requests of a workspace bound to one region that are rejected
// in all other regions although that region has free slots.
func TestHomeRegionElsewhere(t *testing.T) {
	is := is.New(t)
	for object := range uint64(20) {
		d, u := submit(newSixDomainPool(t, "a1"), place.Request{Object: object, HomeRegions: []corianderwing.RegionID{"c"}})
		is.True(u == nil)
		is.True(d == "c1" || d == "c2")
	}
	// A forwarded request stays there, and its upstream is in the region.
	d, u := submit(newSixDomainPool(t, "c1"), place.Request{Object: 7, HomeRegions: []corianderwing.RegionID{"c"}, NoForward: true})
	is.Equal(d, corianderwing.DomainID(""))
	is.Equal(u.Domain, corianderwing.DomainID("c1"))
}

// Guards against requests that are rejected because the only upstream of their
// domain has failed, while others in the region work.
func TestNoUpstreamHere(t *testing.T) {
	is := is.New(t)
	p := newSixDomainPool(t, "a1")
	now := time.Unix(1000, 0)
	r := place.Request{Class: "fetch", Goal: now.Add(time.Second), Deadline: now.Add(4 * time.Second)}
	for _, result := range []place.Result{place.ConnectionLost, place.ConnectionLost} {
		r.ID++
		is.Equal(p.Submit(r, now)[0].Grant.Upstream.Domain, corianderwing.DomainID("a1")) // a single lost connection ejects no upstream
		p.Release(place.Outcome{ID: r.ID, Result: result}, now)
	}
	r.ID++
	is.Equal(p.Submit(r, now)[0].ForwardTo, corianderwing.DomainID("a2"))
}

// Guards against a request that is sent to an evacuated domain, or is rejected
// because its own domain is evacuated, while the region has free slots.
func TestHomeRegionEvacuated(t *testing.T) {
	is := is.New(t)
	for object := range uint64(20) {
		d, u := submit(newSixDomainPool(t, "a1", "a1"), place.Request{Object: object})
		is.True(u == nil)
		is.Equal(d, corianderwing.DomainID("a2"))
		d, _ = submit(newSixDomainPool(t, "a1", "c2"), place.Request{Object: object, HomeRegions: []corianderwing.RegionID{"c"}})
		is.Equal(d, corianderwing.DomainID("c1"))
	}
}

// Guards against requests that are bound to a region with few slots and wait there far
// longer than others, because those that other regions lend counted as theirs. When the
// load falls, they are all that is left, and the region in which requests run changes.
func TestLateRequestsOfHomeRegionAreFew(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	set := place.Setup{Version: "v1", Evacuated: func(corianderwing.DomainID) bool { return false }, Borrowed: map[corianderwing.UpstreamID]int{"u-b1": 16}}
	for d, slots := range map[corianderwing.DomainID]corianderwing.Slots{"a1": 4, "b1": 16} {
		u := &model.Upstream{}
		u.ID, u.Pool, u.Domain, u.Slots = corianderwing.UpstreamID("u-"+d), "files", d, slots
		u.Phase, u.Version, u.Incarnation = corianderwing.Ready, "v1", 1
		set.Upstreams = append(set.Upstreams, u)
	}
	newPool := func() *place.Pool {
		p := place.New(place.Config{
			Name: "files", Domain: "a1",
			RegionOf: func(d corianderwing.DomainID) corianderwing.RegionID { return corianderwing.RegionID(d[:1]) },
		})
		p.Sync(set, now)
		return p
	}
	submitLate := func(p *place.Pool, from, n int, homes ...corianderwing.RegionID) {
		for i := range n {
			p.Submit(place.Request{
				ID: place.ID(from + i), Class: "fetch", HomeRegions: homes, NoForward: true,
				Goal: now.Add(time.Millisecond), Deadline: now.Add(10 * time.Minute),
			}, now)
		}
	}
	p := newPool()
	submitLate(p, 1000, 60)
	is.Equal(p.QueueLen(), 30) // 1.5 times all slots
	p = newPool()
	submitLate(p, 2000, 60, "a")
	is.Equal(p.QueueLen(), 6) // 1.5 times those of the home region
	submitLate(p, 3000, 60)
	is.True(p.QueueLen() > 20) // others still wait for theirs
}
