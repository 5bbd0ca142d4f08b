package place

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"corianderwing"
	"corianderwing/core/model"
)

const (
	// homePerKB decides which objects have a home in each failure domain instead
	// of one in the region: those whose requests follow each other within this
	// time for each KB of a request and its answer, and for each second of work
	// where the object is unknown. A second home costs a slow answer once, one
	// home costs the bytes between domains again and again.
	homePerKB = 0.45
	// shareBand is the part by which the time must be shorter for the object to
	// have its own home again.
	shareBand = 0.75
	// fullPart is the part of what the domain's upstreams remember that its
	// objects must exceed to be shared for that reason.
	fullPart = 0.95
	// censusTime is how long an object counts after its last request.
	censusTime = 20 * time.Second
	// censusMost bounds the number of objects that are counted.
	censusMost = 4096
	// firstSize is the assumed size of a request and its answer, in KB.
	firstSize = 2.0
)

// census counts the objects of a class that are requested.
type census struct {
	objects map[uint64]*counted
	arrived average
	purged  time.Time
	size    float64 // of a request and its answer, in KB
}

func (c *census) kilobytes() float64 {
	if c.size == 0 {
		return firstSize
	}
	return c.size
}

// counted is an object with its requests.
type counted struct {
	n    int
	last time.Time
}

// count adds a request to the census of its class.
func (p *Pool) count(r *Request, now time.Time) {
	if r.Object == 0 || r.NoForward {
		return
	}
	c, ok := p.seen[r.Class]
	if !ok {
		c = &census{objects: map[uint64]*counted{}, purged: now}
		p.seen[r.Class] = c
		p.shared[r.Class] = true // until the census tells otherwise
	}
	c.arrived.add(1, now)
	x, ok := c.objects[r.Object]
	if !ok && len(c.objects) < censusMost {
		x = &counted{}
		c.objects[r.Object] = x
	}
	if x != nil {
		x.n++
		x.last = now
	}
}

// estimate returns how many objects there are, those that were not requested
// yet included (Chao's estimator: many objects that were seen once, and few
// that were seen twice, mean that many were not seen).
func (c *census) estimate(now time.Time) float64 {
	if now.Sub(c.purged) > time.Second {
		c.purged = now
		for o, x := range c.objects {
			if now.Sub(x.last) > censusTime {
				delete(c.objects, o)
			}
		}
	}
	once, twice := 0.0, 0.0
	for _, x := range c.objects {
		switch x.n {
		case 1:
			once++
		case 2:
			twice++
		}
	}
	return float64(len(c.objects)) + once*(once-1)/(2*(twice+1))
}

// look brings up to date what the choice of homes depends on.
func (p *Pool) look(now time.Time) {
	p.slots = map[corianderwing.DomainID]float64{}
	remembered := 0.0
	for _, u := range p.set.Upstreams {
		if !p.serves(u) {
			continue
		}
		p.slots[u.Domain] += float64(u.Slots)
		if u.Domain == p.cfg.Domain {
			remembered += p.keep
		}
	}
	p.share(remembered, now)
}

// share decides which classes have shared objects: those whose objects are
// requested too seldom for more than one home, and then, the smallest answers
// first, those that the own upstreams cannot remember.
func (p *Pool) share(remembered float64, now time.Time) {
	classes := slices.SortedFunc(maps.Keys(p.seen), func(a, b corianderwing.RouteID) int {
		return cmp.Or(cmp.Compare(p.seen[a].kilobytes(), p.seen[b].kilobytes()), cmp.Compare(a, b))
	})
	total := 0.0
	estimates := map[corianderwing.RouteID]float64{}
	for _, class := range classes {
		c := p.seen[class]
		estimates[class] = c.estimate(now)
		interval := estimates[class] / max(c.arrived.rate(now), 0.01)
		limit := homePerKB * c.kilobytes() / p.workOf(class).of(false)
		if p.shared[class] {
			limit *= shareBand
		}
		p.shared[class] = interval > limit
		if !p.shared[class] {
			total += estimates[class]
		}
	}
	for _, class := range classes {
		if total <= fullPart*remembered {
			return
		}
		if !p.shared[class] {
			p.shared[class] = true
			total -= estimates[class]
		}
	}
}

// serves reports whether an announced upstream may get requests at all.
func (p *Pool) serves(u *model.Upstream) bool {
	return u.Phase == corianderwing.Ready && !p.set.Evacuated(u.Domain) && (u.Version == p.set.Version || p.set.NextVersion != "" && u.Version == p.set.NextVersion)
}

// home returns the failure domain whose desk should place the request: one of
// the regions that may run it, if this one may not; that of the object, if its
// class is shared; and another one of the region if this one has no upstreams.
func (p *Pool) home(r *Request, now time.Time) corianderwing.DomainID {
	own := p.cfg.Domain
	region := p.cfg.RegionOf(own)
	if r.NoForward {
		return own
	}
	if len(r.HomeRegions) > 0 && !slices.Contains(r.HomeRegions, region) {
		return p.nearest(r, func(d corianderwing.DomainID) bool { return slices.Contains(r.HomeRegions, p.cfg.RegionOf(d)) })
	}
	if p.slots[own] > 0 && (p.set.NextVersion != "" || r.Object == 0 || p.knownHere(r) || !p.shared[r.Class] && !p.pressed(now)) {
		return own
	}
	return p.nearest(r, func(d corianderwing.DomainID) bool { return p.cfg.RegionOf(d) == region })
}

// relief returns another domain of the region that may run the request in time,
// if this one cannot: its upstreams know the same objects.
func (p *Pool) relief(r *Request, order []scored, now time.Time) corianderwing.DomainID {
	own := p.cfg.Domain
	if r.NoForward || r.Object == 0 || p.set.NextVersion != "" {
		return own
	}
	target := p.target(r, order, now)
	if now.Add(p.waitAt(r, target, now) + p.takes(r, target)).Before(r.Goal) {
		return own
	}
	region := p.cfg.RegionOf(own)
	return p.nearest(r, func(d corianderwing.DomainID) bool { return d != own && p.cfg.RegionOf(d) == region })
}

// instead returns the failure domain whose desk should be asked because none of
// the upstreams here is usable: one of the region, or else of another region.
func (p *Pool) instead(r *Request) corianderwing.DomainID {
	own := p.cfg.Domain
	if r.NoForward {
		return own
	}
	allowed := func(d corianderwing.DomainID) bool {
		return d != own && (len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, p.cfg.RegionOf(d)))
	}
	region := p.cfg.RegionOf(own)
	near := p.nearest(r, func(d corianderwing.DomainID) bool { return allowed(d) && p.cfg.RegionOf(d) == region })
	if near != own {
		return near
	}
	return p.nearest(r, allowed)
}

// nearest returns the domain of those that may place the request to which its
// object belongs. Without one it stays here.
func (p *Pool) nearest(r *Request, may func(corianderwing.DomainID) bool) corianderwing.DomainID {
	best, high := p.cfg.Domain, math.Inf(-1)
	for d, slots := range p.slots {
		if !may(d) {
			continue
		}
		if score := rendezvous(r.Object, d, slots); score > high {
			best, high = d, score
		}
	}
	return best
}

// knownHere reports whether an upstream of the own failure domain knows the
// request's object: then it stays here, also when its class begins to be shared.
func (p *Pool) knownHere(r *Request) bool {
	for _, s := range p.list {
		if !s.remote && s.ready && p.knows(s, r) {
			return true
		}
	}
	return false
}
