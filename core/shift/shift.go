// Package shift runs version rollouts: it decides what share of a pool's
// traffic the new version gets, and compares it with the old version.
//
// The ramp is planned backwards from the time by which the move must be done.
// Until enough requests have been compared on each route the new version gets
// a small share. A fault that the comparison shows ends the move at once.
package shift

import (
	"fmt"
	"math"
	"slices"
	"time"

	"corianderwing"
)

// InitialShare is the usual share until enough requests have been compared.
const InitialShare = 0.05

const (
	// minRouteFraction is the part of a pool's traffic below which a route does not
	// hold up the ramp. Its requests are compared all the same.
	minRouteFraction = 0.01

	minRampFraction = 0.05 // part of the whole time below which a ramp is not begun

	// warmupFraction is the part of the whole time, from the first request to the
	// new version on a route, in which its latency is not compared: servers
	// start cold. Errors count from the first request.
	warmupFraction = 0.05

	// maxSampleAge is the age of the latest samples above which the ramp pauses.
	maxSampleAge = 3 * time.Second
)

// Pace tells how fast a move goes. Parts are parts of the whole time from its
// start to its end.
type Pace struct {
	InitialShare      float64       // share until the versions have been compared
	MinRequests       float64       // requests to the new version that each route needs for that
	RampFraction      float64       // part that the ramp takes
	ReserveFraction   float64       // part that is kept in reserve after the ramp
	CompareBeforeRamp bool          // begin no ramp before each route has been compared
	CompareWithoutOld bool          // go on to compare when the old version gets nothing any more
	FalsePositiveRate float64       // probability of a false alarm of each test; default 1e-4
	BakeTime          time.Duration // for which the new version has everything before the move is done
}

// Slow is the pace of a move that takes minutes. With 100 requests the
// comparison shows an error rate of 0.2 with a probability above 0.99.
var Slow = Pace{InitialShare: InitialShare, MinRequests: 100, RampFraction: 0.5, ReserveFraction: 0.1, CompareBeforeRamp: true}

// Quick is the pace of a move that takes some seconds: there is no time to
// compare routes with little traffic before the ramp, so they are compared
// during it, and the small share is larger. The old version is stopped as soon
// as the move is done, so its last requests must have ended before.
var Quick = Pace{InitialShare: 0.05, RampFraction: 0.4, ReserveFraction: 0.26, CompareWithoutOld: true, FalsePositiveRate: 1e-3, BakeTime: 1500 * time.Millisecond}

// Option changes a default of a Plan.
type Option func(*Rollout)

// WithPace sets the pace of a move. The default is Slow.
func WithPace(p Pace) Option { return func(q *Rollout) { q.pace = p } }

// Rollout is the state of one move. The leader of the pool's home group owns it.
// A new leader begins with the small share and compares again.
type Rollout struct {
	move       corianderwing.Move
	pace       Pace
	fullSince  time.Time // when the new version began to get everything
	trips      uint64    // of Guards
	running    int       // requests of the old version, as of sampled
	routes     map[string]*routeComparison
	total      float64 // requests to both versions
	share      float64
	shareAt    time.Time // when share was computed
	lastSample time.Time // when samples came last
}

// New returns the plan of a move.
func New(m corianderwing.Move, opts ...Option) *Rollout {
	if m.Outcome == "" {
		m.Outcome = corianderwing.Moving
	}
	p := &Rollout{move: m, pace: Slow, routes: make(map[string]*routeComparison), shareAt: m.Start}
	for _, o := range opts {
		o(p)
	}
	if p.pace.FalsePositiveRate <= 0 {
		p.pace.FalsePositiveRate = falsePositiveRate
	}
	return p
}

// Move returns the move with its outcome and evidence.
func (p *Rollout) Move() corianderwing.Move { return p.move }

// Observe takes what instances counted since their last report.
func (p *Rollout) Observe(now time.Time, samples []Sample) {
	if p.move.Outcome != corianderwing.Moving || now.Before(p.move.Start) {
		return
	}
	var touched []string
	for _, s := range samples {
		if s.Version != p.move.From && s.Version != p.move.To {
			continue
		}
		r := p.routes[s.Route]
		if r == nil {
			r = newRouteComparison()
			p.routes[s.Route] = r
		}
		r.add(s, s.Version == p.move.To)
		p.trips += s.Trips
		p.total += float64(s.Count)
		if !slices.Contains(touched, s.Route) {
			touched = append(touched, s.Route)
		}
		p.lastSample = now
	}
	warm := time.Duration(warmupFraction * float64(p.move.By.Sub(p.move.Start)))
	for _, name := range touched {
		if evidence, ok := p.routes[name].test(now, warm, &p.pace); ok && p.move.Outcome == corianderwing.Moving {
			p.rollBack(fmt.Sprintf("route %s: %s", name, evidence))
		}
	}
	if p.trips >= rollbackTrips && p.move.Outcome == corianderwing.Moving {
		p.rollBack(fmt.Sprintf("%d entry instances kept requests away from the new version, which failed there", p.trips))
	}
}

// rollbackTrips is the number of Guards that must trip for a move to be taken back.
// One trips by chance in about one of a hundred moves of a version without a
// fault.
const rollbackTrips = 2

func (p *Rollout) rollBack(evidence string) {
	p.move.Outcome, p.move.Evidence, p.share = corianderwing.RolledBack, evidence, 0
}

// Share returns the share of the traffic that the new version gets, from 0 to
// 1. Calls must not go back in time.
func (p *Rollout) Share(now time.Time) float64 {
	switch {
	case p.move.Outcome == corianderwing.Done:
		return 1
	case p.move.Outcome == corianderwing.RolledBack || now.Before(p.move.Start):
		return 0
	}
	p.updateShare(now)
	p.shareAt = now
	if p.share >= 1 && p.bakeDone(now) {
		p.move.Outcome = corianderwing.Done
		p.move.Evidence = fmt.Sprintf("%d routes compared, no fault shown", len(p.routes))
		return 1
	}
	if p.share >= 1 && !now.Before(p.move.By) {
		return 1 // nothing but time is missing
	}
	if !now.Before(p.move.By) {
		p.rollBack(p.lateReason())
	}
	return p.share
}

// SetRunning tells how many requests the old version still runs.
func (p *Rollout) SetRunning(n int) { p.running = n }

// bakeDone reports whether the new version has had everything for long enough, and
// the old version has nothing left to do.
func (p *Rollout) bakeDone(now time.Time) bool {
	if p.fullSince.IsZero() {
		p.fullSince = now
	}
	baked := now.Sub(p.fullSince)
	return baked >= p.pace.BakeTime && (p.running == 0 || baked >= 2*p.pace.BakeTime)
}

// updateShare raises the share: to the small share first, then along the ramp.
func (p *Rollout) updateShare(now time.Time) {
	p.share = max(p.share, p.pace.InitialShare)
	end := p.move.By.Add(-p.fraction(p.pace.ReserveFraction))
	begin := end.Add(-p.fraction(p.pace.RampFraction))
	if now.Before(begin) {
		return
	}
	if p.pace.CompareBeforeRamp {
		p.rampLinearly(now, end)
		return
	}
	if p.total > 0 && now.Sub(p.lastSample) > maxSampleAge || p.suspicious() {
		return
	}
	// Equal factors in equal times: whatever the load under which a fault
	// begins to show, few requests were sent by then, and few more are until
	// its samples have arrived.
	progress := float64(now.Sub(begin)) / float64(end.Sub(begin))
	p.share = max(p.share, math.Pow(p.pace.InitialShare, 1-min(progress, 1)))
}

// suspicious reports whether a route looks as if the new version had a fault.
func (p *Rollout) suspicious() bool {
	for _, r := range p.routes {
		if r.errors.suspicious() || r.late.suspicious() {
			return true
		}
	}
	return false
}

func (p *Rollout) fraction(f float64) time.Duration {
	return time.Duration(f * float64(p.move.By.Sub(p.move.Start)))
}

// rampLinearly raises the share in a straight line from the present share to 1 at
// the end of the ramp, once each route has been compared.
func (p *Rollout) rampLinearly(now, end time.Time) {
	if !p.allCompared() || now.Sub(p.lastSample) > maxSampleAge {
		return
	}
	if p.share == p.pace.InitialShare && p.move.By.Sub(now) < p.fraction(minRampFraction) {
		return
	}
	// A ramp that begins late may use the reserve.
	remaining := max(end.Sub(p.shareAt), p.move.By.Sub(p.shareAt)/2)
	if step := now.Sub(p.shareAt); step < remaining {
		p.share += (1 - p.share) * float64(step) / float64(remaining)
	} else {
		p.share = 1
	}
}

// allCompared reports whether each route but the rare ones has enough requests.
func (p *Rollout) allCompared() bool {
	if p.total == 0 {
		return false
	}
	for _, r := range p.routes {
		if r.count >= minRouteFraction*p.total && r.compared < p.pace.MinRequests {
			return false
		}
	}
	return true
}

// lateReason says why a move is not done in time.
func (p *Rollout) lateReason() string {
	for name, r := range p.routes {
		if r.count >= minRouteFraction*p.total && r.compared < p.pace.MinRequests {
			return fmt.Sprintf("not done in time: route %s has %.0f of %.0f requests to the new version that a comparison needs", name, r.compared, p.pace.MinRequests)
		}
	}
	if p.total == 0 {
		return "not done in time: no requests were counted"
	}
	return fmt.Sprintf("not done in time: the share had reached %.2f, samples were missing", p.share)
}
