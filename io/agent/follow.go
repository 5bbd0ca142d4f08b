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
	// renewInterval is the renewal interval while the shares suffice.
	renewInterval = time.Second
	// recoveryRenewInterval is the renewal interval while a new leader recovers
	// the grants of its predecessors.
	recoveryRenewInterval = 200 * time.Millisecond
	// minRenewInterval is the minimum time between two renewals.
	minRenewInterval = 10 * time.Millisecond
	// renewTimeout is the timeout of one renewal. It leaves time for two more
	// before a lease of three seconds expires.
	renewTimeout = 900 * time.Millisecond
	// retryDelay is the delay before a watch that ended is opened again, and
	// the interval at which freshness is checked.
	retryDelay = 100 * time.Millisecond
	// maxWatchLag is how long a watch may lag behind a confirmed revision
	// before it is opened again at another replica. A stream whose network
	// path drops packets silently never returns an error.
	maxWatchLag = 500 * time.Millisecond
)

// follower keeps the instance's view, lease and shares of one control group.
type follower struct {
	agent      *Agent
	group      corianderwing.GroupID
	rank       int
	view       atomic.Pointer[state.View]
	lease      atomic.Pointer[lease]
	holder     *share.Holder
	renewNow   chan struct{}      // requests an immediate renewal
	recovering atomic.Bool        // the leader grants no tokens until it has recovered
	term       corianderwing.Term // of the leader that replied last; used by the renew loop only

	mu           sync.Mutex
	replied      chan struct{} // closed and replaced at each reply to a renewal
	started      uint64        // number of renewals sent
	finished     uint64        // number of the last renewal that got a reply
	configured   *state.View   // view from which the holder was configured last
	behindSince  time.Time     // since when the view has lagged behind the lease; zero if it has not
	restartWatch context.CancelFunc
}

// lease is the revision that a renewal confirmed, and for how long.
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

// fresh reports whether a current lease confirms the keys and settings of the
// view.
func (f *follower) fresh(v *state.View, now time.Time) bool {
	l := f.lease.Load()
	return now.Before(l.until) && v.Revision() >= l.revision
}

// watch applies updates to the view until ctx ends.
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

// update applies one update to the view. An error ends the watch, and the next
// watch resumes after the revision of the view.
func (f *follower) update(u corianderwing.Update) error {
	next, err := f.view.Load().Update(u)
	if errors.Is(err, state.ErrStale) {
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

// configure sets the holder's bounds from the settings and seats of the view.
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
		seat, _ := share.Split(e.Rate, e.Burst, e.Fixed, v.TotalSeats())
		if !seated {
			seat = share.Limit{}
		}
		f.holder.Configure(now, corianderwing.RateBound(w), seat)
	}
	f.configureLinks(now, v, seated)
	if f.configured != nil {
		for _, w := range f.configured.Workspaces() {
			if !v.HasWorkspace(w) {
				f.holder.Remove(corianderwing.RateBound(w))
			}
		}
	}
	f.configured = v
}

// renew renews the lease and the shares until ctx ends.
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

// checkWatch restarts a watch that has lagged behind a confirmed revision for
// maxWatchLag.
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

// requestRenewal makes the renew loop send a renewal without waiting for its
// interval.
func (f *follower) requestRenewal() {
	select {
	case f.renewNow <- struct{}{}:
	default:
	}
}

// acquireSeat proposes a seat for this instance whenever the view lacks one.
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
			f.agent.log.Info().Str("group", string(f.group)).Err(err).Msg("seat assignment failed; retrying")
		}
		clock.Sleep(ctx, renewInterval)
	}
}

// watchFreshness polls the freshness of the view and reports changes, because a
// lease expires without any event.
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
