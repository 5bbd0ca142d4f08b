// Package entry is the entry role of an instance: it takes requests from
// callers, checks and limits them, and brings each one to an upstream, through
// the pool owner of the failure domain that it chooses.
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

// Config holds what an entry instance needs from the rest of the process.
type Config struct {
	Settings corianderwing.SettingsSource
	Limiter  corianderwing.RateLimiter
	Control  corianderwing.ControlClient
	Fleet    corianderwing.Fleet
	Recorder corianderwing.Recorder
	// Links bounds what is sent to other regions. Without it nothing does.
	Links corianderwing.LinkLimiter

	// Secret is the fleet's secret: it keys the hashes of callers' keys and
	// the token of hand-overs.
	Secret []byte
	// HomeGroup returns the home group of a workspace.
	HomeGroup func(corianderwing.WorkspaceID) corianderwing.GroupID
	// SetPhase changes the phase under which this instance is announced.
	SetPhase func(corianderwing.Phase)
	// ShiftShare returns the share of the new version while a move is under way.
	// Without it a new version gets 1%.
	ShiftShare func(m corianderwing.Move, now time.Time) float64
	// Observe is called with each attempt at an upstream, as evidence for
	// moves. It must return quickly. Optional.
	Observe func(Sample)
	// Metrics receives the metrics. Default: a new registry.
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
	Status    int           // of the upstream's answer, 0 if there is none
	FirstByte time.Duration // to the first byte of the answer
}

// Server is the entry role of one instance. It owns the queues, slots and
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
	peers          sync.Map // inner address → *peer
	suspects       sync.Map // corianderwing.InstanceID → time.Time until which others are preferred
	firstByteTimes sync.Map // routeID → *atomic.Int64
	fullLinks      sync.Map // corianderwing.RegionID → time.Time until which its link to us is full
	sizeEstimators sync.Map // routeID → *link.SizeEstimator
	snapshots      atomic.Pointer[map[corianderwing.PoolID]*snapshot]
	snapshotMu     sync.Mutex // serialises writers of views

	poolMu sync.Mutex
	pools  atomic.Pointer[map[corianderwing.PoolID]*pool]

	budgetMu sync.Mutex
	budget   *retry.Budget

	active          atomic.Int64 // requests in progress, hand-overs included
	pendingOutcomes atomic.Int64 // outcomes of orders that are not stored yet
	draining        atomic.Bool  // leaves the lookup answers
	closing         atomic.Bool  // answers with Connection: close
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

// WithLookupTTL sets for how long callers may cache a lookup answer. Default 5 s.
func WithLookupTTL(d time.Duration) Option { return func(o *options) { o.lookupTTL = d } }

// WithPropagationDelay sets for how long other instances may still name this one in
// their lookup answers after it has begun to drain. Default 1 s.
func WithPropagationDelay(d time.Duration) Option { return func(o *options) { o.propagationDelay = d } }

// WithHeaderLimit sets the largest request header, in bytes. Default 16 KiB.
func WithHeaderLimit(n int) Option { return func(o *options) { o.headerLimit = n } }

// WithDial replaces the way connections are opened.
func WithDial(d relay.DialFunc) Option { return func(o *options) { o.dial = d } }

// WithSeed makes random choices repeatable.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithQueue bounds the waiting queue of each pool.
func WithQueue(c queue.Config) Option { return func(o *options) { o.queue = c } }

// WithRoute sets the constants of the choice of upstreams.
func WithRoute(c route.Config) Option { return func(o *options) { o.route = c } }

// WithRetry sets the size of the retry budget.
func WithRetry(c retry.Config) Option { return func(o *options) { o.retry = c } }

// WithAnnounceToken makes announcements need this value in the header
// Cw-Token.
func WithAnnounceToken(t string) Option { return func(o *options) { o.announceToken = t } }

// New starts an entry role. Close stops it.
func New(cfg Config, opts ...Option) (*Server, error) {
	if cfg.Settings == nil || cfg.Limiter == nil || cfg.Control == nil || cfg.Fleet == nil || cfg.Recorder == nil {
		return nil, errors.New("entry: Config lacks a port")
	}
	if len(cfg.Secret) == 0 || cfg.HomeGroup == nil {
		return nil, errors.New("entry: Config lacks Secret or Home")
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

// deriveFleetToken derives the token that instances show each other.
func deriveFleetToken(secret []byte) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte("corianderwing hand-over"))
	return hex.EncodeToString(mac.Sum(nil))
}

const (
	syncTicks     = 5  // between renewals of the own pools: 100 ms
	snapshotTicks = 25 // between renewals of the places: 500 ms, as often as gossip
)

// loop keeps the snapshots of the request path current, wakes queues, and ends
// requests under revoked keys.
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

// Public returns the handler for callers.
func (s *Server) Public() http.Handler { return http.HandlerFunc(s.public) }

// Internal returns the handler for hand-over from other entry instances.
func (s *Server) Internal() http.Handler { return http.HandlerFunc(s.internal) }

// Close stops the instance without cutting off a request: it leaves the lookup
// answers, serves until the cached ones have expired, answers with
// Connection: close, and returns once no request is in progress and no outcome
// of an order is unsettled. If ctx ends first, the remaining requests are cut
// off and the cause is returned.
func (s *Server) Close(ctx context.Context) error {
	s.draining.Store(true)
	if s.cfg.SetPhase != nil {
		s.cfg.SetPhase(corianderwing.Draining)
	}
	err := pause(ctx, s.opt.lookupTTL+s.opt.propagationDelay)
	s.closing.Store(true)
	for err == nil && s.active.Load()+s.pendingOutcomes.Load() > 0 {
		err = pause(ctx, s.opt.tick)
	}
	if err != nil {
		s.registry.cancelAll(corianderwing.Errorf(corianderwing.Stopping, "the instance stopped"))
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

func pause(ctx context.Context, d time.Duration) error {
	if !clock.Sleep(ctx, d) {
		return context.Cause(ctx)
	}
	return nil
}

// nextID returns a request id that no other request of the fleet has.
func (s *Server) nextID() corianderwing.RequestID {
	b := make([]byte, 0, 32)
	b = append(b, s.idPrefix...)
	b = strconv.AppendUint(b, s.requestSeq.Add(1), 36)
	return corianderwing.RequestID(b)
}
