// Package shift runs version rollouts: it decides what share of a pool's
// traffic the new version gets, and compares it with the old version.
//
// The ramp is planned backwards from the time by which the move must be done.
// Until enough requests have been compared on each route the new version gets
// a small share. A fault that the comparison shows ends the move at once.
package shift

import (
	"fmt"
	"slices"
	"time"

	"corianderwing"
)

const (
	// SmallShare is the share until enough requests have been compared.
	SmallShare = 0.05
	// Needed is the number of requests to the new version that a route needs.
	// With 100 requests the test shows an error rate of 0.2 with a probability
	// above 0.99.
	Needed = 100
	// rareRoute is the part of a pool's traffic below which a route does not
	// hold up the ramp. Its requests are compared all the same.
	rareRoute = 0.01

	rampPart  = 0.5  // part of the whole time that the ramp takes
	slackPart = 0.1  // part of the whole time that is kept in reserve at its end
	shortRamp = 0.05 // part of the whole time below which a ramp is not begun

	// warmPart is the part of the whole time, from the first request to the
	// new version on a route, in which its latency is not compared: servers
	// start cold. Errors count from the first request.
	warmPart = 0.05

	// stale is the age of the latest samples above which the ramp pauses.
	stale = 3 * time.Second
)

// Plan is the state of one move. The leader of the pool's home group owns it.
// A new leader begins with the small share and compares again.
type Plan struct {
	move    corianderwing.Move
	routes  map[string]*route
	total   float64 // requests to both versions
	share   float64
	at      time.Time // when share was computed
	sampled time.Time // when samples came last
}

// New returns the plan of a move.
func New(m corianderwing.Move) *Plan {
	if m.Outcome == "" {
		m.Outcome = corianderwing.Moving
	}
	return &Plan{move: m, routes: make(map[string]*route), at: m.Start}
}

// Move returns the move with its outcome and evidence.
func (p *Plan) Move() corianderwing.Move { return p.move }

// Observe takes what instances counted since their last report.
func (p *Plan) Observe(now time.Time, samples []Sample) {
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
			r = newRoute()
			p.routes[s.Route] = r
		}
		r.add(s, s.Version == p.move.To)
		p.total += float64(s.Count)
		if !slices.Contains(touched, s.Route) {
			touched = append(touched, s.Route)
		}
		p.sampled = now
	}
	warm := time.Duration(warmPart * float64(p.move.By.Sub(p.move.Start)))
	for _, name := range touched {
		if evidence, ok := p.routes[name].test(now, warm); ok && p.move.Outcome == corianderwing.Moving {
			p.rollBack(fmt.Sprintf("route %s: %s", name, evidence))
		}
	}
}

func (p *Plan) rollBack(evidence string) {
	p.move.Outcome, p.move.Evidence, p.share = corianderwing.RolledBack, evidence, 0
}

// Share returns the share of the traffic that the new version gets, from 0 to
// 1. Calls must not go back in time.
func (p *Plan) Share(now time.Time) float64 {
	switch {
	case p.move.Outcome == corianderwing.Done:
		return 1
	case p.move.Outcome == corianderwing.RolledBack || now.Before(p.move.Start):
		return 0
	}
	p.advance(now)
	p.at = now
	if p.share >= 1 {
		p.move.Outcome = corianderwing.Done
		p.move.Evidence = fmt.Sprintf("%d routes compared, no fault shown", len(p.routes))
		return 1
	}
	if !now.Before(p.move.By) {
		p.rollBack(p.late())
	}
	return p.share
}

// advance raises the share: to the small share first, then in a straight line
// from the present share to 1 at the end of the ramp.
func (p *Plan) advance(now time.Time) {
	p.share = max(p.share, SmallShare)
	whole := p.move.By.Sub(p.move.Start)
	part := func(f float64) time.Duration { return time.Duration(f * float64(whole)) }
	end := p.move.By.Add(-part(slackPart))
	begin := end.Add(-part(rampPart))
	if now.Before(begin) || !p.compared() || now.Sub(p.sampled) > stale {
		return
	}
	if p.share == SmallShare && p.move.By.Sub(now) < part(shortRamp) {
		return
	}
	// A ramp that begins late may use the reserve.
	left := max(end.Sub(p.at), p.move.By.Sub(p.at)/2)
	if step := now.Sub(p.at); step < left {
		p.share += (1 - p.share) * float64(step) / float64(left)
	} else {
		p.share = 1
	}
}

// compared reports whether each route but the rare ones has enough requests.
func (p *Plan) compared() bool {
	if p.total == 0 {
		return false
	}
	for _, r := range p.routes {
		if r.count >= rareRoute*p.total && r.compared < Needed {
			return false
		}
	}
	return true
}

// late says why a move is not done in time.
func (p *Plan) late() string {
	for name, r := range p.routes {
		if r.count >= rareRoute*p.total && r.compared < Needed {
			return fmt.Sprintf("not done in time: route %s has %.0f of %d requests to the new version that a comparison needs", name, r.compared, Needed)
		}
	}
	if p.total == 0 {
		return "not done in time: no requests were counted"
	}
	return fmt.Sprintf("not done in time: the share had reached %.2f, samples were missing", p.share)
}
