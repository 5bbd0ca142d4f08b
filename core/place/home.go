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
	// localHomeSecondsPerKB decides which objects are cached in each failure
	// domain instead of once per region: those whose requests follow each other
	// within an interval of this many seconds per KB of a request and its
	// response, divided by the latency of a cache miss in seconds. A second home
	// costs one slow response, a single home costs the bytes between domains on
	// every request.
	localHomeSecondsPerKB = 1.5
	// sharedHysteresis is the fraction of the limit below which the interval of a
	// shared class must fall before its objects get local homes again.
	sharedHysteresis = 0.75
	// maxCacheFill is the fraction of the domain's total cache size that its
	// objects may take. Above it, classes become shared.
	maxCacheFill = 0.95
	// objectTTL is how long an object is counted after its last request.
	objectTTL = 20 * time.Second
	// maxTrackedObjects bounds the number of objects counted per class.
	maxTrackedObjects = 4096
	// defaultSizeKB is the assumed size of a request and its response, until one
	// is measured.
	defaultSizeKB = 2.0
)

// classStats counts the requested objects of a class.
type classStats struct {
	objects  map[uint64]*objectStats
	arrivals decayingRate
	purgedAt time.Time
	sizeKB   float64 // mean of a request and its response
}

func (c *classStats) meanSizeKB() float64 {
	if c.sizeKB == 0 {
		return defaultSizeKB
	}
	return c.sizeKB
}

// objectStats counts the requests for an object.
type objectStats struct {
	requests    int
	lastRequest time.Time
}

// recordRequest adds a request to the statistics of its class.
func (p *Pool) recordRequest(r *Request, now time.Time) {
	if r.Object == 0 || r.NoForward {
		return
	}
	c, ok := p.classStats[r.Class]
	if !ok {
		c = &classStats{objects: map[uint64]*objectStats{}, purgedAt: now}
		p.classStats[r.Class] = c
		p.sharedClasses[r.Class] = true // until updateSharedClasses decides otherwise
	}
	c.arrivals.add(1, now)
	x, ok := c.objects[r.Object]
	if !ok && len(c.objects) < maxTrackedObjects {
		x = &objectStats{}
		c.objects[r.Object] = x
	}
	if x != nil {
		x.requests++
		x.lastRequest = now
	}
}

// estimateObjects estimates the number of distinct objects, including those
// not requested yet. It uses Chao's estimator: many objects seen once and few
// seen twice mean that many are unseen.
func (c *classStats) estimateObjects(now time.Time) float64 {
	if now.Sub(c.purgedAt) > time.Second {
		c.purgedAt = now
		for o, x := range c.objects {
			if now.Sub(x.lastRequest) > objectTTL {
				delete(c.objects, o)
			}
		}
	}
	once, twice := 0.0, 0.0
	for _, x := range c.objects {
		switch x.requests {
		case 1:
			once++
		case 2:
			twice++
		}
	}
	return float64(len(c.objects)) + once*(once-1)/(2*(twice+1))
}

// updateDomains recomputes the slots of each failure domain and the shared
// classes, which the choice of home domains depends on.
func (p *Pool) updateDomains(now time.Time) {
	p.domainSlots = map[corianderwing.DomainID]float64{}
	remembered := 0.0
	for _, u := range p.setup.Upstreams {
		if !p.eligible(u) {
			continue
		}
		p.domainSlots[u.Domain] += float64(u.Slots)
		if u.Domain == p.cfg.Domain {
			remembered += p.cacheSize
		}
	}
	p.updateSharedClasses(remembered, now)
}

// updateSharedClasses decides which classes are shared, that is, have one home
// domain per object instead of one in each failure domain. These are the
// classes whose objects are requested too rarely for more than one home. If
// the objects of the other classes do not fit into the caches of the domain,
// more classes are shared, those with the smallest responses first.
func (p *Pool) updateSharedClasses(remembered float64, now time.Time) {
	classes := slices.SortedFunc(maps.Keys(p.classStats), func(a, b corianderwing.RouteID) int {
		return cmp.Or(cmp.Compare(p.classStats[a].meanSizeKB(), p.classStats[b].meanSizeKB()), cmp.Compare(a, b))
	})
	total := 0.0
	estimates := map[corianderwing.RouteID]float64{}
	for _, class := range classes {
		c := p.classStats[class]
		estimates[class] = c.estimateObjects(now)
		interval := estimates[class] / max(c.arrivals.rate(now), 0.01)
		limit := localHomeSecondsPerKB * c.meanSizeKB() / p.latencyOf(class).expected(false)
		if p.sharedClasses[class] {
			limit *= sharedHysteresis
		}
		p.sharedClasses[class] = interval > limit
		if !p.sharedClasses[class] {
			total += estimates[class]
		}
	}
	for _, class := range classes {
		if total <= maxCacheFill*remembered {
			return
		}
		if !p.sharedClasses[class] {
			p.sharedClasses[class] = true
			total -= estimates[class]
		}
	}
}

// eligible reports whether an announced upstream may get requests at all.
func (p *Pool) eligible(u *model.Upstream) bool {
	return u.Phase == corianderwing.Ready && !p.setup.Evacuated(u.Domain) && (u.Version == p.setup.Version || p.setup.NextVersion != "" && u.Version == p.setup.NextVersion)
}

// homeDomain returns the failure domain that should schedule the request. It
// is in another region if this one may not run the request, the home domain of
// the object if its class is shared, and another domain of the region if this
// one has no upstreams.
func (p *Pool) homeDomain(r *Request, now time.Time) corianderwing.DomainID {
	own := p.cfg.Domain
	region := p.cfg.RegionOf(own)
	if r.NoForward {
		return own
	}
	if !r.mayRunIn(region) {
		return p.rendezvousDomain(r, func(d corianderwing.DomainID) bool { return r.mayRunIn(p.cfg.RegionOf(d)) })
	}
	if p.domainSlots[own] > 0 && (p.setup.NextVersion != "" || r.Object == 0 || p.cachedLocally(r) || !p.sharedClasses[r.Class] && !p.highLoad(now)) {
		return own
	}
	return p.rendezvousDomain(r, func(d corianderwing.DomainID) bool { return p.cfg.RegionOf(d) == region })
}

// reliefDomain returns another domain of the region to forward the request to
// if it cannot meet its goal here. The upstreams there cache the same objects.
func (p *Pool) reliefDomain(r *Request, order []scoredServer, now time.Time) corianderwing.DomainID {
	own := p.cfg.Domain
	if r.NoForward || r.Object == 0 || p.setup.NextVersion != "" {
		return own
	}
	target := p.pickTarget(r, order, now)
	if now.Add(p.expectedWait(r, target, now) + p.expectedLatency(r, target, now)).Before(r.Goal) {
		return own
	}
	region := p.cfg.RegionOf(own)
	return p.rendezvousDomain(r, func(d corianderwing.DomainID) bool { return d != own && p.cfg.RegionOf(d) == region })
}

// fallbackDomain returns the failure domain to forward the request to if no
// upstream here is usable. It prefers the same region.
func (p *Pool) fallbackDomain(r *Request) corianderwing.DomainID {
	own := p.cfg.Domain
	if r.NoForward {
		return own
	}
	allowed := func(d corianderwing.DomainID) bool {
		return d != own && r.mayRunIn(p.cfg.RegionOf(d))
	}
	region := p.cfg.RegionOf(own)
	near := p.rendezvousDomain(r, func(d corianderwing.DomainID) bool { return allowed(d) && p.cfg.RegionOf(d) == region })
	if near != own {
		return near
	}
	return p.rendezvousDomain(r, allowed)
}

// rendezvousDomain returns the allowed failure domain with the highest
// rendezvous score for the object, or the own one if none is allowed.
func (p *Pool) rendezvousDomain(r *Request, may func(corianderwing.DomainID) bool) corianderwing.DomainID {
	best, high := p.cfg.Domain, math.Inf(-1)
	for d, slots := range p.domainSlots {
		if !may(d) {
			continue
		}
		if score := rendezvous(r.Object, d, slots); score > high {
			best, high = d, score
		}
	}
	return best
}

// cachedLocally reports whether an upstream of the own failure domain caches
// the object of the request. Such requests stay here even after their class
// has become shared.
func (p *Pool) cachedLocally(r *Request) bool {
	for _, s := range p.sorted {
		if !s.remote && s.ready && p.expectsHit(s, r) {
			return true
		}
	}
	return false
}
