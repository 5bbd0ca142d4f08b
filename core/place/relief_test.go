package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
)

// newRegionPair returns the pool of a failure domain in a region of two
// domains, whose upstreams have one slot each.
func newRegionPair(t *testing.T, own int) (*place.Pool, *place.Setup) {
	t.Helper()
	p := place.New(place.Config{
		Name: "files", Domain: "a1",
		RegionOf: func(d corianderwing.DomainID) corianderwing.RegionID { return corianderwing.RegionID(d[:1]) },
	})
	set := &place.Setup{Version: "v1", Evacuated: func(corianderwing.DomainID) bool { return false }}
	add := func(id corianderwing.UpstreamID, d corianderwing.DomainID) {
		u := &model.Upstream{}
		u.ID, u.Pool, u.Domain, u.Slots = id, "files", d, 1
		u.Phase, u.Version, u.Incarnation = corianderwing.Ready, "v1", 1
		set.Upstreams = append(set.Upstreams, u)
	}
	add("far", "a2")
	for i := range own {
		add(corianderwing.UpstreamID("own"+string(rune('0'+i))), "a1")
	}
	p.Sync(*set, time.Unix(1000, 0))
	return p, set
}

// Guards against requests that wait past their goal or are rejected in a
// domain without free slots, while the other domain of the region could
// respond in time.
func TestForwardWithinRegion(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p, _ := newRegionPair(t, 1)
	ask := func(id place.ID, r place.Request) []place.Effect {
		r.ID, r.Class, r.Object = id, "fetch", 7
		r.Goal, r.Deadline = now.Add(300*time.Millisecond), now.Add(4*time.Second)
		return p.Submit(r, now)
	}
	is.Equal(ask(1, place.Request{NoForward: true})[0].Grant.Upstream.ID, corianderwing.UpstreamID("own0"))
	for id := place.ID(2); id < 4; id++ {
		ask(id, place.Request{NoForward: true}) // these wait for the only slot
	}
	e := ask(4, place.Request{})
	is.Equal(len(e), 1)
	is.Equal(e[0].ForwardTo, corianderwing.DomainID("a2"))
	is.True(e[0].RequireGoal)
	// The other domain rejects requests that it cannot serve within the goal either.
	e = ask(5, place.Request{NoForward: true, RequireGoal: true})
	is.Equal(len(e), 1)
	is.Equal(e[0].Err.Code, corianderwing.NoCapacity)
}

// Guards against a new upstream that gets no requests because the others cache
// all objects and have free slots.
func TestJoinedUpstreamGetsRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p, set := newRegionPair(t, 1)
	id := place.ID(0)
	play := func() map[corianderwing.UpstreamID]int {
		got := map[corianderwing.UpstreamID]int{}
		for object := range uint64(20) {
			id++
			now = now.Add(100 * time.Millisecond)
			took := 150 * time.Millisecond
			for _, e := range p.Submit(place.Request{ID: id, Class: "fetch", Object: object + 1, NoForward: true, Goal: now.Add(time.Second), Deadline: now.Add(4 * time.Second)}, now) {
				got[e.Grant.Upstream.ID]++
				if e.Grant.ExpectHit {
					took = 50 * time.Millisecond
				}
			}
			p.Release(place.Outcome{ID: id, Result: place.Succeeded, Latency: took}, now)
		}
		return got
	}
	is.Equal(play()["own0"], 20)
	_, wider := newRegionPair(t, 2)
	set.Upstreams = append(set.Upstreams, wider.Upstreams[2])
	p.Sync(*set, now)
	is.True(play()["own1"] > 0)
}
