package steer

import "time"

const (
	// lossThreshold is the fraction of its slots that a domain must have lost
	// recently to borrow without a ramp, because its requests have nowhere else
	// to go.
	lossThreshold = 0.3
	// lossWindow is how long a loss counts as recent.
	lossWindow = 6 * time.Second
	// minPeakDuration is how long slots must have been there to count as lost later.
	// Upstreams that were replaced one at a time were briefly there twice.
	minPeakDuration = 2 * time.Second
)

// peak is the highest recent number of slots of a pool in a failure domain.
type peak struct {
	slots float64
	at    time.Time // when the domain had them last

	higher      float64   // fewest slots since there have been more than slots; 0 if there are not
	higherSince time.Time // since when there have been more
}

// update returns the peak after a load with a number of slots.
func (k peak) update(slots float64, now time.Time) peak {
	switch {
	case k.at.IsZero() || slots <= k.slots && now.Sub(k.at) > lossWindow:
		return peak{slots: slots, at: now}
	case slots < k.slots:
		k.higher = 0
		return k
	case slots == k.slots:
		return peak{slots: slots, at: now}
	case k.higher == 0:
		k.higher, k.higherSince = slots, now
	}
	k.at, k.higher = now, min(k.higher, slots)
	if now.Sub(k.higherSince) >= minPeakDuration {
		return peak{slots: k.higher, at: now}
	}
	return k
}

// lostCapacity reports whether a domain has recently lost a large part of its
// slots.
func (p *Planner) lostCapacity(l Load) bool {
	return l.Slots < (1-lossThreshold)*p.peaks[poolKey{l.Pool, l.Domain}].slots
}
