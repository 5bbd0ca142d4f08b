package steer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"corianderwing"
)

// UpstreamLoan is a number of slots of one upstream that a failure domain
// borrows.
type UpstreamLoan struct {
	Upstream corianderwing.UpstreamID `json:"upstream"`
	Borrower corianderwing.DomainID   `json:"borrower"`
	Slots    int                      `json:"slots"`
}

// Assign maps loans to slots of upstreams. Each loan takes whole upstreams
// where possible and always the same ones, so that the objects of borrower and
// lender do not evict each other from the caches. The usable function returns
// the usable upstreams of a pool.
func Assign(loans []Loan, usable func(corianderwing.PoolID) []corianderwing.Upstream) []UpstreamLoan {
	taken := map[corianderwing.UpstreamID]int{}
	var assigned []UpstreamLoan
	for _, l := range loans {
		var list []corianderwing.Upstream
		for _, u := range usable(l.Pool) {
			if u.Domain == l.Lender {
				list = append(list, u)
			}
		}
		slices.SortFunc(list, func(a, b corianderwing.Upstream) int {
			return cmp.Compare(rendezvousScore(l.Borrower, b.ID), rendezvousScore(l.Borrower, a.ID))
		})
		left := l.Slots
		for _, u := range list {
			n := min(left, int(u.Slots)-taken[u.ID])
			if n <= 0 {
				continue
			}
			taken[u.ID] += n
			left -= n
			assigned = append(assigned, UpstreamLoan{u.ID, l.Borrower, n})
		}
	}
	return assigned
}

func rendezvousScore(d corianderwing.DomainID, id corianderwing.UpstreamID) uint64 {
	return xxhash.Sum64String(string(d) + "/" + string(id))
}
