package place

import (
	"slices"
	"time"

	"corianderwing"
)

// While requests wait, slots are divided between workspaces in proportion to their
// weights. A workspace that has used more than its share lately is served after those
// of the same rank that have not, so that one with many times its usual load cannot
// take the slots of the others. What the others leave, it may use in full.

const (
	// fairInterval is how often the share is computed while requests wait.
	fairInterval = 25 * time.Millisecond
	// shareTolerance is how far the use of a workspace may exceed its share. The use
	// of small workspaces varies with every request.
	shareTolerance = 1.25
	// minShareRequests is the number of requests that a workspace may have had lately
	// without exceeding its share, however small that is.
	minShareRequests = 2
)

// workspaceShares is the use of slots by workspace. Workspaces without a weight do not
// take part.
type workspaceShares struct {
	used       map[corianderwing.WorkspaceID]*workspaceUse
	perWeight  float64 // slots that a workspace may use for each unit of its weight
	minimum    float64 // slots that every workspace may use
	computedAt time.Time
}

// workspaceUse is the mean number of slots that a workspace used lately.
type workspaceUse struct {
	slots  decayingRate
	weight float64
}

// weightOf returns the weight of a workspace, or 0 if it does not take part.
func (p *Pool) weightOf(w corianderwing.WorkspaceID) float64 {
	if w == "" || p.setup.Weight == nil {
		return 0
	}
	return p.setup.Weight(w)
}

// recordUse records that a request of a workspace got a slot, for the expected time.
func (p *Pool) recordUse(r *Request, expected time.Duration, now time.Time) {
	weight := p.weightOf(r.Workspace)
	if weight <= 0 {
		return
	}
	u := p.shares.used[r.Workspace]
	if u == nil {
		u = &workspaceUse{}
		p.shares.used[r.Workspace] = u
	}
	u.weight = weight
	u.slots.add(expected.Seconds(), now)
}

// exceedsShare reports whether a workspace has used more than its share lately.
func (p *Pool) exceedsShare(w corianderwing.WorkspaceID, now time.Time) bool {
	u := p.shares.used[w]
	if u == nil || p.weightOf(w) <= 0 {
		return false
	}
	if now.Sub(p.shares.computedAt) >= fairInterval {
		p.computeShares(now)
	}
	return u.slots.decayed(now) > max(p.shares.perWeight*u.weight, p.shares.minimum)
}

// computeShares computes the share of the workspaces that used slots lately, and
// forgets the others.
func (p *Pool) computeShares(now time.Time) {
	p.shares.computedAt = now
	slots, weight := 0.0, 0.0
	for w, u := range p.shares.used {
		if now.Sub(u.slots.updated) > 4*rateWindow {
			delete(p.shares.used, w)
			continue
		}
		slots += u.slots.decayed(now)
		weight += u.weight
	}
	p.shares.perWeight = 0
	if weight > 0 {
		p.shares.perWeight = shareTolerance * slots / weight
	}
	p.shares.minimum = minShareRequests * p.meanLatency() / rateWindow.Seconds()
}

// reorder updates which waiting requests are of workspaces that exceed their share,
// and sorts the queue again if that changed.
func (p *Pool) reorder(now time.Time) {
	changed := false
	for _, w := range p.queue {
		over := p.exceedsShare(w.Workspace, now)
		changed = changed || over != w.overShare
		w.overShare = over
	}
	if !changed {
		return
	}
	slices.SortStableFunc(p.queue, func(a, b *waiter) int {
		switch {
		case a.precedes(b):
			return -1
		case b.precedes(a):
			return 1
		}
		return 0
	})
}
