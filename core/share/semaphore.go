package share

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"corianderwing"
)

// Semaphore is a holder's share of a bound on what is in use at the same time,
// such as slots or bytes in flight: units that are taken and returned. Take
// and Return are safe for concurrent use and do not allocate.
//
// A share expires. What is still in use then is no longer covered, so its user
// must cancel it when Expired reports true.
type Semaphore struct {
	id       corianderwing.BoundID
	origin   time.Time
	state    atomic.Uint64 // share in the upper half, units in use in the lower half
	end      atomic.Int64  // nanoseconds after origin at which the share expires
	peak     atomic.Int64  // most units in use or asked for since the last report
	recently int64         // the peak with decay, guarded by the mutex of the Holder
}

func split(v uint64) (share, used int64) { return int64(v >> 32), int64(v & math.MaxUint32) }

func join(share, used int64) uint64 { return uint64(share)<<32 | uint64(used) }

// Acquire takes n units, or none if the share has fewer or has expired.
func (l *Semaphore) Acquire(now time.Time, n int64) bool {
	if n < 0 || n > math.MaxInt32 {
		return false
	}
	for {
		v := l.state.Load()
		share, used := split(v)
		l.raise(used + n)
		if used+n > share || l.Expired(now) {
			return false
		}
		if l.state.CompareAndSwap(v, join(share, used+n)) {
			return true
		}
	}
}

// raise notes a demand.
func (l *Semaphore) raise(n int64) {
	for {
		p := l.peak.Load()
		if n <= p || l.peak.CompareAndSwap(p, n) {
			return
		}
	}
}

// Release returns n units that Take took.
func (l *Semaphore) Release(n int64) {
	for {
		v := l.state.Load()
		share, used := split(v)
		if l.state.CompareAndSwap(v, join(share, max(0, used-n))) {
			return
		}
	}
}

// InUse returns the units in use.
func (l *Semaphore) InUse() int64 {
	_, used := split(l.state.Load())
	return used
}

// Share returns the units that may be in use at now.
func (l *Semaphore) Share(now time.Time) int64 {
	if l.Expired(now) {
		return 0
	}
	share, _ := split(l.state.Load())
	return share
}

// Expired reports whether the share has expired.
func (l *Semaphore) Expired(now time.Time) bool { return int64(now.Sub(l.origin)) >= l.end.Load() }

// report reduces the share to what is in use or was needed lately, and asks
// for what is missing. Units are given up before the grantor learns of it.
func (l *Semaphore) report(now time.Time) corianderwing.TokenReport {
	l.recently = max(l.peak.Swap(0), l.InUse(), l.recently*3/4)
	need := l.recently + l.recently/4
	for {
		v := l.state.Load()
		share, used := split(v)
		keep := min(share, max(used, need))
		if l.state.CompareAndSwap(v, join(keep, used)) {
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

// put replaces the share. The end moves last: until then the new share counts
// only for as long as the old one.
func (l *Semaphore) put(share int64, end time.Time) {
	share = min(share, math.MaxInt32)
	for {
		v := l.state.Load()
		_, used := split(v)
		if l.state.CompareAndSwap(v, join(share, used)) {
			break
		}
	}
	l.end.Store(int64(end.Sub(l.origin)))
}

// ConfigureSemaphore adds a level bound and returns this holder's share of it,
// which is empty until a grantor answers.
func (h *Holder) ConfigureSemaphore(id corianderwing.BoundID) *Semaphore {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.levels[id]
	if l == nil {
		l = &Semaphore{id: id, origin: h.origin}
		h.levels[id] = l
	}
	return l
}

// ceiling is the grantor's side of a level bound.
type ceiling struct {
	units  corianderwing.Tokens
	shares []loan
}

// ConfigureSemaphore sets the units of a level bound. A decrease applies to the
// next renewals.
func (g *Grantor) ConfigureSemaphore(id corianderwing.BoundID, units corianderwing.Tokens) {
	c := g.levels[id]
	if c == nil {
		c = &ceiling{}
		g.levels[id] = c
	}
	c.units = max(0, units)
}

// update replaces the share of a holder by what it keeps and what it gets in
// addition. Shares of its earlier lives count until they expire.
func (c *ceiling) update(now time.Time, o owner, s corianderwing.TokenReport) corianderwing.Grant {
	var others, owed corianderwing.Tokens
	c.shares = slices.DeleteFunc(c.shares, func(l loan) bool {
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
	// Until its next report shows that it has the answer, a holder may use
	// what it kept.
	if count := max(n, keep); count > 0 {
		c.shares = append(c.shares, loan{owner: o, tokens: count, until: corianderwing.GrantorDeadline(now, GrantTTL)})
	}
	return corianderwing.Grant{Bound: s.Bound, Tokens: n, ExpiresIn: corianderwing.Millis(GrantTTL / time.Millisecond)}
}
