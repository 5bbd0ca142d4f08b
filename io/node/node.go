package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"corianderwing"
	"corianderwing/io/clock"
	"corianderwing/io/follow"
	"corianderwing/io/gate"
	"corianderwing/io/logs"
	"corianderwing/io/meter"
	"corianderwing/io/peer"
	"corianderwing/io/plane"
	"corianderwing/io/quorum"
)

// Adapter speaks the language of a deployment's callers, upstreams and
// operators.
type Adapter interface {
	corianderwing.Dialect
	// Admin serves upstreams and operators.
	Admin(s corianderwing.ControlPlane, l *log.Logger) http.Handler
	// Lookup serves callers that ask which entry instances to use.
	Lookup(s corianderwing.ControlPlane) http.Handler
	// Ready serves readiness checks.
	Ready(ready func() bool) http.Handler
}

// Node is a running instance.
type Node struct {
	set     *Settings
	adapter Adapter
	log     *log.Logger
	lines   *logs.Writer
	meter   *meter.Meter
	client  *peer.Client
	peers   *peer.Server

	wg      sync.WaitGroup
	failed  chan error
	servers []*http.Server

	plane  *plane.Plane
	follow *follow.Follower
	gate   atomic.Pointer[gate.Server]
	public *http.Server
}

// Start starts the instance. It returns once its listeners are open.
func Start(set *Settings, a Adapter) (*Node, error) {
	lines := logs.New(os.Stdout)
	n := &Node{
		set:     set,
		adapter: a,
		lines:   lines,
		log: &log.Logger{
			Level:      log.ParseLevel(set.Log),
			TimeFormat: "2006-01-02T15:04:05.000",
			Context:    log.NewContext(nil).Str("instance", set.Name).Value(),
			Writer:     lines,
		},
		meter:  meter.New(),
		client: peer.NewClient([]byte(set.Secret), peer.WithSource(set.source())),
		peers:  peer.NewServer([]byte(set.Secret)),
		failed: make(chan error, 8),
	}
	n.log.Info().Str("role", set.Role).Str("domain", string(set.Domain)).Str("peer", set.peerAddr()).
		Strs("seeds", set.Seeds).Bool("found", set.Found).Msg(logs.Started)
	limitMemory(set.Memory)
	start := n.startEntry
	if set.Role == Control {
		start = n.startControl
	}
	if err := start(); err != nil {
		return nil, errors.Join(err, n.Close(context.Background()))
	}
	if err := n.serveMetrics(); err != nil {
		return nil, errors.Join(err, n.Close(context.Background()))
	}
	return n, nil
}

// limitMemory makes the garbage collector work harder near the limit.
func limitMemory(mb int) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20 * 3 / 4)
	}
}

func (n *Node) startControl() error {
	set := n.set
	var err error
	n.plane, err = plane.Open(plane.Config{
		Quorum: quorum.Config{
			Addr:   set.peerAddr(),
			Domain: set.Domain,
			Region: set.Region,
			Data:   filepath.Join(set.Data, "site"),
			Seeds:  set.seedPeers(),
			Found:  set.Found,
			Voters: 2*max(1, set.Losses) + 1,
			Log:    n.log,
		},
		RegionOf:          set.regionOf,
		HeartbeatInterval: time.Duration(set.Beat),
		LookupTTL:         min(time.Duration(set.Bounds.Lookup), lookupFor),
		RateTolerance: plane.RateTolerance{
			Window:   time.Duration(set.Bounds.Window),
			Fraction: set.Bounds.Over,
			Requests: set.Bounds.Slack,
		},
		Log: n.log,
	}, n.client, n.peers)
	if err != nil {
		return eris.Wrap(err, "opening the control role")
	}
	if err := n.servePeers(set.peerAddr()); err != nil {
		return err
	}
	if set.Listen.Admin != "" {
		if _, err := n.serve(set.Listen.Admin, n.adapter.Admin(n.plane, n.log)); err != nil {
			return err
		}
	}
	if set.Listen.Lookup != "" {
		if _, err := n.serve(set.Listen.Lookup, n.adapter.Lookup(n.plane)); err != nil {
			return err
		}
	}
	return nil
}

// lookupFor is for how long callers may cache a lookup. It bounds how long
// they go on to an instance that stops, and each lookup costs a control
// instance about 0.2 ms.
const lookupFor = 2 * time.Second

func (n *Node) startEntry() error {
	set := n.set
	self := corianderwing.Instance{
		ID:          corianderwing.InstanceID(set.Name),
		Incarnation: corianderwing.Incarnation(time.Now().UnixMilli()),
		Domain:      set.Domain,
		Region:      set.Region,
		PublicAddr:  set.Listen.Public,
		PeerAddr:    set.peerAddr(),
	}
	limits := gate.NewLimits(time.Duration(set.Bounds.Window))
	n.follow = follow.New(follow.Config{
		RegionOf: set.regionOf,
		Self: func() corianderwing.Instance {
			self := self
			self.Phase = corianderwing.Draining
			if g := n.gate.Load(); g != nil && g.Accepting() {
				self.Phase = corianderwing.Ready
			}
			return self
		},
		Seeds:      set.seedPeers(),
		Lease:      time.Duration(set.Bounds.Revoke) - leaseMargin,
		CurrentFor: min(time.Duration(set.Bounds.Apply), time.Duration(set.Bounds.Revoke)) - leaseMargin,
		Log:        n.log,
		OnChange:   func() { n.changed() },
		Limits:     limits,
		TakeTrials: func() []plane.Trial {
			if g := n.gate.Load(); g != nil {
				return g.TakeTrials()
			}
			return nil
		},
		SetShares: func(list []plane.MoveShare) {
			if g := n.gate.Load(); g != nil {
				g.SetShares(list)
			}
		},
	}, n.client)
	g := gate.New(gate.Config{
		Domain:   set.Domain,
		RegionOf: set.regionOf,
		SourceIP: set.source(),
		Control:  n.follow,
		Limits:   limits,
		Dialect:  n.adapter,
		Log:      n.log,
		Meter:    n.meter,

		RetryRatio: set.Bounds.Retry,
	})
	n.gate.Store(g)
	if err := n.servePeers(set.peerAddr()); err != nil {
		return err
	}
	var err error
	if n.public, err = n.serve(set.Listen.Public, g); err != nil {
		return err
	}
	if set.Listen.Ready != "" {
		_, err = n.serve(set.Listen.Ready, n.adapter.Ready(g.Ready))
	}
	return err
}

// leaseMargin is how much sooner than promised a key that may have been
// withdrawn stops working.
const leaseMargin = 400 * time.Millisecond

// changed passes a change of the state on to the request path.
func (n *Node) changed() {
	if g := n.gate.Load(); g != nil {
		g.NotifyChange()
	}
}

// Reload takes over what may change while the instance runs: the seeds, and
// the level of the log. Settings that could not be read change nothing.
func (n *Node) Reload(set *Settings, err error) {
	if err != nil {
		n.log.Error().Err(err).Msg("settings not reloaded")
		return
	}
	n.log.SetLevel(log.ParseLevel(set.Log))
	if n.follow != nil {
		n.follow.SetSeeds(set.seedPeers())
	}
	if n.plane != nil {
		n.plane.SetSeeds(set.seedPeers())
	}
	n.log.Info().Strs("seeds", set.Seeds).Msg("settings reloaded")
}

// Failed returns a channel that gets an error when the instance cannot go on.
func (n *Node) Failed() <-chan error { return n.failed }

// leaveTime is how long a stopping entry instance goes on to accept requests:
// callers have then had a lookup that does not name it.
const leaveTime = 2200 * time.Millisecond

// Close stops the instance. No request is cut off that ends before ctx does.
func (n *Node) Close(ctx context.Context) error {
	n.log.Info().Msg("instance stops")
	var all []error
	if g := n.gate.Load(); g != nil {
		all = append(all, n.closeEntry(ctx, g))
	}
	if n.plane != nil {
		all = append(all, n.plane.Close(ctx))
	}
	for _, s := range n.servers {
		s.Close()
	}
	n.peers.Stop()
	n.client.Close()
	n.wg.Wait()
	n.log.Info().Int64("dropped", n.lines.Dropped()).Msg(logs.Stopped)
	n.lines.Close(time.Now().Add(time.Second))
	return errors.Join(all...)
}

func (n *Node) closeEntry(ctx context.Context, g *gate.Server) error {
	g.Drain()
	n.follow.Heartbeat(ctx)
	clock.Sleep(ctx, leaveTime)
	var err error
	if n.public != nil {
		err = n.public.Shutdown(ctx)
	}
	n.follow.Close()
	g.Close()
	return err
}

// serve serves h on addr until the instance is closed.
func (n *Node) serve(addr string, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", n.set.local(addr))
	if err != nil {
		return nil, eris.Wrap(err, "listening")
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readingTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    headerBytes,
		ErrorLog:          n.log.Std("", 0),
	}
	n.servers = append(n.servers, s)
	n.wg.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			n.fail(eris.Wrapf(err, "serving on %s", addr))
		}
	})
	return s, nil
}

// Bounds of every HTTP connection. The limits of the shared settings are
// narrower or about as wide.
const (
	readingTime = 5 * time.Second
	idleTime    = time.Minute
	headerBytes = 64 << 10
)

// servePeers serves other instances.
func (n *Node) servePeers(addr string) error {
	l, err := net.Listen("tcp", n.set.local(addr))
	if err != nil {
		return eris.Wrap(err, "listening for peers")
	}
	n.wg.Go(func() {
		if err := n.peers.Serve(l); err != nil {
			n.fail(err)
		}
	})
	return nil
}

func (n *Node) fail(err error) {
	n.log.Error().Err(err).Msg("instance cannot go on")
	select {
	case n.failed <- err:
	default:
	}
}
