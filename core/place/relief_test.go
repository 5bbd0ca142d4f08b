package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
)

// pair is the pool of a domain in a region of two domains, whose upstreams have
// one slot each.
func pair(t *testing.T, own int) (*place.Pool, *place.Setup) {
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

// Guards against requests that wait past their goal, or are refused, in a domain
// whose slots are taken, while the other domain of the region could answer in
// time.
func TestReliefInRegion(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p, _ := pair(t, 1)
	ask := func(id place.ID, r place.Request) []place.Effect {
		r.ID, r.Class, r.Object = id, "fetch", 7
		r.Goal, r.Deadline = now.Add(300*time.Millisecond), now.Add(4*time.Second)
		return p.Submit(r, now)
	}
	is.Equal(ask(1, place.Request{NoForward: true})[0].Grant.Upstream.ID, corianderwing.UpstreamID("own0"))
	for id := place.ID(2); id < 4; id++ {
		ask(id, place.Request{NoForward: true}) // they wait for the only slot
	}
	e := ask(4, place.Request{})
	is.Equal(len(e), 1)
	is.Equal(e[0].ForwardTo, corianderwing.DomainID("a2"))
	is.True(e[0].RequireGoal)
	// The other domain declines what it cannot answer in time either.
	e = ask(5, place.Request{NoForward: true, RequireGoal: true})
	is.Equal(len(e), 1)
	is.Equal(e[0].Err.Code, corianderwing.NoCapacity)
}

// Guards against an upstream that joins a pool and gets nothing, because the
// others know all objects and have room.
func TestJoinedUpstreamGetsRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p, set := pair(t, 1)
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
	_, wider := pair(t, 2)
	set.Upstreams = append(set.Upstreams, wider.Upstreams[2])
	p.Sync(*set, now)
	is.True(play()["own1"] > 0)
}
