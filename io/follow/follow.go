// Package follow keeps an entry instance in touch with the control role: it
// holds the state of the site, and knows until when that state may be relied
// on.
package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/quota"
	"corianderwing/io/clock"
	"corianderwing/io/peer"
	"corianderwing/io/plane"
)

const (
	// heartbeatInterval is the interval of an entry instance's beats. It adds to the
	// age of the confirmation that a lease is counted from.
	heartbeatInterval = 400 * time.Millisecond
	// moveHeartbeatInterval is the interval while a move is under way, so that a fault of the
	// new version is known soon.
	moveHeartbeatInterval = 150 * time.Millisecond
	// heartbeatTimeout bounds one beat.
	heartbeatTimeout = 600 * time.Millisecond
	// watchRetryDelay is the pause before a broken watch is opened again.
	watchRetryDelay = 50 * time.Millisecond
	// lagTimeout is how long the state may lack a confirmed revision before the
	// watch is opened again.
	lagTimeout = 700 * time.Millisecond
)

// Config describes the entry instance and whom it follows.
type Config struct {
	Self  func() corianderwing.Instance // as it is to be announced
	Seeds []string                      // peer addresses of control instances to try first
	// RegionOf returns the region of a failure domain.
	RegionOf func(corianderwing.DomainID) corianderwing.RegionID
	// Lease is for how long a confirmed state may be relied on.
	Lease time.Duration
	// CurrentFor is for how long after its confirmation a state is taken to have all
	// that there is.
	CurrentFor time.Duration
	Log        *log.Logger
	// Now returns the boot time. Default: clock.Boot.
	Now func() time.Time
	// OnChange is called after each change of the state. It must not block.
	OnChange func()
	// Limits takes this instance's shares of the limits of workspaces.
	Limits Limits
	// TakeTrials returns what was counted for moves since the last call, and Shares
	// takes over the shares of their new versions.
	TakeTrials func() []plane.Trial
	SetShares  func([]plane.MoveShare)
}

// Limits holds an instance's shares of the limits of workspaces.
type Limits interface {
	// Needs returns the demand, and what is in use of the shares from a control
	// instance.
	Needs(from string) []quota.Demand
	// SetShares replaces the shares from a control instance. They are valid until a
	// boot time.
	SetShares(from string, shares []quota.Share, until time.Time)
}

// Follower is the entry instance's side of the control role. It owns the
// state and its lease.
type Follower struct {
	cfg    Config
	peer   *peer.Client
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	state atomic.Pointer[state]
	info  atomic.Pointer[plane.BeatReply]

	mu              sync.Mutex
	seeds           []string // peer addresses of control instances to try first
	controls        []plane.Control
	current         string                  // peer address of the followed control instance
	lastReply       time.Time               // last answer to a beat
	avoidUntil      map[string]time.Time    // by peer address: it is not asked for slots before
	rtts            map[string]rttEstimator // by peer address
	switched        chan struct{}           // closed when current changes
	misses          int
	confirmationAge time.Duration // age of what current last confirmed
	lastProbe       time.Time     // when another control instance was last asked
	probeIndex      int           // which one
	laggingSince    time.Time     // since when the state lacks a confirmed revision
	cancelWatch     context.CancelFunc
}

// state is a view with its lease. It is immutable.
type state struct {
	view       *model.View
	known      bool      // the view came from a control instance
	freshUntil time.Time // boot time until which the view may be relied on

	// confirmed is a confirmation that counts once the view has its revision.
	confirmed struct {
		revision corianderwing.Revision
		until    time.Time
	}
}

// applyConfirmation extends the lease if the view has the revision that next confirms.
func (s *state) applyConfirmation() {
	if s.view.Revision() >= s.confirmed.revision && s.confirmed.until.After(s.freshUntil) {
		s.freshUntil = s.confirmed.until
	}
}

// lags reports whether the view lacks a revision that was confirmed.
func (s *state) lags() bool { return s.view.Revision() < s.confirmed.revision }

// New starts to follow. Close stops it.
func New(cfg Config, pc *peer.Client) *Follower {
	if cfg.Now == nil {
		cfg.Now = clock.Boot
	}
	f := &Follower{cfg: cfg, peer: pc, switched: make(chan struct{}), seeds: cfg.Seeds, avoidUntil: map[string]time.Time{}, rtts: map[string]rttEstimator{}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.state.Store(&state{view: model.New()})
	f.info.Store(&plane.BeatReply{})
	for _, s := range cfg.Seeds {
		f.controls = append(f.controls, plane.Control{Peer: s})
	}
	f.current = f.controls[0].Peer
	f.wg.Go(f.heartbeatLoop)
	f.wg.Go(f.watchLoop)
	return f
}

// View returns the state, and whether it came from a control instance at all.
func (f *Follower) View() (v *model.View, known bool) {
	s := f.state.Load()
	return s.view, s.known
}

// FreshUntil returns until when the state may be relied on, as a boot time.
func (f *Follower) FreshUntil() time.Time { return f.state.Load().freshUntil }

// IsFresh reports whether the state may be relied on now.
func (f *Follower) IsFresh() bool { return f.cfg.Now().Before(f.FreshUntil()) }

// IsCurrent reports whether the state was confirmed so lately that what it lacks
// does not exist.
func (f *Follower) IsCurrent() bool {
	return f.cfg.Now().Before(f.FreshUntil().Add(f.cfg.CurrentFor - f.cfg.Lease))
}

// Neighbors returns the other live entry instances of the failure domain, as
// the control role last said.
func (f *Follower) Neighbors() []corianderwing.Instance { return f.info.Load().Neighbors }

// Heartbeat sends a beat at once, for example before a planned stop.
func (f *Follower) Heartbeat(ctx context.Context) { f.heartbeat(ctx) }

// SetSeeds replaces the control instances that are tried when no other one
// answers.
func (f *Follower) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// Close stops following.
func (f *Follower) Close() {
	f.cancel()
	f.wg.Wait()
}

// confirm takes a confirmation over: the state may be relied on until then once
// it has the revision.
func (f *Follower) confirm(r corianderwing.Revision, until time.Time) {
	f.update(func(s *state) {
		if r >= s.confirmed.revision {
			s.confirmed.revision, s.confirmed.until = r, until
		}
		s.applyConfirmation()
	})
}

// update replaces the state by a changed copy.
func (f *Follower) update(change func(*state)) {
	for {
		old := f.state.Load()
		next := *old
		change(&next)
		if f.state.CompareAndSwap(old, &next) {
			return
		}
	}
}

// watchLoop receives the changes of the state.
func (f *Follower) watchLoop() {
	for f.ctx.Err() == nil {
		f.mu.Lock()
		addr, moved := f.current, f.switched
		ctx, cancel := context.WithCancel(f.ctx)
		f.cancelWatch = cancel
		f.mu.Unlock()
		go func() {
			select {
			case <-moved:
				cancel()
			case <-ctx.Done():
			}
		}()
		view, _ := f.View()
		err := peer.Follow(ctx, f.peer, addr, plane.WatchMethod, plane.Watch(view.Revision()), f.apply)
		cancel()
		if err != nil && f.ctx.Err() == nil {
			f.cfg.Log.Debug().Str("control", addr).Err(err).Msg("watch ended")
		}
		clock.Sleep(f.ctx, watchRetryDelay)
	}
}

// apply takes one update over.
func (f *Follower) apply(u *model.Update) error {
	old, _ := f.View()
	next, err := old.Update(*u, time.Now())
	if err != nil && corianderwing.CodeOf(err) == corianderwing.RevisionConflict {
		f.cfg.Log.Error().Uint64("revision", uint64(u.Revision)).Err(err).Msg("the state does not fit an update; asking for a snapshot")
		f.update(func(s *state) { s.view, s.freshUntil = model.New(), time.Time{} })
	}
	if err != nil {
		return err
	}
	f.update(func(s *state) {
		s.view, s.known = next, true
		s.applyConfirmation()
	})
	if f.cfg.OnChange != nil {
		f.cfg.OnChange()
	}
	f.cfg.Log.Info().Uint64("revision", uint64(next.Revision())).Bool("snapshot", u.Snapshot != nil).
		Int("rules", next.Items().Rules()).Int("upstreams", next.Upstreams()).Msg("state changed")
	return nil
}
