// Package demo runs a small fleet in one process: six failure domains in three
// regions, stand-in upstreams, and traffic. It revokes a key, drains an
// upstream and kills a control instance on the way, and reports what callers
// saw and whether an invariant broke.
package demo

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"corianderwing"
	"corianderwing/io/admin"
	"corianderwing/io/conf"
	"corianderwing/io/daemon"
	"corianderwing/io/local"
	"corianderwing/io/stub"
)

//go:embed fleet.yaml
var fleetYAML []byte

// lookupFor is for how long the demo's callers may cache a lookup. It is
// shorter than the product's default, so that the demo stops quickly.
const lookupFor = 2 * time.Second

// fleet is a whole deployment in one process.
type fleet struct {
	cfg    *conf.Config
	dir    string
	admin  *admin.Client
	broken atomic.Int64 // invariants that the product found broken
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	daemons map[corianderwing.InstanceID]*daemon.Daemon
	stubs   map[corianderwing.UpstreamID]*stub.Server
}

// startFleet starts every process and stand-in of the embedded settings.
func startFleet() (*fleet, error) {
	cfg, err := conf.Parse("fleet.yaml", fleetYAML)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "corianderwing-demo")
	if err != nil {
		return nil, eris.Wrap(err, "create data directory")
	}
	f := &fleet{
		cfg:     cfg,
		dir:     dir,
		daemons: map[corianderwing.InstanceID]*daemon.Daemon{},
		stubs:   map[corianderwing.UpstreamID]*stub.Server{},
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	if err := f.start(); err != nil {
		f.stop(context.Background())
		return nil, err
	}
	return f, nil
}

func (f *fleet) start() error {
	if err := f.assignAddrs(); err != nil {
		return err
	}
	for _, p := range f.cfg.Processes {
		d, err := daemon.Start(f.cfg, p.ID,
			daemon.WithSeed(),
			daemon.WithLookupTTL(lookupFor),
			daemon.WithLog(&log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}),
			daemon.WithViolationHandler(func(string, string) { f.broken.Add(1) }),
		)
		if err != nil {
			return eris.Wrapf(err, "start %s", p.ID)
		}
		f.daemons[p.ID] = d
	}
	for i, s := range f.cfg.Stubs {
		if err := f.startStub(i, s); err != nil {
			return err
		}
	}
	var addrs []string
	for _, p := range f.cfg.Processes {
		if p.Control != nil {
			addrs = append(addrs, p.Control.AdminAddr)
		}
	}
	client, err := admin.NewClient(addrs, admin.WithOperator("demo"))
	f.admin = client
	return err
}

// assignAddrs gives every process and stand-in free loopback ports, and lists
// each stand-in by itself.
func (f *fleet) assignAddrs() error {
	var stubs []conf.Stub
	for _, s := range f.cfg.Stubs {
		for range s.Count {
			one := s
			one.Count = 1
			stubs = append(stubs, one)
		}
	}
	f.cfg.Stubs = stubs
	var addrs []*string
	for i := range f.cfg.Processes {
		p := &f.cfg.Processes[i]
		if p.Control != nil {
			p.Control.DataDir = filepath.Join(f.dir, string(p.ID))
			addrs = append(addrs, &p.Control.PeerAddr, &p.Control.AdminAddr)
		}
		if p.Entry != nil {
			addrs = append(addrs, &p.Entry.PublicAddr, &p.Entry.InternalAddr, &p.Entry.PeerAddr)
		}
	}
	for i := range f.cfg.Stubs {
		addrs = append(addrs, &f.cfg.Stubs[i].Address)
	}
	for _, addr := range addrs {
		free, err := local.Addr()
		if err != nil {
			return eris.Wrap(err, "find a free port")
		}
		*addr = free
	}
	return nil
}

func (f *fleet) startStub(n int, s conf.Stub) error {
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return eris.Wrap(err, "listen for stand-in")
	}
	id := corianderwing.UpstreamID(fmt.Sprintf("%s-%s", s.Pool, strconv.Itoa(n)))
	srv := stub.New(stub.Config{
		ID:      id,
		Pool:    s.Pool,
		Domain:  s.Domain,
		Version: s.Version,
		Addr:    s.Address,
		Entries: f.entries(s.Domain),
		Slots:   s.Slots,
		Conns:   s.MaxConns,
		Time:    time.Duration(s.ServiceTime * float64(time.Millisecond)),
		Connect: time.Duration(s.ConnectTime * float64(time.Millisecond)),
		Spread:  0.3,
		Seed:    uint64(n + 1),
		Log:     &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}},
	})
	f.stubs[id] = srv
	f.wg.Go(func() {
		_ = srv.Serve(f.ctx, f.ctx, l) // ends with the demo
	})
	return nil
}

// entries returns the public addresses of a failure domain's entry instances.
func (f *fleet) entries(d corianderwing.DomainID) []string {
	var addrs []string
	for _, p := range f.cfg.Processes {
		if p.Entry != nil && p.Domain == d {
			addrs = append(addrs, p.Entry.PublicAddr)
		}
	}
	return addrs
}

// kill ends a process as a crash would.
func (f *fleet) kill(id corianderwing.InstanceID) {
	f.mu.Lock()
	d := f.daemons[id]
	delete(f.daemons, id)
	f.mu.Unlock()
	if d != nil {
		d.Kill()
	}
}

// stop ends everything: entry instances gracefully and at the same time, then
// the rest.
func (f *fleet) stop(ctx context.Context) error {
	var wg sync.WaitGroup
	errs := make(chan error, len(f.daemons))
	for id, d := range f.daemons {
		if p, _ := f.cfg.Process(id); p.Entry != nil {
			wg.Go(func() { errs <- d.Close(ctx) })
		}
	}
	wg.Wait()
	for id, d := range f.daemons {
		if p, _ := f.cfg.Process(id); p.Entry == nil {
			d.Kill()
		}
	}
	close(errs)
	var all []error
	for err := range errs {
		all = append(all, err)
	}
	f.cancel()
	f.wg.Wait()
	all = append(all, os.RemoveAll(f.dir))
	return errors.Join(all...)
}
