package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
)

// homes returns the pool of a failure domain in a site of three regions with an
// upstream in each of their six domains.
func homes(t *testing.T, domain corianderwing.DomainID, evacuated ...corianderwing.DomainID) *place.Pool {
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

// ask returns where a request is sent: to the desk of a domain, or to an
// upstream of the own one.
func ask(p *place.Pool, r place.Request) (elsewhere corianderwing.DomainID, granted *model.Upstream) {
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

// Guards against requests of a workspace that may run in one region only and
// are refused in all others, although that region has room.
func TestHomesElsewhere(t *testing.T) {
	is := is.New(t)
	for object := range uint64(20) {
		d, u := ask(homes(t, "a1"), place.Request{Object: object, HomeRegions: []corianderwing.RegionID{"c"}})
		is.True(u == nil)
		is.True(d == "c1" || d == "c2")
	}
	// Where it was sent it stays, and the upstream is in the region.
	d, u := ask(homes(t, "c1"), place.Request{Object: 7, HomeRegions: []corianderwing.RegionID{"c"}, NoForward: true})
	is.Equal(d, corianderwing.DomainID(""))
	is.Equal(u.Domain, corianderwing.DomainID("c1"))
}

// Guards against requests that are refused because the only upstream of their
// domain has failed, while others of the region work.
func TestNoUpstreamHere(t *testing.T) {
	is := is.New(t)
	p := homes(t, "a1")
	now := time.Unix(1000, 0)
	r := place.Request{Class: "fetch", Goal: now.Add(time.Second), Deadline: now.Add(4 * time.Second)}
	for _, result := range []place.Result{place.ConnectionLost, place.ConnectionLost} {
		r.ID++
		is.Equal(p.Submit(r, now)[0].Grant.Upstream.Domain, corianderwing.DomainID("a1")) // one broken connection ejects nobody
		p.Release(place.Outcome{ID: r.ID, Result: result}, now)
	}
	r.ID++
	is.Equal(p.Submit(r, now)[0].ForwardTo, corianderwing.DomainID("a2"))
}

// Guards against a request that goes to an evacuated domain, or is refused
// because its own domain is, while the region has room.
func TestHomesOfEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	for object := range uint64(20) {
		d, u := ask(homes(t, "a1", "a1"), place.Request{Object: object})
		is.True(u == nil)
		is.Equal(d, corianderwing.DomainID("a2"))
		d, _ = ask(homes(t, "a1", "c2"), place.Request{Object: object, HomeRegions: []corianderwing.RegionID{"c"}})
		is.Equal(d, corianderwing.DomainID("c1"))
	}
}
