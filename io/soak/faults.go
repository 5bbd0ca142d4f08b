package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"corianderwing"
)

// Kind names a fault, or a piece of planned work.
type Kind string

// The kinds.
const (
	Kill     Kind = "kill"     // a process
	Term     Kind = "term"     // a planned stop of an entry process
	Pause    Kind = "pause"    // a process, by a signal
	Hup      Kind = "hup"      // a process reads its settings again
	Delay    Kind = "delay"    // all connections of a process
	Cut      Kind = "cut"      // all connections of a process, both ways
	CutIn    Kind = "in"       // what is sent to a process
	CutOut   Kind = "out"      // what a process sends
	Alone    Kind = "alone"    // an entry process from all other processes only
	Reset    Kind = "reset"    // the connections of a process
	Controls Kind = "controls" // all control processes are killed at once
	Wipe     Kind = "wipe"     // the disk of a control process is lost
	Tear     Kind = "tear"     // the beginning of a record stands at the end of its log
	Crash    Kind = "crash"    // an upstream
	Swap     Kind = "swap"     // another upstream takes the address of one that crashed
	Drain    Kind = "drain"    // an upstream, as planned
	Slow     Kind = "slow"     // an upstream
	Evacuate Kind = "evacuate" // a failure domain, as planned
)

// Step is a fault of a plan.
type Step struct {
	At   time.Duration `json:"at"` // since the start of the traffic
	Kind Kind          `json:"kind"`
	On   int           `json:"on"` // which process or upstream
	For  time.Duration `json:"for"`
}

const (
	// Faults come in rounds, with a time without faults after each, in which
	// bounds on time hold: planned work is done then, late enough for the last
	// fault to have ended for the contact time.
	roundFor  = 8 * time.Second
	quietFor  = 12 * time.Second
	calmAfter = contact + 500*time.Millisecond
	stepMost  = 5 // faults in a round
	faultMost = 4 * time.Second
)

// kinds are drawn with the same chance; those that stand twice come more often.
var kinds = []Kind{
	Kill, Kill, Term, Term, Pause, Hup, Delay, Cut, CutIn, CutOut, Alone, Alone, Reset,
	Controls, Wipe, Tear, Crash, Drain, Slow, Evacuate, Swap,
}

// planned are the kinds of work that disturb nobody.
var planned = []Kind{Drain, Evacuate, Term, Hup}

// plan draws the faults of a run. The same seed gives the same plan.
func plan(rng *rand.Rand, length time.Duration) (steps []Step) {
	for round := time.Duration(0); round+roundFor <= length; round += roundFor + quietFor {
		for range 1 + rng.IntN(stepMost) {
			steps = append(steps, Step{
				At:   round + time.Duration(rng.Int64N(int64(roundFor-faultMost))),
				Kind: kinds[rng.IntN(len(kinds))],
				On:   rng.IntN(1000),
				For:  faultMost/4 + time.Duration(rng.Int64N(int64(faultMost*3/4))),
			})
		}
		for _, kind := range []Kind{planned[rng.IntN(len(planned))], planned[rng.IntN(len(planned))]} {
			steps = append(steps, Step{At: round + roundFor + calmAfter, Kind: kind, On: rng.IntN(1000), For: faultMost})
		}
	}
	return steps
}

// do carries one step out and returns when its fault has ended.
func (r *run) do(ctx context.Context, s Step) {
	p := r.site.Procs[s.On%len(r.site.Procs)]
	switch s.Kind {
	case Kill:
		r.down(ctx, []*Proc{p}, s, nil)
	case Controls:
		r.down(ctx, r.site.Controls(), s, nil)
	case Term:
		r.term(r.entry(s), s)
	case Pause:
		r.with(ctx, p, s, func() { p.Signal(syscall.SIGSTOP) }, func() { p.Signal(syscall.SIGCONT) })
	case Hup:
		r.hup(p)
	case Wipe:
		r.storage(ctx, s, wipe)
	case Tear:
		r.storage(ctx, s, tear)
	case Evacuate:
		r.evacuate(ctx, siteDomains[s.On%4].domain)
	case Bodies, Heads:
		r.crowd(ctx, r.entry(s), s)
	case Crash, Swap, Drain, Slow:
		r.doUpstream(ctx, r.upstreams[s.On%len(r.upstreams)], s)
	default:
		r.doLinks(ctx, p, s)
	}
}

// doUpstream carries out a step that concerns an upstream.
func (r *run) doUpstream(ctx context.Context, u *Upstream, s Step) {
	if !u.take() {
		return
	}
	defer u.release()
	r.note(s.Kind, string(u.ID))
	switch s.Kind {
	case Crash:
		r.crash(ctx, u, s)
	case Swap:
		r.swap(ctx, u, s)
	case Drain:
		r.drain(ctx, u, s)
	case Slow:
		u.setSlow(time.Duration(s.On) * time.Millisecond)
		r.pause(ctx, s.For)
		u.setSlow(0)
	}
}

// doLinks carries out a step that concerns the connections of a process.
func (r *run) doLinks(ctx context.Context, p *Proc, s Step) {
	silent, none := Fault{Silent: true}, Fault{}
	late := Fault{Delay: time.Duration(20+s.On%400) * time.Millisecond}
	while := func(in, out Fault) {
		r.with(ctx, p, s, func() { r.links(p, in, out) }, func() { r.links(p, none, none) })
	}
	switch s.Kind {
	case Delay:
		while(late, late)
	case Cut:
		while(silent, silent)
	case CutIn:
		while(silent, none)
	case CutOut:
		while(none, silent)
	case Alone:
		p = r.entry(s)
		s.For += revokeBound
		r.with(ctx, p, s, func() { r.peers(p, silent) }, func() { r.peers(p, none) })
	case Reset:
		r.with(ctx, p, s, func() {
			r.site.Proxy.Reset(func(from, to string) bool { return from == p.Name || to == p.Name })
		}, func() {})
	}
}

// entry returns the entry process that a step concerns.
func (r *run) entry(s Step) *Proc {
	list := r.site.Entries()
	return list[s.On%len(list)]
}

func (r *run) hup(p *Proc) {
	if !p.take() {
		return
	}
	defer p.release()
	r.note(Hup, p.Name)
	p.Signal(syscall.SIGHUP)
}

func (r *run) note(kind Kind, on string) {
	r.say("%s on %s", kind, on)
}

// pause waits; it returns early when the run is given up.
func (r *run) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// with applies a fault to a process for a while.
func (r *run) with(ctx context.Context, p *Proc, s Step, apply, undo func()) {
	if !p.take() {
		return
	}
	defer p.release()
	end := r.ledger.Fault()
	defer func() { end(time.Now()) }()
	r.note(s.Kind, p.Name)
	apply()
	r.pause(ctx, s.For)
	undo()
}

// links sets the faults of all links to and from a process.
func (r *run) links(p *Proc, in, out Fault) {
	others := []string{Outside}
	for _, q := range r.site.Procs {
		if q != p {
			others = append(others, q.Name)
		}
	}
	for _, u := range r.upstreams {
		others = append(others, string(u.ID))
	}
	for _, o := range others {
		r.site.Proxy.Set(o, p.Name, in)
		r.site.Proxy.Set(p.Name, o, out)
	}
}

// peers sets the faults of the links between a process and all other processes;
// callers and upstreams still reach it.
func (r *run) peers(p *Proc, f Fault) {
	for _, q := range r.site.Procs {
		if q != p {
			r.site.Proxy.Set(q.Name, p.Name, f)
			r.site.Proxy.Set(p.Name, q.Name, f)
		}
	}
}

// down kills processes, does something while they are down, and starts them
// again.
func (r *run) down(ctx context.Context, list []*Proc, s Step, between func() error) {
	var mine []*Proc
	for _, p := range list {
		if p.take() {
			mine = append(mine, p)
			defer p.release()
		}
	}
	if len(mine) == 0 {
		return
	}
	end := r.ledger.Fault()
	defer func() { end(time.Now()) }()
	for _, p := range mine {
		r.note(s.Kind, p.Name)
		p.Kill()
	}
	if between != nil {
		if err := between(); err != nil {
			r.say("%s: %v", s.Kind, err)
		}
	}
	r.pause(ctx, s.For)
	for _, p := range mine {
		r.launch(p)
	}
}

func (r *run) launch(p *Proc) {
	r.ledger.Restarted("", p.Name)
	if err := p.Start(); err != nil {
		r.ledger.Break(Alive, time.Now(), "", "%s cannot be started: %v", p.Name, err)
	}
}

// term stops a process in the planned way and starts it again. Its settings change while
// it stops.
func (r *run) term(p *Proc, s Step) {
	if !p.take() {
		return
	}
	defer p.release()
	r.note(Term, p.Name)
	p.Signal(syscall.SIGTERM)
	hup := time.After(time.Duration(s.On) * hupStep)
	late := time.After(graceBound + time.Second)
	for stopping := true; stopping; {
		select {
		case <-p.Exited():
			stopping = false
		case <-hup:
			r.note(Hup, p.Name)
			p.Signal(syscall.SIGHUP) // it may have ended
		case <-late:
			r.ledger.Break(Alive, time.Now(), "", "%s still runs %v after it was told to stop", p.Name, graceBound+time.Second)
			p.Kill()
			stopping = false
		}
	}
	r.launch(p)
}

// hupStep is the unit of the time from the beginning of a planned stop until the settings
// change, 3 s at most.
const hupStep = 3 * time.Millisecond

// crash ends an upstream and lets it come back.
func (r *run) crash(ctx context.Context, u *Upstream, s Step) {
	u.crash()
	r.pause(ctx, s.For)
	r.revive(u)
}

// swap ends an upstream and lets another one take its address for a while.
func (r *run) swap(ctx context.Context, u *Upstream, s Step) {
	u.crash()
	other := r.upstream(fmt.Sprintf("%s-x%d", u.ID, s.On), u.Domain, u.face, u.bind)
	r.revive(other)
	r.pause(ctx, s.For)
	other.crash()
	r.pause(ctx, s.For)
	r.revive(u)
}

func (r *run) revive(u *Upstream) {
	if err := u.start(); err != nil {
		r.say("%s cannot be started: %v", u.ID, err)
	}
}

// drain empties an upstream as its operator does, and lets it come back. Some upstreams
// only call to leave, without naming their incarnation. Of the others, at first only the
// answers say that they leave.
func (r *run) drain(ctx context.Context, u *Upstream, s Step) {
	confirm := u.leave
	if !u.chance(leavePart) {
		u.announceLeaving()
		r.pause(ctx, announceLead)
		u.setPhase(corianderwing.Draining)
		confirm = u.beat
	}
	for !confirm(ctx) && ctx.Err() == nil {
		r.pause(ctx, beatEvery/5)
	}
	r.ledger.Drain(u.ID, time.Now())
	r.pause(ctx, drainBound+s.For)
	u.crash()
	r.pause(ctx, s.For)
	r.ledger.Undrain(u.ID)
	r.revive(u)
}

// evacuate empties a failure domain and takes that back.
func (r *run) evacuate(ctx context.Context, d corianderwing.DomainID) {
	if !r.evacuating.TryLock() {
		return
	}
	defer r.evacuating.Unlock()
	order := func(on bool) {
		for ctx.Err() == nil {
			err := r.order(ctx, func(ctx context.Context, addr string) error { return r.cfg.Wire.Evacuate(ctx, addr, d, on) })
			if err == nil {
				return
			}
		}
	}
	r.note(Evacuate, string(d))
	order(true)
	r.ledger.Empty(d, true, time.Now())
	r.pause(ctx, emptyBound+2*time.Second)
	r.ledger.Empty(d, false, time.Now())
	order(false)
}
