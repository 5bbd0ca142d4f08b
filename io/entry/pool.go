package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"corianderwing"
	"corianderwing/core/queue"
	"corianderwing/core/retry"
	"corianderwing/core/route"
	"corianderwing/io/relay"
)

// pool is the state of a pool that this instance owns in its failure domain:
// the queue, the upstreams, and the connections to them.
type pool struct {
	server *Server
	id     corianderwing.PoolID

	mu      sync.Mutex
	queue   *queue.Queue
	route   *route.Pool
	waiters map[uint64]chan grant
	seq     uint64
	budget  *retry.Budget
	conns   map[corianderwing.UpstreamID]*relay.ConnPool
	move    corianderwing.Move
	moving  bool
}

// slot is a slot of an upstream, with the connections to that upstream.
type slot struct {
	up    corianderwing.Upstream
	conns *relay.ConnPool
}

// grant is the result of a request's wait in the queue.
type grant struct {
	slot
	err *corianderwing.Error
}

// pool returns the state of a pool and creates it on first use. Pools are
// defined in the settings, so their number is bounded.
func (s *Server) pool(id corianderwing.PoolID) *pool {
	if p, ok := (*s.pools.Load())[id]; ok {
		return p
	}
	s.poolMu.Lock()
	defer s.poolMu.Unlock()
	old := *s.pools.Load()
	if p, ok := old[id]; ok {
		return p
	}
	cfg := s.opt.route
	cfg.OnViolation = s.meter.recordViolation
	p := &pool{
		server:  s,
		id:      id,
		queue:   queue.New(s.opt.queue),
		route:   route.New(cfg, rand.New(rand.NewPCG(s.opt.seed, uint64(len(old))))),
		waiters: make(map[uint64]chan grant),
		budget:  retry.NewBudget(s.opt.retry),
		conns:   make(map[corianderwing.UpstreamID]*relay.ConnPool),
	}
	p.sync(time.Now())
	all := make(map[corianderwing.PoolID]*pool, len(old)+1)
	for k, v := range old {
		all[k] = v
	}
	all[id] = p
	s.pools.Store(&all)
	return p
}

// sync applies announcements, drains and the share of a new version.
func (p *pool) sync(now time.Time) {
	list := p.server.cfg.Fleet.Upstreams(p.id, p.server.self.Domain)
	views := p.server.cfg.Settings.Views()
	drained := func(u corianderwing.UpstreamID) bool {
		for _, v := range views {
			if v.Drained(u) {
				return true
			}
		}
		return false
	}
	shift, move, moving := p.server.shift(p.id, views, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.move, p.moving = move, moving
	p.route.SetShift(shift)
	p.route.Sync(list, drained, now)
	for id := range p.conns {
		if !p.route.Has(id) {
			delete(p.conns, id)
		}
	}
	p.dispatch(now)
}

// shift returns the share of requests for the new version in a pool's latest
// move.
func (s *Server) shift(id corianderwing.PoolID, views []corianderwing.SettingsView, now time.Time) (route.Shift, corianderwing.Move, bool) {
	var last corianderwing.Move
	for _, v := range views {
		if m, ok := v.Move(id); ok && (last.ID == "" || m.Start.After(last.Start)) {
			last = m
		}
	}
	if last.ID == "" {
		return route.Shift{}, last, false
	}
	sh := route.Shift{To: last.To}
	switch {
	case last.Outcome == corianderwing.Done:
		sh.Share = 1
	case last.Outcome == corianderwing.RolledBack:
		sh.Share = 0
	case s.cfg.ShiftShare != nil:
		sh.Share = s.cfg.ShiftShare(last, now)
	default:
		sh.Share = 0.01
	}
	return sh, last, last.Outcome == corianderwing.Moving
}

// tryAcquire acquires a slot if one is free and the queue is empty.
func (p *pool) tryAcquire(j *job, now time.Time) (slot, bool) {
	if !p.server.cfg.Fleet.Owns(p.id) {
		return slot{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue.Len() > 0 {
		return slot{}, false
	}
	return p.pick(j.excludedUpstreams, now)
}

// pick acquires a slot at an upstream that is not in tried. Must be called with
// p.mu held.
func (p *pool) pick(tried []corianderwing.UpstreamID, now time.Time) (slot, bool) {
	up, ok := p.route.Pick(tried, now)
	if !ok {
		return slot{}, false
	}
	return slot{up, p.connPool(up)}, true
}

// acquire waits for a slot of an upstream. If it fails, nothing has been sent.
func (p *pool) acquire(ctx context.Context, j *job, now time.Time) (slot, *corianderwing.Error) {
	if sl, ok := p.tryAcquire(j, now); ok {
		return sl, nil
	}
	if !p.server.cfg.Fleet.Owns(p.id) {
		return slot{}, corianderwing.Errorf(corianderwing.NotOwner, "pool %s", p.id)
	}
	p.mu.Lock()
	if !p.route.Available(now) {
		p.mu.Unlock()
		p.sync(now)
		p.mu.Lock()
		if !p.route.Available(now) {
			p.mu.Unlock()
			return slot{}, corianderwing.Errorf(corianderwing.NoUpstream, "pool %s in %s", p.id, p.server.self.Domain)
		}
	}
	id, ch := p.enqueue(j, now)
	p.dispatch(now)
	p.mu.Unlock()
	select {
	case g := <-ch:
		return g.slot, g.err
	case <-ctx.Done():
		return slot{}, p.cancelWait(ctx, id, ch)
	}
}

// enqueue adds a request to the queue. Must be called with p.mu held.
func (p *pool) enqueue(j *job, now time.Time) (uint64, chan grant) {
	p.seq++
	ch := make(chan grant, 1)
	p.waiters[p.seq] = ch
	slots, _ := p.route.Load(now)
	p.apply(p.queue.Update(queue.Event{
		Kind:      queue.Arrive,
		PoolSlots: int(slots),
		Item: queue.Item{
			ID:           p.seq,
			Workspace:    j.workspace,
			Class:        j.class,
			Deadline:     j.deadline,
			WaitDeadline: j.maxWait.After(now),
		},
	}, now), now)
	return p.seq, ch
}

// cancelWait removes a request whose context ended from the queue.
func (p *pool) cancelWait(ctx context.Context, id uint64, ch chan grant) *corianderwing.Error {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.Update(queue.Event{Kind: queue.Cancel, Item: queue.Item{ID: id}}, now)
	delete(p.waiters, id)
	select {
	case g := <-ch:
		if g.err == nil {
			p.route.Done(g.up.ID, route.Unused, 0, now)
			p.dispatch(now)
		}
	default:
	}
	return relay.ContextError(ctx, corianderwing.NotExecuted)
}

// apply carries out the decisions of the queue. Must be called with p.mu held.
func (p *pool) apply(list []queue.Effect, now time.Time) {
	for _, e := range list {
		ch, ok := p.waiters[e.ID]
		if !ok {
			continue
		}
		delete(p.waiters, e.ID)
		if e.Code != corianderwing.OK {
			ch <- grant{err: corianderwing.Errorf(e.Code, "pool %s has %d queued requests", p.id, p.queue.Len())}
			continue
		}
		sl, ok := p.pick(nil, now)
		if !ok {
			p.server.meter.recordViolation("queue started a request without a free slot")
			ch <- grant{err: corianderwing.Errorf(corianderwing.NoCapacity, "pool %s", p.id)}
			continue
		}
		ch <- grant{slot: sl}
	}
}

// dispatch starts queued requests while slots are free. It does nothing if this
// instance has lost the pool, for example while the process was paused; tick
// then rejects the requests. Must be called with p.mu held.
func (p *pool) dispatch(now time.Time) {
	if p.queue.Len() == 0 || !p.server.cfg.Fleet.Owns(p.id) {
		return
	}
	for p.queue.Len() > 0 && p.route.HasFreeSlot(now) {
		p.apply(p.queue.Update(queue.Event{Kind: queue.SlotsFreed, FreeSlots: 1}, now), now)
	}
}

// tick rejects requests that have waited too long. Once this instance no longer
// owns the pool, it rejects all queued requests and closes the idle
// connections, so that the new owner can open its own.
func (p *pool) tick(now time.Time) {
	owns := p.server.cfg.Fleet.Owns(p.id)
	p.mu.Lock()
	if owns {
		p.apply(p.queue.Update(queue.Event{Kind: queue.Tick}, now), now)
		p.dispatch(now)
		p.mu.Unlock()
		return
	}
	for id, ch := range p.waiters {
		p.queue.Update(queue.Event{Kind: queue.Cancel, Item: queue.Item{ID: id}}, now)
		ch <- grant{err: corianderwing.Errorf(corianderwing.NotOwner, "pool %s is owned by another instance", p.id)}
		delete(p.waiters, id)
	}
	p.mu.Unlock()
	p.reset()
}

// reset closes the idle connections to all upstreams.
func (p *pool) reset() { p.forEachConnPool(func(h *relay.ConnPool) { h.Reset() }) }

// closeIdle closes connections that exceed the idle timeout.
func (p *pool) closeIdle() {
	p.forEachConnPool(func(h *relay.ConnPool) { h.CloseIdle(relay.IdleTimeout) })
}

// forEachConnPool calls f without holding p.mu, because f acquires it to count
// closed connections.
func (p *pool) forEachConnPool(f func(*relay.ConnPool)) {
	p.mu.Lock()
	conns := make([]*relay.ConnPool, 0, len(p.conns))
	for _, h := range p.conns {
		conns = append(conns, h)
	}
	p.mu.Unlock()
	for _, h := range conns {
		f(h)
	}
}

// release returns a slot. Only successful requests add to the retry budget:
// retries cannot help a pool that fails entirely.
func (p *pool) release(id corianderwing.UpstreamID, w corianderwing.WorkspaceID, r route.Result, first, took time.Duration) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.route.Done(id, r, first, now)
	if r == route.Success {
		p.budget.Deposit(p.id, w, now)
		p.queue.Update(queue.Event{Kind: queue.Finish, HoldTime: took}, now)
	}
	p.dispatch(now)
}

// connPool returns the connections to an upstream. An upstream that changed its
// address gets new connections. Must be called with p.mu held.
func (p *pool) connPool(u corianderwing.Upstream) *relay.ConnPool {
	h, ok := p.conns[u.ID]
	if ok && h.Addr == u.Addr {
		return h
	}
	if ok {
		go h.Reset() // Reset acquires p.mu
	}
	id := u.ID
	h = &relay.ConnPool{
		Addr:    u.Addr,
		Dial:    p.server.opt.dial,
		MaxIdle: int(u.Slots),
		AcquireConn: func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.route.AddConn(id)
		},
		ReleaseConn: func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.route.RemoveConn(id)
		},
	}
	p.conns[id] = h
	return h
}

// withdrawRetry withdraws a token for a retry at another upstream.
func (p *pool) withdrawRetry(j *job, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Withdraw(p.id, j.workspace, now)
}

// load returns the load that the owner reports to other instances.
func (p *pool) load(now time.Time) corianderwing.PoolLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	slots, busy := p.route.Load(now)
	return corianderwing.PoolLoad{Pool: p.id, Slots: slots, Busy: busy, Waiting: p.queue.Len()}
}
