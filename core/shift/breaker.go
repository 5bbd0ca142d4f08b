package shift

import (
	"math/bits"
	"time"
)

const (
	// tripCount is how many of the last eight answers of the new version on a
	// route must be bad for a Guard to trip. Of a version without a fault, about
	// one answer in forty is bad.
	tripCount = 3
	// maxOldFailureRate is the part of bad answers of the old version from which on a
	// Guard does not trip: then it is the load that makes answers bad.
	maxOldFailureRate = 0.12
	// oldRateSmoothing is the weight of a new answer of the old version.
	oldRateSmoothing = 1.0 / 16
	// blockTime is how long a Guard that tripped keeps requests away: the time
	// in which the leader learns of the same answers and decides, with a margin.
	blockTime = 4 * time.Second
)

// Breaker keeps an entry instance from sending more requests to a new version
// that fails before its eyes, while the leader does not know yet. It bounds
// what a fault costs at each entry instance, whatever the delay of samples.
type Breaker struct {
	history        map[string]uint8 // by route: the last eight answers, a bit is set for a bad one
	oldFailureRate float64          // part of the old version's answers that were bad lately
	blockedUntil   time.Time
}

// ObserveOld takes an answer of the old version.
func (b *Breaker) ObserveOld(bad bool) {
	v := 0.0
	if bad {
		v = 1
	}
	b.oldFailureRate += (v - b.oldFailureRate) * oldRateSmoothing
}

// Observe takes an answer of the new version. It reports whether the Guard
// tripped.
func (b *Breaker) Observe(route string, bad bool, now time.Time) bool {
	if b.history == nil {
		b.history = map[string]uint8{}
	}
	last := b.history[route] << 1
	if bad {
		last |= 1
	}
	b.history[route] = last
	if bits.OnesCount8(last) < tripCount || b.oldFailureRate >= maxOldFailureRate {
		return false
	}
	b.blockedUntil = now.Add(blockTime)
	delete(b.history, route)
	return true
}

// Blocks reports whether the new version gets no requests now.
func (b *Breaker) Blocks(now time.Time) bool { return now.Before(b.blockedUntil) }
