package quota

import (
	"math"
	"time"

	"corianderwing"
)

// ceilings is what an Allocator knows of the ceilings of its workspaces.
type ceilings struct {
	committed Ceilings
	// lowered holds ceilings that are about to become lower. Until it is known whether
	// the change was committed, they apply as well.
	lowered  map[corianderwing.WorkspaceID]int
	lowSince map[corianderwing.WorkspaceID]time.Time // since when a lower ceiling would do
}

const (
	// ceilingParts is the number of steps in which a ceiling rises to the bound. Each
	// step is a change of the replicated state.
	ceilingParts = 16
	// roomParts is the number of these steps that a ceiling leaves above the expected
	// use, for demand that rises before the next change.
	roomParts = 2
	// minCeilingParts is the lowest ceiling of a workspace, in the same steps.
	minCeilingParts = 9
	// minLoweringParts is by how much a ceiling is lowered at least.
	minLoweringParts = 2
	// ceilingHorizon is the time for which a ceiling must do: until a change of it is
	// committed and the next shares are allocated.
	ceilingHorizon = 800 * time.Millisecond
	// loweringDelay is for how long a lower ceiling must have been enough.
	loweringDelay = 2 * time.Second
)

// SetRecord sets the record that is committed; nil if there is none yet. From the first
// call on, shares stay below its ceilings.
func (a *Allocator) SetRecord(r *Record) {
	if a.ceilings == nil {
		a.ceilings = &ceilings{lowered: map[corianderwing.WorkspaceID]int{}, lowSince: map[corianderwing.WorkspaceID]time.Time{}}
	}
	a.ceilings.committed = nil
	if r != nil {
		a.ceilings.committed = r.Ceilings
	}
}

// limit returns the most tokens that all holders of a workspace may have.
func (a *Allocator) limit(w corianderwing.WorkspaceID, bound int) int {
	if a.ceilings == nil {
		return bound
	}
	return min(bound, a.ceilings.current(w))
}

func (c *ceilings) current(w corianderwing.WorkspaceID) int {
	n := c.committed[w]
	if low, ok := c.lowered[w]; ok {
		return min(n, low)
	}
	return n
}

// CeilingChanges returns the ceilings that should be committed next. CeilingsCommitted
// must be called once they are.
func (a *Allocator) CeilingChanges(now time.Time) Ceilings {
	a.expire(now)
	changes := Ceilings{}
	for w, bound := range a.bounds {
		if n, ok := a.nextCeiling(w, bound, now); ok {
			changes[w] = n
		}
	}
	for w := range a.ceilings.committed {
		if _, ok := a.bounds[w]; ok || len(a.ledgers[w]) > 0 || now.Before(a.grace.end) {
			continue
		}
		a.ceilings.lowered[w] = 0 // the workspace was deleted
		changes[w] = 0
	}
	return changes
}

// nextCeiling returns the ceiling of a workspace if it should change. It rises at once
// and falls late, and never below what the holders may have.
func (a *Allocator) nextCeiling(w corianderwing.WorkspaceID, bound int, now time.Time) (int, bool) {
	c := a.ceilings
	want, have := a.wantedCeiling(w, bound, now), c.current(w)
	if want > have {
		delete(c.lowSince, w)
		return want, true
	}
	if low, ok := c.lowered[w]; ok {
		return low, a.inUse(w, bound, now) <= low
	}
	since, low := c.lowSince[w]
	switch {
	case have-want < max(1, bound*minLoweringParts/ceilingParts):
		delete(c.lowSince, w)
	case !low:
		c.lowSince[w] = now
	case now.Sub(since) >= loweringDelay:
		c.lowered[w] = want
		return want, a.inUse(w, bound, now) <= want
	}
	return 0, false
}

// CeilingsCommitted records that changes were committed. SetRecord must be called with
// them before the next shares are allocated.
func (a *Allocator) CeilingsCommitted(changes Ceilings) {
	for w := range changes {
		delete(a.ceilings.lowered, w)
		delete(a.ceilings.lowSince, w)
	}
}

// wantedCeiling returns the ceiling that the present demand needs.
func (a *Allocator) wantedCeiling(w corianderwing.WorkspaceID, bound int, now time.Time) int {
	use := 0.0
	for _, n := range a.ledgers[w] {
		use += float64(n.used) + n.rate*ceilingHorizon.Seconds() + spareTokens
	}
	parts := minCeilingParts
	if bound > 0 {
		parts = max(parts, int(math.Ceil(use/float64(bound)*ceilingParts))+roomParts)
	}
	known := (bound*min(parts, ceilingParts) + ceilingParts - 1) / ceilingParts
	return min(bound, known+a.unknownInUse(w, bound, now))
}

// inUse returns how many tokens the holders of a workspace may have.
func (a *Allocator) inUse(w corianderwing.WorkspaceID, bound int, now time.Time) int {
	sum := a.unknownInUse(w, bound, now)
	for _, n := range a.ledgers[w] {
		sum += n.outstanding
	}
	return sum
}
