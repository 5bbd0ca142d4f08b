package plane

import (
	"slices"
	"time"

	"corianderwing"
	"corianderwing/core/steer"
)

// borrowedList is the slots that a failure domain borrows, as of a version of the loans.
type borrowedList struct {
	version uint64
	slots   []BorrowedSlots
}

// borrowedByDomain divides loans by borrower. The lists of the domains whose slots have
// not changed keep their version.
func borrowedByDomain(loans []steer.UpstreamLoan, version uint64, old map[corianderwing.DomainID]borrowedList) map[corianderwing.DomainID]borrowedList {
	lists := map[corianderwing.DomainID]borrowedList{}
	for _, l := range loans {
		d := lists[l.Borrower]
		lists[l.Borrower] = borrowedList{version, append(d.slots, BorrowedSlots{l.Upstream, l.Slots})}
	}
	for domain, before := range old {
		if _, ok := lists[domain]; !ok {
			lists[domain] = borrowedList{version: version}
		}
		if slices.Equal(lists[domain].slots, before.slots) {
			lists[domain] = before
		}
	}
	return lists
}

// listLoans adds to a response the slots that the failure domain of an entry instance
// borrows, for the time in which the instance gets no answers and decides alone. The
// caller must hold p.mu.
func (p *Plane) listLoans(b *HeartbeatRequest, r *HeartbeatResponse, now time.Time) {
	left := corianderwing.HolderDeadline(p.confirmedAt, loansTTL).Sub(now)
	d, ok := p.borrowed[b.Entry.Domain]
	if left <= 0 || !ok {
		return
	}
	r.LoansVersion, r.LoansDuration = d.version, corianderwing.Millis(left.Milliseconds())
	if d.version != b.LoansVersion {
		r.Loans = d.slots
	}
}
