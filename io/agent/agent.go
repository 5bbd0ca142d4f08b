// Package agent is the control plane client of an entry instance. It watches the
// settings of every control group, renews the instance's freshness leases and
// rate shares, and serves both to the request path. It implements
// corianderwing.SettingsSource, corianderwing.RateLimiter and
// corianderwing.LinkLimiter.
package agent

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/shift"
	"corianderwing/core/state"
)

// Config describes an Agent.
type Config struct {
	Self        corianderwing.InstanceID
	Incarnation corianderwing.Incarnation
	Domain      corianderwing.DomainID
	Region      corianderwing.RegionID
	Links       []corianderwing.LinkCap // all link directions
	Groups      []corianderwing.GroupID
	Control     corianderwing.ControlClient
	Samples     SampleReporter // receives the samples of moves; nil reports none
	Log         *log.Logger    // default: the package's default logger

	// Lenders returns the instances that may lend tokens, nearest first.
	// Optional.
	Lenders func() []Lender
}

// Lender is another instance that may lend tokens of a bound.
type Lender interface {
	Borrow(ctx context.Context, b corianderwing.BoundID, n corianderwing.Tokens) (corianderwing.Tokens, corianderwing.Millis, error)
}

// Agent holds the views, leases and shares of all control groups.
type Agent struct {
	cfg        Config
	log        *log.Logger
	followers  []*follower
	moveStats  moveStats
	linkShares map[corianderwing.RegionID]*linkShare
	homes      atomic.Pointer[map[corianderwing.WorkspaceID]*follower]

	mu       sync.Mutex // guards onChange, and writes to homes
	onChange []func()
}

var (
	_ corianderwing.SettingsSource = (*Agent)(nil)
	_ corianderwing.RateLimiter    = (*Agent)(nil)
)

// New returns an agent. It has no settings, leases or shares until Run.
func New(cfg Config) *Agent {
	if cfg.Log == nil {
		cfg.Log = &log.DefaultLogger
	}
	a := &Agent{cfg: cfg, log: cfg.Log}
	a.homes.Store(&map[corianderwing.WorkspaceID]*follower{})
	a.moveStats.counts = map[sampleKey]*shift.Sample{}
	a.moveStats.shares = map[corianderwing.RequestID]versionShare{}
	now := time.Now()
	for _, g := range cfg.Groups {
		a.followers = append(a.followers, newFollower(a, g, now))
	}
	a.linkShares = a.newLinkShares()
	return a
}

// Run watches all groups and renews their leases until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range a.followers {
		wg.Go(func() { f.watch(ctx) })
		wg.Go(func() { f.renew(ctx) })
		wg.Go(func() { f.acquireSeat(ctx) })
		wg.Go(func() { f.watchFreshness(ctx) })
		if a.cfg.Samples != nil {
			wg.Go(func() { f.reportMoves(ctx) })
		}
	}
	wg.Wait()
}

// View implements corianderwing.SettingsSource.
func (a *Agent) View(w corianderwing.WorkspaceID) (v corianderwing.SettingsView, fresh bool, ok bool) {
	f := (*a.homes.Load())[w]
	if f == nil {
		confirmed, all := a.FreshGroups()
		return nil, confirmed == all, false
	}
	view := f.view.Load()
	return view, f.fresh(view, time.Now()), true
}

// Views implements corianderwing.SettingsSource.
func (a *Agent) Views() []corianderwing.SettingsView {
	all := make([]corianderwing.SettingsView, len(a.followers))
	for i, f := range a.followers {
		all[i] = f.view.Load()
	}
	return all
}

// Home returns the home group of a workspace.
func (a *Agent) Home(w corianderwing.WorkspaceID) (corianderwing.GroupID, bool) {
	f := (*a.homes.Load())[w]
	if f == nil {
		return "", false
	}
	return f.group, true
}

// FreshGroups returns the number of groups whose view is confirmed by a current
// lease, and the number of all groups.
func (a *Agent) FreshGroups() (fresh, all int) {
	now := time.Now()
	for _, f := range a.followers {
		if f.fresh(f.view.Load(), now) {
			fresh++
		}
	}
	return fresh, len(a.followers)
}

// OnChange implements corianderwing.SettingsSource.
func (a *Agent) OnChange(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.onChange = append(a.onChange, f)
}

func (a *Agent) notifyChange() {
	a.mu.Lock()
	all := a.onChange
	a.mu.Unlock()
	for _, f := range all {
		f()
	}
}

// setHomes updates the index of home groups with the workspaces of one
// follower's view. If two groups list the same workspace, the group that comes
// first in the configuration keeps it.
func (a *Agent) setHomes(f *follower, view *state.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := maps.Clone(*a.homes.Load())
	for w, other := range next {
		if other == f && !view.HasWorkspace(w) {
			delete(next, w)
		}
	}
	for _, w := range view.Workspaces() {
		if other := next[w]; other == nil || other.rank >= f.rank {
			next[w] = f
		}
	}
	a.homes.Store(&next)
}
