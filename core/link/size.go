package link

import (
	"math"
	"sync"

	"corianderwing"
)

const (
	// initialSize is assumed for the answers of a route that has had none.
	initialSize = 16 << 10
	// warmupFactor multiplies the estimate until coldCount answers were seen.
	warmupFactor = 4
	warmupCount  = 8
	// deviationFactor above the mean are what RFC 6298 uses for round-trip times.
	deviationFactor = 4
	gain            = 1.0 / 8
)

// SizeEstimator estimates the size of a route's next answer, as a high quantile: the
// smoothed mean plus four smoothed deviations. The zero value is ready to use
// and safe for concurrent use.
type SizeEstimator struct {
	mu        sync.Mutex
	count     int
	mean, dev float64
}

// Observe adds the size of an answer.
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

// Estimate returns the estimate.
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
