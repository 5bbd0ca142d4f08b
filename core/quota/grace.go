package quota

import (
	"math"
	"time"

	"corianderwing"
)

// grace is what an Allocator knows of the holders of an earlier one. Until its
// end, they may use tokens that this Allocator did not hand out.
type grace struct {
	end        time.Time
	unreported map[corianderwing.WorkspaceID]int // tokens that no known holder reported
	expected   bool                              // ExpectReports was called
	missing    map[string]bool                   // by instance: whether its report is awaited
	awaited    int                               // number of instances whose report is awaited
	reportedAt time.Time                         // when the last of them reported
}

// GracePeriod returns how long tokens that a new Allocator does not know of may
// be in use.
func GracePeriod(window time.Duration) time.Duration {
	return corianderwing.GrantorDeadline(time.Time{}, LeaseDuration).Sub(time.Time{}) + window
}

const (
	// demandWarmup is how long a new Allocator waits for the reports of its
	// holders, and for those of holders that move to another control instance.
	demandWarmup = 600 * time.Millisecond
	// pastDemandFactor is how much higher the demand may have been than it is
	// after the loss of the instances that would know.
	pastDemandFactor = 1.25
	// cutOffFraction is the fraction of the unreported tokens that may belong
	// to holders that are cut off, although each instance that is known has
	// reported: after a loss of all control instances no entry instance is known.
	cutOffFraction = 0.5
)

// ExpectReports names the control and entry instances that may have shares from
// an earlier Allocator. One that has not reported may be cut off and use any of
// the tokens that nobody reported, so all of these are kept back until each named
// instance has reported. Without this call they are kept back until the grace
// period ends.
func (a *Allocator) ExpectReports(instances []string, now time.Time) {
	a.grace.expected, a.grace.reportedAt = true, now
	a.grace.missing = make(map[string]bool, len(instances))
	for _, name := range instances {
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
	if !g.expected || !now.Before(g.end) {
		return
	}
	awaited, known := g.missing[instance]
	switch {
	case !known && complete:
		g.missing[instance] = false
	case !known:
		g.missing[instance] = true
		g.awaited++
	case awaited && complete:
		g.missing[instance] = false
		g.awaited--
		g.reportedAt = now
	}
}

// unknownInUse returns how many of the tokens that no known holder reported may
// be in use by holders of an earlier Allocator. While an instance is missing,
// and for demandWarmup after the last report, that is all of them. Afterwards,
// holders that have stopped used about as many as the present demand would, and
// a holder that no instance knows of may have cutOffFraction of them.
func (a *Allocator) unknownInUse(w corianderwing.WorkspaceID, unreported int, now time.Time) int {
	// Tokens that a known holder returns were not unreported before.
	if m, ok := a.grace.unreported[w]; ok {
		unreported = min(unreported, m)
	}
	unreported = max(0, unreported)
	a.grace.unreported[w] = unreported
	if !a.grace.expected || a.grace.awaited > 0 || now.Sub(a.grace.reportedAt) < demandWarmup {
		return unreported
	}
	rate := 0.0
	for _, n := range a.ledgers[w] {
		rate += n.rate
	}
	start := a.grace.end.Add(-GracePeriod(a.window))
	used := pastDemandFactor * rate * start.Add(a.window).Sub(now).Seconds()
	used = max(used, cutOffFraction*float64(unreported))
	return min(unreported, int(math.Ceil(max(0, used))))
}
