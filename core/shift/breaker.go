package shift

import (
	"math/bits"
	"time"
)

const (
	// guardBad is how many of the last eight answers of the new version on a
	// route must be bad for a Guard to trip. Of a version without a fault, about
	// one answer in forty is bad.
	guardBad = 3
	// guardOld is the part of bad answers of the old version from which on a
	// Guard does not trip: then it is the load that makes answers bad.
	guardOld = 0.12
	// guardFade is the weight of a new answer of the old version.
	guardFade = 1.0 / 16
	// guardTime is how long a Guard that tripped keeps requests away: the time
	// in which the leader learns of the same answers and decides, with a margin.
	guardTime = 4 * time.Second
)

// Breaker keeps an entry instance from sending more requests to a new version
// that fails before its eyes, while the leader does not know yet. It bounds
// what a fault costs at each entry instance, whatever the delay of samples.
type Breaker struct {
	recent map[string]uint8 // by route: the last eight answers, a bit is set for a bad one
	old    float64          // part of the old version's answers that were bad lately
	until  time.Time
}

// ObserveOld takes an answer of the old version.
func (g *Breaker) ObserveOld(bad bool) {
	v := 0.0
	if bad {
		v = 1
	}
	g.old += (v - g.old) * guardFade
}

// Observe takes an answer of the new version. It reports whether the Guard
// tripped.
func (g *Breaker) Observe(route string, bad bool, now time.Time) bool {
	if g.recent == nil {
		g.recent = map[string]uint8{}
	}
	last := g.recent[route] << 1
	if bad {
		last |= 1
	}
	g.recent[route] = last
	if bits.OnesCount8(last) < guardBad || g.old >= guardOld {
		return false
	}
	g.until = now.Add(guardTime)
	delete(g.recent, route)
	return true
}

// Blocks reports whether the new version gets no requests now.
func (g *Breaker) Blocks(now time.Time) bool { return now.Before(g.until) }
