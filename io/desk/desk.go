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
	Elsewhere corianderwing.DomainID
	Timely    bool
}

// Terms are what a desk decides with, besides the state of the site.
type Terms struct {
	// Sharers is the number of desks that hand out the same slots.
	Sharers int
	// Share returns the share of the version to which a pool moves.
	Share func(corianderwing.Move) float64
	// Lent and Borrowed are slots that failure domains lend each other, by
	// upstream.
	Lent     map[corianderwing.UpstreamID]int
	Borrowed map[corianderwing.UpstreamID]int
}

// Desk is safe for concurrent use. It owns its pools.
type Desk struct {
	cfg Config

	mu      sync.Mutex
	pools   map[corianderwing.PoolID]*place.Pool
	waiting map[place.ID]chan place.Effect
	last    place.ID
}

// New returns a desk without upstreams. Run must be called for it.
func New(cfg Config) *Desk {
	return &Desk{
		cfg:     cfg,
		pools:   map[corianderwing.PoolID]*place.Pool{},
		waiting: map[place.ID]chan place.Effect{},
		// A ticket of an earlier life must not end one of this life.
		last: place.ID(time.Now().UnixNano()) << 8,
	}
}

// Run refuses requests that wait in vain, until ctx ends.
func (d *Desk) Run(ctx context.Context) {
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
func (d *Desk) Sync(v *model.View, t Terms) {
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
		p.SetSharers(t.Sharers)
		d.deliver(p.Sync(setup(v, name, list, t), now))
	}
	for name, p := range d.pools {
		if len(v.Pool(name)) == 0 {
			d.deliver(p.Sync(place.Setup{}, now))
		}
	}
}

func setup(v *model.View, name corianderwing.PoolID, list []*model.Upstream, t Terms) place.Setup {
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
		set.Next, set.Share = m.To, t.Share(m)
	}
	return set
}

// deliver passes effects on to those that wait for them. The lock is held.
func (d *Desk) deliver(list []place.Effect) {
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
func (d *Desk) Acquire(ctx context.Context, pool corianderwing.PoolID, r place.Request) (Ticket, time.Duration, *corianderwing.Error) {
	w, err := d.Ask(pool, r)
	if err != nil {
		return Ticket{}, 0, err
	}
	select {
	case e := <-w.effect:
		return w.ticket(e)
	case <-ctx.Done():
		d.Leave(w)
		return Ticket{}, 0, corianderwing.Errorf(corianderwing.CallerDisconnected, "the request was given up while it waited")
	}
}

// Waiting is a request that waits for a slot.
type Waiting struct {
	ID     place.ID
	pool   corianderwing.PoolID
	effect chan place.Effect // has room for one
}

// Ask begins to wait for a slot.
func (d *Desk) Ask(pool corianderwing.PoolID, r place.Request) (*Waiting, *corianderwing.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.pools[pool]
	if !ok {
		return nil, corianderwing.Errorf(corianderwing.NoUpstream, "pool %s has no upstream", pool)
	}
	d.last++
	r.ID = d.last
	w := &Waiting{ID: r.ID, pool: pool, effect: make(chan place.Effect, 1)}
	d.waiting[r.ID] = w.effect
	d.deliver(p.Ask(r, time.Now()))
	return w, nil
}

// Wait returns what became of a request, or false if it still waits after d or
// when ctx ends.
func (w *Waiting) Wait(ctx context.Context, d time.Duration) (Ticket, time.Duration, *corianderwing.Error, bool) {
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

func (w *Waiting) ticket(e place.Effect) (Ticket, time.Duration, *corianderwing.Error) {
	return Ticket{w.pool, e.ID, e.Grant, e.Elsewhere, e.Timely}, e.After, e.Err
}

// Leave ends a wait. A slot that it got meanwhile is given back.
func (d *Desk) Leave(w *Waiting) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, w.ID)
	p := d.pools[w.pool]
	d.deliver(p.Leave(w.ID, now))
	select {
	case e := <-w.effect:
		if e.Err == nil && e.Elsewhere == "" {
			d.deliver(p.Done(place.Outcome{ID: w.ID, Result: place.Dropped}, now))
		}
	default:
	}
}

// Release gives a slot back with what the attempt showed.
func (d *Desk) Release(pool corianderwing.PoolID, o place.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.pools[pool]; ok {
		d.deliver(p.Done(o, time.Now()))
	}
}

// Load is the load of one pool in the desk's failure domain.
type Load struct {
	Pool    corianderwing.PoolID `json:"pool"`
	Slots   int                  `json:"slots"`          // for the requests of this failure domain
	Own     int                  `json:"own"`            // of its upstreams, lent ones included
	Busy    int                  `json:"busy,omitempty"` // requests in flight
	Waiting int                  `json:"waiting,omitempty"`
	Demand  float64              `json:"demand,omitempty"`  // slots that the arriving requests need
	Arrived float64              `json:"arrived,omitempty"` // requests a second
}

// Loads returns the load of every pool.
func (d *Desk) Loads() []Load {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]Load, 0, len(d.pools))
	for name, p := range d.pools {
		l := Load{Pool: name, Waiting: p.Waiting()}
		l.Slots, l.Own, l.Busy, l.Demand, l.Arrived = p.Load(now)
		list = append(list, l)
	}
	return list
}
