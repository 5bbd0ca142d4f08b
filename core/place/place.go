// Package place schedules the requests of a pool: it decides which upstream
// runs a request, which requests are queued, and which are rejected.
//
// An upstream that has recently handled the object of a request serves it from
// its cache, several times faster, but its cache holds few objects. Each
// object is therefore assigned to upstreams by weighted rendezvous hashing,
// and a request waits briefly for one of them instead of going to an idle
// upstream that would miss. A miss would respond too late, take the
// capacity of several hits, and evict another object. Without this affinity a
// burst spreads every object over every upstream: all responses are slow, and no
// request meets its goal until the load has dropped far below the capacity of
// the pool.
//
// Slots are counted exactly, because one Pool sees all requests of a failure
// domain. Slots of upstreams in other failure domains are borrowed, see
// core/steer.
package place

import (
	"math/rand/v2"
	"time"

	"corianderwing"
	"corianderwing/core/model"
)

// Config configures a Pool.
type Config struct {
	Name   corianderwing.PoolID
	Domain corianderwing.DomainID
	// RegionOf returns the region of a failure domain.
	RegionOf func(corianderwing.DomainID) corianderwing.RegionID
	// Allocators is the number of Pools that are expected to share the upstreams of
	// the failure domain.
	Allocators int
	Seed       uint64
}

// Setup is the external state that a Pool decides by. What the Pool measures
// itself is not part of it.
type Setup struct {
	Upstreams []*model.Upstream
	Evacuated func(corianderwing.DomainID) bool
	// Lent is the number of slots of this failure domain's upstreams that other
	// domains use. Borrowed is the number of slots of upstreams in other domains
	// that this one may use.
	Lent        map[corianderwing.UpstreamID]int
	Borrowed    map[corianderwing.UpstreamID]int
	ColdRate    float64 // requests per second that a cold upstream can take
	Version     corianderwing.VersionID
	NextVersion corianderwing.VersionID // target of the current move; empty without a move
	NextShare   float64                 // fraction of the requests that NextVersion gets
	// Weight returns the weight with which a workspace shares scarce slots, or 0 if
	// its requests are not limited to a share. If nil, slots are not divided.
	Weight func(corianderwing.WorkspaceID) float64
}

// Pool schedules the requests of one failure domain on the upstreams of one
// pool. It owns the slots in use, the queue, and the measurements of the
// upstreams. It is not safe for concurrent use.
type Pool struct {
	cfg           Config
	rng           *rand.Rand
	setup         Setup
	servers       map[corianderwing.UpstreamID]*server
	sorted        []*server // by upstream ID
	active        map[ID]*activeGrant
	queue         []*waiter // ordered by precedes
	latencies     map[corianderwing.RouteID]*classLatency
	nextCredit    float64                                  // requests that the target version of a move may still get
	rtts          map[corianderwing.DomainID]time.Duration // measured round-trip times
	demand        decayingRate                             // slots needed by the arriving requests, for loans
	work          decayingRate                             // the same by measured latencies only, for waits
	arrivals      decayingRate                             // requests per second
	pace          paceMemory
	shares        workspaceShares
	cacheDepths   *cacheDepths
	cacheSize     float64                               // estimated number of objects that an upstream caches
	domainSlots   map[corianderwing.DomainID]float64    // slots of the usable upstreams
	classStats    map[corianderwing.RouteID]*classStats // objects requested in each class
	sharedClasses map[corianderwing.RouteID]bool        // classes whose objects have one home domain in the region
	soleAllocator bool                                  // no other Pool uses cold upstreams of the failure domain
	coldPeak      int                                   // most grants within coldGrantWindow for a cold upstream
	rankings      int                                   // number of calls to rankServers, for tests

	available []*server // buffer of availableServers
	effects   []Effect
}

// activeGrant is a request that holds a slot.
type activeGrant struct {
	Request
	server *server
	grant  Grant
	depth  int // position of the object in the upstream's cache, most recent first; -1 if absent
	at     time.Time
	pace   float64 // expected pace of the upstream at the grant
	// paceWorth is how much the upstream's last report was worth then.
	paceWorth float64
}

// New returns a Pool without upstreams.
func New(cfg Config) *Pool {
	cfg.Allocators = max(1, cfg.Allocators)
	return &Pool{
		cfg:           cfg,
		rng:           rand.New(rand.NewPCG(cfg.Seed, 1)),
		servers:       map[corianderwing.UpstreamID]*server{},
		active:        map[ID]*activeGrant{},
		latencies:     map[corianderwing.RouteID]*classLatency{},
		rtts:          map[corianderwing.DomainID]time.Duration{},
		shares:        workspaceShares{used: map[corianderwing.WorkspaceID]*workspaceUse{}},
		cacheDepths:   newCacheDepths(),
		cacheSize:     initialCacheSize,
		classStats:    map[corianderwing.RouteID]*classStats{},
		sharedClasses: map[corianderwing.RouteID]bool{},
	}
}

// SetAllocators changes Config.Allocators.
func (p *Pool) SetAllocators(n int) { p.cfg.Allocators = max(1, n) }

// SetSoleAllocator sets whether this Pool is the only one that may send requests to
// the cold upstreams of its failure domain. A Pool that becomes the only one may follow
// another, which has just used up the burst of these upstreams.
func (p *Pool) SetSoleAllocator(sole bool, now time.Time) {
	if sole && !p.soleAllocator {
		for _, s := range p.servers {
			s.coldTokens, s.tokensAt = 0, now
		}
	}
	p.soleAllocator = sole
}

// Sync applies a new setup.
func (p *Pool) Sync(set Setup, now time.Time) []Effect {
	p.effects = p.effects[:0]
	if set.NextVersion != p.setup.NextVersion {
		p.nextCredit = 0
	}
	p.setup = set
	for _, s := range p.servers {
		s.announced = false
		s.slots = 0
	}
	for _, u := range set.Upstreams {
		p.update(u)
	}
	p.sorted = p.sorted[:0]
	for id, s := range p.servers {
		if !s.announced && s.inFlight == 0 {
			delete(p.servers, id)
			continue
		}
		p.sorted = append(p.sorted, s)
	}
	sortServers(p.sorted)
	p.updateDomains(now)
	p.retarget(now)
	p.dispatch(now)
	return p.effects
}

// update applies an announced upstream.
func (p *Pool) update(u *model.Upstream) {
	slots, remote := int(u.Slots)-p.setup.Lent[u.ID], false
	if u.Domain != p.cfg.Domain {
		slots, remote = p.setup.Borrowed[u.ID], true
	}
	s, ok := p.servers[u.ID]
	if !ok && slots <= 0 {
		return
	}
	if !ok || s.upstream.Incarnation != u.Incarnation {
		fresh := newServer(u)
		if ok {
			fresh.inFlight = s.inFlight
		}
		s = fresh
		p.servers[u.ID] = s
	}
	s.upstream, s.remote = u, remote
	s.announced = true
	s.ready = u.Phase == corianderwing.Ready && !p.setup.Evacuated(u.Domain)
	s.slots = max(0, slots)
	s.lent = p.setup.Lent[u.ID]
}

// Submit takes a request. Its Effect is returned by this call or a later one.
func (p *Pool) Submit(r Request, now time.Time) []Effect {
	p.effects = p.effects[:0]
	w := p.latencyOf(r.Class)
	p.arrivals.add(1, now)
	p.recordRequest(&r, now)
	if d := p.homeDomain(&r, now); d != p.cfg.Domain {
		p.effects = append(p.effects, Effect{ID: r.ID, ForwardTo: d, Reason: ForwardHome})
		return p.effects
	}
	if !r.RequireGoal {
		p.demand.add(w.demand(&r, now), now)
		p.work.add(max(w.mean, w.expected(true)), now)
	}
	r.overShare = len(p.queue) > 0 && p.exceedsShare(r.Workspace, now)
	p.schedule(&r, now)
	return p.effects
}

// Cancel removes a request from the queue after its caller has canceled.
func (p *Pool) Cancel(id ID, now time.Time) []Effect {
	p.effects = p.effects[:0]
	p.dequeue(id)
	p.dispatch(now)
	return p.effects
}

// Release ends a Grant and learns from its outcome.
func (p *Pool) Release(o Outcome, now time.Time) []Effect {
	p.effects = p.effects[:0]
	h, ok := p.active[o.ID]
	if !ok {
		return nil
	}
	delete(p.active, o.ID)
	h.server.inFlight--
	if s := p.servers[h.server.upstream.ID]; s == h.server {
		p.observe(h, o, now)
	}
	p.dispatch(now)
	return p.effects
}

// Tick rejects queued requests that can no longer be served in time, and ends
// grants that were not released.
func (p *Pool) Tick(now time.Time) []Effect {
	p.effects = p.effects[:0]
	for id, h := range p.active {
		if now.Sub(h.Deadline) > grantExpirySlack {
			delete(p.active, id)
			h.server.inFlight--
		}
	}
	p.reorder(now)
	p.dispatch(now)
	p.expire(now)
	return p.effects
}

// grantExpirySlack is how long after the deadline of its request a grant ends,
// even if the entry instance never released it.
const grantExpirySlack = time.Second

func (p *Pool) grant(r *Request, s *server, now time.Time) {
	hit, depth := s.hasCached(r.Object, p.cacheSize)
	s.inFlight++
	s.cacheObject(r.Object)
	next := p.setup.NextVersion != "" && s.upstream.Version == p.setup.NextVersion
	if p.setup.NextVersion != "" {
		p.nextCredit = min(p.nextCredit+p.setup.NextShare, 2)
		if next {
			p.nextCredit--
		}
	}
	cold := s.isCold(now)
	if cold {
		s.coldTokens--
		p.coldPeak = max(p.coldPeak, s.recordColdGrant(now))
	}
	pace := p.expectedPace(s, now)
	g := Grant{
		Upstream:        s.upstream,
		ExpectedLatency: seconds(p.latencyOf(r.Class).expected(hit)*pace*s.slowdownAt(now)) + p.rtt(s),
		ExpectHit:       hit,
		ColdStart:       cold,
		NextVersion:     next,
	}
	if w := p.latencyOf(r.Class); w.miss > 0 {
		g.MissLatency = seconds(w.miss*max(pace, 1)*s.slowdownAt(now)) + p.rtt(s)
	}
	p.active[r.ID] = &activeGrant{
		Request: *r, server: s, grant: g, depth: depth, at: now,
		pace: pace, paceWorth: p.pace.worthAt(now.Sub(s.pace.at)),
	}
	p.recordUse(r, g.ExpectedLatency, now)
	p.effects = append(p.effects, Effect{ID: r.ID, Grant: g})
}

func (p *Pool) reject(r *Request, after time.Duration, code corianderwing.Code, format string, args ...any) {
	p.effects = append(p.effects, Effect{ID: r.ID, Err: corianderwing.Errorf(code, format, args...), RetryAfter: after})
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
