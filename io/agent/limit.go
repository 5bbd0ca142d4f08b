package agent

import (
	"context"
	"time"

	"corianderwing"
	"corianderwing/core/share"
)

const (
	// pollInterval is how often a waiting request looks for tokens that its own
	// fixed part gained.
	pollInterval = 5 * time.Millisecond
	// borrowTimeout is the longest time to wait for a neighbour's answer. A
	// neighbour is in the same failure domain, about 1 ms away.
	borrowTimeout = 50 * time.Millisecond
)

// Take implements corianderwing.RateLimiter.
func (a *Agent) Take(ctx context.Context, e *corianderwing.EffectiveSettings) error {
	f := (*a.homes.Load())[e.Path.Workspace]
	if f == nil {
		return corianderwing.Errorf(corianderwing.NoRoute, "workspace %q does not exist", e.Path.Workspace)
	}
	id := corianderwing.RateBound(e.Path.Workspace)
	b := f.holder.Bound(id)
	if b == nil {
		return corianderwing.Errorf(corianderwing.RateExceeded, "workspace %q has no rate yet", e.Path.Workspace)
	}
	if b.Take(time.Now()) {
		return nil
	}
	return f.awaitToken(ctx, b, id, e)
}

// awaitToken waits for a token of the bound: from the grantor, from a neighbour, or
// from the fixed part. A request is refused at once if more requests wait than
// the whole rate admits within the longest wait.
func (f *follower) awaitToken(ctx context.Context, b *share.Bound, id corianderwing.BoundID, e *corianderwing.EffectiveSettings) error {
	if queue := float64(e.Rate) * float64(e.Wait) / 1000; float64(b.Waiting()) > queue {
		return f.rateError(0, e)
	}
	b.AddWaiting(1)
	defer b.AddWaiting(-1)
	deadline := e.Wait.After(time.Now())
	answered, first := f.nextRenewal()
	f.requestRenewal()
	f.borrow(ctx, id)
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		now := time.Now()
		if b.Poll(now) {
			return nil
		}
		if now.After(deadline) {
			return f.rateError(first, e)
		}
		select {
		case <-ctx.Done():
			return f.rateError(first, e)
		case <-answered:
			answered, _ = f.nextRenewal()
		case <-poll.C:
		}
	}
}

// rateError tells a workspace that is over its rate from one whose share could
// not be had. First is the first renewal that began after the request came.
func (f *follower) rateError(first uint64, e *corianderwing.EffectiveSettings) error {
	if f.repliesSince(first) == 0 {
		return corianderwing.Errorf(corianderwing.NoShare, "workspace %q: group %s did not answer in time", e.Path.Workspace, f.group)
	}
	if f.recovering.Load() {
		return corianderwing.Errorf(corianderwing.NoShare, "workspace %q: the leader of group %s is new", e.Path.Workspace, f.group)
	}
	return corianderwing.Errorf(corianderwing.RateExceeded, "workspace %q is over %g requests/s with a burst of %d",
		e.Path.Workspace, float64(e.Rate), e.Burst)
}

// nextRenewal returns a channel that is closed at the next answer, and the number
// of the first renewal that has not started yet.
func (f *follower) nextRenewal() (answered <-chan struct{}, next uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replied, f.started + 1
}

// repliesSince counts the answered renewals from the given number on.
func (f *follower) repliesSince(from uint64) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.finished < from {
		return 0
	}
	return f.finished - from + 1
}

// borrow asks the neighbours for tokens until one lends some.
func (f *follower) borrow(ctx context.Context, id corianderwing.BoundID) {
	if f.agent.cfg.Lenders == nil {
		return
	}
	b := f.holder.Bound(id)
	for _, lender := range f.agent.cfg.Lenders() {
		if b == nil || b.Available(time.Now()) > 0 {
			return
		}
		askCtx, cancel := context.WithTimeout(ctx, borrowTimeout)
		sent := time.Now()
		n, left, err := lender.Borrow(askCtx, id, corianderwing.Tokens(b.Waiting()))
		cancel()
		if err == nil && n > 0 {
			f.holder.AddLoan(time.Now(), sent, id, n, left)
			return
		}
	}
}

// Lend gives tokens of a bound to a neighbour.
func (a *Agent) Lend(b corianderwing.BoundID, n corianderwing.Tokens) (corianderwing.Tokens, corianderwing.Millis) {
	now := time.Now()
	for _, f := range a.followers {
		if f.holder.Bound(b) != nil {
			return f.holder.Lend(now, b, n)
		}
	}
	return 0, 0
}
