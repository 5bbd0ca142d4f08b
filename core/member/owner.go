package member

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"corianderwing"
)

// inContact reports whether another instance has echoed a heartbeat of the
// last ActFor.
func (s *State) inContact(now time.Time) bool {
	return now.Before(corianderwing.HolderDeadline(s.lastEchoed, OwnershipLease))
}

// updateEligibility ends the ability to own pools when contact is lost, and begins it
// once contact has lasted long enough for every other owner of this domain to
// be known or to have stopped.
func (s *State) updateEligibility(now time.Time) {
	switch {
	case !s.inContact(now):
		s.eligibleSince, s.eligibilityKnown = time.Time{}, false
	case s.eligibleSince.IsZero() && !now.Before(corianderwing.GrantorDeadline(s.contactSince, ExpireAfter)):
		s.eligibleSince = now
		s.Heartbeat(now)
	}
	if !s.eligibleSince.IsZero() && !s.eligibilityKnown {
		s.eligibilityKnown = s.echoedByAll(now)
	}
}

// echoedByAll reports whether the other instances of this domain know that
// this one is able. Those that become able later wait until this one has
// echoed that.
func (s *State) echoedByAll(now time.Time) bool {
	for _, p := range s.peers {
		if p.Domain == s.self.Domain && p.Phase == corianderwing.Ready && !p.expired(now) && p.lastEchoed.Before(s.eligibleSince) {
			return false
		}
	}
	return true
}

// mayOwn reports whether an instance may own pools of its domain.
func (p *peer) mayOwn(now time.Time) bool {
	return p.eligible && p.Phase == corianderwing.Ready && !p.expired(now)
}

// mayOwn reports whether this instance stands as a candidate.
func (s *State) mayOwn() bool {
	return s.self.Phase == corianderwing.Ready && !s.superseded && (s.cfg.SoleInstance || !s.eligibleSince.IsZero())
}

// OwnerUntil returns when this instance must stop acting as an owner unless news
// arrive before. It returns the zero time if it may not act at all.
func (s *State) OwnerUntil(now time.Time) time.Time {
	if !s.mayOwn() {
		return time.Time{}
	}
	if s.cfg.SoleInstance {
		return now.Add(TombstoneTTL)
	}
	if !s.eligibilityKnown {
		return time.Time{}
	}
	until := corianderwing.HolderDeadline(s.lastEchoed, OwnershipLease)
	for _, p := range s.peers {
		if p.Domain != s.self.Domain || !p.mayOwn(now) {
			continue
		}
		if p.lastEchoed.Before(s.eligibleSince) {
			return time.Time{}
		}
		// A silent neighbour does not stop this instance, but one that is
		// heard and does not hear it will take over.
		if p.heartbeatAt.Sub(p.lastEchoed) > maxEchoLag {
			end := corianderwing.HolderDeadline(p.lastEchoed, OwnershipLease)
			if end.Before(until) {
				until = end
			}
		}
	}
	if !now.Before(until) {
		return time.Time{}
	}
	return until
}

// score returns the rendezvous weight of an instance for a pool.
func score(pool, instance uint64) uint64 {
	// The finalizer of SplitMix64 spreads the bits of the two hashes.
	x := pool ^ instance
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }
