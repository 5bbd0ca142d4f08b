package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
)

// Guards against running a request outside its home regions at an upstream that
// announces a failure domain which is not in the settings: the region of that domain
// is "", which also stands for an empty intersection of two lists of regions.
func TestUnknownDomainIsNoHome(t *testing.T) {
	is := is.New(t)
	regions := map[corianderwing.DomainID]corianderwing.RegionID{"a1": "a", "b1": "b"}
	p := place.New(place.Config{
		Name: "files", Domain: "a1",
		RegionOf: func(d corianderwing.DomainID) corianderwing.RegionID { return regions[d] },
	})
	set := place.Setup{
		Version:   "v1",
		Evacuated: func(corianderwing.DomainID) bool { return false },
		Borrowed:  map[corianderwing.UpstreamID]int{"u-lost": 4},
	}
	for _, d := range []corianderwing.DomainID{"a1", "b1", "lost"} {
		u := &model.Upstream{}
		u.ID, u.Pool, u.Domain, u.Slots = corianderwing.UpstreamID("u-"+d), "files", d, 4
		u.Phase, u.Version, u.Incarnation = corianderwing.Ready, "v1", 1
		set.Upstreams = append(set.Upstreams, u)
	}
	p.Sync(set, time.Unix(1000, 0))
	for _, r := range []place.Request{
		{HomeRegions: []corianderwing.RegionID{""}},
		{HomeRegions: []corianderwing.RegionID{""}, Object: 7},
		{HomeRegions: []corianderwing.RegionID{""}, NoForward: true},
		{HomeRegions: []corianderwing.RegionID{""}, Object: 7, NoForward: true},
	} {
		elsewhere, granted := submit(p, r)
		is.Equal(elsewhere, corianderwing.DomainID("")) // rejected, not forwarded
		is.Equal(granted, nil)
	}
	_, granted := submit(p, place.Request{HomeRegions: []corianderwing.RegionID{"", "a"}})
	is.Equal(granted.ID, corianderwing.UpstreamID("u-a1"))
}
