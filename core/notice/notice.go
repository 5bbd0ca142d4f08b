// Package notice decides how an instance treats an upstream by what the upstream
// said of itself in its responses. The decisions are functions of an immutable
// State, so that the request path can read it without a lock.
package notice

import "time"

// Verdict tells whether a request may be sent to an upstream.
type Verdict uint8

// The verdicts.
const (
	Admit      Verdict = iota // nothing was said against it
	Trial                     // it may be sent to test a long pushback, see State.BeginTrial
	Leaving                   // the upstream said that it is leaving
	PushedBack                // the upstream asked for no requests for some time
	Ended                     // the incarnation is no longer part of the pool
)

// String returns the verdict as it appears in log lines.
func (v Verdict) String() string {
	return [...]string{"admit", "trial", "leaving", "pushback", "ended"}[v]
}

// Refused reports whether the request must not be sent.
func (v Verdict) Refused() bool { return v >= Leaving }

// Report is what one response says of its upstream.
type Report struct {
	Leaving  bool
	Pushback time.Duration // for how long it wants no requests; 0 for no pushback
}

// State is what an instance has heard from one incarnation of an upstream. The zero
// State means that nothing was heard. Times are on the boot clock, which advances
// while the machine is suspended.
type State struct {
	// Leaving ends only with the incarnation. A response without the announcement
	// does not revoke it: responses overtake each other, and the upstream may have
	// produced this one before it decided to leave.
	Leaving bool
	// Ended refuses the attempts that were begun before the incarnation was removed
	// from the pool. If the upstream has restarted since, what its successor responds
	// would be attributed to its predecessor.
	Ended    bool
	Pushback Pushback
}

// Observe returns the State after a response that was received at now.
func (s State) Observe(r Report, now time.Time) State {
	s.Leaving = s.Leaving || r.Leaving
	if r.Pushback > 0 {
		s.Pushback = s.Pushback.extend(r.Pushback, now)
	}
	return s
}

// Judge returns the verdict on a request that would be sent at now.
func (s State) Judge(now time.Time) Verdict {
	switch {
	case s.Ended:
		return Ended
	case s.Leaving:
		return Leaving
	}
	return s.Pushback.judge(now)
}

// IsOver reports whether the State no longer has an effect.
func (s State) IsOver(now time.Time) bool {
	return !s.Leaving && !s.Ended && !now.Before(s.Pushback.Until)
}

// Retention is how long the State of an incarnation is kept after it was last seen
// in the shared state. An upstream that missed its heartbeats is removed from it and
// may come back as the same incarnation.
const Retention = time.Minute
