package place

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"corianderwing"
)

// place grants a slot to a request, lets it wait, or refuses it.
func (p *Pool) place(r *Request, now time.Time) {
	if !now.Before(r.Deadline) {
		p.refuse(r, 0, corianderwing.DeadlineUnreachable, "the request's time was up")
		return
	}
	for _, v := range p.turn(r) {
		order := p.order(r, v, now)
		if len(order) == 0 {
			continue
		}
		if s := p.best(r, order, now); s != nil {
			p.grant(r, s, now)
			return
		}
		if d := p.relief(r, order, now); d != p.cfg.Domain {
			p.out = append(p.out, Effect{ID: r.ID, ForwardTo: d, RequireGoal: true})
			return
		}
		if p.enqueue(r, order, now) {
			return
		}
		wait := p.wait(r, order, now)
		p.refuse(r, wait, corianderwing.NoCapacity, "pool %s has no room for %v, %d wait", p.cfg.Name, wait, len(p.queue))
		return
	}
	if d := p.instead(r); d != p.cfg.Domain {
		p.out = append(p.out, Effect{ID: r.ID, ForwardTo: d})
		return
	}
	p.refuse(r, noUpstreamAfter, corianderwing.NoUpstream, "pool %s has no usable upstream in %s", p.cfg.Name, p.cfg.Domain)
}

// noUpstreamAfter is when a caller should come back who met no upstream at all:
// others are announced or lent within about a second.
const noUpstreamAfter = 400 * time.Millisecond

// turn returns the versions that may run the request, the one whose turn it is
// first. The old version never overflows to the new one, of which nobody knows
// yet whether it works; and once the new one gets everything, the old one is
// about to be stopped.
func (p *Pool) turn(r *Request) []corianderwing.VersionID {
	set := &p.set
	switch {
	case set.NextVersion == "" || set.NextShare <= 0 || r.CurrentVersionOnly && set.NextShare < 1:
		return []corianderwing.VersionID{set.Version}
	case set.NextShare >= 1:
		return []corianderwing.VersionID{set.NextVersion}
	case p.credit+set.NextShare >= 1:
		return []corianderwing.VersionID{set.NextVersion, set.Version}
	}
	return []corianderwing.VersionID{set.Version}
}

// scored is an upstream with its score for an object.
type scored struct {
	*server
	score float64
}

// order returns the upstreams that may run the request, in the order that
// belongs to its object. A request without an object takes them by load.
func (p *Pool) order(r *Request, v corianderwing.VersionID, now time.Time) []scored {
	p.orders++
	list := make([]scored, 0, len(p.list))
	slow := p.usualSlow(now)
	for _, s := range p.list {
		if !s.usable(now) || s.room <= 0 || s.up.Version != v || slices.Contains(r.ExcludedUpstreams, s.up.ID) {
			continue
		}
		if len(r.HomeRegions) > 0 && !slices.Contains(r.HomeRegions, p.cfg.RegionOf(s.up.Domain)) {
			continue
		}
		list = append(list, scored{s, p.score(r, s, slow, now)})
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	return list
}

// score ranks an upstream for a request.
func (p *Pool) score(r *Request, s *server, slow float64, now time.Time) float64 {
	w := s.weight(slow)
	if r.Object == 0 {
		far := p.delay(s).Seconds()
		return p.free(s, now)/max(1, float64(s.room)) - far*10 + p.rng.Float64()*0.01
	}
	return rendezvous(r.Object, s.up.ID, w)
}

// rendezvous returns the score of a place for an object. Of all places the one
// with the highest score gets the object: each gets objects in proportion to
// its weight, and few of them move when weights change.
func rendezvous[T ~string](object uint64, place T, weight float64) float64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], object)
	var d xxhash.Digest
	d.Reset()
	d.Write(b[:])
	d.WriteString(string(place))
	u := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

// best returns the upstream that should run the request now, or nil if it
// should wait or there is none.
func (p *Pool) best(r *Request, order []scored, now time.Time) *server {
	if s := order[0].server; r.Object != 0 && s.isNew(now) && p.fits(r, s, now) {
		return s
	}
	for _, s := range order {
		if (r.Object == 0 || p.knows(s.server, r)) && p.fits(r, s.server, now) {
			return s.server
		}
	}
	if r.Object == 0 {
		return nil
	}
	if p.soon(r, order, now) {
		return nil
	}
	// Nobody who knows the object has room in time, so another one learns it:
	// the first of the object's order, so that it is the same one next time.
	for i, s := range order {
		if i > 0 && p.pressed(now) {
			break
		}
		if p.fits(r, s.server, now) {
			return s.server
		}
	}
	return nil
}

// knows reports whether the upstream is thought to know the request's object.
func (p *Pool) knows(s *server, r *Request) bool {
	known, _ := s.knows(r.Object, p.keep)
	return known
}

// fits reports whether the upstream has room for the request and would answer
// before its deadline.
func (p *Pool) fits(r *Request, s *server, now time.Time) bool {
	if p.free(s, now) < 1 {
		return false
	}
	return now.Add(p.takes(r, s)).Before(r.Deadline)
}

// takes returns the time from the grant to the answer.
func (p *Pool) takes(r *Request, s *server) time.Duration {
	return seconds(p.workOf(r.Class).of(p.knows(s, r))*s.slow) + p.delay(s)
}

// soon reports whether an upstream that knows the object will have room in time
// for the request's goal.
func (p *Pool) soon(r *Request, order []scored, now time.Time) bool {
	for _, s := range order {
		if !p.knows(s.server, r) {
			continue
		}
		if now.Add(p.waitAt(r, s.server, now) + p.takes(r, s.server)).Before(r.Goal) {
			return true
		}
	}
	return false
}

// pressedAt is the part of the slots in use from which on no further upstream
// learns an object: requests for it wait or are refused instead.
const pressedAt = 0.5

// pressed reports whether the pool is so loaded that slow requests would take
// the slots of those that can be in time.
func (p *Pool) pressed(now time.Time) bool {
	room, busy := 0.0, 0.0
	for _, s := range p.list {
		if s.usable(now) {
			room += float64(s.room)
			busy += float64(s.busy) + min(s.others(now), float64(s.room))
		}
	}
	return room == 0 || busy >= pressedAt*room
}

// waitAt returns how long the request would wait for a slot of the upstream.
func (p *Pool) waitAt(r *Request, s *server, now time.Time) time.Duration {
	free := p.free(s, now)
	ahead := 0.0
	for _, w := range p.queue {
		if w.target == s && !before(r, &w.Request) {
			ahead++
		}
	}
	if free > ahead {
		return 0
	}
	each := p.usual()
	if each <= 0 {
		each = p.workOf(r.Class).of(true)
	}
	return seconds((ahead - free + 1) * each * s.slow / float64(max(1, s.room)))
}

// wait returns the shortest wait at the upstreams that know the object, or at
// the first of its order.
func (p *Pool) wait(r *Request, order []scored, now time.Time) time.Duration {
	shortest := p.waitAt(r, order[0].server, now)
	for _, s := range order[1:] {
		if p.knows(s.server, r) {
			shortest = min(shortest, p.waitAt(r, s.server, now))
		}
	}
	return max(shortest, leastAfter)
}

// leastAfter is the shortest time after which a refused caller should come
// back: the time of a new connection.
const leastAfter = 20 * time.Millisecond
