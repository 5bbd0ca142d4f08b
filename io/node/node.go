package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"corianderwing"
	"corianderwing/core/budget"
	"corianderwing/core/usage"
	"corianderwing/io/accept"
	"corianderwing/io/clock"
	"corianderwing/io/follow"
	"corianderwing/io/gate"
	"corianderwing/io/logs"
	"corianderwing/io/meter"
	"corianderwing/io/peer"
	"corianderwing/io/plane"
	"corianderwing/io/report"
)

// Adapter implements the protocols of a deployment's callers, upstreams and
// operators.
type Adapter interface {
	corianderwing.Dialect
	corianderwing.UsageDialect
	// Admin returns the handler for upstreams and operators.
	Admin(s corianderwing.ControlPlane, l *log.Logger) http.Handler
	// Lookup returns the handler for callers that look up entry instances.
	Lookup(s corianderwing.ControlPlane) http.Handler
	// Ready returns the handler for readiness checks.
	Ready(ready func() bool) http.Handler
}

// Node is a running instance.
type Node struct {
	cfg        *Settings
	adapter    Adapter
	log        *log.Logger
	logWriter  *logs.Writer
	meter      *meter.Meter
	peerClient *peer.Client
	peerServer *peer.Server

	wg       sync.WaitGroup
	failed   chan error
	lateness lateness
	stopLate context.CancelFunc
	guard    *accept.Guard
	servers  []*server

	plane         *plane.Plane
	reporter      *report.Reporter // nil if usage is not reported
	adminMeasurer measurer         // nil if the API for upstreams and operators has no gauges
	follow        *follow.Follower
	gate          atomic.Pointer[gate.Server]
	publicServer  *server
}

// Start starts an instance and returns when its listeners are open.
func Start(cfg *Settings, a Adapter) (*Node, error) {
	logWriter := logs.New(os.Stdout)
	n := &Node{
		cfg:       cfg,
		adapter:   a,
		logWriter: logWriter,
		log: &log.Logger{
			Level:      log.ParseLevel(cfg.LogLevel),
			TimeFormat: "2006-01-02T15:04:05.000",
			Context:    log.NewContext(nil).Str("instance", cfg.Name).Value(),
			Writer:     logWriter,
		},
		meter:      meter.New(),
		peerClient: peer.NewClient([]byte(cfg.Secret), peer.WithSourceIP(cfg.sourceIP())),
		failed:     make(chan error, 8),
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stopLate = cancel
	n.wg.Go(func() { n.lateness.run(ctx, n.log) })
	n.guard = accept.NewGuard(budget.LimitsOf(cfg.memory(), cfg.maxFiles()), n.log, n.meter, cfg.classes()...)
	n.peerServer = peer.NewServer([]byte(cfg.Secret), peer.WithLog(n.log), peer.WithMaxHandshakes(maxHandshakes(cfg.MemoryLimitMB)))
	n.log.Info().Str("role", cfg.Role).Str("domain", string(cfg.Domain)).Str("peer", cfg.peerAddr()).
		Strs("seeds", cfg.Seeds).Bool("found", cfg.Bootstrap).Msg(logs.Started)
	limitMemory(cfg.memory())
	start := n.startEntry
	if cfg.Role == Control {
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

// limitMemory sets the memory limit of the Go runtime, so that the garbage collector
// runs more often before the memory of the machine is used up.
func limitMemory(memory corianderwing.Bytes) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(budget.RuntimeLimit(memory)))
	}
}

func (n *Node) startEntry() error {
	cfg := n.cfg
	self := corianderwing.Instance{
		ID:          corianderwing.InstanceID(cfg.Name),
		Incarnation: corianderwing.Incarnation(time.Now().UnixMilli()),
		Domain:      cfg.Domain,
		Region:      cfg.Region,
		PublicAddr:  cfg.Listen.Public,
		PeerAddr:    cfg.peerAddr(),
	}
	limits := gate.NewLimits(time.Duration(cfg.Bounds.RateWindow))
	recorder := &usage.Recorder{}
	n.follow = follow.New(follow.Config{
		RegionOf: cfg.regionOf,
		Self: func() corianderwing.Instance {
			self := self
			self.Phase = corianderwing.Draining
			if g := n.gate.Load(); g != nil && g.Accepting() {
				self.Phase = corianderwing.Ready
			}
			return self
		},
		Seeds:      cfg.seedPeerAddrs(),
		Lease:      time.Duration(cfg.Bounds.MaxRevokeDelay) - leaseMargin,
		CurrentFor: min(time.Duration(cfg.Bounds.MaxApplyDelay), time.Duration(cfg.Bounds.MaxRevokeDelay)) - leaseMargin,
		Log:        n.log,
		OnChange:   func() { n.notifyChange() },
		Limits:     limits,
		Lender:     limits,
		Usage:      recorder,
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
	}, n.peerClient)
	n.follow.Register(n.peerServer)
	g := gate.New(gate.Config{
		Instance: self.ID,
		Domain:   cfg.Domain,
		RegionOf: cfg.regionOf,
		SourceIP: cfg.sourceIP(),
		Control:  n.follow,

		SingleRegion: cfg.hasSingleRegion(),

		Limits:  limits,
		Dialect: n.adapter,
		Log:     n.log,
		Meter:   n.meter,
		Usage:   recorder,

		RetryRatio: cfg.Bounds.RetryRatio,
	})
	n.gate.Store(g)
	if err := n.servePeers(cfg.peerAddr()); err != nil {
		return err
	}
	var err error
	if n.publicServer, err = n.serve(cfg.Listen.Public, g, budget.Callers, 0); err != nil {
		return err
	}
	if cfg.Listen.Ready != "" {
		_, err = n.serve(cfg.Listen.Ready, n.adapter.Ready(g.Ready), budget.Status, callTimeout)
	}
	return err
}

// leaseMargin is how long before the guaranteed bound an instance stops accepting
// a key that may have been revoked.
const leaseMargin = 400 * time.Millisecond

// notifyChange notifies the gate of a change of the state.
func (n *Node) notifyChange() {
	if g := n.gate.Load(); g != nil {
		g.NotifyChange()
	}
}

// Reload applies the settings that may change at run time: the seeds, the log level
// and the receiver of usage reports. If the settings could not be read, it logs err and
// changes nothing.
func (n *Node) Reload(cfg *Settings, err error) {
	if err != nil {
		n.log.Error().Err(err).Msg("failed to reload settings")
		return
	}
	n.log.SetLevel(log.ParseLevel(cfg.LogLevel))
	if n.follow != nil {
		n.follow.SetSeeds(cfg.seedPeerAddrs())
	}
	if n.plane != nil {
		n.plane.SetSeeds(cfg.seedPeerAddrs())
	}
	if n.reporter != nil && cfg.Usage.Enabled() {
		n.reporter.SetAddr(cfg.Usage.Receiver)
	}
	n.log.Info().Strs("seeds", cfg.Seeds).Msg("settings reloaded")
}

// Failed returns a channel that receives an error when the instance cannot
// continue.
func (n *Node) Failed() <-chan error { return n.failed }

// drainTime is how long a stopping entry instance continues to accept requests, so
// that callers have made a lookup that no longer returns it.
const drainTime = 2200 * time.Millisecond

// Close stops the instance. It lets requests finish until ctx ends.
func (n *Node) Close(ctx context.Context) error {
	n.log.Info().Msg("instance stopping")
	var all []error
	if g := n.gate.Load(); g != nil {
		all = append(all, n.closeEntry(ctx, g))
	}
	if n.reporter != nil {
		n.reporter.Close()
	}
	if n.plane != nil {
		n.finishCalls(ctx)
		all = append(all, n.plane.Close(ctx))
	}
	for _, s := range n.servers {
		s.Close()
	}
	n.peerServer.Stop()
	n.peerClient.Close()
	n.stopLate()
	n.wg.Wait()
	n.guard.Close()
	n.log.Info().Int64("dropped", n.logWriter.Dropped()).Msg(logs.Stopped)
	n.logWriter.Close(time.Now().Add(time.Second))
	return errors.Join(all...)
}

// maxCallTime is the longest time that the calls of upstreams and operators take.
const maxCallTime = time.Second

// finishCalls stops the servers of a control instance once the calls in progress have
// ended, while the replica that they need still runs. Later calls go to another
// instance.
func (n *Node) finishCalls(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxCallTime)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range n.servers {
		wg.Go(func() { _ = s.shutdown(ctx) }) // Close ends the calls that are left
	}
	wg.Wait()
}

func (n *Node) closeEntry(ctx context.Context, g *gate.Server) error {
	end, ok := ctx.Deadline()
	if !ok {
		end = time.Now().Add(time.Duration(n.cfg.Bounds.GracePeriod))
	}
	g.Drain(end)
	n.follow.Heartbeat(ctx)
	clock.Sleep(ctx, drainTime)
	var err error
	if n.publicServer != nil {
		err = n.publicServer.shutdown(ctx)
	}
	n.follow.ReportUsage(ctx)
	n.follow.Close()
	g.Close()
	return err
}

// servePeers serves calls from other instances in the background.
func (n *Node) servePeers(addr string) error {
	l, err := net.Listen("tcp", n.cfg.listenAddr(addr))
	if err != nil {
		return eris.Wrap(err, "listening for peers")
	}
	n.wg.Go(func() {
		if err := n.peerServer.Serve(l); err != nil {
			n.fail(err)
		}
	})
	return nil
}

func (n *Node) fail(err error) {
	n.log.Error().Err(err).Msg("instance cannot continue")
	select {
	case n.failed <- err:
	default:
	}
}
