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
func (l *Semaphore) Acquire(now time.Time, n int64) bool {
	if n < 0 || n > math.MaxInt32 {
		return false
	}
	for {
		v := l.state.Load()
		share, used := unpack(v)
		l.recordPeak(used + n)
		if used+n > share || l.Expired(now) {
			return false
		}
		if l.state.CompareAndSwap(v, pack(share, used+n)) {
			return true
		}
	}
}

// recordPeak raises the peak to n.
func (l *Semaphore) recordPeak(n int64) {
	for {
		p := l.peak.Load()
		if n <= p || l.peak.CompareAndSwap(p, n) {
			return
		}
	}
}

// Release releases n acquired units.
func (l *Semaphore) Release(n int64) {
	for {
		v := l.state.Load()
		share, used := unpack(v)
		if l.state.CompareAndSwap(v, pack(share, max(0, used-n))) {
			return
		}
	}
}

// InUse returns the number of units in use.
func (l *Semaphore) InUse() int64 {
	_, used := unpack(l.state.Load())
	return used
}

// Share returns the number of units that may be in use at now.
func (l *Semaphore) Share(now time.Time) int64 {
	if l.Expired(now) {
		return 0
	}
	share, _ := unpack(l.state.Load())
	return share
}

// Expired reports whether the share has expired.
func (l *Semaphore) Expired(now time.Time) bool { return int64(now.Sub(l.origin)) >= l.end.Load() }

// report reduces the share to what is in use or was needed recently, and
// requests what is missing. Units are given up before the grantor learns of it.
func (l *Semaphore) report(now time.Time) corianderwing.TokenReport {
	l.recentPeak = max(l.peak.Swap(0), l.InUse(), l.recentPeak*3/4)
	need := l.recentPeak + l.recentPeak/4
	for {
		v := l.state.Load()
		share, used := unpack(v)
		keep := min(share, max(used, need))
		if l.state.CompareAndSwap(v, pack(keep, used)) {
			if l.Expired(now) {
				keep = 0
			}
			return corianderwing.TokenReport{
				Bound:     l.id,
				Held:      corianderwing.Tokens(keep),
				Requested: corianderwing.Tokens(max(0, need-keep)),
			}
		}
	}
}

// setShare replaces the share. It stores the end last: until then the new share
// is valid only for as long as the old one.
func (l *Semaphore) setShare(share int64, end time.Time) {
	share = min(share, math.MaxInt32)
	for {
		v := l.state.Load()
		_, used := unpack(v)
		if l.state.CompareAndSwap(v, pack(share, used)) {
			break
		}
	}
	l.end.Store(int64(end.Sub(l.origin)))
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
func (c *semaphorePool) update(now time.Time, o owner, s corianderwing.TokenReport) corianderwing.Grant {
	var others, owed corianderwing.Tokens
	c.leases = slices.DeleteFunc(c.leases, func(l lease) bool {
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
	free := max(0, c.units-others)
	n := min(max(0, s.Held)+max(0, s.Requested), free)
	// Until its next report shows that it has the answer, a holder may use what
	// it kept.
	if count := max(n, keep); count > 0 {
		c.leases = append(c.leases, lease{owner: o, tokens: count, until: corianderwing.GrantorDeadline(now, GrantTTL)})
	}
	return corianderwing.Grant{Bound: s.Bound, Tokens: n, ExpiresIn: corianderwing.Millis(GrantTTL / time.Millisecond)}
}
