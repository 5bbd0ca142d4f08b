package member

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"corianderwing"
)

// inContact reports whether another instance has echoed a heartbeat of the
// last ActFor.
func (s *State) inContact(now time.Time) bool {
	return now.Before(corianderwing.HolderDeadline(s.contact, OwnershipLease))
}

// updateAble ends the ability to own pools when contact is lost, and begins it
// once contact has lasted long enough for every other owner of this domain to
// be known or to have stopped.
func (s *State) updateAble(now time.Time) {
	switch {
	case !s.inContact(now):
		s.able, s.known = time.Time{}, false
	case s.able.IsZero() && !now.Before(corianderwing.GrantorDeadline(s.since, ExpireAfter)):
		s.able = now
		s.Heartbeat(now)
	}
	if !s.able.IsZero() && !s.known {
		s.known = s.echoedByAll(now)
	}
}

// echoedByAll reports whether the other instances of this domain know that
// this one is able. Those that become able later wait until this one has
// echoed that.
func (s *State) echoedByAll(now time.Time) bool {
	for _, p := range s.members {
		if p.Domain == s.self.Domain && p.Phase == corianderwing.Ready && !p.expired(now) && p.echo.Before(s.able) {
			return false
		}
	}
	return true
}

// candidate reports whether an instance may own pools of its domain.
func (p *peer) candidate(now time.Time) bool {
	return p.able && p.Phase == corianderwing.Ready && !p.expired(now)
}

// mayOwn reports whether this instance stands as a candidate.
func (s *State) mayOwn() bool {
	return s.self.Phase == corianderwing.Ready && !s.replaced && (s.cfg.SoleInstance || !s.able.IsZero())
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
	if !s.known {
		return time.Time{}
	}
	until := corianderwing.HolderDeadline(s.contact, OwnershipLease)
	for _, p := range s.members {
		if p.Domain != s.self.Domain || !p.candidate(now) {
			continue
		}
		if p.echo.Before(s.able) {
			return time.Time{}
		}
		// A silent neighbour does not stop this instance, but one that is
		// heard and does not hear it will take over.
		if p.news.Sub(p.echo) > echoLag {
			end := corianderwing.HolderDeadline(p.echo, OwnershipLease)
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
