package agent

import (
	"context"
	"time"

	"corianderwing"
	"corianderwing/core/share"
)

const (
	// pollInterval is how often a waiting request checks for tokens that the
	// instance's own fixed part has accrued.
	pollInterval = 5 * time.Millisecond
	// borrowTimeout is the timeout of a loan request. Lenders are in the same
	// failure domain, about 1 ms away.
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
		return corianderwing.Errorf(corianderwing.RateExceeded, "workspace %q has no rate share on this instance yet", e.Path.Workspace)
	}
	if b.Take(time.Now()) {
		return nil
	}
	return f.awaitToken(ctx, b, id, e)
}

// awaitToken waits for a token of the bound from the grantor, from a lender or
// from the fixed part. A request is rejected at once if more requests wait than
// the whole rate admits within the maximum wait.
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

// rateError returns RateExceeded for a workspace that is over its rate, and
// NoShare if its share could not be obtained. First is the number of the first
// renewal sent after the request arrived.
func (f *follower) rateError(first uint64, e *corianderwing.EffectiveSettings) error {
	if f.repliesSince(first) == 0 {
		return corianderwing.Errorf(corianderwing.NoShare, "workspace %q: group %s did not answer in time", e.Path.Workspace, f.group)
	}
	if f.recovering.Load() {
		return corianderwing.Errorf(corianderwing.NoShare, "workspace %q: the new leader of group %s has not recovered the grants yet", e.Path.Workspace, f.group)
	}
	return corianderwing.Errorf(corianderwing.RateExceeded, "workspace %q is over %g requests/s with a burst of %d",
		e.Path.Workspace, float64(e.Rate), e.Burst)
}

// nextRenewal returns a channel that is closed at the next reply to a renewal,
// and the number of the next renewal to be sent.
func (f *follower) nextRenewal() (answered <-chan struct{}, next uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replied, f.started + 1
}

// repliesSince returns the number of renewals from the given number on that got
// a reply.
func (f *follower) repliesSince(from uint64) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.finished < from {
		return 0
	}
	return f.finished - from + 1
}

// borrow asks the lenders in order until one of them lends tokens.
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

// Lend takes tokens of a bound from this instance's share for another instance.
// It returns how many it lends and for how long.
func (a *Agent) Lend(b corianderwing.BoundID, n corianderwing.Tokens) (corianderwing.Tokens, corianderwing.Millis) {
	now := time.Now()
	for _, f := range a.followers {
		if f.holder.Bound(b) != nil {
			return f.holder.Lend(now, b, n)
		}
	}
	return 0, 0
}
