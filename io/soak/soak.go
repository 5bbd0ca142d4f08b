// Package soak runs the real programs as separate processes on one machine,
// injects faults from outside them, and checks while it runs what callers and
// upstreams see.
//
// Faults come through a loopback proxy that stands between all processes, and
// through signals and changes of their files. A seed determines the plan of
// faults and all random choices; the processes themselves still run in real
// time, so that two runs with one seed are alike, not equal.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"corianderwing"
)

// Config tells what to run.
type Config struct {
	Program  string // path of the corianderwing program
	Wire     Wire
	Seed     uint64
	Length   time.Duration // of the traffic with faults
	Dir      string        // for settings, data and logs of the processes
	Controls int
	Entries  int
	Live     io.Writer // progress; nil for none
	Plan     []Step    // in place of the one that Seed gives
}

// Report is the outcome of a run.
type Report struct {
	Seed     uint64         `json:"seed"`
	Plan     []Step         `json:"plan"`
	Counts   map[string]int `json:"counts"`
	Breaches []Breach       `json:"breaches,omitempty"`
	More     int            `json:"more,omitempty"` // breaches that are not listed
	Dir      string         `json:"dir"`
}

// Text returns the report for a terminal.
func (r *Report) Text() string {
	var b strings.Builder
	names := make([]string, 0, len(r.Counts))
	for name := range r.Counts {
		names = append(names, name)
	}
	sort.Strings(names)
	fmt.Fprintf(&b, "seed %d: %d faults", r.Seed, len(r.Plan))
	for _, name := range names {
		fmt.Fprintf(&b, ", %s %d", name, r.Counts[name])
	}
	b.WriteString("\n")
	for _, x := range r.Breaches {
		fmt.Fprintf(&b, "broken: %s at %.3f s, request %s: %s\n", x.Promise, float64(x.At)/1000, x.ID, x.Detail)
	}
	if r.More > 0 {
		fmt.Fprintf(&b, "and %d more\n", r.More)
	}
	return b.String()
}

// run is a run under way.
type run struct {
	cfg        Config
	site       *Site
	ledger     *Ledger
	upstreams  []*Upstream
	receiver   *receiver
	keys       keyring
	start      time.Time
	disk       sync.Mutex // held while a disk is lost
	evacuating sync.Mutex
	asked      atomic.Uint64   // control processes in turn
	life       context.Context // ends with the run
	wg         sync.WaitGroup
	liveMu     sync.Mutex
}

const (
	upstreamsPerDomain = 3
	callersPerDomain   = 4
	// readyTime bounds the time until a new site serves.
	readyTime = 20 * time.Second
	// recoveryTime is within which requests are served again after the last
	// fault.
	recoveryTime = 15 * time.Second
	// servedPart is the least part of the requests after that time that must be
	// served.
	servedPart = 0.25
	lastTries  = 40
)

// Run carries out one run. It fails only if the site could not be set up;
// broken promises are in the Report.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	r := &run{cfg: cfg, start: time.Now()}
	limit := int((boundRate*windowBound.Seconds()+boundBurst)*(1+overBound) + slackBound)
	r.ledger = NewLedger(r.start, map[corianderwing.WorkspaceID]int{boundWorkspace: limit})
	if err := emptyDir(cfg.Dir); err != nil {
		return nil, err
	}
	var err error
	if r.site, err = NewSite(cfg.Program, cfg.Dir, cfg.Controls, cfg.Entries); err != nil {
		return nil, err
	}
	defer r.site.Close()
	if r.site.Receiver, err = r.startReceiver(); err != nil {
		return nil, err
	}
	defer r.receiver.close()
	r.site.Ended = func(p *Proc, err error) {
		how := "by itself"
		if !p.stopSince().IsZero() {
			how = "in a planned stop"
		}
		r.ledger.Break(Alive, time.Now(), "", "%s ended %s: %v", p.Name, how, err)
	}
	if cfg.Plan == nil {
		cfg.Plan = plan(r.random("plan"), cfg.Length)
		cfg.Plan = append(cfg.Plan, planCrowds(r.random("crowds"), cfg.Length)...)
	}
	if err := r.play(ctx, cfg.Plan); err != nil {
		return nil, err
	}
	breaches, more := r.ledger.Breaches()
	return &Report{Seed: cfg.Seed, Plan: cfg.Plan, Counts: r.ledger.Counts(), Breaches: breaches, More: more, Dir: cfg.Dir}, nil
}

// emptyDir creates a directory, or fails if there is one with files: processes
// would go on with the data of another run.
func emptyDir(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "create a directory")
	}
	files, err := os.ReadDir(dir)
	if err != nil {
		return eris.Wrap(err, "read a directory")
	}
	if len(files) > 0 {
		return corianderwing.Errorf(corianderwing.InvalidInput, "%s holds files of another run", dir)
	}
	return nil
}

// random returns the random numbers of one part of the run.
func (r *run) random(part string) *rand.Rand {
	var n uint64
	for _, c := range []byte(part) {
		n = n*131 + uint64(c)
	}
	return rand.New(rand.NewPCG(r.cfg.Seed, n))
}

func (r *run) say(format string, args ...any) {
	if r.cfg.Live == nil {
		return
	}
	r.liveMu.Lock()
	defer r.liveMu.Unlock()
	fmt.Fprintf(r.cfg.Live, "%7.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// order sends an order to the control processes in turn until one of them gives
// a definite answer. It gives up after all were asked twice.
func (r *run) order(ctx context.Context, f func(ctx context.Context, addr string) error) error {
	controls := r.site.Controls()
	var err error
	for range 2 * len(controls) {
		p := controls[int(r.asked.Add(1))%len(controls)]
		callCtx, cancel := context.WithTimeout(ctx, orderTime)
		err = f(callCtx, p.Admin())
		cancel()
		if err == nil || final(err) {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return err
}

func (r *run) entryAt(addr string) *Proc {
	for _, p := range r.site.Entries() {
		if addr == p.Public() {
			return p
		}
	}
	return nil
}

func (r *run) play(ctx context.Context, steps []Step) error {
	ctx, cancel := context.WithCancel(ctx)
	defer r.wg.Wait()
	defer cancel()
	r.life = ctx
	for _, p := range r.site.Procs {
		if err := p.Start(); err != nil {
			return err
		}
	}
	op := &operator{run: r, rng: r.random("operator"), accepted: map[string]corianderwing.Version{}}
	if err := r.ready(ctx, op); err != nil {
		return err
	}
	traffic, stop := context.WithCancel(ctx)
	var busy sync.WaitGroup
	for i := range 4 * callersPerDomain {
		d := siteDomains[i%4].domain
		c := newCaller(r, i, d, r.random(fmt.Sprint("caller", i)))
		busy.Go(func() { c.loop(traffic) })
	}
	changes, enough := context.WithCancel(ctx)
	var changing sync.WaitGroup
	changing.Go(func() { op.loop(changes) })
	r.faults(ctx, steps)
	enough()
	changing.Wait()
	stop()
	busy.Wait()
	return r.finish(ctx, op)
}

// ready brings the site up: settings, upstreams, a first request.
func (r *run) ready(ctx context.Context, op *operator) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	first := op.first()
	if err := op.edit(ctx, first); err != nil {
		return fmt.Errorf("the first settings were not accepted: %w", err)
	}
	r.keys.add(op.keys[0])
	n := 0
	for _, d := range siteDomains[:4] {
		for range upstreamsPerDomain {
			n++
			u := r.upstream(fmt.Sprintf("up-%d", n), d.domain, fmt.Sprintf("%s:%d", r.site.face(100+n), workPort), fmt.Sprintf("%s:%d", r.site.bind(100+n), workPort))
			if err := r.site.Proxy.Open(u.face, u.bind, string(u.ID)); err != nil {
				return err
			}
			if err := u.start(); err != nil {
				return err
			}
			r.upstreams = append(r.upstreams, u)
		}
	}
	probe := newCaller(r, 1000, siteDomains[0].domain, r.random("probe"))
	for ctx.Err() == nil {
		probe.look(ctx)
		if len(probe.list) > 0 && probe.send(ctx, mainWorkspace, "k-main") == 200 {
			return nil
		}
		r.pause(ctx, beatEvery/5)
	}
	return errors.New("no request was served in time")
}

// upstream returns an upstream that announces itself until the run ends.
func (r *run) upstream(id string, d corianderwing.DomainID, face, bind string) *Upstream {
	u := &Upstream{ID: corianderwing.UpstreamID(id), Domain: d, run: r, face: face, bind: bind, rng: r.random(id)}
	r.wg.Go(func() {
		u.beats(r.life)
		u.crash()
	})
	return u
}

// faults carries the steps out and returns when all have ended and the last
// round's quiet time is over.
func (r *run) faults(ctx context.Context, steps []Step) {
	begin := time.Now()
	// Orders of planned work are repeated until they are confirmed, which a site
	// that does not recover never does.
	ctx, cancel := context.WithDeadline(ctx, begin.Add(r.cfg.Length+recoveryTime))
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range steps {
		wg.Go(func() {
			r.pause(ctx, time.Until(begin.Add(s.At)))
			if ctx.Err() == nil {
				r.do(ctx, s)
			}
		})
	}
	wg.Wait()
	r.pause(ctx, time.Until(begin.Add(r.cfg.Length)))
}

// finish checks that the site serves again, and what it still knows.
func (r *run) finish(ctx context.Context, op *operator) error {
	r.receiver.settle()
	r.pause(ctx, recoveryTime/3)
	last := newCaller(r, 1001, siteDomains[0].domain, r.random("last"))
	served := 0
	end := time.Now().Add(recoveryTime)
	for range lastTries {
		last.look(ctx)
		if len(last.list) > 0 && last.send(ctx, mainWorkspace, "k-main") == 200 {
			served++
		}
		r.pause(ctx, beatEvery/5)
	}
	r.ledger.checkReports(time.Now())
	if float64(served) < servedPart*lastTries {
		r.ledger.Break(Recovered, time.Now(), "", "%d of %d requests are served", served, lastTries)
	}
	var items corianderwing.Edit
	for {
		err := r.order(ctx, func(ctx context.Context, addr string) (err error) {
			items, err = r.cfg.Wire.Items(ctx, addr)
			return err
		})
		if err == nil {
			op.verify(items)
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(end) {
			r.ledger.Break(Kept, time.Now(), "", "the settings cannot be read: %v", err)
			return nil
		}
	}
}
