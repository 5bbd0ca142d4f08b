package agent

import (
	"context"
	"sync/atomic"
	"time"

	"corianderwing"
	"corianderwing/core/link"
	"corianderwing/core/share"
	"corianderwing/core/state"
)

const (
	// maxReserveWait is the maximum wait for tokens before a link counts as full.
	// A renewal with a leader in the same region takes about 2 ms.
	maxReserveWait = 20 * time.Millisecond
	// fullDuration is how long a full link rejects requests without another
	// wait.
	fullDuration = 20 * time.Millisecond
)

// linkShare is this instance's share of the link to one other region.
type linkShare struct {
	*link.Limiter
	follower  *follower
	fullUntil atomic.Int64 // Unix time in ns until which the link counts as full
}

var _ corianderwing.LinkLimiter = (*Agent)(nil)

// newLinkShares returns the shares of the links that start in this region.
func (a *Agent) newLinkShares() map[corianderwing.RegionID]*linkShare {
	lines := map[corianderwing.RegionID]*linkShare{}
	for _, c := range a.cfg.Links {
		for _, f := range a.followers {
			if c.From == a.cfg.Region && c.Group == f.group {
				lines[c.To] = &linkShare{Limiter: link.NewLimiter(f.holder, corianderwing.LinkBound(c.From, c.To)), follower: f}
			}
		}
	}
	return lines
}

// configureLinks sets this instance's link shares from the seats of the view. A
// link cap comes from the configuration file and changes only with a restart.
func (f *follower) configureLinks(now time.Time, v *state.View, seated bool) {
	for _, c := range f.agent.cfg.Links {
		if c.From != f.agent.cfg.Region || c.Group != f.group {
			continue
		}
		seat, _ := link.Limits(c.Cap, v.SeatsIn(c.Domains))
		if !seated {
			seat = share.Limit{}
		}
		f.holder.Configure(now, corianderwing.LinkBound(c.From, c.To), seat)
	}
}

// Reserve implements corianderwing.LinkLimiter.
func (a *Agent) Reserve(ctx context.Context, to corianderwing.RegionID, n corianderwing.Bytes) error {
	l := a.linkShares[to]
	if l == nil || l.Bound() == nil {
		return corianderwing.Errorf(corianderwing.LinkFull, "no share of a link from %s to %s", a.cfg.Region, to)
	}
	now := time.Now()
	if l.Limiter.Reserve(now, n) {
		return nil
	}
	l.RecordRejected(n)
	if now.UnixNano() >= l.fullUntil.Load() {
		deadline := now.Add(maxReserveWait)
		reserve := func(now time.Time) bool { return l.Limiter.Reserve(now, n) }
		if l.await(ctx, n, deadline, reserve) {
			return nil
		}
		l.fullUntil.Store(time.Now().Add(fullDuration).UnixNano())
	}
	return corianderwing.Errorf(corianderwing.LinkFull, "link from %s to %s", a.cfg.Region, to)
}

// Release implements corianderwing.LinkLimiter.
func (a *Agent) Release(to corianderwing.RegionID, n corianderwing.Bytes) {
	if l := a.linkShares[to]; l != nil {
		l.Limiter.Release(n)
	}
}

// Acquire implements corianderwing.LinkLimiter.
func (a *Agent) Acquire(ctx context.Context, to corianderwing.RegionID, n corianderwing.Bytes) (acquired corianderwing.Bytes, err error) {
	l := a.linkShares[to]
	if l == nil || l.Bound() == nil {
		return 0, corianderwing.Errorf(corianderwing.LinkFull, "no share of a link from %s to %s", a.cfg.Region, to)
	}
	acquire := func(now time.Time) bool {
		acquired = l.Limiter.Acquire(now, n)
		return acquired > 0
	}
	if acquire(time.Now()) {
		return acquired, nil
	}
	l.AddQueued(n)
	defer l.AddQueued(-n)
	if l.await(ctx, n, time.Time{}, acquire) {
		return acquired, nil
	}
	return 0, context.Cause(ctx)
}

// await calls try until it returns true, the deadline has passed or ctx ends.
// Meanwhile, renewals request tokens for n bytes. A zero deadline means none.
func (l *linkShare) await(ctx context.Context, n corianderwing.Bytes, deadline time.Time, try func(time.Time) bool) bool {
	b := l.Bound()
	b.AddWaiting(int64(link.Tokens(n)))
	defer b.AddWaiting(-int64(link.Tokens(n)))
	l.follower.requestRenewal()
	answered, _ := l.follower.nextRenewal()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-answered:
			answered, _ = l.follower.nextRenewal()
		case <-poll.C:
		}
		now := time.Now()
		if try(now) {
			return true
		}
		if !deadline.IsZero() && !now.Before(deadline) {
			return false
		}
	}
}
