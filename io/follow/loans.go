package follow

import (
	"time"

	"corianderwing"
	"corianderwing/io/plane"
)

// loanUseDelay is how much later than BorrowedSlots reported them the user of borrowed
// slots may still grant them.
const loanUseDelay = 500 * time.Millisecond

// loans is the slots in other failure domains that the domain of this instance borrows.
type loans struct {
	version uint64
	slots   map[corianderwing.UpstreamID]int
	until   time.Time // on the boot clock
}

// setLoans takes over the loans of a reply to a heartbeat that was sent at a time and
// named a version of the loans. With heartbeats to two control instances at once, the
// loans may be of another version by now.
func (f *Follower) setLoans(r *plane.HeartbeatResponse, named uint64, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.LoansVersion == 0 {
		return // no leader has confirmed any; those that are known expire
	}
	if r.LoansVersion == named && named != f.loans.version {
		return // the reply omits loans that were replaced meanwhile
	}
	if r.LoansVersion != f.loans.version {
		f.loans = loans{version: r.LoansVersion, slots: map[corianderwing.UpstreamID]int{}}
		for _, l := range r.Loans {
			f.loans.slots[l.Upstream] += l.Slots
		}
	}
	f.loans.until = corianderwing.HolderDeadline(sent, time.Duration(r.LoansDuration)*time.Millisecond)
}

// BorrowedSlots returns the slots of upstreams in other failure domains that the domain
// of this instance borrows. The result must not be changed, and may be used for
// loanUseDelay.
func (f *Follower) BorrowedSlots() map[corianderwing.UpstreamID]int {
	now := f.cfg.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !now.Add(loanUseDelay).Before(f.loans.until) {
		return nil
	}
	return f.loans.slots
}
