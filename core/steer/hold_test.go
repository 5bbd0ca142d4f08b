package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against ending a loan because another control instance has taken over the
// lender or the borrower: it guesses how long requests take, and the last report of
// its predecessor still counts.
func TestTakeoverKeepsLoans(t *testing.T) {
	full, room := load("a1", 10, 15.6), load("b1", 20, 3)
	provisional := func(l Load, factor float64) Load {
		l.Demand *= factor
		l.Provisional = true
		return l
	}
	for _, loads := range [][]Load{
		{full, provisional(room, 6)},
		{provisional(full, 0.2), room},
		{provisional(full, 4), provisional(room, 4)},
	} {
		is := is.New(t)
		p := New()
		loans, now := updateFor(p, epoch, 20, full, room)
		is.True(len(loans) > 0)
		after, now := updateFor(p, now, 2, loads...)
		is.Equal(after, loans)
		after, _ = updateFor(p, now, 2, full, room)
		is.Equal(after, loans)
	}
}

// Guards against ending a loan at once while the control instance of the borrower
// is down and its entry instances turn to another one.
func TestInterruptedRequestsKeepLoans(t *testing.T) {
	is := is.New(t)
	full, room := load("a1", 10, 15.6), load("b1", 20, 3)
	p := New()
	loans, now := updateFor(p, epoch, 20, full, room)
	after, now := updateFor(p, now, 4, load("a1", 10, 0), room)
	is.Equal(after, loans)
	after, _ = updateFor(p, now, 3, load("a1", 10, 0), room)
	is.Equal(len(after), 0) // nobody needs the slots any more
}

// Guards against a new leader that moves a third of a region's requests at once,
// because it takes the first loads that it sees for the start of the traffic.
func TestNewLeaderKeepsRamp(t *testing.T) {
	is := is.New(t)
	loans, now := updateFor(New(), epoch, 20, load("a1", 40, 25), load("b1", 100, 9))
	next := New()
	next.Restore(loans)
	before := totalBorrowed(loans, "a1")
	after, _ := updateFor(next, now, 1, load("a1", 40, 60), load("b1", 100, 9))
	moved := float64(totalBorrowed(after, "a1")-before) / float64(40+totalBorrowed(after, "a1"))
	is.True(moved <= maxShiftPerSecond*time.Second.Seconds()+0.05) // rounded to whole slots
}

// Guards against taking a domain's load for provisional because an instance that
// gets no requests has just started there.
func TestMergeIgnoresIdleInstances(t *testing.T) {
	is := is.New(t)
	idle := load("a1", 10, 0)
	idle.Provisional = true
	is.True(!Merge([]Load{load("a1", 10, 5), idle})[0].Provisional)
	is.True(!Merge([]Load{idle, load("a1", 10, 5)})[0].Provisional)
	taking := load("a1", 10, 5)
	taking.Provisional = true
	is.True(Merge([]Load{load("a1", 10, 5), taking})[0].Provisional)
}
