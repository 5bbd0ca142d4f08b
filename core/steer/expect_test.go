package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// Guards against loans for expected requests that go on although the loads show what
// callers need, and against a division by zero while no entry instance has reported.
func TestExpectOnlyUntilLoadsShowDemand(t *testing.T) {
	is := is.New(t)
	idle := []Load{load("a1", 10, 0), load("b1", 40, 0)}
	p := New()
	is.Equal(p.expect(idle, epoch), idle)
	p.SetInstances(map[corianderwing.DomainID]int{"a1": 10, "b1": 10})
	expected := p.expect(idle, epoch)
	is.Equal(expected[0].Demand, expectedUtilization*25)
	is.Equal(expected[1].Demand, expectedUtilization*25)
	is.Equal(idle[0].Demand, 0.0) // the argument is unchanged
	loans := p.Update(idle, epoch)
	is.True(totalBorrowed(loans, "a1") > 0)
	is.Equal(totalBorrowed(loans, "b1"), 0)

	for _, busy := range [][]Load{
		{load("a1", 10, 0), load("b1", 40, 3)}, // the region a has no requests
		{load("a1", 10, 1), load("b1", 40, 3)},
	} {
		p.Update(busy, epoch.Add(time.Second))
		is.Equal(p.expect(busy, epoch.Add(time.Second+establishedAfter)), busy)
	}
	restored := New()
	restored.Restore(loans)
	restored.SetInstances(map[corianderwing.DomainID]int{"a1": 10, "b1": 10})
	busy := []Load{load("a1", 10, 1), load("b1", 40, 3)}
	restored.Update(busy, epoch)
	is.Equal(restored.expect(busy, epoch), busy)
}

// Guards against a region with few upstreams that starves for seconds after the start,
// or after a total loss, because entry instances rejected most of its first requests
// before they reached an allocator: its loans ended, and the ramp held new ones back.
func TestFirstLoadsEndNoLoans(t *testing.T) {
	const (
		demand = 24.0
		hidden = 2.0 // what reaches the allocator while entry instances reject the rest
	)
	for name, c := range map[string]struct {
		before, hiddenFor time.Duration // without requests, and with most of them rejected
		suspended         time.Duration
	}{
		"start":      {5 * time.Second, 1500 * time.Millisecond, 0},
		"total loss": {0, 5500 * time.Millisecond, 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := New()
			p.SetInstances(map[corianderwing.DomainID]int{"a1": 10, "b1": 10})
			if c.suspended > 0 {
				p.SuspendRamp(epoch.Add(c.suspended))
			}
			least := 1000
			for at := time.Duration(0); at < c.before+c.hiddenFor+3*time.Second; at += 400 * time.Millisecond {
				arriving := 0.0
				switch {
				case at >= c.before+c.hiddenFor:
					arriving = demand
				case at >= c.before:
					arriving = hidden
				}
				n := totalBorrowed(p.Update([]Load{load("a1", 10, arriving), load("b1", 90, arriving)}, epoch.Add(at)), "a1")
				if at >= c.before+c.hiddenFor+400*time.Millisecond {
					least = min(least, n)
				}
			}
			t.Logf("a1 has 10 slots of its own, borrows %d, and needs %v", least, demand)
			is.True(10+least >= demand)
		})
	}
}
