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
func WithPace(p Pace) Option { return func(r *Rollout) { r.pace = p } }

// Rollout is the state of one version move, owned by the leader of the pool's
// home group. A new leader goes on from a Record, or starts over with the initial
// share and new comparisons.
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
	r := &Rollout{move: m, pace: Slow, routes: make(map[string]*routeComparison), shareAt: m.Start}
	for _, o := range opts {
		o(r)
	}
	if r.pace.FalsePositiveRate <= 0 {
		r.pace.FalsePositiveRate = falsePositiveRate
	}
	return r
}

// Move returns the move with its outcome and evidence.
func (r *Rollout) Move() corianderwing.Move { return r.move }

// Observe adds samples and rolls the move back if they show a fault.
func (r *Rollout) Observe(now time.Time, samples []Sample) {
	if r.move.Outcome != corianderwing.Moving || now.Before(r.move.Start) {
		return
	}
	var touched []string
	for _, s := range samples {
		if s.Version != r.move.From && s.Version != r.move.To {
			continue
		}
		c := r.routes[s.Route]
		if c == nil {
			c = newRouteComparison()
			r.routes[s.Route] = c
		}
		c.add(s, s.Version == r.move.To)
		r.trips += s.Trips
		r.total += float64(s.Count)
		if !slices.Contains(touched, s.Route) {
			touched = append(touched, s.Route)
		}
		r.lastSample = now
	}
	warm := time.Duration(warmupFraction * float64(r.move.By.Sub(r.move.Start)))
	for _, name := range touched {
		if evidence, ok := r.routes[name].test(now, warm, &r.pace); ok && r.move.Outcome == corianderwing.Moving {
			r.rollBack(fmt.Sprintf("route %s: %s", name, evidence))
		}
	}
	if r.trips >= rollbackTrips && r.move.Outcome == corianderwing.Moving {
		r.rollBack(fmt.Sprintf("circuit breakers of entry instances tripped %d times on failures of the new version", r.trips))
	}
}

// rollbackTrips is the number of Breaker trips at which a move is rolled back.
// One trip occurs by chance in about one of a hundred moves to a version
// without a fault.
const rollbackTrips = 2

func (r *Rollout) rollBack(evidence string) {
	r.move.Outcome, r.move.Evidence, r.share = corianderwing.RolledBack, evidence, 0
}

// Share returns the share of the traffic that the new version gets, from 0 to
// 1. The time must not decrease between calls.
func (r *Rollout) Share(now time.Time) float64 {
	switch {
	case r.move.Outcome == corianderwing.Done:
		return 1
	case r.move.Outcome == corianderwing.RolledBack || now.Before(r.move.Start):
		return 0
	}
	r.updateShare(now)
	r.shareAt = now
	if r.share >= 1 && r.bakeDone(now) {
		r.move.Outcome = corianderwing.Done
		r.move.Evidence = fmt.Sprintf("%d routes compared, no fault shown", len(r.routes))
		return 1
	}
	if r.share >= 1 && !now.Before(r.move.By) {
		return 1 // past the deadline, but only the bake time is missing
	}
	if !now.Before(r.move.By) {
		r.rollBack(r.lateReason())
	}
	return r.share
}

// SetRunning sets the number of requests in flight at the old version.
func (r *Rollout) SetRunning(n int) { r.running = n }

// bakeDone reports whether the new version has had all requests for the bake
// time and the old version has no request in flight. It waits for those
// requests for at most another bake time.
func (r *Rollout) bakeDone(now time.Time) bool {
	if r.fullSince.IsZero() {
		r.fullSince = now
	}
	baked := now.Sub(r.fullSince)
	return baked >= r.pace.BakeTime && (r.running == 0 || baked >= 2*r.pace.BakeTime)
}

// updateShare raises the share, first to the initial share and then along the
// ramp.
func (r *Rollout) updateShare(now time.Time) {
	r.share = max(r.share, r.pace.InitialShare)
	end := r.move.By.Add(-r.fraction(r.pace.ReserveFraction))
	begin := end.Add(-r.fraction(r.pace.RampFraction))
	if now.Before(begin) {
		return
	}
	if r.pace.CompareBeforeRamp {
		r.rampLinearly(now, end)
		return
	}
	if r.total > 0 && now.Sub(r.lastSample) > maxSampleAge || r.suspicious() {
		return
	}
	// The ramp is exponential. Whatever the load at which a fault appears, the
	// new version has had few requests by then, and gets few more until the
	// samples of the fault arrive.
	progress := float64(now.Sub(begin)) / float64(end.Sub(begin))
	r.share = max(r.share, math.Pow(r.pace.InitialShare, 1-min(progress, 1)))
}

// suspicious reports whether recent samples of a route indicate a fault of the
// new version.
func (r *Rollout) suspicious() bool {
	for _, c := range r.routes {
		if c.errors.suspicious() || c.late.suspicious() {
			return true
		}
	}
	return false
}

// fraction returns the fraction f of the time from the start of the move to its
// deadline.
func (r *Rollout) fraction(f float64) time.Duration {
	return time.Duration(f * float64(r.move.By.Sub(r.move.Start)))
}

// rampLinearly raises the share linearly from its current value to 1 at the end
// of the ramp, once each route has been compared.
func (r *Rollout) rampLinearly(now, end time.Time) {
	if !r.allCompared() || now.Sub(r.lastSample) > maxSampleAge {
		return
	}
	if r.share == r.pace.InitialShare && r.move.By.Sub(now) < r.fraction(minRampFraction) {
		return
	}
	// A ramp that starts late may use the reserve.
	remaining := max(end.Sub(r.shareAt), r.move.By.Sub(r.shareAt)/2)
	if step := now.Sub(r.shareAt); step < remaining {
		r.share += (1 - r.share) * float64(step) / float64(remaining)
	} else {
		r.share = 1
	}
}

// allCompared reports whether each route above minRouteFraction has enough
// compared requests.
func (r *Rollout) allCompared() bool {
	if r.total == 0 {
		return false
	}
	for _, c := range r.routes {
		if c.count >= minRouteFraction*r.total && c.compared < r.pace.MinRequests {
			return false
		}
	}
	return true
}

// lateReason returns why a move was not done by its deadline.
func (r *Rollout) lateReason() string {
	for name, c := range r.routes {
		if c.count >= minRouteFraction*r.total && c.compared < r.pace.MinRequests {
			return fmt.Sprintf("not done in time: route %s has %.0f of %.0f requests to the new version that a comparison needs", name, c.compared, r.pace.MinRequests)
		}
	}
	if r.total == 0 {
		return "not done in time: no requests were counted"
	}
	return fmt.Sprintf("not done in time: the share had reached %.2f, samples were missing", r.share)
}
