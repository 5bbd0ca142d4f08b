package link

import (
	"math"
	"sync"

	"corianderwing"
)

const (
	// firstSize is assumed for the answers of a route that has had none.
	firstSize = 16 << 10
	// coldFactor multiplies the estimate until coldCount answers were seen.
	coldFactor = 4
	coldCount  = 8
	// deviations above the mean are what RFC 6298 uses for round-trip times.
	deviations = 4
	gain       = 1.0 / 8
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
		return coldFactor * firstSize
	case s.count < coldCount:
		return corianderwing.Bytes(coldFactor * s.mean)
	}
	return corianderwing.Bytes(math.Ceil(s.mean + deviations*s.dev))
}
