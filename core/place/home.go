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
	// localHomeSecondsPerKB decides which objects have a home in each failure domain instead
	// of one in the region: those whose requests follow each other within this
	// time for each KB of a request and its answer, and for each second of work
	// where the object is unknown. A second home costs a slow answer once, one
	// home costs the bytes between domains again and again.
	localHomeSecondsPerKB = 0.45
	// sharedHysteresis is the part by which the time must be shorter for the object to
	// have its own home again.
	sharedHysteresis = 0.75
	// maxCacheFill is the part of what the domain's upstreams remember that its
	// objects must exceed to be shared for that reason.
	maxCacheFill = 0.95
	// objectTTL is how long an object counts after its last request.
	objectTTL = 20 * time.Second
	// maxTrackedObjects bounds the number of objects that are counted.
	maxTrackedObjects = 4096
	// defaultSizeKB is the assumed size of a request and its answer, in KB.
	defaultSizeKB = 2.0
)

// classStats counts the objects of a class that are requested.
type classStats struct {
	objects  map[uint64]*objectStats
	arrivals decayingRate
	purgedAt time.Time
	sizeKB   float64 // of a request and its answer, in KB
}

func (c *classStats) meanSizeKB() float64 {
	if c.sizeKB == 0 {
		return defaultSizeKB
	}
	return c.sizeKB
}

// objectStats is an object with its requests.
type objectStats struct {
	requests    int
	lastRequest time.Time
}

// recordRequest adds a request to the census of its class.
func (p *Pool) recordRequest(r *Request, now time.Time) {
	if r.Object == 0 || r.NoForward {
		return
	}
	c, ok := p.classStats[r.Class]
	if !ok {
		c = &classStats{objects: map[uint64]*objectStats{}, purgedAt: now}
		p.classStats[r.Class] = c
		p.sharedClasses[r.Class] = true // until the census tells otherwise
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

// estimateObjects returns how many objects there are, those that were not requested
// yet included (Chao's estimator: many objects that were seen once, and few
// that were seen twice, mean that many were not seen).
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

// updateDomains brings up to date what the choice of homes depends on.
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

// updateSharedClasses decides which classes have shared objects: those whose objects are
// requested too seldom for more than one home, and then, the smallest answers
// first, those that the own upstreams cannot remember.
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

// homeDomain returns the failure domain whose desk should place the request: one of
// the regions that may run it, if this one may not; that of the object, if its
// class is shared; and another one of the region if this one has no upstreams.
func (p *Pool) homeDomain(r *Request, now time.Time) corianderwing.DomainID {
	own := p.cfg.Domain
	region := p.cfg.RegionOf(own)
	if r.NoForward {
		return own
	}
	if len(r.HomeRegions) > 0 && !slices.Contains(r.HomeRegions, region) {
		return p.rendezvousDomain(r, func(d corianderwing.DomainID) bool { return slices.Contains(r.HomeRegions, p.cfg.RegionOf(d)) })
	}
	if p.domainSlots[own] > 0 && (p.setup.NextVersion != "" || r.Object == 0 || p.cachedLocally(r) || !p.sharedClasses[r.Class] && !p.highLoad(now)) {
		return own
	}
	return p.rendezvousDomain(r, func(d corianderwing.DomainID) bool { return p.cfg.RegionOf(d) == region })
}

// reliefDomain returns another domain of the region that may run the request in time,
// if this one cannot: its upstreams know the same objects.
func (p *Pool) reliefDomain(r *Request, order []scoredServer, now time.Time) corianderwing.DomainID {
	own := p.cfg.Domain
	if r.NoForward || r.Object == 0 || p.setup.NextVersion != "" {
		return own
	}
	target := p.pickTarget(r, order, now)
	if now.Add(p.expectedWait(r, target, now) + p.expectedLatency(r, target)).Before(r.Goal) {
		return own
	}
	region := p.cfg.RegionOf(own)
	return p.rendezvousDomain(r, func(d corianderwing.DomainID) bool { return d != own && p.cfg.RegionOf(d) == region })
}

// fallbackDomain returns the failure domain whose desk should be asked because none of
// the upstreams here is usable: one of the region, or else of another region.
func (p *Pool) fallbackDomain(r *Request) corianderwing.DomainID {
	own := p.cfg.Domain
	if r.NoForward {
		return own
	}
	allowed := func(d corianderwing.DomainID) bool {
		return d != own && (len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, p.cfg.RegionOf(d)))
	}
	region := p.cfg.RegionOf(own)
	near := p.rendezvousDomain(r, func(d corianderwing.DomainID) bool { return allowed(d) && p.cfg.RegionOf(d) == region })
	if near != own {
		return near
	}
	return p.rendezvousDomain(r, allowed)
}

// rendezvousDomain returns the domain of those that may place the request to which its
// object belongs. Without one it stays here.
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

// cachedLocally reports whether an upstream of the own failure domain knows the
// request's object: then it stays here, also when its class begins to be shared.
func (p *Pool) cachedLocally(r *Request) bool {
	for _, s := range p.sorted {
		if !s.remote && s.ready && p.expectsHit(s, r) {
			return true
		}
	}
	return false
}
