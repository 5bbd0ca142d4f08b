// Package shift controls version rollouts: it decides what share of a pool's
// traffic the new version gets, and compares the new version with the old one.
//
// The ramp is scheduled backwards from the deadline of the move. Until each
// route has enough compared requests, the new version gets an initial share. A
// fault found by the comparison rolls the move back at once.
package shift

import (
	"fmt"
	"math"
	"slices"
	"time"

	"corianderwing"
)

// InitialShare is the default share of the new version until enough requests
// have been compared.
const InitialShare = 0.05

const (
	// minRouteFraction is the fraction of a pool's traffic below which a route
	// does not delay the ramp. Its requests are compared nevertheless.
	minRouteFraction = 0.01

	// minRampFraction is the fraction of the move's duration that must remain
	// for a ramp to start.
	minRampFraction = 0.05

	// warmupFraction is the fraction of the move's duration, from the first
	// request to the new version on a route, in which its latency is not
	// compared because servers start cold. Errors count from the first request.
	warmupFraction = 0.05

	// maxSampleAge is the age of the latest samples above which the ramp pauses.
	maxSampleAge = 3 * time.Second
)

// Pace configures the timing of a rollout. Fractions are relative to the time
// from the start of the move to its deadline.
type Pace struct {
	InitialShare      float64       // share until the versions have been compared
	MinRequests       float64       // requests to the new version that a comparison needs on each route
	RampFraction      float64       // duration of the ramp
	ReserveFraction   float64       // reserve between the end of the ramp and the deadline
	CompareBeforeRamp bool          // start the ramp only after each route has been compared
	CompareWithoutOld bool          // continue to compare when the old version gets no more requests
	FalsePositiveRate float64       // probability that one test reports a fault that does not exist; default 1e-4
	BakeTime          time.Duration // how long the new version gets all requests before the move is done
}

// Slow is the pace of a move that takes minutes. With 100 requests the
// comparison detects an error rate of 0.2 with a probability above 0.99.
var Slow = Pace{InitialShare: InitialShare, MinRequests: 100, RampFraction: 0.5, ReserveFraction: 0.1, CompareBeforeRamp: true}

// Quick is the pace of a move that takes seconds. There is no time to compare
// routes with little traffic before the ramp, so they are compared during it.
// The old version is stopped as soon as the move is done, so BakeTime must
// leave time for its last requests to end.
var Quick = Pace{InitialShare: 0.05, RampFraction: 0.4, ReserveFraction: 0.26, CompareWithoutOld: true, FalsePositiveRate: 1e-3, BakeTime: 1500 * time.Millisecond}

// Option configures a Rollout.
type Option func(*Rollout)

// WithPace sets the pace of a move. The default is Slow.
func WithPace(p Pace) Option { return func(q *Rollout) { q.pace = p } }

// Rollout is the state of one version move, owned by the leader of the pool's
// home group. A new leader starts over with the initial share and new
// comparisons.
type Rollout struct {
	move       corianderwing.Move
	pace       Pace
	fullSince  time.Time // when the new version began to get all requests
	trips      uint64    // trips of Breakers
	running    int       // requests in flight at the old version
	routes     map[string]*routeComparison
	total      float64 // requests to both versions
	share      float64
	shareAt    time.Time // when share was computed
	lastSample time.Time // when the latest samples arrived
}

// New returns the Rollout of a move.
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

// Observe adds samples and rolls the move back if they show a fault.
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
		p.rollBack(fmt.Sprintf("circuit breakers of entry instances tripped %d times on failures of the new version", p.trips))
	}
}

// rollbackTrips is the number of Breaker trips at which a move is rolled back.
// One trip occurs by chance in about one of a hundred moves to a version
// without a fault.
const rollbackTrips = 2

func (p *Rollout) rollBack(evidence string) {
	p.move.Outcome, p.move.Evidence, p.share = corianderwing.RolledBack, evidence, 0
}

// Share returns the share of the traffic that the new version gets, from 0 to
// 1. The time must not decrease between calls.
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
		return 1 // past the deadline, but only the bake time is missing
	}
	if !now.Before(p.move.By) {
		p.rollBack(p.lateReason())
	}
	return p.share
}

// SetRunning sets the number of requests in flight at the old version.
func (p *Rollout) SetRunning(n int) { p.running = n }

// bakeDone reports whether the new version has had all requests for the bake
// time and the old version has no request in flight. It waits for those
// requests for at most another bake time.
func (p *Rollout) bakeDone(now time.Time) bool {
	if p.fullSince.IsZero() {
		p.fullSince = now
	}
	baked := now.Sub(p.fullSince)
	return baked >= p.pace.BakeTime && (p.running == 0 || baked >= 2*p.pace.BakeTime)
}

// updateShare raises the share, first to the initial share and then along the
// ramp.
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
	// The ramp is exponential. Whatever the load at which a fault appears, the
	// new version has had few requests by then, and gets few more until the
	// samples of the fault arrive.
	progress := float64(now.Sub(begin)) / float64(end.Sub(begin))
	p.share = max(p.share, math.Pow(p.pace.InitialShare, 1-min(progress, 1)))
}

// suspicious reports whether recent samples of a route indicate a fault of the
// new version.
func (p *Rollout) suspicious() bool {
	for _, r := range p.routes {
		if r.errors.suspicious() || r.late.suspicious() {
			return true
		}
	}
	return false
}

// fraction returns the fraction f of the time from the start of the move to its
// deadline.
func (p *Rollout) fraction(f float64) time.Duration {
	return time.Duration(f * float64(p.move.By.Sub(p.move.Start)))
}

// rampLinearly raises the share linearly from its current value to 1 at the end
// of the ramp, once each route has been compared.
func (p *Rollout) rampLinearly(now, end time.Time) {
	if !p.allCompared() || now.Sub(p.lastSample) > maxSampleAge {
		return
	}
	if p.share == p.pace.InitialShare && p.move.By.Sub(now) < p.fraction(minRampFraction) {
		return
	}
	// A ramp that starts late may use the reserve.
	remaining := max(end.Sub(p.shareAt), p.move.By.Sub(p.shareAt)/2)
	if step := now.Sub(p.shareAt); step < remaining {
		p.share += (1 - p.share) * float64(step) / float64(remaining)
	} else {
		p.share = 1
	}
}

// allCompared reports whether each route above minRouteFraction has enough
// compared requests.
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

// lateReason returns why a move was not done by its deadline.
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
