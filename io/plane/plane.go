// Package plane is the control role of a site: it takes the heartbeats of
// upstreams and the orders of operators, keeps entry instances up to date, and
// tells callers which of them to use. Every control instance offers all of it;
// the leader of the group decides what must be decided once.
package plane

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/core/quota"
	"corianderwing/core/steer"
	"corianderwing/io/clock"
	"corianderwing/io/peer"
	"corianderwing/io/quorum"
)

// Config describes a control instance.
type Config struct {
	Quorum quorum.Config
	// Beat is the interval of the upstreams' heartbeats.
	Beat time.Duration
	// Lookup is for how long callers may cache the answer of LocateEntries.
	Lookup time.Duration
	Excess Excess
	// RegionOf returns the region of a failure domain.
	RegionOf func(corianderwing.DomainID) corianderwing.RegionID
	Log      *log.Logger
}

// Plane is a running control instance. It implements corianderwing.ControlPlane.
type Plane struct {
	cfg     Config
	log     *log.Logger
	machine *model.Machine
	replica *quorum.Replica
	peer    *peer.Client
	batch   *batch
	seen    *seen
	rounds  *rounds
	lead    *lead
	life    corianderwing.Incarnation
	desks   *desks

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	askMu sync.Mutex
	asked map[place.ID]asked // requests that wait between two calls

	mu          sync.Mutex
	beats       map[corianderwing.InstanceID]beaten // entries that beat here
	entries     []corianderwing.Instance            // all live ones, as the leader last said
	controls    []Control
	version     uint64               // of entries
	lastLeader  string               // its address
	divider     *quota.Allocator     // of this instance's shares
	reserve     *quota.Limiter       // the part of the shares from which entry instances borrow
	lots        []steer.UpstreamLoan // slots that failure domains lend each other
	lotsVersion uint64
	trials      []Trial     // of entry instances since the last pulse
	shares      []MoveShare // that the leader told
	until       time.Time   // boot time until which the shares of the divider are valid
	confirm     time.Time   // boot time at which revision was confirmed
	revision    corianderwing.Revision
}

var _ corianderwing.ControlPlane = (*Plane)(nil)

// beaten is an entry instance that beats at this control instance.
type beaten struct {
	entry  corianderwing.Instance
	at     time.Time
	trials []Trial
}

// Open starts a control instance and registers its calls with a peer server,
// which must begin to serve soon.
func Open(cfg Config, pc *peer.Client, ps *peer.Server) (*Plane, error) {
	p := &Plane{
		cfg:     cfg,
		log:     cfg.Log,
		machine: model.NewMachine(time.Now),
		peer:    pc,
		seen:    newSeen(),
		beats:   map[corianderwing.InstanceID]beaten{},
		// What an earlier life of this process lent is not part of the shares
		// of this one.
		divider: quota.NewAllocator(cfg.Excess.Window, time.Time{}),
		reserve: quota.NewLimiter(cfg.Excess.Window),
		asked:   map[place.ID]asked{},
		life:    corianderwing.Incarnation(time.Now().UnixNano()),
	}
	p.divider.SetReserve(reserveName)
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.desks = newDesks(p.ctx, cfg.Quorum.Domain, cfg.RegionOf)
	p.lead = newLead(cfg.Beat)
	p.lead.excess, p.lead.regionOf = cfg.Excess, cfg.RegionOf
	p.lead.revision = func() corianderwing.Revision { return p.machine.View().Revision() }
	p.lead.known = func() []steer.UpstreamLoan {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.lots
	}
	p.register(ps)
	var err error
	p.replica, err = quorum.Open(cfg.Quorum, p.machine, pc, ps, func() {})
	if err != nil {
		p.cancel()
		return nil, err
	}
	p.batch = newBatch(p.propose)
	p.rounds = newRounds(p.ctx, p.replica.Confirm)
	p.wg.Go(p.keepPulse)
	p.wg.Go(p.keepExpiring)
	p.wg.Go(p.keepMoving)
	p.wg.Go(p.keepDesks)
	return p, nil
}

func (p *Plane) register(ps *peer.Server) {
	peer.Handle(ps, BeatMethod, func(_ context.Context, b *Beat) (*BeatReply, error) {
		return p.beat(b), nil
	})
	peer.Handle(ps, AcquireMethod, p.acquire)
	peer.Handle(ps, ReleaseMethod, func(_ context.Context, q *Release) (*empty, error) {
		p.release(q)
		return &empty{}, nil
	})
	peer.Handle(ps, BorrowMethod, func(_ context.Context, b *Borrow) (*Borrowed, error) {
		return p.borrow(b), nil
	})
	peer.Handle(ps, pulseMethod, func(ctx context.Context, q *pulse) (*pulseReply, error) {
		return p.pulsed(ctx, q)
	})
	peer.HandleStream(ps, WatchMethod, func(ctx context.Context, q *watchRequest, send func(*model.Update) error) error {
		return p.watch(ctx, q.After, send)
	})
}

// propose commits a command and returns its refusal, if any.
func (p *Plane) propose(ctx context.Context, c *model.Command) error {
	data, err := model.Encode(c)
	if err != nil {
		return corianderwing.Errorf(corianderwing.InvalidInput, "encoding a command: %v", err)
	}
	reply, err := p.replica.Propose(ctx, data)
	if err != nil {
		return err
	}
	result, err := model.DecodeResult(reply)
	if err != nil {
		return err
	}
	if result.Error != nil {
		return result.Error
	}
	return nil
}

// watch sends the updates after a revision until ctx ends.
func (p *Plane) watch(ctx context.Context, after corianderwing.Revision, send func(*model.Update) error) error {
	for {
		changed := p.machine.Changed()
		updates, err := p.machine.Updates(after)
		if err != nil {
			return err
		}
		for i := range updates {
			if err := send(&updates[i]); err != nil {
				return err
			}
			after = updates[i].Revision
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-p.ctx.Done():
			return nil
		}
	}
}

// beat takes the beat of an entry instance.
func (p *Plane) beat(b *Beat) *BeatReply {
	now := clock.Boot()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beats[b.Entry.ID] = beaten{entry: b.Entry, at: now, trials: b.Trials}
	r := &BeatReply{Controls: p.controls, Revision: p.revision, Fresh: !p.confirm.IsZero()}
	r.Age = corianderwing.Millis(now.Sub(p.confirm).Milliseconds() + 1)
	if len(r.Controls) == 0 {
		for _, addr := range p.replica.PeerAddrs() {
			r.Controls = append(r.Controls, Control{Peer: addr})
		}
	}
	for _, e := range p.entries {
		if e.Domain == b.Entry.Domain && e.ID != b.Entry.ID {
			r.Neighbors = append(r.Neighbors, e)
		}
	}
	p.lend(b, r, now)
	p.trials = append(p.trials, b.Trials...)
	r.Moves = p.shares
	return r
}

// Measure reports the gauges of this instance.
func (p *Plane) Measure(gauge func(name string, v int64)) {
	gauge("revision", int64(p.machine.View().Revision()))
	gauge("upstreams", int64(p.machine.View().NumUpstreams()))
	leads := int64(0)
	if _, ok := p.replica.IsLeader(); ok {
		leads = 1
	}
	gauge("leader", leads)
	now := clock.Boot()
	p.mu.Lock()
	gauge("confirmed.ms", now.Sub(p.confirm).Milliseconds())
	gauge("shares.ms", max(0, p.until.Sub(now).Milliseconds()))
	gauge("entries", int64(len(p.beats)))
	p.mu.Unlock()
	for _, d := range p.desks.loads() {
		for _, l := range d.Loads {
			name := string(d.Domain) + "." + string(l.Pool) + "."
			gauge(name+"slots", int64(l.Slots))
			gauge(name+"busy", int64(l.InFlight))
			gauge(name+"waiting", int64(l.Waiting))
		}
	}
}

// SetSeeds replaces the control instances that are asked for the group.
func (p *Plane) SetSeeds(seeds []string) { p.replica.SetSeeds(seeds) }

// Close hands leadership over and stops the instance.
func (p *Plane) Close(ctx context.Context) error {
	err := p.replica.Close(ctx)
	p.cancel()
	p.wg.Wait()
	p.desks.close()
	return err
}
