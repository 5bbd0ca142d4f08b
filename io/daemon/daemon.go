// Package daemon assembles the roles of one process from its settings.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"corianderwing"
	"corianderwing/io/conf"
	"corianderwing/io/ctrl"
	"corianderwing/io/peer"
)

// Daemon is one running process of the system, with its roles.
type Daemon struct {
	cfg     *conf.Config
	process conf.Process
	opts    options
	log     *log.Logger
	peer    *peer.Client

	ctx    context.Context // ends when Close has stopped the roles
	cancel context.CancelFunc
	wg     sync.WaitGroup
	failed chan error

	control *control
	entry   *entryRole
}

type options struct {
	log         *log.Logger
	seed        bool
	metrics     metrics.Registry
	lookupTTL   time.Duration
	onViolation func(invariant, detail string)
}

// Option changes a default of a Daemon.
type Option func(*options)

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(o *options) { o.log = l } }

// WithSeed makes the leader of each group apply the settings file's tree to
// the group while its own tree is empty.
func WithSeed() Option { return func(o *options) { o.seed = true } }

// WithMetrics sets the registry for the process's metrics.
func WithMetrics(r metrics.Registry) Option { return func(o *options) { o.metrics = r } }

// WithLookupTTL sets for how long callers may cache a lookup.
func WithLookupTTL(d time.Duration) Option { return func(o *options) { o.lookupTTL = d } }

// WithViolationHandler sets a function that is called on every invariant violation.
func WithViolationHandler(f func(invariant, detail string)) Option {
	return func(o *options) { o.onViolation = f }
}

// Start starts the process id of a deployment. It returns once the listeners
// are open; control groups may still be electing a leader.
func Start(cfg *conf.Config, id corianderwing.InstanceID, opts ...Option) (*Daemon, error) {
	p, ok := cfg.Process(id)
	if !ok {
		return nil, corianderwing.Errorf(corianderwing.NotFound, "process %q is not in %s", id, cfg.Name)
	}
	o := options{log: &log.DefaultLogger, metrics: metrics.NewRegistry(), lookupTTL: 5 * time.Second}
	for _, opt := range opts {
		opt(&o)
	}
	o.onViolation = o.violationHandler(o.onViolation)
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		cfg:     cfg,
		process: p,
		opts:    o,
		log:     o.log,
		peer:    peer.NewClient(cfg.Secret),
		ctx:     ctx,
		cancel:  cancel,
		failed:  make(chan error, 8),
	}
	if err := d.start(); err != nil {
		d.stop()
		return nil, err
	}
	return d, nil
}

// violationHandler returns a function that logs and counts an invariant
// violation before it calls next.
func (o *options) violationHandler(next func(invariant, detail string)) func(invariant, detail string) {
	count := metrics.GetOrRegisterCounter("broken", o.metrics)
	return func(invariant, detail string) {
		count.Inc(1)
		o.log.Error().Str("invariant", invariant).Str("detail", detail).Msg("invariant violated")
		if next != nil {
			next(invariant, detail)
		}
	}
}

func (d *Daemon) start() error {
	if d.process.Control != nil {
		if err := d.startControl(); err != nil {
			return err
		}
	}
	if d.process.Entry != nil {
		return d.startEntry()
	}
	return nil
}

// Failed returns a channel that receives an error when a role cannot continue.
func (d *Daemon) Failed() <-chan error { return d.failed }

// Close stops the process gracefully: the entry role first, so that no
// request is interrupted, then the control role.
func (d *Daemon) Close(ctx context.Context) error {
	var all []error
	if d.entry != nil {
		all = append(all, d.entry.close(ctx))
	}
	if d.control != nil {
		all = append(all, d.control.close(ctx))
	}
	d.stop()
	return errors.Join(all...)
}

// Kill stops the process at once, as if it had crashed: connections are reset
// and no state is handed over.
func (d *Daemon) Kill() {
	d.cancel()
	if d.entry != nil {
		d.entry.kill()
	}
	if d.control != nil {
		d.control.kill()
	}
	d.stop()
}

func (d *Daemon) stop() {
	d.cancel()
	d.peer.Close()
	d.wg.Wait()
}

func (d *Daemon) fail(err error) {
	select {
	case d.failed <- err:
	default:
	}
}

// voters returns the voters of every group with their addresses.
func (d *Daemon) voters() map[corianderwing.GroupID][]ctrl.Voter {
	all := map[corianderwing.GroupID][]ctrl.Voter{}
	for _, g := range d.cfg.Groups {
		for _, id := range g.Voters {
			if p, ok := d.cfg.Process(id); ok && p.Control != nil {
				all[g.Name] = append(all[g.Name], ctrl.Voter{ID: id, Addr: p.Control.PeerAddr})
			}
		}
	}
	return all
}

// serveHTTP serves h on addr until the returned server is closed.
func (d *Daemon) serveHTTP(addr string, h http.Handler, maxHeader int) (*http.Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: maxHeader}
	d.wg.Go(func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.fail(eris.Wrapf(err, "serve on %s", addr))
		}
	})
	return srv, nil
}

// servePeers serves s on addr until s is stopped.
func (d *Daemon) servePeers(addr string, s *peer.Server) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	d.wg.Go(func() {
		if err := s.Serve(l); err != nil && d.ctx.Err() == nil {
			d.fail(err)
		}
	})
	return nil
}
