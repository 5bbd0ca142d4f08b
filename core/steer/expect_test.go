package steer

import (
	"testing"

	"github.com/matryer/is"

	"corianderwing"
)

// Guards against loans for pools that have requests already, and against a division
// by zero while no entry instance has reported.
func TestExpectOnlyBeforeTheFirstRequests(t *testing.T) {
	is := is.New(t)
	entries := map[corianderwing.DomainID]int{"a1": 10, "b1": 10}
	idle := []Load{load("a1", 10, 0), load("b1", 40, 0)}
	expected := Expect(idle, entries)
	is.Equal(expected[0].Demand, expectedUtilization*25)
	is.Equal(expected[1].Demand, expectedUtilization*25)
	is.Equal(idle[0].Demand, 0.0) // the argument is unchanged
	loans := New().Update(expected, epoch)
	is.True(totalBorrowed(loans, "a1") > 0)
	is.Equal(totalBorrowed(loans, "b1"), 0)

	busy := []Load{load("a1", 10, 0), load("b1", 40, 3)}
	is.Equal(Expect(busy, entries), busy)
	is.Equal(Expect(idle, nil), idle)
}
