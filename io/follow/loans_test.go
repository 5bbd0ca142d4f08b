package follow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/io/plane"
)

// Guards against slots that two failure domains use at the same time: the loans of an
// instance that nobody answers end, with a margin for slots that were granted late.
func TestBorrowedSlotsExpire(t *testing.T) {
	is := is.New(t)
	sent := time.Unix(1000, 0)
	now := sent
	f := &Follower{cfg: Config{Now: func() time.Time { return now }}}
	is.Equal(len(f.BorrowedSlots()), 0)
	f.setLoans(&plane.HeartbeatResponse{LoansVersion: 1, LoansDuration: 4000, Loans: []plane.BorrowedSlots{{Upstream: "1", Slots: 2}}}, 0, sent)
	is.Equal(f.BorrowedSlots(), map[corianderwing.UpstreamID]int{"1": 2})
	f.setLoans(&plane.HeartbeatResponse{LoansVersion: 1, LoansDuration: 4000}, 1, sent.Add(time.Second))
	now = sent.Add(4 * time.Second)
	is.Equal(len(f.BorrowedSlots()), 1) // unchanged loans were confirmed again
	f.setLoans(&plane.HeartbeatResponse{}, 1, now)
	now = sent.Add(5*time.Second - loanUseDelay)
	is.Equal(len(f.BorrowedSlots()), 0)
	f.setLoans(&plane.HeartbeatResponse{LoansVersion: 2, LoansDuration: 4000}, 1, now)
	is.Equal(len(f.BorrowedSlots()), 0) // the domain borrows none
}

// Guards against an instance that forgets its loans until they change again: of two
// heartbeats at once, the one to the instance with the older loans was answered last,
// without the loans, as they were known when it was sent.
func TestLateReplyKeepsNewerLoans(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := &Follower{cfg: Config{Now: func() time.Time { return now }}}
	f.setLoans(&plane.HeartbeatResponse{LoansVersion: 1, LoansDuration: 4000, Loans: []plane.BorrowedSlots{{Upstream: "1", Slots: 2}}}, 0, now)
	f.setLoans(&plane.HeartbeatResponse{LoansVersion: 2, LoansDuration: 4000, Loans: []plane.BorrowedSlots{{Upstream: "1", Slots: 3}}}, 1, now)
	f.setLoans(&plane.HeartbeatResponse{LoansVersion: 1, LoansDuration: 4000}, 1, now)
	is.Equal(f.BorrowedSlots(), map[corianderwing.UpstreamID]int{"1": 3})
}
