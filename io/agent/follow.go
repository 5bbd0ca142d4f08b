package agent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"corianderwing"
	"corianderwing/core/share"
	"corianderwing/core/state"
	"corianderwing/io/clock"
)

const (
	// renewInterval is the time between two renewals without a shortage.
	renewInterval = time.Second
	// recoveryRenewInterval is the same, while a new leader learns what its predecessors
	// granted.
	recoveryRenewInterval = 200 * time.Millisecond
	// minRenewInterval is the shortest time between two renewals.
	minRenewInterval = 10 * time.Millisecond
	// renewTimeout bounds one renewal; it leaves time for two more before a
	// lease of three seconds expires.
	renewTimeout = 900 * time.Millisecond
	// retryDelay is the pause after a failed watch.
	retryDelay = 100 * time.Millisecond
	// maxWatchLag is how long a watch may lag behind a confirmed revision
	// before it is opened again at another replica. A stream whose path has
	// gone silent never fails by itself.
	maxWatchLag = 500 * time.Millisecond
)

// follower follows one group. It owns the instance's view, lease and share of
// the group.
type follower struct {
	agent      *Agent
	group      corianderwing.GroupID
	rank       int
	view       atomic.Pointer[state.View]
	lease      atomic.Pointer[lease]
	holder     *share.Holder
	renewNow   chan struct{}      // a renewal is wanted now
	recovering atomic.Bool        // the leader grants nothing yet
	term       corianderwing.Term // of the leader that answered last; used by the renew loop only

	mu           sync.Mutex
	replied      chan struct{} // closed and replaced after each renewal
	started      uint64        // renewals started
	finished     uint64        // number of the last renewal that was answered
	configured   *state.View   // the view that the holder is configured from
	behindSince  time.Time     // since when the view is behind the lease
	restartWatch context.CancelFunc
}

// lease is what a renewal confirmed.
type lease struct {
	revision corianderwing.Revision
	until    time.Time
}

func newFollower(a *Agent, g corianderwing.GroupID, now time.Time) *follower {
	f := &follower{
		agent:    a,
		group:    g,
		rank:     len(a.followers),
		holder:   share.NewHolder(now),
		renewNow: make(chan struct{}, 1),
		replied:  make(chan struct{}),
	}
	f.view.Store(state.NewView(g))
	f.lease.Store(&lease{})
	return f
}

// fresh reports whether keys and settings of the view are confirmed.
func (f *follower) fresh(v *state.View, now time.Time) bool {
	l := f.lease.Load()
	return now.Before(l.until) && v.Revision() >= l.revision
}

// watch keeps the view up to date until ctx ends.
func (f *follower) watch(ctx context.Context) {
	for ctx.Err() == nil {
		watchCtx, cancel := context.WithCancel(ctx)
		f.mu.Lock()
		f.restartWatch = cancel
		f.mu.Unlock()
		err := f.agent.cfg.Control.Watch(watchCtx, f.group, f.view.Load().Revision(), f.update)
		cancel()
		if err != nil && ctx.Err() == nil {
			f.agent.log.Debug().Str("group", string(f.group)).Err(err).Msg("watch ended")
		}
		clock.Sleep(ctx, retryDelay)
	}
}

// update applies one update. An error ends the watch, and the next one starts
// after the revision that the view has.
func (f *follower) update(u corianderwing.Update) error {
	next, err := f.view.Load().Update(u)
	if errors.Is(err, state.ErrOld) {
		return nil
	}
	if err != nil {
		return err
	}
	f.view.Store(next)
	f.agent.setHomes(f, next)
	f.configure(next)
	f.agent.notifyChange()
	return nil
}

// configure brings the holder's bounds to those of the view.
func (f *follower) configure(v *state.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	_, seated := v.Seat(f.agent.cfg.Self)
	for _, w := range v.Workspaces() {
		e, ok := v.Tree().Effective(corianderwing.Path{Workspace: w})
		if !ok {
			continue
		}
		seat, _ := share.Split(e.Rate, e.Burst, e.Fixed, v.SeatTotal())
		if !seated {
			seat = share.Limit{}
		}
		f.holder.Configure(now, corianderwing.RateBound(w), seat)
	}
	f.configureLinks(now, v, seated)
	if f.configured != nil {
		for _, w := range f.configured.Workspaces() {
			if !v.Has(w) {
				f.holder.Remove(corianderwing.RateBound(w))
			}
		}
	}
	f.configured = v
}

// renew keeps the lease and the share until ctx ends.
func (f *follower) renew(ctx context.Context) {
	for ctx.Err() == nil {
		f.renewOnce(ctx)
		f.waitRenew(ctx)
	}
}

// waitRenew waits until the next renewal is due.
func (f *follower) waitRenew(ctx context.Context) {
	clock.Sleep(ctx, minRenewInterval)
	next := renewInterval
	if f.recovering.Load() {
		next = recoveryRenewInterval
	}
	due := time.NewTimer(next - minRenewInterval)
	defer due.Stop()
	check := time.NewTicker(2 * minRenewInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-due.C:
			return
		case <-f.renewNow:
			return
		case now := <-check.C:
			if f.holder.NeedsRenewal(now) {
				return
			}
		}
	}
}

func (f *follower) renewOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	f.mu.Lock()
	f.started++
	number := f.started
	f.mu.Unlock()
	sent := time.Now()
	seq, reports := f.holder.Report(sent)
	reply, err := f.agent.cfg.Control.Renew(ctx, corianderwing.RenewRequest{
		Group:       f.group,
		Instance:    f.agent.cfg.Self,
		Incarnation: f.agent.cfg.Incarnation,
		Domain:      f.agent.cfg.Domain,
		Seq:         seq,
		Revision:    f.view.Load().Revision(),
		Term:        f.term,
		Reports:     reports,
	})
	if err != nil {
		f.agent.log.Debug().Str("group", string(f.group)).Err(err).Msg("renewal failed")
		return
	}
	f.applyRenewal(number, seq, sent, reply)
}

func (f *follower) applyRenewal(number, seq uint64, sent time.Time, reply corianderwing.RenewResponse) {
	now := time.Now()
	length := time.Duration(reply.LeaseDuration) * time.Millisecond
	f.lease.Store(&lease{
		revision: reply.Revision,
		until:    corianderwing.HolderDeadline(sent, length),
	})
	f.holder.ApplyGrants(now, seq, reply.Grants)
	f.recovering.Store(reply.Recovering)
	f.term = reply.Term
	f.mu.Lock()
	f.finished = number
	close(f.replied)
	f.replied = make(chan struct{})
	f.mu.Unlock()
	f.checkWatch(now, reply.Revision)
}

// checkWatch restarts a watch that lags behind a confirmed revision.
func (f *follower) checkWatch(now time.Time, confirmed corianderwing.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view.Load().Revision() >= confirmed {
		f.behindSince = time.Time{}
		return
	}
	if f.behindSince.IsZero() {
		f.behindSince = now
		f.requestRenewal()
		return
	}
	if now.Sub(f.behindSince) >= maxWatchLag && f.restartWatch != nil {
		f.restartWatch()
		f.behindSince = time.Time{}
	}
}

// requestRenewal asks for a renewal now.
func (f *follower) requestRenewal() {
	select {
	case f.renewNow <- struct{}{}:
	default:
	}
}

// acquireSeat asks for a seat until the view shows one, and again if it is lost.
func (f *follower) acquireSeat(ctx context.Context) {
	cfg := &f.agent.cfg
	for n := 1; ctx.Err() == nil; n++ {
		if _, ok := f.view.Load().Seat(cfg.Self); ok {
			clock.Sleep(ctx, renewInterval)
			continue
		}
		c := corianderwing.Command{
			Request: corianderwing.RequestID(fmt.Sprintf("seat-%s-%d-%d", cfg.Self, cfg.Incarnation, n)),
			Kind:    corianderwing.AssignSeat,
			Seat:    &corianderwing.Seat{Domain: cfg.Domain, Instance: cfg.Self},
		}
		tryCtx, cancel := context.WithTimeout(ctx, 2*renewInterval)
		result, err := cfg.Control.Propose(tryCtx, f.group, c)
		cancel()
		if err == nil && result.Error != nil {
			err = result.Error
		}
		if err != nil {
			f.agent.log.Info().Str("group", string(f.group)).Err(err).Msg("no seat yet")
		}
		clock.Sleep(ctx, renewInterval)
	}
}

// watchFreshness reports changes of freshness, which pass without any event.
func (f *follower) watchFreshness(ctx context.Context) {
	was := false
	for clock.Sleep(ctx, retryDelay) {
		is := f.fresh(f.view.Load(), time.Now())
		if is != was {
			f.agent.notifyChange()
		}
		was = is
	}
}
