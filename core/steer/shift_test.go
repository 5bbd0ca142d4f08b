package steer

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// shiftLimit is the part of a region's requests that may change the region in which they
// run from one period of shiftWindow to the next.
const (
	shiftLimit  = 0.15
	shiftWindow = 2 * time.Second
	shiftStep   = 200 * time.Millisecond
)

// maxShift returns the largest part of the requests that changes its region between two
// consecutive windows, given the fraction that runs elsewhere in each step.
func maxShift(elsewhere []float64) float64 {
	n := int(shiftWindow / shiftStep)
	mean := func(list []float64) float64 {
		sum := 0.0
		for _, v := range list {
			sum += v / float64(len(list))
		}
		return sum
	}
	worst := 0.0
	for i := n; i+n <= len(elsewhere); i++ {
		worst = max(worst, math.Abs(mean(elsewhere[i:i+n])-mean(elsewhere[i-n:i])))
	}
	return worst
}

// Guards against requests that change their region too fast when upstreams join or leave
// in their region while the loans change in the same direction.
func TestOwnSlotsChangeWhileLoansDo(t *testing.T) {
	for _, c := range []struct {
		name                 string
		slotsBefore, slots   float64
		demandBefore, demand float64
	}{
		{"upstreams join and the demand falls", 40, 72, 120, 40},
		{"upstreams leave and the demand rises", 56, 41, 50, 140},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := New()
			room := load("b1", 200, 20)
			_, now := updateFor(p, epoch, 30, load("a1", c.slotsBefore, c.demandBefore), room)
			var elsewhere []float64
			play := func(steps int, slots, demand float64) {
				for range steps {
					now = now.Add(shiftStep)
					n := float64(totalBorrowed(p.Update([]Load{load("a1", slots, demand), room}, now), "a1"))
					elsewhere = append(elsewhere, n/(slots+n))
				}
			}
			play(20, c.slotsBefore, c.demandBefore)
			play(60, c.slots, c.demand)
			is.True(maxShift(elsewhere) <= shiftLimit)
		})
	}
}

// Guards against loans without a ramp when a domain with few upstreams replaces them one
// at a time: the new one joins before the old one leaves, which looked like a loss.
func TestReplacedUpstreamIsNoLoss(t *testing.T) {
	is := is.New(t)
	p := New()
	room := load("b1", 200, 20)
	_, now := updateFor(p, epoch, 10, load("a1", 10, 5), room)
	var elsewhere []float64
	for i := range 60 {
		slots, demand := 10.0, 40.0
		if i%10 < 4 {
			slots = 15
		}
		now = now.Add(shiftStep)
		n := float64(totalBorrowed(p.Update([]Load{load("a1", slots, demand), room}, now), "a1"))
		elsewhere = append(elsewhere, n/(slots+n))
		is.Equal(len(p.Lifts()), 0)
	}
	is.True(elsewhere[len(elsewhere)-1] > 0.4)
	now = now.Add(shiftStep)
	p.Update([]Load{load("a1", 5, 40), room}, now) // half of them are lost
	is.Equal(len(p.Lifts()), 1)
}
