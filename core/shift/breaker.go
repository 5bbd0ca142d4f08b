package shift

import (
	"math/bits"
	"time"
)

const (
	// tripCount is how many of the last eight responses of the new version on a
	// route must be bad to trip a Breaker. About one in forty responses of a
	// version without a fault is bad.
	tripCount = 3
	// maxOldFailureRate is the rate of bad responses of the old version from
	// which a Breaker no longer trips, because overload then explains the
	// failures.
	maxOldFailureRate = 0.12
	// oldRateSmoothing is the weight of a new observation in the moving average
	// of the old version's failure rate.
	oldRateSmoothing = 1.0 / 16
	// blockTime is how long a tripped Breaker blocks requests. It covers the time
	// in which the leader receives the same observations and decides, plus a
	// margin.
	blockTime = 4 * time.Second
)

// Breaker is the circuit breaker with which an entry instance stops sending
// requests to a failing new version before the leader has the samples to roll
// back the move. It bounds the failed requests at each entry instance,
// whatever the delay of samples.
type Breaker struct {
	history        map[string]uint8 // last eight responses by route, one bit each, set if bad
	oldFailureRate float64          // moving average of the old version's bad responses
	blockedUntil   time.Time
}

// ObserveOld records a response of the old version.
func (b *Breaker) ObserveOld(bad bool) {
	v := 0.0
	if bad {
		v = 1
	}
	b.oldFailureRate += (v - b.oldFailureRate) * oldRateSmoothing
}

// Observe records a response of the new version and reports whether the Breaker
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

// Blocks reports whether the Breaker blocks requests to the new version.
func (b *Breaker) Blocks(now time.Time) bool { return now.Before(b.blockedUntil) }
