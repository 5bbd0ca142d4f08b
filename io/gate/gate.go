// Package gate implements the entry role of a site: it matches requests by host
// and path, checks them against the shared settings, and forwards each to an
// upstream.
package gate

import (
	"context"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/crash"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/core/usage"
	"corianderwing/io/alloc"
	"corianderwing/io/clock"
	"corianderwing/io/follow"
	"corianderwing/io/meter"
	"corianderwing/io/plane"
	"corianderwing/io/relay"
)

// Control is the part of the control role that the request path uses.
type Control interface {
	// View returns the state of the site, and whether any has been received.
	View() (*model.View, bool)
	// IsFresh reports whether the lease on the state is still valid.
	IsFresh() bool
	// IsCurrent reports whether the state was confirmed recently enough to
	// conclude that anything missing from it does not exist.
	IsCurrent() bool
	// StateAge returns the time since the state was confirmed, or a negative value
	// if it never was.
	StateAge() time.Duration
	// LeaderMissing reports whether the control role is without a leader, as far
	// as this instance knows.
	LeaderMissing() bool
	// Neighbors returns the other entry instances of the failure domain.
	Neighbors() []corianderwing.Instance
	// BorrowedSlots returns the slots of upstreams in other failure domains that the
	// domain of this instance may use.
	BorrowedSlots() map[corianderwing.UpstreamID]int
	// BorrowToken requests a token from a workspace's rate limit. If it gets none, it
	// returns the delay until a token may be available; zero means that no control
	// instance has a share.
	BorrowToken(ctx context.Context, w corianderwing.WorkspaceID) (t follow.BorrowedToken, after time.Duration, err error)
	// ReportCrashes makes observations of requests that crash upstreams part of the
	// state. It returns the revision that includes them.
	ReportCrashes(ctx context.Context, list []crash.Event) (corianderwing.Revision, error)
	// ClaimProbe asks for the next probe of a quarantined request, after the given
	// number of earlier ones, and reports whether this instance may make it.
	ClaimProbe(ctx context.Context, f crash.Fingerprint, probes int) (bool, error)
	// ReturnToken returns the token of a request that did not run.
	ReturnToken(t follow.BorrowedToken, w corianderwing.WorkspaceID)
	// Acquire requests a slot at an upstream and returns it with its source. It
	// returns false if no control instance can be reached.
	Acquire(ctx context.Context, q *plane.AcquireRequest) (*plane.AcquireResponse, follow.SlotSource, bool)
	// Release returns a slot to its source.
	Release(slot follow.SlotSource, pool corianderwing.PoolID, o place.Outcome)
}

// Config configures an entry instance.
type Config struct {
	Instance corianderwing.InstanceID // ID of this instance
	Domain   corianderwing.DomainID
	RegionOf func(corianderwing.DomainID) corianderwing.RegionID
	// SingleRegion is whether all failure domains are in one region, so that no home
	// region can exclude an upstream.
	SingleRegion bool
	Control      Control
	Limits       *Limits
	Dialect      corianderwing.Dialect
	Dial         relay.DialFunc // default: TCP
	SourceIP     net.IP         // local address of TCP connections; nil for any
	Log          *log.Logger
	Meter        *meter.Meter     // default: a new one
	Boot         func() time.Time // boot clock; default: clock.Boot
	// Usage counts the requests that upstreams begin to run. Default: a new one, which
	// counts nothing.
	Usage *usage.Recorder
	// RetryRatio is the fraction of a pool's requests that may be retried.
	RetryRatio float64
}

// Server is the entry role of an instance.
type Server struct {
	cfg       Config
	log       *log.Logger
	meter     *meter.Meter
	allocator *alloc.Allocator // allocates slots while the control instance is unreachable
	suspects  *suspects

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu            sync.Mutex
	pools         map[corianderwing.PoolID]*pool
	splitters     map[corianderwing.RouteID]*splitter
	firstTimeouts map[corianderwing.RouteID]time.Duration // longest timeout that callers of a rule have sent: that of their first attempts

	viewChanged chan struct{}   // buffered (1); signals a change of the state
	slotWaits   context.Context // canceled with errStopping once no request may wait for a slot any longer
	endWaits    context.CancelCauseFunc
	stopping    atomic.Bool               // responses close their client connections
	stopEnd     atomic.Pointer[time.Time] // when a stopping instance ends; nil before the stop
	draining    atomic.Bool               // no longer ready
	active      atomic.Int64

	invalidLoggedAt atomic.Int64 // boot time of the last line about an invalid pushback, in ns
}

// syncInterval is how often idle connections are closed, and pools are
// synchronized even if the state has not changed.
const syncInterval = 500 * time.Millisecond

// New starts the entry role. Close stops it.
func New(cfg Config) *Server {
	if cfg.Dial == nil {
		cfg.Dial = relay.TCPDialer(cfg.SourceIP)
	}
	if cfg.Meter == nil {
		cfg.Meter = meter.New()
	}
	if cfg.Boot == nil {
		cfg.Boot = clock.Boot
	}
	if cfg.Usage == nil {
		cfg.Usage = &usage.Recorder{}
	}
	s := &Server{
		cfg:           cfg,
		log:           cfg.Log,
		meter:         cfg.Meter,
		allocator:     alloc.New(alloc.Config{Domain: cfg.Domain, RegionOf: cfg.RegionOf}),
		pools:         map[corianderwing.PoolID]*pool{},
		splitters:     map[corianderwing.RouteID]*splitter{},
		firstTimeouts: map[corianderwing.RouteID]time.Duration{},
		viewChanged:   make(chan struct{}, 1),
	}
	s.suspects = newSuspects(&s.cfg)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.slotWaits, s.endWaits = context.WithCancelCause(s.ctx)
	s.wg.Go(s.run)
	s.wg.Go(func() { s.allocator.Run(s.ctx) })
	s.wg.Go(func() { s.suspects.run(s.ctx) })
	return s
}

// NotifyChange signals that the state changed. It does not block.
func (s *Server) NotifyChange() {
	select {
	case s.viewChanged <- struct{}{}:
	default:
	}
}

func (s *Server) run() {
	tick := time.NewTicker(syncInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.viewChanged:
		case <-tick.C:
			s.closeIdle()
		}
		s.sync()
	}
}

// sync updates limits, pools, suspects and the allocator from the state.
func (s *Server) sync() {
	view, _ := s.cfg.Control.View()
	s.suspects.sync(view)
	limited := map[corianderwing.WorkspaceID]bool{}
	view.Items().EachPolicy(func(t *corianderwing.WorkspacePolicy) {
		if t.Rate > 0 {
			limited[t.Name] = true
		}
	})
	s.cfg.Limits.setLimited(limited)
	now := time.Now()
	s.mu.Lock()
	for name := range view.UpstreamsByPool() {
		if s.pools[name] == nil {
			s.pools[name] = newPool(name, s.cfg.Dial, s.cfg.RetryRatio)
		}
	}
	shares := map[corianderwing.RequestID]float64{}
	boot := s.cfg.Boot()
	for _, p := range s.pools {
		move, share, ended := p.sync(view, now, boot)
		shares[move] = share
		s.logEnded(p.name, ended)
	}
	s.mu.Unlock()
	s.allocator.Sync(view, alloc.SyncParams{
		Allocators: max(minAllocators, 1+len(s.cfg.Control.Neighbors())),
		NextShare:  func(m corianderwing.Move) float64 { return shares[m.ID] },
		Borrowed:   s.remoteSlots(view),
	})
}

// minAllocators is the number of allocators that a domain has at least while this
// instance allocates slots itself: its control instance, which does not answer it,
// may still answer others. A single entry instance of a domain must not take its
// own allocator for the only one.
const minAllocators = 2

// remoteSlots returns the slots in other failure domains that this instance may use while
// it allocates slots itself: those that its domain borrows, and one of each upstream of
// the pools that have no ready upstream in the domain.
func (s *Server) remoteSlots(v *model.View) map[corianderwing.UpstreamID]int {
	slots := maps.Clone(s.cfg.Control.BorrowedSlots())
	if slots == nil {
		slots = map[corianderwing.UpstreamID]int{}
	}
	for _, list := range v.UpstreamsByPool() {
		own := false
		for _, u := range list {
			own = own || u.Domain == s.cfg.Domain && u.Phase == corianderwing.Ready && !v.Evacuated(u.Domain)
		}
		if own {
			continue
		}
		for _, u := range list {
			slots[u.ID] = max(slots[u.ID], 1)
		}
	}
	return slots
}

// pool returns the named pool, or nil if it is unknown.
func (s *Server) pool(name corianderwing.PoolID) *pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pools[name]
}

// Ready reports whether the instance should receive new callers.
func (s *Server) Ready() bool { return s.Accepting() && s.cfg.Control.IsFresh() }

// Accepting reports whether the instance can serve: it has received the settings
// and its rate limit shares, and is not draining.
func (s *Server) Accepting() bool {
	view, known := s.cfg.Control.View()
	return known && view.Revision() > 0 && !s.draining.Load() && s.cfg.Limits.ready()
}

// stopWaitMargin is how long before the end of a stop no request may wait for a
// slot any longer: a request that gets a slot later could not be completed.
const stopWaitMargin = 2 * time.Second

// errStopping is the reason for rejecting requests that wait for a slot near the
// end of a stop.
var errStopping = corianderwing.Errorf(corianderwing.Stopping, "this instance is stopping")

// Drain makes the instance unready. It continues to serve, and asks clients to
// close their connections. Requests that still have no slot stopWaitMargin before
// the given time, at which the instance ends, are rejected, and so are those that
// would probably outlast it, so that their callers can go elsewhere instead of losing
// the connection without a response.
func (s *Server) Drain(end time.Time) {
	s.stopEnd.Store(&end)
	s.draining.Store(true)
	s.stopping.Store(true)
	time.AfterFunc(time.Until(end)-stopWaitMargin, func() { s.endWaits(errStopping) })
}

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// Close stops the entry role. It closes the idle connections to upstreams, and
// those in use when their request ends.
func (s *Server) Close() {
	s.cancel()
	s.wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.eachUpstream(func(h *upstreamConns) { h.Close() })
	}
}

// closeIdle closes connections that have been idle for idleTimeout.
func (s *Server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.eachUpstream(func(h *upstreamConns) { h.CloseIdle(idleTimeout) })
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{s: s, w: w, r: r, start: time.Now()}
	defer x.finish()
	x.serve()
}
