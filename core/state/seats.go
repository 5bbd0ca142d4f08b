package state

import (
	"slices"

	"corianderwing"
)

// SeatsIn returns the number of assigned and free seats in the given failure domains.
// It counts seats like TotalSeats.
func (v *View) SeatsIn(domains []corianderwing.DomainID) int {
	root, _ := v.tree.Node(corianderwing.Path{})
	total := 0
	if len(root.Seats) > 0 {
		for _, d := range domains {
			total += root.Seats[d]
		}
		return total
	}
	held := map[corianderwing.DomainID]bool{}
	for _, s := range v.seats {
		if slices.Contains(domains, s.Domain) {
			held[s.Domain] = true
		}
	}
	return len(held) * corianderwing.DefaultSeats
}
