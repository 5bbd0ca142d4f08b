package quota

import (
	"time"

	"corianderwing"
)

// grace is what an Allocator knows of the holders of an earlier one. Until its end,
// they may use tokens that this Allocator did not hand out, and of which it learns only
// if they report them: they may be cut off, or have stopped after they used them.
type grace struct {
	end       time.Time
	inherited *Record                                                  // of the earlier Allocator
	unknown   map[corianderwing.WorkspaceID]int                        // tokens that no holder has reported
	credits   map[corianderwing.WorkspaceID]map[string]inheritedTokens // by holder
	missing   map[string]bool                                          // by instance: whether its report is awaited
	awaited   int                                                      // number of instances whose report is awaited
}

// inheritedTokens is what a holder reported of the tokens of an earlier Allocator.
type inheritedTokens struct {
	reported int // the most tokens reported beyond those granted by this Allocator
	granted  int // the largest share granted by this Allocator
}

func newGrace(end time.Time) grace {
	return grace{
		end:     end,
		unknown: map[corianderwing.WorkspaceID]int{},
		credits: map[corianderwing.WorkspaceID]map[string]inheritedTokens{},
	}
}

// GracePeriod returns how long tokens that a new Allocator does not know of may
// be in use.
func GracePeriod(window time.Duration) time.Duration {
	return corianderwing.GrantorDeadline(time.Time{}, LeaseDuration).Sub(time.Time{}) + window
}

// Inherit sets the record of the earlier Allocator, and names the other instances that
// may have had shares from it and are not in the record. Once each of them has reported,
// either it still runs and its tokens are known, or it has started again, and what it had
// used before is free again after one window.
func (a *Allocator) Inherit(r *Record, others []string) {
	a.grace.inherited = r
	if r == nil {
		return // there may be any other holders
	}
	a.grace.missing = map[string]bool{}
	for _, id := range r.Holders {
		a.grace.missing[string(id)] = true
	}
	for _, name := range others {
		a.grace.missing[name] = true
	}
	a.grace.awaited = len(a.grace.missing)
}

// Reported records that an instance has reported, and whether the demands in the
// next call of Allocate contain all that it holds. Those of an entry instance do
// not contain what it holds from a control instance that it no longer follows and
// that may have restarted.
func (a *Allocator) Reported(instance string, complete bool, now time.Time) {
	g := &a.grace
	if !g.missing[instance] || !complete {
		return
	}
	g.missing[instance] = false
	if g.awaited--; g.awaited > 0 {
		return
	}
	if free := now.Add(a.window + a.window/windowParts); free.Before(g.end) {
		g.end = free
	}
}

// unreported returns how many tokens of a workspace the holders of the earlier
// Allocator may have that none of them has reported.
func (g *grace) unreported(w corianderwing.WorkspaceID, bound int) int {
	if n, ok := g.unknown[w]; ok {
		return n
	}
	if g.inherited == nil {
		return bound
	}
	return g.inherited.Ceilings[w]
}

// credit records a report of a holder. Tokens that it reports are known from then on.
// Later reports repeat them, together with tokens that this Allocator has granted.
func (g *grace) credit(holder string, n Demand, bound int) {
	byHolder := g.credits[n.Workspace]
	if byHolder == nil {
		byHolder = map[string]inheritedTokens{}
		g.credits[n.Workspace] = byHolder
	}
	t := byHolder[holder]
	more := max(0, n.Held, n.Used) - t.granted - t.reported
	unknown := g.unreported(n.Workspace, bound)
	if more > 0 {
		t.reported += more
		unknown = max(0, unknown-more)
	}
	g.unknown[n.Workspace] = unknown
	byHolder[holder] = t
}

// recordGrant records the share that a holder gets after credit was called.
func (g *grace) recordGrant(holder string, w corianderwing.WorkspaceID, tokens int) {
	t := g.credits[w][holder]
	t.granted = max(t.granted, tokens)
	g.credits[w][holder] = t
}

// unknownInUse returns how many tokens may be in use by holders of an earlier
// Allocator that have not reported them.
func (a *Allocator) unknownInUse(w corianderwing.WorkspaceID, bound int, now time.Time) int {
	if !now.Before(a.grace.end) {
		return 0
	}
	return a.grace.unreported(w, bound)
}
