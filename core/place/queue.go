package place

import (
	"slices"
	"time"

	"corianderwing"
)

// waiter is a queued request.
type waiter struct {
	Request
	target    *server // upstream where it is expected to run
	preferred *server // first upstream in the last ranking for its object
	late      bool    // it can no longer meet its goal
}

const (
	// maxLateRatio bounds the number of late requests in the queue, as a ratio
	// of the slots. They get the slots that requests in time leave free.
	maxLateRatio = 1.5
	// lateWaitFraction is the fraction of the time until its deadline that a
	// late request may wait.
	lateWaitFraction = 0.5
)

// precedes reports whether a is served before b: the more urgent rank first,
// then requests of workspaces within their share of the slots, then requests whose
// caller was rejected before, then the earlier goal.
func precedes(a, b *Request) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if a.overShare != b.overShare {
		return b.overShare
	}
	if a.Retried != b.Retried {
		return a.Retried
	}
	return a.Goal.Before(b.Goal)
}

// precedes reports whether a is served before b: requests that can still meet
// their goal come first, then those that precede by rank, retry and goal.
func (a *waiter) precedes(b *waiter) bool {
	if a.late != b.late {
		return b.late
	}
	return precedes(&a.Request, &b.Request)
}

// enqueue queues the request if it is expected to be served within its goal,
// or if it may wait as one of a few late requests. It reports whether the
// request was queued.
func (p *Pool) enqueue(r *Request, order []scoredServer, now time.Time) bool {
	target := p.pickTarget(r, order, now)
	takes := p.expectedWait(r, target, now) + p.expectedLatency(r, target, now)
	late := !now.Add(takes).Before(r.Goal)
	if late && (r.RequireGoal || !p.admitLate(r, takes, now)) {
		return false
	}
	w := &waiter{Request: *r, target: target, preferred: order[0].server, late: late}
	i, _ := slices.BinarySearchFunc(p.queue, w, func(a, b *waiter) int {
		if b.precedes(a) {
			return 1
		}
		return -1
	})
	p.queue = slices.Insert(p.queue, i, w)
	return true
}

// admitLate reports whether a late request may wait: it is expected to be
// served well before its deadline, and few other late requests are queued for the slots
// that may run it. Those of workspaces over their share do not keep others out.
func (p *Pool) admitLate(r *Request, takes time.Duration, now time.Time) bool {
	n, room := 0, 0
	for _, w := range p.queue {
		if w.late && (r.overShare || !w.overShare) && (w.hasHomes() || !r.hasHomes()) {
			n++
		}
	}
	for _, s := range p.sorted {
		if s.usable(now) && r.mayRunIn(p.cfg.RegionOf(s.upstream.Domain)) {
			room += s.slots
		}
	}
	left := r.Deadline.Sub(now)
	return float64(n) < maxLateRatio*float64(room) && takes < time.Duration(lateWaitFraction*float64(left))
}

// pickTarget returns the upstream with the shortest expected wait among those
// that cache the object, or else the first in rendezvous order.
func (p *Pool) pickTarget(r *Request, order []scoredServer, now time.Time) *server {
	best := order[0].server
	found := false
	for _, s := range order {
		if r.Object != 0 && !p.expectsHit(s.server, r) {
			continue
		}
		if !found || p.expectedWait(r, s.server, now) < p.expectedWait(r, best, now) {
			best, found = s.server, true
		}
	}
	return best
}

func (p *Pool) dequeue(id ID) {
	if i := slices.IndexFunc(p.queue, func(w *waiter) bool { return w.ID == id }); i >= 0 {
		p.queue = slices.Delete(p.queue, i, i+1)
	}
}

// dispatch gives free slots to queued requests, in queue order. Under high
// load it skips requests that cannot run at an upstream with a free slot: most
// slots become free one at a time, and few requests wait for the same
// upstream.
func (p *Pool) dispatch(now time.Time) {
	room := p.availableServers(now)
	pressed := len(room) == 0 || p.highLoad(now)
	for i := 0; i < len(p.queue) && len(room) > 0; {
		w := p.queue[i]
		if pressed && !p.mayDispatch(w, room, now) {
			i++
			continue
		}
		s := p.findServer(w, now)
		if s == nil {
			i++
			continue
		}
		p.queue = slices.Delete(p.queue, i, i+1)
		p.grant(&w.Request, s, now)
		if p.freeSlots(s, now) < 1 {
			room = slices.DeleteFunc(room, func(x *server) bool { return x == s })
		}
	}
}

// availableServers returns the upstreams that can take a request now, or none
// if the queue is empty.
func (p *Pool) availableServers(now time.Time) []*server {
	p.available = p.available[:0]
	if len(p.queue) == 0 {
		return p.available
	}
	for _, s := range p.sorted {
		if s.usable(now) && s.slots > 0 && p.freeSlots(s, now) >= 1 {
			p.available = append(p.available, s)
		}
	}
	return p.available
}

// mayDispatch reports whether a queued request may run now at one of the
// upstreams with a free slot although the load is high. That upstream must
// cache the object, or be the preferred one and either unused or without an
// alternative that serves a hit within the goal.
func (p *Pool) mayDispatch(w *waiter, room []*server, now time.Time) bool {
	if w.Object == 0 {
		return true
	}
	for _, s := range room {
		if p.expectsHit(s, &w.Request) || s == w.preferred && (s.isUnused(now) || !p.awaitsHit(w, now)) {
			return true
		}
	}
	return false
}

// awaitsHit reports whether an upstream that caches the object is expected to
// serve the request within its goal.
func (p *Pool) awaitsHit(w *waiter, now time.Time) bool {
	for _, s := range p.sorted {
		if p.expectsHit(s, &w.Request) && s.usable(now) && now.Add(p.expectedWait(&w.Request, s, now)+p.expectedLatency(&w.Request, s, now)).Before(w.Goal) {
			return true
		}
	}
	return false
}

// findServer returns the upstream that can take a queued request now, or nil.
// Without one it updates the target of the request.
func (p *Pool) findServer(w *waiter, now time.Time) *server {
	for _, v := range p.eligibleVersions(&w.Request) {
		order := p.rankServers(&w.Request, v, now)
		if len(order) == 0 {
			continue
		}
		if s := p.pickServer(&w.Request, order, now); s != nil {
			return s
		}
		w.target, w.preferred = p.pickTarget(&w.Request, order, now), order[0].server
	}
	return nil
}

// retarget recomputes the targets of all queued requests after the upstreams
// have changed.
func (p *Pool) retarget(now time.Time) {
	for _, w := range p.queue {
		for _, v := range p.eligibleVersions(&w.Request) {
			if order := p.rankServers(&w.Request, v, now); len(order) > 0 {
				w.target, w.preferred = p.pickTarget(&w.Request, order, now), order[0].server
				break
			}
		}
	}
}

// expire rechecks the queued requests. Those that cannot be served before
// their deadline are rejected. Those that have become late are scheduled again
// like new arrivals.
func (p *Pool) expire(now time.Time) {
	kept := p.queue[:0]
	var late []*waiter
	for _, w := range p.queue {
		takes := p.expectedLatency(&w.Request, w.target, now)
		switch {
		case !now.Add(takes).Before(w.Deadline):
			p.reject(&w.Request, 0, corianderwing.DeadlineUnreachable, "pool %s had no free slot before the deadline", p.cfg.Name)
		case !w.late && !now.Add(takes).Before(w.Goal):
			late = append(late, w)
		default:
			kept = append(kept, w)
		}
	}
	clear(p.queue[len(kept):])
	p.queue = kept
	for _, w := range late {
		p.schedule(&w.Request, now)
	}
}
