// Package follow connects an entry instance to the control role: it replicates the
// state of the site and maintains the lease that tells how long this copy is
// valid.
package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/fresh"
	"corianderwing/core/model"
	"corianderwing/core/quota"
	"corianderwing/core/usage"
	"corianderwing/io/clock"
	"corianderwing/io/peer"
	"corianderwing/io/plane"
)

const (
	// heartbeatInterval is the interval between heartbeats of an entry instance. It
	// adds to the age of the confirmation from which a lease is counted.
	heartbeatInterval = 400 * time.Millisecond
	// moveHeartbeatInterval is the interval while a move is in progress, so that
	// errors of the new version are reported soon.
	moveHeartbeatInterval = 150 * time.Millisecond
	// heartbeatTimeout bounds one heartbeat call.
	heartbeatTimeout = 600 * time.Millisecond
	// watchRetryDelay is the delay before a failed watch is reopened.
	watchRetryDelay = 50 * time.Millisecond
	// lagTimeout is how long the state may lag behind a confirmed revision before
	// the watch is reopened.
	lagTimeout = 700 * time.Millisecond
)

// Config configures a Follower.
type Config struct {
	Self  func() corianderwing.Instance // this entry instance as announced to the control role
	Seeds []string                      // peer addresses of control instances to try first
	// RegionOf returns the region of a failure domain.
	RegionOf func(corianderwing.DomainID) corianderwing.RegionID
	// Lease is how long a state is valid after its confirmation.
	Lease time.Duration
	// CurrentFor is how long after its confirmation a state is assumed to be
	// complete, so that anything missing from it does not exist.
	CurrentFor time.Duration
	Log        *log.Logger
	// Now returns the time on the boot clock. Default: clock.Boot.
	Now func() time.Time
	// OnChange is called after each change of the state. It must not block.
	OnChange func()
	// Limits receives this instance's shares of the rate limits of workspaces.
	Limits Limits
	// Lender lends tokens of these shares to other entry instances; nil to lend none.
	Lender Lender
	// Usage counts the requests that upstreams begin to run. Default: a new one.
	Usage *usage.Recorder
	// TakeTrials returns and clears the counts of all moves since the last call.
	TakeTrials func() []plane.Trial
	// SetShares receives the traffic shares of the new versions of moves.
	SetShares func([]plane.MoveShare)
}

// Limits holds an instance's shares of the rate limits of workspaces.
type Limits interface {
	// Needs returns the demand per workspace, and the usage of the shares from a
	// control instance.
	Needs(from string) []quota.Demand
	// SetShares replaces the shares from a control instance. They are valid until
	// the given time on the boot clock.
	SetShares(from string, shares []quota.Share, until time.Time)
}

// Follower is the entry instance's client of the control role. It owns the state
// and its lease.
type Follower struct {
	cfg    Config
	peer   *peer.Client
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	state atomic.Pointer[state]
	info  atomic.Pointer[plane.HeartbeatResponse]
	// leaderMissing is whether the last heartbeat found no control instance that
	// a leader had confirmed.
	leaderMissing atomic.Bool
	// sharesMissing is whether the last reply held none of the shares asked for.
	sharesMissing atomic.Bool
	// clockWrong is whether the wall clock differs from the estimated time.
	clockWrong     atomic.Bool
	lent, borrowed atomic.Int64  // tokens lent to and borrowed from other entry instances
	stateReceived  chan struct{} // buffered (1); signals the first state

	applying sync.Mutex // held while an update is applied: by the watch, or from another entry instance

	mu              sync.Mutex
	seeds           []string // peer addresses of control instances to try first
	controls        []plane.ControlInstance
	neighbors       []corianderwing.Instance // other live entry instances of the failure domain
	relays          []corianderwing.Instance // live entry instances of other failure domains
	listsVersion    uint64                   // version of these lists; 0 if unknown
	current         string                   // peer address of the followed control instance
	lastReply       time.Time                // last reply to a heartbeat
	heartbeatAt     time.Time                // when the heartbeat without a reply was sent to current; zero if there is none
	lastRelay       string                   // peer address of the entry instance that had a recent confirmation last
	avoidUntil      map[string]time.Time     // by peer address: no slot requests before this time
	noBorrowUntil   map[string]time.Time     // by peer address: no borrow calls before this time
	rtts            map[string]rttEstimator  // by peer address
	switched        chan struct{}            // closed when current changes
	misses          int                      // consecutive failed heartbeats to current
	failed          int                      // failed heartbeats since the last reply, whichever instance was asked
	failedOver      bool                     // switched to current after failed heartbeats, and it has not replied yet
	confirmationAge time.Duration            // age of the last confirmation from current
	lastProbe       time.Time                // when another control instance was last probed
	probeIndex      int                      // rotates over controls
	loans           loans                    // of the failure domain
	grantor         grantor                  // of the present shares
	lostGrantor     grantor                  // one that did not answer and was left; see grantorToProbe
	lenderIndex     int                      // rotates over neighbors
	returns         int64                    // returns to a lost grantor
	laggingSince    time.Time                // since when the state lags behind a confirmed revision; zero if it does not
	cancelWatch     context.CancelFunc
}

// state is a view with its lease. A stored state is immutable.
type state struct {
	view       *model.View
	known      bool      // the view has reached a confirmed revision since it was last empty
	freshUntil time.Time // end of the lease, on the boot clock
	history    model.History

	// confirmations holds what control instances confirmed. In place of a time each
	// has the end of the lease that it gives.
	confirmations fresh.Tracker
}

// reach extends the lease to that of the last confirmation that the view has reached.
// A view that has never reached one is not relied on at all: a control instance that
// has just restarted may send a state in which upstreams are still present that have
// left since.
func (s *state) reach() {
	s.confirmations = s.confirmations.Reach(s.view.Revision())
	c, ok := s.confirmations.Latest()
	s.known = ok
	if c.At.After(s.freshUntil) {
		s.freshUntil = c.At
	}
}

// lags reports whether the view lags behind the confirmed revision.
func (s *state) lags() bool { return s.view.Revision() < s.confirmations.Newest().Revision }

// New starts a Follower. Close stops it.
func New(cfg Config, pc *peer.Client) *Follower {
	if cfg.Now == nil {
		cfg.Now = clock.Boot
	}
	if cfg.Usage == nil {
		cfg.Usage = &usage.Recorder{}
	}
	f := &Follower{cfg: cfg, peer: pc, switched: make(chan struct{}), stateReceived: make(chan struct{}, 1), seeds: cfg.Seeds, avoidUntil: map[string]time.Time{}, noBorrowUntil: map[string]time.Time{}, rtts: map[string]rttEstimator{}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.state.Store(&state{view: model.New()})
	f.info.Store(&plane.HeartbeatResponse{})
	for _, s := range cfg.Seeds {
		f.controls = append(f.controls, plane.ControlInstance{PeerAddr: s})
	}
	// All instances have the same seeds. When a deployment starts, they must not
	// all begin with the first one.
	f.current = f.controls[xxhash.Sum64String(string(cfg.Self().ID))%uint64(len(f.controls))].PeerAddr
	f.wg.Go(f.heartbeatLoop)
	f.wg.Go(f.watchLoop)
	f.wg.Go(f.relayLoop)
	return f
}

// View returns the state, and whether it has reached a revision that the leader
// confirmed.
func (f *Follower) View() (v *model.View, known bool) {
	s := f.state.Load()
	return s.view, s.known
}

// FreshUntil returns the end of the lease on the state, on the boot clock.
func (f *Follower) FreshUntil() time.Time { return f.state.Load().freshUntil }

// IsFresh reports whether the lease on the state is still valid.
func (f *Follower) IsFresh() bool { return f.cfg.Now().Before(f.FreshUntil()) }

// IsCurrent reports whether the state was confirmed recently enough to conclude
// that anything missing from it does not exist.
func (f *Follower) IsCurrent() bool {
	return f.cfg.Now().Before(f.FreshUntil().Add(f.cfg.CurrentFor - f.cfg.Lease))
}

// StateAge returns the time since the state was confirmed, or a negative value if it
// never was.
func (f *Follower) StateAge() time.Duration {
	until := f.FreshUntil()
	if until.IsZero() {
		return -1
	}
	return f.cfg.Now().Sub(until.Add(-f.cfg.Lease))
}

// LeaderMissing reports whether the last heartbeat found no leader: the control
// role is electing one, or cannot be reached.
func (f *Follower) LeaderMissing() bool { return f.leaderMissing.Load() }

// Neighbors returns the other live entry instances of the failure domain, as last
// reported by the control role.
func (f *Follower) Neighbors() []corianderwing.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.neighbors
}

// Heartbeat sends a heartbeat immediately, for example before a planned stop.
func (f *Follower) Heartbeat(ctx context.Context) { f.heartbeat(ctx) }

// SetSeeds replaces the control instances that are tried if no other one replies.
func (f *Follower) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// Close stops the Follower.
func (f *Follower) Close() {
	f.cancel()
	f.wg.Wait()
}

// confirm takes a confirmation over: the state may be relied on until then once
// it has the revision.
func (f *Follower) confirm(r corianderwing.Revision, until time.Time) {
	f.update(func(s *state) {
		if r >= s.confirmations.Newest().Revision {
			s.confirmations = s.confirmations.Confirm(fresh.Confirmation{Revision: r, At: until}, s.view.Revision())
		}
		s.reach()
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

// watchLoop keeps a watch open that receives the changes of the state.
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
		err := peer.CallStream(ctx, f.peer, addr, plane.WatchMethod, plane.NewWatchRequest(view.Revision()), f.apply)
		cancel()
		if err != nil && f.ctx.Err() == nil {
			f.cfg.Log.Debug().Str("control", addr).Err(err).Msg("watch ended")
		}
		clock.Sleep(f.ctx, watchRetryDelay)
	}
}

// apply applies one update of the watch to the state. After a conflict it discards the
// state, so that the next watch starts with a snapshot.
func (f *Follower) apply(u *model.Update) error {
	f.applying.Lock()
	defer f.applying.Unlock()
	err := f.applyUpdate(u)
	if err != nil && corianderwing.CodeOf(err) == corianderwing.RevisionConflict {
		f.cfg.Log.Error().Uint64("revision", uint64(u.Revision)).Err(err).Msg("update does not apply to the current state; requesting a snapshot")
		// The next state may come from a control instance that lags behind, so it
		// is not relied on before it has reached the confirmed revision again.
		f.update(func(s *state) {
			*s = state{view: model.New(), confirmations: s.confirmations.Discard()}
		})
	}
	return err
}

// applyRelayed applies one update from another entry instance. A conflict leaves the
// state as it is.
func (f *Follower) applyRelayed(u *model.Update) error {
	f.applying.Lock()
	defer f.applying.Unlock()
	return f.applyUpdate(u)
}

// applyUpdate applies one update to the state. The caller must hold f.applying.
func (f *Follower) applyUpdate(u *model.Update) error {
	old, _ := f.View()
	next, err := old.Update(*u, time.Now())
	if err != nil {
		return err
	}
	if next == old {
		return nil // the state has it already
	}
	f.update(func(s *state) {
		s.view = next
		s.history = s.history.Add(*u, old.Revision())
		s.reach()
	})
	if old.Revision() == 0 {
		select {
		case f.stateReceived <- struct{}{}:
		default:
		}
	}
	if f.cfg.OnChange != nil {
		f.cfg.OnChange()
	}
	f.cfg.Log.Info().Uint64("revision", uint64(next.Revision())).Bool("snapshot", u.Snapshot != nil || u.Packed != nil).
		Int("rules", next.Items().NumRules()).Int("upstreams", next.NumUpstreams()).Msg("state changed")
	return nil
}
