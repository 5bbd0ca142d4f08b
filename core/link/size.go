package link

import (
	"math"
	"sync"

	"corianderwing"
)

const (
	// initialSize is the assumed response size of a route without observations.
	initialSize = 16 << 10
	// warmupFactor multiplies the estimate until warmupCount responses were
	// observed.
	warmupFactor = 4
	warmupCount  = 8
	// deviationFactor is the number of deviations above the mean, as in the
	// estimator for round-trip times of RFC 6298.
	deviationFactor = 4
	gain            = 1.0 / 8
)

// SizeEstimator estimates a high quantile of a route's response sizes: the smoothed
// mean plus four smoothed deviations. The zero value is ready to use. It is safe for
// concurrent use.
type SizeEstimator struct {
	mu        sync.Mutex
	count     int
	mean, dev float64
}

// Observe records the size of a response.
func (s *SizeEstimator) Observe(n corianderwing.Bytes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	if s.count == 1 {
		s.mean, s.dev = float64(n), float64(n)/2
		return
	}
	off := float64(n) - s.mean
	s.mean += gain * off
	s.dev += gain * (math.Abs(off) - s.dev)
}

// Estimate returns the estimated size of the next response.
func (s *SizeEstimator) Estimate() corianderwing.Bytes {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.count == 0:
		return warmupFactor * initialSize
	case s.count < warmupCount:
		return corianderwing.Bytes(warmupFactor * s.mean)
	}
	return corianderwing.Bytes(math.Ceil(s.mean + deviationFactor*s.dev))
}
