// Package entry implements the entry role of an instance: it accepts requests
// from callers, authenticates and limits them, and forwards each one to an
// upstream through the pool owner of the chosen failure domain.
package entry

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"corianderwing"
	"corianderwing/core/queue"
	"corianderwing/core/retry"
	"corianderwing/core/route"
	"corianderwing/io/clock"
	"corianderwing/io/relay"
)

// Config holds the dependencies and settings of a Server.
type Config struct {
	Settings corianderwing.SettingsSource
	Limiter  corianderwing.RateLimiter
	Control  corianderwing.ControlClient
	Fleet    corianderwing.Fleet
	Recorder corianderwing.Recorder
	// Links limits the traffic to other regions. If nil, that traffic is
	// unlimited.
	Links corianderwing.LinkLimiter

	// Secret is the fleet's secret. It keys the hashes of API keys and the
	// token that authenticates forwarded requests.
	Secret []byte
	// HomeGroup returns the home group of a workspace.
	HomeGroup func(corianderwing.WorkspaceID) corianderwing.GroupID
	// SetPhase changes the phase that this instance announces.
	SetPhase func(corianderwing.Phase)
	// ShiftShare returns the share of requests for the new version while a move
	// is in progress. If nil, a new version gets 1%.
	ShiftShare func(m corianderwing.Move, now time.Time) float64
	// Observe is called with each attempt at an upstream, for the comparison of
	// versions during a move. It must return quickly. Optional.
	Observe func(Sample)
	// Metrics is the registry for the metrics. Default: a new registry.
	Metrics metrics.Registry
}

// Sample is the outcome of one attempt at an upstream.
type Sample struct {
	At        time.Time
	Pool      corianderwing.PoolID
	Upstream  corianderwing.UpstreamID
	Version   corianderwing.VersionID
	Workspace corianderwing.WorkspaceID
	Service   corianderwing.ServiceID
	Route     corianderwing.RouteID
	Code      corianderwing.Code
	Status    int           // of the upstream's response, 0 if there is none
	FirstByte time.Duration // time to the first byte of the response
}

// Server is the entry role of one instance. It holds the queues, slots and
// health of the pools that this instance owns.
type Server struct {
	cfg            Config
	opt            options
	self           corianderwing.Instance
	hasher         *hasher
	fleetToken     string
	idPrefix       string
	requestSeq     atomic.Uint64
	meter          *meter
	registry       *requestRegistry
	peers          sync.Map // internal address → *peer
	suspects       sync.Map // corianderwing.InstanceID → time.Time until which other owners are preferred
	firstByteTimes sync.Map // routeID → *atomic.Int64
	fullLinks      sync.Map // corianderwing.RegionID → time.Time until which its link to this region counts as full
	sizeEstimators sync.Map // routeID → *link.SizeEstimator
	snapshots      atomic.Pointer[map[corianderwing.PoolID]*snapshot]
	snapshotMu     sync.Mutex // serializes writers of snapshots

	poolMu sync.Mutex
	pools  atomic.Pointer[map[corianderwing.PoolID]*pool]

	budgetMu sync.Mutex
	budget   *retry.Budget

	active          atomic.Int64 // requests in progress, including forwarded ones
	pendingOutcomes atomic.Int64 // outcomes of orders that are not stored yet
	draining        atomic.Bool  // this instance is omitted from lookup responses
	closing         atomic.Bool  // responses carry Connection: close
	ctx             context.Context
	cancel          context.CancelFunc
	done            chan struct{}
}

// Option changes a default of a Server.
type Option func(*options)

type options struct {
	lookupTTL         time.Duration
	propagationDelay  time.Duration
	headerLimit       int
	maxStoredResponse int
	dial              relay.DialFunc
	seed              uint64
	tick              time.Duration
	queue             queue.Config
	route             route.Config
	retry             retry.Config
	reuseConns        bool
	announceToken     string
}

// WithLookupTTL sets how long callers may cache a lookup response. Default 5 s.
func WithLookupTTL(d time.Duration) Option { return func(o *options) { o.lookupTTL = d } }

// WithPropagationDelay sets how long other instances may still include this one
// in their lookup responses after it has begun to drain. Default 1 s.
func WithPropagationDelay(d time.Duration) Option { return func(o *options) { o.propagationDelay = d } }

// WithHeaderLimit sets the maximum size of a request header, in bytes. Default
// 16 KiB.
func WithHeaderLimit(n int) Option { return func(o *options) { o.headerLimit = n } }

// WithDial sets the function that opens connections.
func WithDial(d relay.DialFunc) Option { return func(o *options) { o.dial = d } }

// WithSeed makes random choices reproducible.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithQueue sets the limits of each pool's queue.
func WithQueue(c queue.Config) Option { return func(o *options) { o.queue = c } }

// WithRoute configures the selection of upstreams.
func WithRoute(c route.Config) Option { return func(o *options) { o.route = c } }

// WithRetry configures the retry budget.
func WithRetry(c retry.Config) Option { return func(o *options) { o.retry = c } }

// WithAnnounceToken requires announcements to carry this token in the Cw-Token
// header.
func WithAnnounceToken(t string) Option { return func(o *options) { o.announceToken = t } }

// New starts a Server. Close stops it.
func New(cfg Config, opts ...Option) (*Server, error) {
	if cfg.Settings == nil || cfg.Limiter == nil || cfg.Control == nil || cfg.Fleet == nil || cfg.Recorder == nil {
		return nil, errors.New("entry: Config requires Settings, Limiter, Control, Fleet and Recorder")
	}
	if len(cfg.Secret) == 0 || cfg.HomeGroup == nil {
		return nil, errors.New("entry: Config requires Secret and HomeGroup")
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	opt := options{
		lookupTTL:         5 * time.Second,
		propagationDelay:  time.Second,
		headerLimit:       16 << 10,
		maxStoredResponse: 1 << 20,
		dial:              relay.TCPDialer(nil),
		seed:              rand.Uint64(),
		tick:              20 * time.Millisecond,
	}
	for _, o := range opts {
		o(&opt)
	}
	s := &Server{
		cfg:        cfg,
		opt:        opt,
		self:       cfg.Fleet.Self(),
		hasher:     newHasher(cfg.Secret),
		fleetToken: deriveFleetToken(cfg.Secret),
		idPrefix:   strconv.FormatUint(rand.Uint64(), 36) + "-",
		meter:      newMeter(cfg.Metrics),
		registry:   newRequestRegistry(),
		budget:     retry.NewBudget(opt.retry),
		done:       make(chan struct{}),
	}
	s.pools.Store(&map[corianderwing.PoolID]*pool{})
	s.snapshots.Store(&map[corianderwing.PoolID]*snapshot{})
	s.ctx, s.cancel = context.WithCancel(context.Background())
	changed := make(chan struct{}, 1)
	cfg.Settings.OnChange(func() {
		select {
		case changed <- struct{}{}:
		default:
		}
	})
	go s.loop(changed)
	return s, nil
}

// deriveFleetToken derives the token that authenticates instances to each
// other.
func deriveFleetToken(secret []byte) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte("corianderwing hand-over"))
	return hex.EncodeToString(mac.Sum(nil))
}

const (
	syncTicks     = 5  // between updates of the owned pools: 100 ms
	snapshotTicks = 25 // between updates of the snapshots: 500 ms, the gossip interval
)

// loop updates the snapshots that the request path reads, dispatches queued
// requests, and cancels requests whose key has been revoked.
func (s *Server) loop(changed <-chan struct{}) {
	defer close(s.done)
	tick := time.NewTicker(s.opt.tick)
	defer tick.Stop()
	for tickCount := 0; ; tickCount++ {
		select {
		case <-s.ctx.Done():
			return
		case <-changed:
			s.registry.cancelRevoked(s.cfg.Settings)
			s.sync()
		case <-tick.C:
			now := time.Now()
			if tickCount%syncTicks == 0 {
				s.sync()
			}
			if tickCount%snapshotTicks == 0 {
				s.refreshSnapshots(now)
			}
			for _, p := range *s.pools.Load() {
				p.tick(now)
			}
		}
	}
}

// Public returns the handler for requests from callers.
func (s *Server) Public() http.Handler { return http.HandlerFunc(s.public) }

// Internal returns the handler for requests forwarded by other entry instances.
func (s *Server) Internal() http.Handler { return http.HandlerFunc(s.internal) }

// Close shuts the instance down without interrupting requests. It removes the
// instance from lookup responses, keeps serving until cached lookup responses
// have expired, then sends Connection: close, and returns once no request is in
// progress and every order's outcome is stored. If ctx ends first, the
// remaining requests are canceled and the cause is returned.
func (s *Server) Close(ctx context.Context) error {
	s.draining.Store(true)
	if s.cfg.SetPhase != nil {
		s.cfg.SetPhase(corianderwing.Draining)
	}
	err := sleep(ctx, s.opt.lookupTTL+s.opt.propagationDelay)
	s.closing.Store(true)
	for err == nil && s.active.Load()+s.pendingOutcomes.Load() > 0 {
		err = sleep(ctx, s.opt.tick)
	}
	if err != nil {
		s.registry.cancelAll(corianderwing.Errorf(corianderwing.Stopping, "instance stopped before the request completed"))
	}
	s.cancel()
	<-s.done
	for _, p := range *s.pools.Load() {
		p.reset()
	}
	s.peers.Range(func(_, h any) bool {
		h.(*peer).Reset()
		return true
	})
	return err
}

func sleep(ctx context.Context, d time.Duration) error {
	if !clock.Sleep(ctx, d) {
		return context.Cause(ctx)
	}
	return nil
}

// nextID returns a request id that is unique in the fleet.
func (s *Server) nextID() corianderwing.RequestID {
	b := make([]byte, 0, 32)
	b = append(b, s.idPrefix...)
	b = strconv.AppendUint(b, s.requestSeq.Add(1), 36)
	return corianderwing.RequestID(b)
}
