package share

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"corianderwing"
)

// Semaphore is a holder's share of a bound on concurrent use, such as slots or
// bytes in flight: units are acquired and released. Acquire and Release are
// safe for concurrent use and do not allocate.
//
// A share expires. Units in use at that time are no longer covered, so their
// user must cancel the work when Expired reports true.
type Semaphore struct {
	id         corianderwing.BoundID
	origin     time.Time
	state      atomic.Uint64 // share in the upper half, units in use in the lower half
	end        atomic.Int64  // nanoseconds after origin at which the share expires
	peak       atomic.Int64  // most units in use or requested since the last report
	recentPeak int64         // decaying peak, guarded by the mutex of the Holder
}

func unpack(v uint64) (share, used int64) { return int64(v >> 32), int64(v & math.MaxUint32) }

func pack(share, used int64) uint64 { return uint64(share)<<32 | uint64(used) }

// Acquire acquires n units, or none if the share has fewer or has expired.
func (s *Semaphore) Acquire(now time.Time, n int64) bool {
	if n < 0 || n > math.MaxInt32 {
		return false
	}
	for {
		v := s.state.Load()
		share, used := unpack(v)
		s.recordPeak(used + n)
		if used+n > share || s.Expired(now) {
			return false
		}
		if s.state.CompareAndSwap(v, pack(share, used+n)) {
			return true
		}
	}
}

// recordPeak raises the peak to n.
func (s *Semaphore) recordPeak(n int64) {
	for {
		p := s.peak.Load()
		if n <= p || s.peak.CompareAndSwap(p, n) {
			return
		}
	}
}

// Release releases n acquired units.
func (s *Semaphore) Release(n int64) {
	for {
		v := s.state.Load()
		share, used := unpack(v)
		if s.state.CompareAndSwap(v, pack(share, max(0, used-n))) {
			return
		}
	}
}

// InUse returns the number of units in use.
func (s *Semaphore) InUse() int64 {
	_, used := unpack(s.state.Load())
	return used
}

// Share returns the number of units that may be in use at now.
func (s *Semaphore) Share(now time.Time) int64 {
	if s.Expired(now) {
		return 0
	}
	share, _ := unpack(s.state.Load())
	return share
}

// Expired reports whether the share has expired.
func (s *Semaphore) Expired(now time.Time) bool { return int64(now.Sub(s.origin)) >= s.end.Load() }

// report reduces the share to what is in use or was needed recently, and
// requests what is missing. Units are given up before the grantor learns of it.
func (s *Semaphore) report(now time.Time) corianderwing.TokenReport {
	s.recentPeak = max(s.peak.Swap(0), s.InUse(), s.recentPeak*3/4)
	need := s.recentPeak + s.recentPeak/4
	for {
		v := s.state.Load()
		share, used := unpack(v)
		keep := min(share, max(used, need))
		if s.state.CompareAndSwap(v, pack(keep, used)) {
			if s.Expired(now) {
				keep = 0
			}
			return corianderwing.TokenReport{
				Bound:     s.id,
				Held:      corianderwing.Tokens(keep),
				Requested: corianderwing.Tokens(max(0, need-keep)),
			}
		}
	}
}

// setShare replaces the share. It stores the end last: until then the new share
// is valid only for as long as the old one.
func (s *Semaphore) setShare(share int64, end time.Time) {
	share = min(share, math.MaxInt32)
	for {
		v := s.state.Load()
		_, used := unpack(v)
		if s.state.CompareAndSwap(v, pack(share, used)) {
			break
		}
	}
	s.end.Store(int64(end.Sub(s.origin)))
}

// ConfigureSemaphore adds a bound on concurrent use and returns this holder's
// share of it, which is empty until a grantor answers.
func (h *Holder) ConfigureSemaphore(id corianderwing.BoundID) *Semaphore {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.semaphores[id]
	if l == nil {
		l = &Semaphore{id: id, origin: h.origin}
		h.semaphores[id] = l
	}
	return l
}

// semaphorePool is the grantor's side of a bound on concurrent use.
type semaphorePool struct {
	units  corianderwing.Tokens
	leases []lease
}

// ConfigureSemaphore sets the units of a bound on concurrent use. A decrease
// applies to the next renewals.
func (g *Grantor) ConfigureSemaphore(id corianderwing.BoundID, units corianderwing.Tokens) {
	c := g.semaphores[id]
	if c == nil {
		c = &semaphorePool{}
		g.semaphores[id] = c
	}
	c.units = max(0, units)
}

// update replaces the share of a holder by what it keeps and what it gets in
// addition. Shares of its earlier incarnations count until they expire.
func (p *semaphorePool) update(now time.Time, o owner, s corianderwing.TokenReport) corianderwing.Grant {
	var others, owed corianderwing.Tokens
	p.leases = slices.DeleteFunc(p.leases, func(l lease) bool {
		if l.owner == o && now.Before(l.until) {
			owed += l.tokens
		}
		if l.owner == o || !now.Before(l.until) {
			return true
		}
		others += l.tokens
		return false
	})
	keep := min(max(0, s.Held), owed)
	free := max(0, p.units-others)
	n := min(max(0, s.Held)+max(0, s.Requested), free)
	// Until its next report shows that it has the answer, a holder may use what
	// it kept.
	if count := max(n, keep); count > 0 {
		p.leases = append(p.leases, lease{owner: o, tokens: count, until: corianderwing.GrantorDeadline(now, GrantTTL)})
	}
	return corianderwing.Grant{Bound: s.Bound, Tokens: n, ExpiresIn: corianderwing.Millis(GrantTTL / time.Millisecond)}
}
