// Package desk hands out slots of upstreams to requests that wait for them. It
// drives core/place with the real clock: a control instance for all entry
// instances of its failure domain, and an entry instance for itself while it
// cannot reach that one.
package desk

import (
	"context"
	"sync"
	"time"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/io/clock"
)

// tickEvery is how often waiting requests are looked at again.
const tickEvery = 25 * time.Millisecond

// Config describes a desk.
type Config struct {
	Domain   corianderwing.DomainID
	RegionOf func(corianderwing.DomainID) corianderwing.RegionID
}

// Ticket is a granted slot, which Release gives back. With Elsewhere it is none:
// the desk of that failure domain is to be asked.
type Ticket struct {
	Pool corianderwing.PoolID
	ID   place.ID
	place.Grant
	ForwardTo   corianderwing.DomainID
	RequireGoal bool
}

// SyncParams are what a desk decides with, besides the state of the site.
type SyncParams struct {
	// Allocators is the number of desks that hand out the same slots.
	Allocators int
	// NextShare returns the share of the version to which a pool moves.
	NextShare func(corianderwing.Move) float64
	// Lent and Borrowed are slots that failure domains lend each other, by
	// upstream.
	Lent     map[corianderwing.UpstreamID]int
	Borrowed map[corianderwing.UpstreamID]int
}

// Allocator is safe for concurrent use. It owns its pools.
type Allocator struct {
	cfg Config

	mu      sync.Mutex
	pools   map[corianderwing.PoolID]*place.Pool
	waiting map[place.ID]chan place.Effect
	last    place.ID
}

// New returns a desk without upstreams. Run must be called for it.
func New(cfg Config) *Allocator {
	return &Allocator{
		cfg:     cfg,
		pools:   map[corianderwing.PoolID]*place.Pool{},
		waiting: map[place.ID]chan place.Effect{},
		// A ticket of an earlier life must not end one of this life.
		last: place.ID(time.Now().UnixNano()) << 8,
	}
}

// Run refuses requests that wait in vain, until ctx ends.
func (d *Allocator) Run(ctx context.Context) {
	for clock.Sleep(ctx, tickEvery) {
		now := time.Now()
		d.mu.Lock()
		for _, p := range d.pools {
			d.deliver(p.Tick(now))
		}
		d.mu.Unlock()
	}
}

// Sync brings every pool up to date.
func (d *Allocator) Sync(v *model.View, t SyncParams) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, list := range v.Pools() {
		p, ok := d.pools[name]
		if !ok {
			p = place.New(place.Config{
				Name:     name,
				Domain:   d.cfg.Domain,
				RegionOf: d.cfg.RegionOf,
				Seed:     uint64(d.last),
			})
			d.pools[name] = p
		}
		p.SetAllocators(t.Allocators)
		d.deliver(p.Sync(setup(v, name, list, t), now))
	}
	for name, p := range d.pools {
		if len(v.Pool(name)) == 0 {
			d.deliver(p.Sync(place.Setup{}, now))
		}
	}
}

func setup(v *model.View, name corianderwing.PoolID, list []*model.Upstream, t SyncParams) place.Setup {
	set := place.Setup{
		Upstreams: list,
		Evacuated: v.Evacuated,
		Lent:      t.Lent,
		Borrowed:  t.Borrowed,
		Version:   v.Version(name),
	}
	if item, ok := v.Items().Pool(name); ok {
		set.ColdRate = float64(item.WarmupRate)
	}
	if m, ok := v.Move(name); ok && m.Outcome == corianderwing.Moving {
		set.NextVersion, set.NextShare = m.To, t.NextShare(m)
	}
	return set
}

// deliver passes effects on to those that wait for them. The lock is held.
func (d *Allocator) deliver(list []place.Effect) {
	for _, e := range list {
		ch, ok := d.waiting[e.ID]
		if ok {
			delete(d.waiting, e.ID)
			ch <- e
		}
	}
}

// Acquire waits for a slot. A refusal says after which time another try may
// succeed.
func (d *Allocator) Acquire(ctx context.Context, pool corianderwing.PoolID, r place.Request) (Ticket, time.Duration, *corianderwing.Error) {
	w, err := d.Submit(pool, r)
	if err != nil {
		return Ticket{}, 0, err
	}
	select {
	case e := <-w.effect:
		return w.ticket(e)
	case <-ctx.Done():
		d.Cancel(w)
		return Ticket{}, 0, corianderwing.Errorf(corianderwing.CallerDisconnected, "the request was given up while it waited")
	}
}

// PendingRequest is a request that waits for a slot.
type PendingRequest struct {
	ID     place.ID
	pool   corianderwing.PoolID
	effect chan place.Effect // has room for one
}

// Submit begins to wait for a slot.
func (d *Allocator) Submit(pool corianderwing.PoolID, r place.Request) (*PendingRequest, *corianderwing.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.pools[pool]
	if !ok {
		return nil, corianderwing.Errorf(corianderwing.NoUpstream, "pool %s has no upstream", pool)
	}
	d.last++
	r.ID = d.last
	w := &PendingRequest{ID: r.ID, pool: pool, effect: make(chan place.Effect, 1)}
	d.waiting[r.ID] = w.effect
	d.deliver(p.Submit(r, time.Now()))
	return w, nil
}

// Wait returns what became of a request, or false if it still waits after d or
// when ctx ends.
func (w *PendingRequest) Wait(ctx context.Context, d time.Duration) (Ticket, time.Duration, *corianderwing.Error, bool) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case e := <-w.effect:
		ticket, after, err := w.ticket(e)
		return ticket, after, err, true
	case <-t.C:
	case <-ctx.Done():
	}
	return Ticket{}, 0, nil, false
}

func (w *PendingRequest) ticket(e place.Effect) (Ticket, time.Duration, *corianderwing.Error) {
	return Ticket{w.pool, e.ID, e.Grant, e.ForwardTo, e.RequireGoal}, e.RetryAfter, e.Err
}

// Cancel ends a wait. A slot that it got meanwhile is given back.
func (d *Allocator) Cancel(w *PendingRequest) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, w.ID)
	p := d.pools[w.pool]
	d.deliver(p.Cancel(w.ID, now))
	select {
	case e := <-w.effect:
		if e.Err == nil && e.ForwardTo == "" {
			d.deliver(p.Release(place.Outcome{ID: w.ID, Result: place.Canceled}, now))
		}
	default:
	}
}

// Release gives a slot back with what the attempt showed.
func (d *Allocator) Release(pool corianderwing.PoolID, o place.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.pools[pool]; ok {
		d.deliver(p.Release(o, time.Now()))
	}
}

// PoolLoad is the load of one pool in the desk's failure domain.
type PoolLoad struct {
	Pool        corianderwing.PoolID `json:"pool"`
	Slots       int                  `json:"slots"`          // for the requests of this failure domain
	OwnSlots    int                  `json:"own"`            // of its upstreams, lent ones included
	InFlight    int                  `json:"busy,omitempty"` // requests in flight
	Waiting     int                  `json:"waiting,omitempty"`
	Demand      float64              `json:"demand,omitempty"`  // slots that the arriving requests need
	ArrivalRate float64              `json:"arrived,omitempty"` // requests a second
}

// Loads returns the load of every pool.
func (d *Allocator) Loads() []PoolLoad {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]PoolLoad, 0, len(d.pools))
	for name, p := range d.pools {
		l := PoolLoad{Pool: name, Waiting: p.QueueLen()}
		l.Slots, l.OwnSlots, l.InFlight, l.Demand, l.ArrivalRate = p.Load(now)
		list = append(list, l)
	}
	return list
}
