package notice

import "time"

const (
	// MaxPushback is the longest pushback that is obeyed. A faulty upstream that
	// asks for more must not stay without requests until it restarts.
	MaxPushback = 10 * time.Minute
	// trialAfter is how long a pushback is obeyed without exception. After that a
	// single request at a time tests whether the upstream accepts requests again.
	trialAfter = 30 * time.Second
	// maxTrials is the number of trials during one pushback. More requests would
	// break the promise that the pushback is obeyed.
	maxTrials = 2
)

// Pushback is the time for which an upstream wants no requests. Times are on the
// boot clock.
type Pushback struct {
	Until     time.Time // zero for no pushback
	trialFrom time.Time
	trials    int  // sent so far
	testing   bool // a trial is in flight
}

// extend returns the Pushback after a response that asks for no requests for d.
// Pushbacks overlap: one never ends another early, nor allows it more trials.
func (p Pushback) extend(d time.Duration, now time.Time) Pushback {
	if !now.Before(p.Until) {
		p = Pushback{}
	}
	if until := now.Add(min(d, MaxPushback)); until.After(p.Until) {
		p.Until = until
	}
	p.trialFrom = now.Add(trialAfter)
	return p
}

func (p Pushback) judge(now time.Time) Verdict {
	switch {
	case !now.Before(p.Until):
		return Admit
	case p.trials >= maxTrials || p.testing || now.Before(p.trialFrom):
		return PushedBack
	}
	return Trial
}

// FreeAt returns when the upstream may get a request again.
func (p Pushback) FreeAt() time.Time {
	if p.trials < maxTrials && !p.testing && p.trialFrom.Before(p.Until) {
		return p.trialFrom
	}
	return p.Until
}

// BeginTrial returns the State after a request with the verdict Trial is sent.
func (s State) BeginTrial() State {
	s.Pushback.trials++
	s.Pushback.testing = true
	return s
}

// EndTrial returns the State after that request has ended.
func (s State) EndTrial() State {
	s.Pushback.testing = false
	return s
}

const (
	// minSpread and maxSpread bound the time over which the retries of rejected
	// callers are spread, so that they do not return together.
	minSpread = 100 * time.Millisecond
	maxSpread = time.Second
)

// RetryAfter returns when a caller should retry that is rejected because all
// upstreams pushed back and the first may get a request at free. u is a random
// number in [0, 1).
func RetryAfter(free, now time.Time, u float64) time.Duration {
	wait := max(0, free.Sub(now))
	spread := min(max(wait/4, minSpread), maxSpread)
	return wait + time.Duration(u*float64(spread))
}
