package plane

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"corianderwing"
)

// Guards against an entry instance that is cut off with its whole region and knows no
// other one to ask, and against all of them asking the same one.
func TestRelaysAreElsewhere(t *testing.T) {
	is := is.New(t)
	var entries []corianderwing.Instance
	for i := range 24 {
		region := fmt.Sprint("r", i%3)
		entries = append(entries, corianderwing.Instance{
			ID:     corianderwing.InstanceID(fmt.Sprint("e", i)),
			Region: corianderwing.RegionID(region), Domain: corianderwing.DomainID(fmt.Sprint(region, i/3%2)),
		})
	}
	asked := map[corianderwing.InstanceID]int{}
	for _, self := range entries {
		list := relaysFor(self, entries)
		is.Equal(len(list), maxRelays)
		regions, domains := map[corianderwing.RegionID]bool{}, map[corianderwing.DomainID]bool{}
		for _, e := range list {
			is.True(e.Domain != self.Domain)
			regions[e.Region], domains[e.Domain] = true, true
			asked[e.ID]++
		}
		is.Equal(len(regions), 3)
		is.Equal(len(domains), maxRelays)
	}
	is.True(len(asked) >= len(entries)/2)
	is.Equal(len(relaysFor(entries[0], nil)), 0)
	is.Equal(len(relaysFor(entries[0], entries[:1])), 0)
}
