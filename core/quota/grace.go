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
	expected   bool                              // missing was set
	missing    map[string]struct{}               // instances whose report is expected
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
	// to holders that are cut off, although each instance that could have
	// granted them tokens has reported. An instance that has restarted does not
	// know what it granted before.
	cutOffFraction = 0.5
)

// ExpectReports names the instances to which an earlier Allocator may have
// granted shares. One that has not reported may be cut off and use any of the
// tokens that nobody reported, so all of these are kept back until each named
// instance has reported. Without this call they are kept back until the grace
// period ends.
func (a *Allocator) ExpectReports(instances []string, now time.Time) {
	a.grace.expected, a.grace.reportedAt = true, now
	a.grace.missing = make(map[string]struct{}, len(instances))
	for _, name := range instances {
		a.grace.missing[name] = struct{}{}
	}
}

// Reported records that an instance is about to state its demands, or has
// restarted and states those that it has now. It must be called before
// Allocate.
func (a *Allocator) Reported(instance string, now time.Time) {
	if _, ok := a.grace.missing[instance]; ok {
		delete(a.grace.missing, instance)
		a.grace.reportedAt = now
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
	if !a.grace.expected || len(a.grace.missing) > 0 || now.Sub(a.grace.reportedAt) < demandWarmup {
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
