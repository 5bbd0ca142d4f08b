// Package gate is the entry role of a site: it takes requests by host and path,
// checks them against the shared settings, and brings each to an upstream.
package gate

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/io/clock"
	"corianderwing/io/meter"
	"corianderwing/io/relay"
)

// State is what the request path needs of the control role.
type State interface {
	// View returns the state of the site, and whether it is known at all.
	View() (*model.View, bool)
	// IsFresh reports whether the state may be relied on now.
	IsFresh() bool
	// Neighbors returns the other entry instances of the failure domain.
	Neighbors() []corianderwing.Instance
	// Borrow asks the control role for tokens of a workspace's limit. It
	// returns how many there are, and when there may be more.
	Borrow(ctx context.Context, w corianderwing.WorkspaceID, tokens int) (int, time.Duration, error)
}

// Config describes an entry instance.
type Config struct {
	Domain   corianderwing.DomainID
	Region   corianderwing.RegionID
	RegionOf func(corianderwing.DomainID) corianderwing.RegionID
	State    State
	Limits   *Limits
	Dialect  corianderwing.Dialect
	Dial     relay.Dial // default: TCP
	Log      *log.Logger
	Meter    *meter.Meter // default: a new one
	Tuning   Tuning
}

// Tuning holds the bounds that a deployment sets.
type Tuning struct {
	// RetryRatio is the part of a pool's requests that may be sent once more.
	RetryRatio float64
}

// Server is the entry role of an instance.
type Server struct {
	cfg   Config
	log   *log.Logger
	meter *meter.Meter

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}

	mu    sync.Mutex
	pools map[corianderwing.PoolID]*pool
	split map[corianderwing.RouteID]*splitter

	changed  chan struct{} // has room for one: the state changed
	leaving  atomic.Bool   // answers end their connections
	draining atomic.Bool   // not ready any more
	active   atomic.Int64
}

// syncEvery is how often idle connections are looked after, and pools are
// brought up to date without a change of the state.
const syncEvery = 500 * time.Millisecond

// New starts an entry role. Close stops it.
func New(cfg Config) *Server {
	if cfg.Dial == nil {
		cfg.Dial = relay.TCP()
	}
	if cfg.Meter == nil {
		cfg.Meter = meter.New()
	}
	s := &Server{
		cfg:     cfg,
		log:     cfg.Log,
		meter:   cfg.Meter,
		done:    make(chan struct{}),
		pools:   map[corianderwing.PoolID]*pool{},
		split:   map[corianderwing.RouteID]*splitter{},
		changed: make(chan struct{}, 1),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	go s.run()
	return s
}

// Changed tells that the state changed. It does not block.
func (s *Server) Changed() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *Server) run() {
	defer close(s.done)
	tick := time.NewTicker(syncEvery)
	defer tick.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.changed:
		case <-tick.C:
			s.trim()
		}
		s.sync()
	}
}

// sync brings every pool up to date with the state.
func (s *Server) sync() {
	view, _ := s.cfg.State.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range view.Pools() {
		if s.pools[name] == nil {
			s.pools[name] = s.newPool(name)
		}
	}
	limited := map[corianderwing.WorkspaceID]bool{}
	view.Items().Tenures(func(t *corianderwing.Tenure) {
		if t.Rate > 0 {
			limited[t.Name] = true
		}
	})
	s.cfg.Limits.set(limited)
	sharers := 1 + len(s.cfg.State.Neighbors())
	for _, p := range s.pools {
		p.sync(view, sharers)
	}
}

// pool returns a pool, or nil if nothing is known of it.
func (s *Server) pool(name corianderwing.PoolID) *pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pools[name]
}

func (s *Server) newPool(name corianderwing.PoolID) *pool {
	return &pool{
		server: s,
		name:   name,
		hosts:  map[corianderwing.UpstreamID]*host{},
		place: place.New(name, place.Config{
			Domain:   s.cfg.Domain,
			Region:   s.cfg.Region,
			RegionOf: s.cfg.RegionOf,
		}),
		budget: newBudget(s.cfg.Tuning.RetryRatio),
	}
}

// Ready reports whether the instance should get new callers.
func (s *Server) Ready() bool { return s.Open() && s.cfg.State.IsFresh() }

// Open reports whether the instance takes part: it knows the settings and its
// shares, and is not about to stop.
func (s *Server) Open() bool {
	view, known := s.cfg.State.View()
	return known && view.Revision() > 0 && !s.draining.Load() && s.cfg.Limits.ready()
}

// Drain makes the instance unready. It goes on to serve, and asks callers to
// leave their connections.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.leaving.Store(true)
}

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// Close ends all connections to upstreams.
func (s *Server) Close() {
	s.cancel()
	<-s.done
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.reset()
	}
}

// trim closes connections that have been idle for long.
func (s *Server) trim() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.trim()
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	v := &visit{s: s, w: w, r: r, start: time.Now(), boot: clock.Boot()}
	defer v.finish()
	v.serve()
}
