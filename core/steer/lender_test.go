package steer

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// Guards against a domain that lives on loans and starves for seconds after one of its
// lenders was evacuated or lost, although others, of the same region or not, have idle
// slots: the ramp held back the loans that replace those.
func TestLostLenderIsReplacedAtOnce(t *testing.T) {
	const minAtOnce = 0.9 // of the slots that the domain borrows in the end
	for name, others := range map[string][]Load{
		"same region":  {load("c2", 100, 10), load("b1", 20, 10)},
		"other region": {load("c2", 0, 0), load("b1", 90, 10)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := New()
			needy := load("a1", 20, 60)
			loans, now := updateFor(p, epoch, 20, append([]Load{needy, load("c1", 100, 10)}, others...)...)
			before := totalBorrowed(loans, "a1")
			is.True(before > 40)
			lost := append([]Load{needy, load("c1", 0, 10)}, others...) // its own requests need slots as well
			now = now.Add(200 * time.Millisecond)
			atOnce := borrowedExceptFrom("c1", p.Update(lost, now), "a1")
			loans, _ = updateFor(p, now, 20, lost...)
			inTheEnd := borrowedExceptFrom("c1", loans, "a1")
			t.Logf("slots borrowed: %d before, %d at once, %d in the end", before, atOnce, inTheEnd)
			is.True(inTheEnd > 40)
			is.True(float64(atOnce) >= minAtOnce*float64(inTheEnd))
		})
	}
}

// borrowedExceptFrom returns the slots that a domain borrows from all others but one.
func borrowedExceptFrom(lost corianderwing.DomainID, loans []Loan, borrower corianderwing.DomainID) int {
	loans = slices.DeleteFunc(slices.Clone(loans), func(l Loan) bool { return l.Lender == lost })
	return totalBorrowed(loans, borrower)
}

// Guards against taking loans that were given back for a loss: the ramp must hold then.
func TestReturnedLoansAreNoLoss(t *testing.T) {
	is := is.New(t)
	p := New()
	busy, calm, room := load("a1", 20, 60), load("a1", 20, 5), load("b1", 150, 10)
	_, now := updateFor(p, epoch, 20, busy, room)
	loans, now := updateFor(p, now, 20, calm, room)
	is.Equal(totalBorrowed(loans, "a1"), 0)
	for range 5 {
		now = now.Add(200 * time.Millisecond)
		p.Update([]Load{busy, room}, now)
		is.Equal(len(p.Lifts()), 0)
	}
}
