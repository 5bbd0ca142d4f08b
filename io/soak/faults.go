package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"corianderwing"
)

// Step is a fault of a plan.
type Step struct {
	At   time.Duration `json:"at"` // since the start of the traffic
	Kind string        `json:"kind"`
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

// kinds are the faults; those that stand twice come more often.
var kinds = []string{
	"kill", "kill", "term", "term", "pause", "hup", "delay", "cut", "in", "out", "lone", "lone", "reset",
	"controls", "wipe", "tear", "crash", "drain", "slow", "evacuate", "swap",
}

// planned are the kinds of work that disturb nobody.
var planned = []string{"drain", "evacuate", "term", "hup"}

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
		for _, kind := range []string{planned[rng.IntN(len(planned))], planned[rng.IntN(len(planned))]} {
			steps = append(steps, Step{At: round + roundFor + calmAfter, Kind: kind, On: rng.IntN(1000), For: faultMost})
		}
	}
	return steps
}

// do carries one step out and returns when its fault has ended.
func (r *run) do(ctx context.Context, s Step) {
	procs := r.site.Procs
	p := procs[s.On%len(procs)]
	u := r.upstreams[s.On%len(r.upstreams)]
	control := r.site.Controls()[s.On%len(r.site.Controls())]
	entry := r.site.Entries()[s.On%len(r.site.Entries())]
	switch s.Kind {
	case "kill":
		r.down(ctx, []*Proc{p}, s, func() error { return nil })
	case "term":
		r.term(ctx, entry)
	case "pause":
		r.with(ctx, p, s, func() { p.Signal(syscall.SIGSTOP) }, func() { p.Signal(syscall.SIGCONT) })
	case "hup":
		if p.take() {
			defer p.release()
			p.Signal(syscall.SIGHUP)
			r.note(s.Kind, p.Name)
		}
	case "delay":
		f := Fault{Delay: time.Duration(20+s.On%400) * time.Millisecond}
		r.with(ctx, p, s, func() { r.links(p, f, f) }, func() { r.links(p, Fault{}, Fault{}) })
	case "cut":
		r.with(ctx, p, s, func() { r.links(p, Fault{Silent: true}, Fault{Silent: true}) }, func() { r.links(p, Fault{}, Fault{}) })
	case "in":
		r.with(ctx, p, s, func() { r.links(p, Fault{Silent: true}, Fault{}) }, func() { r.links(p, Fault{}, Fault{}) })
	case "out":
		r.with(ctx, p, s, func() { r.links(p, Fault{}, Fault{Silent: true}) }, func() { r.links(p, Fault{}, Fault{}) })
	case "lone":
		s.For += revokeBound
		silent := Fault{Silent: true}
		r.with(ctx, entry, s, func() { r.peers(entry, silent) }, func() { r.peers(entry, Fault{}) })
	case "reset":
		r.with(ctx, p, s, func() {
			r.site.Proxy.Reset(func(from, to string) bool { return from == p.Name || to == p.Name })
		}, func() {})
	case "controls":
		r.down(ctx, r.site.Controls(), s, func() error { return nil })
	case "wipe":
		r.storage(ctx, control, s, wipe)
	case "tear":
		r.storage(ctx, control, s, tear)
	case "crash":
		r.crash(ctx, u, s, false)
	case "swap":
		r.crash(ctx, u, s, true)
	case "drain":
		r.drain(ctx, u, s)
	case "slow":
		r.slow(ctx, u, s)
	case "evacuate":
		r.evacuate(ctx, siteDomains[s.On%4].domain)
	}
}

func (r *run) note(kind, on string) {
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
	if err := between(); err != nil {
		r.say("%s: %v", s.Kind, err)
	}
	r.pause(ctx, s.For)
	for _, p := range mine {
		r.launch(p)
	}
}

func (r *run) launch(p *Proc) {
	if err := p.Start(); err != nil {
		r.ledger.Break(Alive, time.Now(), "", "%s cannot be started: %v", p.Name, err)
	}
}

// term stops a process in the planned way and starts it again.
func (r *run) term(ctx context.Context, p *Proc) {
	if !p.take() {
		return
	}
	defer p.release()
	r.note("term", p.Name)
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.Exited():
	case <-time.After(graceBound + time.Second):
		r.ledger.Break(Alive, time.Now(), "", "%s still runs %v after it was told to stop", p.Name, graceBound+time.Second)
		p.Kill()
	}
	r.launch(p)
}

// storage kills a control process, damages its files and starts it again. Only
// one disk may be lost at a time, and its replica needs time to catch up.
func (r *run) storage(ctx context.Context, p *Proc, s Step, damage func(dir string) error) {
	if !r.disk.TryLock() {
		return
	}
	defer r.disk.Unlock()
	r.down(ctx, []*Proc{p}, s, func() error { return damage(filepath.Join(r.site.Dir, p.Name, "data")) })
	r.pause(ctx, quietFor)
}

// wipe removes all files, as if the disk were replaced.
func wipe(dir string) error { return os.RemoveAll(dir) }

// tear adds the beginning of a record to the newest log, as a write that was
// under way at a loss of power does.
func tear(dir string) error {
	var name string
	var newest time.Time
	err := filepath.WalkDir(dir, func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		info, err := d.Info()
		if err == nil && strings.Contains(filepath.Base(path), "log") && info.ModTime().After(newest) {
			name, newest = path, info.ModTime()
		}
		return err
	})
	if err != nil || name == "" {
		return err
	}
	f, err := os.OpenFile(name, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = f.Write(tornRecord)
	return err
}

// tornRecord is shorter than the head of any record.
var tornRecord = []byte{0, 0, 1}

// crash ends an upstream and lets it come back, or lets another one take its
// address in between.
func (r *run) crash(ctx context.Context, u *Upstream, s Step, swap bool) {
	if !u.take() {
		return
	}
	defer u.release()
	r.note(s.Kind, string(u.ID))
	u.crash()
	if swap {
		other := r.upstream(fmt.Sprintf("%s-x%d", u.ID, s.On), u.Domain, u.face, u.bind)
		if err := other.start(); err != nil {
			r.say("swap: %v", err)
			return
		}
		r.pause(ctx, s.For)
		other.crash()
	}
	r.pause(ctx, s.For)
	if err := u.start(); err != nil {
		r.say("crash: %v", err)
	}
}

// drain empties an upstream as its operator does, and lets it come back.
func (r *run) drain(ctx context.Context, u *Upstream, s Step) {
	if !u.take() {
		return
	}
	defer u.release()
	r.note("drain", string(u.ID))
	u.setPhase(corianderwing.Draining)
	for !u.beat(ctx) && ctx.Err() == nil {
		r.pause(ctx, beatEvery/5)
	}
	r.ledger.Drain(u.ID, time.Now())
	r.pause(ctx, drainBound+s.For)
	u.crash()
	r.pause(ctx, s.For)
	r.ledger.Undrain(u.ID)
	if err := u.start(); err != nil {
		r.say("drain: %v", err)
	}
}

func (r *run) slow(ctx context.Context, u *Upstream, s Step) {
	if !u.take() {
		return
	}
	defer u.release()
	r.note("slow", string(u.ID))
	u.setSlow(time.Duration(s.On) * time.Millisecond)
	r.pause(ctx, s.For)
	u.setSlow(0)
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
	r.note("evacuate", string(d))
	order(true)
	r.ledger.Empty(d, true, time.Now())
	r.pause(ctx, emptyBound+2*time.Second)
	r.ledger.Empty(d, false, time.Now())
	order(false)
}
