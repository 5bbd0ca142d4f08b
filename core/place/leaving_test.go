package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
)

// leavingSetup returns the setup of a pool with two upstreams of one slot each. The
// first has the given incarnation.
func leavingSetup(first corianderwing.Incarnation) place.Setup {
	set := place.Setup{Version: "v1", Evacuated: func(corianderwing.DomainID) bool { return false }}
	for i, id := range []corianderwing.UpstreamID{"u1", "u2"} {
		u := &model.Upstream{}
		u.ID, u.Pool, u.Domain, u.Slots = id, "files", "a1", 1
		u.Phase, u.Version, u.Incarnation = corianderwing.Ready, "v1", 1
		if i == 0 {
			u.Incarnation = first
		}
		set.Upstreams = append(set.Upstreams, u)
	}
	return set
}

// Guards against a failure domain in which each entry instance finds out by itself
// that an upstream leaves, and against an upstream that is spared after its restart.
// A change of the settings changes nothing.
func TestLeavingUpstreamIsSparedInDomain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := place.New(place.Config{Name: "files", Domain: "a1", RegionOf: func(corianderwing.DomainID) corianderwing.RegionID { return "a" }})
	p.Sync(leavingSetup(1), now)
	used := func(id place.ID) (place.ID, corianderwing.UpstreamID) {
		r := place.Request{ID: id, Class: "fetch", NoForward: true, Goal: now.Add(10 * time.Second), Deadline: now.Add(20 * time.Second)}
		for _, e := range p.Submit(r, now) {
			if e.Grant.Upstream != nil {
				return e.ID, e.Grant.Upstream.ID
			}
		}
		return 0, ""
	}
	owner := map[corianderwing.UpstreamID]place.ID{}
	for id := place.ID(1); id <= 2; id++ {
		granted, u := used(id)
		owner[u] = granted
	}
	is.Equal(len(owner), 2)
	_, u := used(3) // waits
	is.Equal(u, corianderwing.UpstreamID(""))
	effects := p.Release(place.Outcome{ID: owner["u1"], Result: place.Succeeded, Leaving: true}, now)
	is.Equal(len(effects), 0) // the waiting request does not get the slot
	is.Equal(p.Load(now).Slots, 1)
	p.Sync(leavingSetup(1), now)
	effects = p.Release(place.Outcome{ID: owner["u2"], Result: place.Succeeded}, now)
	is.Equal(len(effects), 1)
	is.Equal(effects[0].Grant.Upstream.ID, corianderwing.UpstreamID("u2"))
	effects = p.Sync(leavingSetup(2), now) // u1 has restarted
	is.Equal(len(effects), 0)
	_, u = used(4)
	is.Equal(u, corianderwing.UpstreamID("u1"))
}
