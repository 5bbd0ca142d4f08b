package plane

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/steer"
)

// Guards against loans that are sent with each heartbeat, and against entry instances
// that go on with loans of which no leader is known any more.
func TestLoansAreSentOnceAndExpire(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := &Plane{confirmedAt: now}
	ask := func(known uint64, at time.Time) *HeartbeatResponse {
		r := &HeartbeatResponse{}
		p.listLoans(&HeartbeatRequest{Entry: corianderwing.Instance{Domain: "a"}, LoansVersion: known}, r, at)
		return r
	}
	set := func(version uint64, loans ...steer.UpstreamLoan) {
		p.borrowed = borrowedByDomain(loans, version, p.borrowed)
	}
	is.Equal(ask(0, now), &HeartbeatResponse{})
	set(3, steer.UpstreamLoan{Upstream: "1", Borrower: "a", Slots: 2}, steer.UpstreamLoan{Upstream: "2", Borrower: "b", Slots: 1})
	first := ask(0, now)
	is.Equal(first.Loans, []BorrowedSlots{{"1", 2}})
	is.Equal(first.LoansVersion, uint64(3))
	is.True(first.LoansDuration > 0 && time.Duration(first.LoansDuration)*time.Millisecond <= loansTTL)
	is.Equal(len(ask(3, now).Loans), 0)

	set(4, steer.UpstreamLoan{Upstream: "1", Borrower: "a", Slots: 2})
	is.Equal(ask(3, now).LoansVersion, uint64(3)) // only those of b changed
	set(5)
	none := ask(3, now)
	is.Equal(none.LoansVersion, uint64(5))
	is.Equal(len(none.Loans), 0)
	is.Equal(ask(5, now.Add(loansTTL)).LoansVersion, uint64(0))
}
