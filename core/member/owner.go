package member

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"corianderwing"
)

// inContact reports whether another instance has echoed a heartbeat sent within
// the last OwnershipLease.
func (s *State) inContact(now time.Time) bool {
	return now.Before(corianderwing.HolderDeadline(s.lastEchoed, OwnershipLease))
}

// updateEligibility ends the eligibility to own pools when contact is lost. It
// grants eligibility once contact has lasted long enough that every other owner
// of this domain is known or has stopped.
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

// echoedByAll reports whether the other instances of this domain know that this
// one is eligible. Instances that become eligible later wait until this one has
// echoed their eligibility.
func (s *State) echoedByAll(now time.Time) bool {
	for _, p := range s.peers {
		if p.Domain == s.self.Domain && p.Phase == corianderwing.Ready && !p.expired(now) && p.lastEchoed.Before(s.eligibleSince) {
			return false
		}
	}
	return true
}

// mayOwn reports whether the peer may own pools of its domain.
func (p *peer) mayOwn(now time.Time) bool {
	return p.eligible && p.Phase == corianderwing.Ready && !p.expired(now)
}

// mayOwn reports whether this instance may own pools of its domain.
func (s *State) mayOwn() bool {
	return s.self.Phase == corianderwing.Ready && !s.superseded && (s.cfg.SoleInstance || !s.eligibleSince.IsZero())
}

// OwnerUntil returns when this instance must stop acting as an owner unless a
// further echo arrives before. It returns the zero time if the instance may not
// act at all.
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
		// A peer without recent heartbeats does not stop this instance. A peer
		// whose heartbeats arrive but that receives none of this instance's
		// heartbeats will take over.
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
