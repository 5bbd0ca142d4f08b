package plane

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"corianderwing"
)

// maxRelays is the number of entry instances in other failure domains that an entry
// instance is told.
const maxRelays = 4

// relaysFor chooses the entry instances that one may ask for the state while it is cut
// off from the control role: one in each region first, then in further failure
// domains. Different instances get different ones.
func relaysFor(self corianderwing.Instance, entries []corianderwing.Instance) (chosen []corianderwing.Instance) {
	if len(entries) == 0 {
		return nil
	}
	start := int(xxhash.Sum64String(string(self.ID)) % uint64(len(entries)))
	order := slices.Concat(entries[start:], entries[:start])
	choose := func(taken func(a, b corianderwing.Instance) bool) {
		for _, e := range order {
			if len(chosen) == maxRelays {
				return
			}
			if e.Domain == self.Domain || slices.ContainsFunc(chosen, func(c corianderwing.Instance) bool { return taken(c, e) }) {
				continue
			}
			chosen = append(chosen, e)
		}
	}
	choose(func(a, b corianderwing.Instance) bool { return a.Region == b.Region })
	choose(func(a, b corianderwing.Instance) bool { return a.Domain == b.Domain })
	return chosen
}
