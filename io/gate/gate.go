// Package gate is the entry role of a site: it takes requests by host and path,
// checks them against the shared settings, and brings each to an upstream.
package gate

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/io/desk"
	"corianderwing/io/follow"
	"corianderwing/io/meter"
	"corianderwing/io/plane"
	"corianderwing/io/relay"
)

// Control is what the request path needs of the control role.
type Control interface {
	// View returns the state of the site, and whether it is known at all.
	View() (*model.View, bool)
	// IsFresh reports whether the state may be relied on now.
	IsFresh() bool
	// IsCurrent reports whether the state is so recent that what it lacks does
	// not exist.
	IsCurrent() bool
	// Neighbors returns the other entry instances of the failure domain.
	Neighbors() []corianderwing.Instance
	// BorrowToken asks for a token of a workspace's bound. It returns who lent one, or
	// when there may be one; no time means that nobody has a share.
	BorrowToken(ctx context.Context, w corianderwing.WorkspaceID) (lender string, after time.Duration, err error)
	// ReturnToken gives a token back whose request did not run.
	ReturnToken(lender string, w corianderwing.WorkspaceID)
	// Acquire asks for a slot of an upstream, and tells who handed it out. It
	// returns false if nobody can be asked.
	Acquire(ctx context.Context, q *plane.Acquire) (*plane.Acquired, follow.SlotSource, bool)
	// Release gives a slot back to the one who handed it out.
	Release(slot follow.SlotSource, pool corianderwing.PoolID, o place.Outcome)
}

// Config describes an entry instance.
type Config struct {
	Domain   corianderwing.DomainID
	RegionOf func(corianderwing.DomainID) corianderwing.RegionID
	Control  Control
	Limits   *Limits
	Dialect  corianderwing.Dialect
	Dial     relay.DialFunc // default: TCP
	SourceIP net.IP         // from which TCP connections come; nil for any
	Log      *log.Logger
	Meter    *meter.Meter // default: a new one
	// RetryRatio is the part of a pool's requests that may be sent once more.
	RetryRatio float64
}

// Server is the entry role of an instance.
type Server struct {
	cfg   Config
	log   *log.Logger
	meter *meter.Meter
	desk  *desk.Desk // decides while the control instance cannot be asked

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu            sync.Mutex
	pools         map[corianderwing.PoolID]*pool
	splitters     map[corianderwing.RouteID]*splitter
	firstTimeouts map[corianderwing.RouteID]time.Duration // time that callers of a rule allow at first

	viewChanged chan struct{} // has room for one: the state changed
	stopping  atomic.Bool   // answers end their connections
	draining    atomic.Bool   // not ready any more
	active      atomic.Int64
}

// syncInterval is how often idle connections are looked after, and pools are
// brought up to date without a change of the state.
const syncInterval = 500 * time.Millisecond

// New starts an entry role. Close stops it.
func New(cfg Config) *Server {
	if cfg.Dial == nil {
		cfg.Dial = relay.TCPDialer(cfg.SourceIP)
	}
	if cfg.Meter == nil {
		cfg.Meter = meter.New()
	}
	s := &Server{
		cfg:           cfg,
		log:           cfg.Log,
		meter:         cfg.Meter,
		desk:          desk.New(desk.Config{Domain: cfg.Domain, RegionOf: cfg.RegionOf}),
		pools:         map[corianderwing.PoolID]*pool{},
		splitters:     map[corianderwing.RouteID]*splitter{},
		firstTimeouts: map[corianderwing.RouteID]time.Duration{},
		viewChanged:   make(chan struct{}, 1),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.wg.Go(s.run)
	s.wg.Go(func() { s.desk.Run(s.ctx) })
	return s
}

// NotifyChange tells that the state changed. It does not block.
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

// sync brings limits, pools and desk up to date with the state.
func (s *Server) sync() {
	view, _ := s.cfg.Control.View()
	limited := map[corianderwing.WorkspaceID]bool{}
	view.Items().Tenures(func(t *corianderwing.Tenure) {
		if t.Rate > 0 {
			limited[t.Name] = true
		}
	})
	s.cfg.Limits.setLimited(limited)
	now := time.Now()
	s.mu.Lock()
	for name := range view.Pools() {
		if s.pools[name] == nil {
			s.pools[name] = newPool(name, s.cfg.Dial, s.cfg.RetryRatio)
		}
	}
	shares := map[corianderwing.RequestID]float64{}
	for _, p := range s.pools {
		move, share := p.sync(view, now)
		shares[move] = share
	}
	s.mu.Unlock()
	s.desk.Sync(view, desk.Terms{
		Sharers:  1 + len(s.cfg.Control.Neighbors()),
		Share:    func(m corianderwing.Move) float64 { return shares[m.ID] },
		Borrowed: s.remoteSlots(view),
	})
}

// remoteSlots returns one slot of every upstream in another failure domain, for
// the pools that have none in the own one.
func (s *Server) remoteSlots(v *model.View) map[corianderwing.UpstreamID]int {
	slots := map[corianderwing.UpstreamID]int{}
	for _, list := range v.Pools() {
		own := false
		for _, u := range list {
			own = own || u.Domain == s.cfg.Domain && u.Phase == corianderwing.Ready && !v.Evacuated(u.Domain)
		}
		if own {
			continue
		}
		for _, u := range list {
			slots[u.ID] = 1
		}
	}
	return slots
}

// pool returns a pool, or nil if nothing is known of it.
func (s *Server) pool(name corianderwing.PoolID) *pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pools[name]
}

// Ready reports whether the instance should get new callers.
func (s *Server) Ready() bool { return s.Accepting() && s.cfg.Control.IsFresh() }

// Accepting reports whether the instance takes part: it knows the settings and its
// shares, and is not about to stop.
func (s *Server) Accepting() bool {
	view, known := s.cfg.Control.View()
	return known && view.Revision() > 0 && !s.draining.Load() && s.cfg.Limits.ready()
}

// Drain makes the instance unready. It goes on to serve, and asks callers to
// leave their connections.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.stopping.Store(true)
}

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// Close ends all connections to upstreams.
func (s *Server) Close() {
	s.cancel()
	s.wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.eachUpstream(func(h *upstreamConns) { h.Reset() })
	}
}

// closeIdle closes connections that have been idle for long.
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
