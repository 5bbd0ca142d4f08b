// Package alloc allocates upstream slots to requests. It drives core/place with
// the real clock. A control instance runs an Allocator for all entry instances
// of its failure domain; an entry instance runs its own while it cannot reach
// the control instance.
package alloc

import (
	"context"
	"sync"
	"time"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/io/clock"
)

const (
	// tickInterval is the interval at which waiting requests are rechecked.
	tickInterval = 25 * time.Millisecond
	// idleTickInterval is the interval while no request waits. Then there are
	// only grants that were not released, and most allocators have none: those
	// of entry instances that can reach their control instance.
	idleTickInterval = 250 * time.Millisecond
)

// Config configures an Allocator.
type Config struct {
	Domain   corianderwing.DomainID
	RegionOf func(corianderwing.DomainID) corianderwing.RegionID
}

// Ticket is a granted slot, to be returned with Release. If ForwardTo is set,
// no slot was granted and the allocator of that failure domain must be asked.
type Ticket struct {
	Pool corianderwing.PoolID
	ID   place.ID
	place.Grant
	ForwardTo   corianderwing.DomainID
	Reason      place.ForwardReason
	RequireGoal bool
}

// SyncParams are the inputs of Sync besides the replicated state.
type SyncParams struct {
	// Allocators is the number of allocators that grant the same slots.
	Allocators int
	// NextShare returns the fraction of requests that the target version of a
	// move gets.
	NextShare func(corianderwing.Move) float64
	// Lent and Borrowed are the slots that failure domains lend each other, by
	// upstream.
	Lent     map[corianderwing.UpstreamID]int
	Borrowed map[corianderwing.UpstreamID]int
	// ColdUntil is the end of the lease on the cold upstreams of the failure domain, on
	// the boot clock. Afterwards, and without a lease, they get no requests.
	ColdUntil time.Time
}

// Allocator grants the slots of the upstreams of a failure domain. It owns one
// place.Pool per pool. It is safe for concurrent use.
type Allocator struct {
	cfg Config

	mu        sync.Mutex
	coldUntil time.Time // see SyncParams
	pools     map[corianderwing.PoolID]*place.Pool
	waiting   map[place.ID]chan place.Effect
	last      place.ID
	tally     Tally         // since TakeTally
	queued    chan struct{} // buffered (1); signals that a request waits
}

// New returns an Allocator without upstreams. The caller must call Run.
func New(cfg Config) *Allocator {
	return &Allocator{
		cfg:     cfg,
		pools:   map[corianderwing.PoolID]*place.Pool{},
		waiting: map[place.ID]chan place.Effect{},
		// IDs of an earlier process must not match grants of this one.
		last:   place.ID(time.Now().UnixNano()) << 8,
		queued: make(chan struct{}, 1),
	}
}

// Run rejects requests that can no longer be served in time, until ctx ends.
func (a *Allocator) Run(ctx context.Context) {
	idle := time.NewTimer(idleTickInterval)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.queued:
			if !clock.Sleep(ctx, tickInterval) {
				return
			}
		case <-idle.C:
		}
		a.tick(time.Now())
		idle.Reset(idleTickInterval)
	}
}

// tick rechecks the waiting requests.
func (a *Allocator) tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checkLease(now)
	for _, p := range a.pools {
		a.deliver(p.Tick(now))
	}
	a.signalQueued()
}

// checkLease tells the pools whether the lease on cold upstreams is valid. The caller
// must hold a.mu, and must call it before each decision: the process may have been
// suspended since the last one.
func (a *Allocator) checkLease(now time.Time) {
	valid := a.hasLease()
	for _, p := range a.pools {
		p.SetSoleAllocator(valid, now)
	}
}

// hasLease reports whether the lease on cold upstreams is valid. The caller must hold
// a.mu.
func (a *Allocator) hasLease() bool { return clock.Boot().Before(a.coldUntil) }

// signalQueued makes Run tick soon if a request waits. The caller must hold a.mu.
func (a *Allocator) signalQueued() {
	if len(a.waiting) == 0 {
		return
	}
	select {
	case a.queued <- struct{}{}:
	default:
	}
}

// Sync updates every pool to the given view.
func (a *Allocator) Sync(v *model.View, params SyncParams) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.coldUntil = params.ColdUntil
	for name, list := range v.UpstreamsByPool() {
		p, ok := a.pools[name]
		if !ok {
			p = place.New(place.Config{
				Name:     name,
				Domain:   a.cfg.Domain,
				RegionOf: a.cfg.RegionOf,
				Seed:     uint64(a.last),
			})
			a.pools[name] = p
		}
		p.SetAllocators(params.Allocators)
		p.SetSoleAllocator(a.hasLease(), now)
		a.deliver(p.Sync(setup(v, name, list, params), now))
	}
	for name, p := range a.pools {
		if len(v.PoolUpstreams(name)) == 0 {
			a.deliver(p.Sync(place.Setup{}, now))
		}
	}
}

func setup(v *model.View, name corianderwing.PoolID, list []*model.Upstream, params SyncParams) place.Setup {
	set := place.Setup{
		Upstreams: list,
		Evacuated: v.Evacuated,
		Lent:      params.Lent,
		Borrowed:  params.Borrowed,
		Version:   v.CurrentVersion(name),
		Weight:    func(w corianderwing.WorkspaceID) float64 { return agreedRate(v, w) },
	}
	if item, ok := v.Items().Pool(name); ok {
		set.ColdRate = float64(item.WarmupRate)
	}
	if m, ok := v.LatestMove(name); ok && m.Outcome == corianderwing.Moving {
		set.NextVersion, set.NextShare = m.To, params.NextShare(m)
	}
	return set
}

// agreedRate returns the rate limit of a workspace, by which it shares scarce slots. A
// workspace without one shares none: its requests are queued as if nobody had a limit.
func agreedRate(v *model.View, name corianderwing.WorkspaceID) float64 {
	w, ok := v.Items().Policy(name)
	if !ok {
		return 0
	}
	return float64(w.Rate)
}

// deliver sends effects to the waiting requests. The caller must hold a.mu.
func (a *Allocator) deliver(list []place.Effect) {
	for _, e := range list {
		ch, ok := a.waiting[e.ID]
		if ok {
			delete(a.waiting, e.ID)
			a.tally.add(e)
			ch <- e
		}
	}
}

// Acquire waits for a slot. On rejection it also returns the delay after which
// a retry may succeed.
func (a *Allocator) Acquire(ctx context.Context, pool corianderwing.PoolID, r place.Request) (Ticket, time.Duration, *corianderwing.Error) {
	w, err := a.Submit(pool, r)
	if err != nil {
		return Ticket{}, 0, err
	}
	select {
	case e := <-w.effect:
		return w.ticket(e)
	case <-ctx.Done():
		a.Cancel(w)
		return Ticket{}, 0, corianderwing.Errorf(corianderwing.CallerDisconnected, "request canceled while waiting for a slot")
	}
}

// PendingRequest is a request that waits for a slot.
type PendingRequest struct {
	ID     place.ID
	pool   corianderwing.PoolID
	effect chan place.Effect // buffered, capacity 1
}

// Submit queues a request for a slot without waiting for it.
func (a *Allocator) Submit(pool corianderwing.PoolID, r place.Request) (*PendingRequest, *corianderwing.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, ok := a.pools[pool]
	if !ok {
		return nil, corianderwing.Errorf(corianderwing.NoUpstream, "pool %s has no upstream", pool)
	}
	a.last++
	r.ID = a.last
	w := &PendingRequest{ID: r.ID, pool: pool, effect: make(chan place.Effect, 1)}
	a.waiting[r.ID] = w.effect
	now := time.Now()
	a.checkLease(now)
	a.deliver(p.Submit(r, now))
	a.signalQueued()
	return w, nil
}

// Wait returns the decision on a request, or false if there is none after d or
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
	return Ticket{w.pool, e.ID, e.Grant, e.ForwardTo, e.Reason, e.RequireGoal}, e.RetryAfter, e.Err
}

// Cancel ends the wait for a slot. If one was granted meanwhile, it is
// released.
func (a *Allocator) Cancel(w *PendingRequest) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, w.ID)
	a.tally.Canceled++
	a.checkLease(now)
	p := a.pools[w.pool]
	a.deliver(p.Cancel(w.ID, now))
	select {
	case e := <-w.effect:
		if e.Err == nil && e.ForwardTo == "" {
			a.deliver(p.Release(place.Outcome{ID: w.ID, Result: place.Canceled}, now))
		}
	default:
	}
}

// Release returns a slot, with the outcome of the attempt.
func (a *Allocator) Release(pool corianderwing.PoolID, o place.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p, ok := a.pools[pool]; ok {
		now := time.Now()
		a.checkLease(now)
		a.deliver(p.Release(o, now))
	}
}

// PoolLoad is the load of one pool in the allocator's failure domain.
type PoolLoad struct {
	Pool        corianderwing.PoolID  `json:"pool"`
	Slots       int                   `json:"slots"`          // available to the requests of this failure domain
	OwnSlots    int                   `json:"own"`            // of the domain's own upstreams, including lent ones
	InFlight    int                   `json:"busy,omitempty"` // requests in flight
	Waiting     int                   `json:"waiting,omitempty"`
	OverShare   int                   `json:"over,omitempty"`    // waiting requests of workspaces over their share
	Pace        corianderwing.Percent `json:"pace,omitempty"`    // mean work time that the upstreams report
	Demand      float64               `json:"demand,omitempty"`  // slots needed by the arriving requests
	ArrivalRate float64               `json:"arrived,omitempty"` // requests per second
	Provisional bool                  `json:"new,omitempty"`     // see place.Load
	ColdPeak    int                   `json:"-"`                 // see place.Load
}

// Loads returns the load of every pool.
func (a *Allocator) Loads() []PoolLoad {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]PoolLoad, 0, len(a.pools))
	for name, p := range a.pools {
		l := p.Load(now)
		list = append(list, PoolLoad{
			Pool:        name,
			Slots:       l.Slots,
			OwnSlots:    l.OwnSlots,
			InFlight:    l.InFlight,
			Waiting:     p.QueueLen(),
			OverShare:   l.OverShare,
			Pace:        l.Pace,
			Demand:      l.Demand,
			ArrivalRate: l.ArrivalRate,
			Provisional: l.Provisional,
			ColdPeak:    l.ColdPeak,
		})
	}
	return list
}
