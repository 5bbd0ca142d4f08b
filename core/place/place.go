// Package place decides which upstream runs a request of a pool, which requests
// wait for one, and which are refused.
//
// An upstream that has handled the object of a request lately runs it several
// times faster, and remembers few objects. So each object has its upstreams, by
// weighted rendezvous hashing, and a request rather waits a moment for one of
// them than go to a free one that does not know its object: there it would
// answer too late, take the place of several others, and push another object
// out. Without that, a burst makes every upstream handle every object, all of
// them answer slowly, and nothing is in time until the load has fallen far
// below what the pool can bear.
//
// Slots are counted exactly: one Pool sees all requests of a failure domain.
// Slots of upstreams elsewhere are lent, see core/steer.
package place

import (
	"math/rand/v2"
	"time"

	"corianderwing"
	"corianderwing/core/model"
)

// ID names a request at a Pool.
type ID uint64

// Request is a request that needs an upstream.
type Request struct {
	ID                 ID
	Object             uint64 // hash of what it is about; 0 for nothing in particular
	Class              corianderwing.RouteID
	Rank               int  // 0 is the most urgent
	Retried            bool // its caller was refused before
	Goal               time.Time
	Deadline           time.Time
	HomeRegions        []corianderwing.RegionID // regions that may run it; empty for all
	ExcludedUpstreams  []corianderwing.UpstreamID
	CurrentVersionOnly bool // not to the new version of a move
	NoForward          bool // not to another failure domain's desk
	RequireGoal        bool // only if it can be in time for its goal here
}

// Grant is a slot of an upstream that a request holds until Done.
type Grant struct {
	Upstream        *model.Upstream
	ExpectedLatency time.Duration // expected until the first byte of the answer
	MissLatency     time.Duration // the same if the upstream does not know the object; 0 if that was never measured
	ExpectHit       bool          // the upstream is expected to know the object
	ColdStart       bool          // the upstream still starts
	NextVersion     bool          // it is of the version that a move leads to
}

// Effect tells what becomes of a request. With Err it is refused, and may come
// back After; with Elsewhere it is to ask the desk of that failure domain;
// otherwise it has the Grant.
type Effect struct {
	ID          ID
	Grant       Grant
	ForwardTo   corianderwing.DomainID
	RequireGoal bool // elsewhere only if it can be in time there
	Err         *corianderwing.Error
	RetryAfter  time.Duration
}

// Result tells how an attempt ended.
type Result uint8

// The results of an attempt.
const (
	Succeeded      Result = iota // complete answer without a server error
	ServerError                  // complete answer with a server error
	Overloaded                   // refused unrun: full
	AddressReused                // another upstream has the address
	ConnectFailed                // no connection could be opened
	ConnectionLost               // the connection failed
	TimedOut                     // no answer in time
	Canceled                     // the caller left; says nothing about the upstream
)

// Outcome ends a Grant.
type Outcome struct {
	ID       ID
	Result   Result
	Latency  time.Duration // until the first byte of the answer
	DialTime time.Duration // to open a connection for it; 0 if there was one
	Bytes    int           // of the request and its answer; 0 if unknown
	Load     LoadReport
}

// LoadReport is the load that an upstream tells with an answer.
type LoadReport struct {
	Running int  `json:"running,omitempty"`
	Waiting int  `json:"waiting,omitempty"`
	Valid   bool `json:"known,omitempty"`
}

// Config tells where the requests of a Pool come from.
type Config struct {
	Name   corianderwing.PoolID
	Domain corianderwing.DomainID
	// RegionOf returns the region of a failure domain.
	RegionOf func(corianderwing.DomainID) corianderwing.RegionID
	// Allocators is the number of Pools that use the upstreams of the failure
	// domain at the same time. It is 1 where one Pool decides for all.
	Allocators int
	Seed       uint64
}

// Setup is what a Pool decides with, besides what it has observed.
type Setup struct {
	Upstreams []*model.Upstream
	Evacuated func(corianderwing.DomainID) bool
	// Lent are slots of this failure domain's upstreams that others use, and
	// Borrowed slots of upstreams elsewhere, by upstream.
	Lent        map[corianderwing.UpstreamID]int
	Borrowed    map[corianderwing.UpstreamID]int
	ColdRate    float64 // requests a second that a starting upstream bears
	Version     corianderwing.VersionID
	NextVersion corianderwing.VersionID // that a move leads to; empty without a move
	NextShare   float64                 // of the requests that Next gets
}

// Pool places the requests of one failure domain on the upstreams of one pool.
// It owns the slots in use, the waiting requests and what was observed of the
// upstreams. It is not safe for concurrent use.
type Pool struct {
	cfg           Config
	rng           *rand.Rand
	setup         Setup
	servers       map[corianderwing.UpstreamID]*server
	sorted        []*server // by id
	active        map[ID]*activeGrant
	queue         []*waiter // by precedence
	latencies     map[corianderwing.RouteID]*classLatency
	nextCredit    float64                                  // requests that the new version of a move may still get
	rtts          map[corianderwing.DomainID]time.Duration // there and back, as measured
	demand        decayingRate                             // slots that the arriving requests need
	arrivals      decayingRate                             // requests per second
	cacheSize     float64                                  // objects that an upstream is thought to remember
	domainSlots   map[corianderwing.DomainID]float64       // of the usable upstreams in each failure domain
	classStats    map[corianderwing.RouteID]*classStats    // objects of each class
	sharedClasses map[corianderwing.RouteID]bool           // classes whose objects live anywhere in the region
	rankings      int                                      // how often upstreams were put in the order of an object

	available []*server // see withRoom
	effects   []Effect
}

// activeGrant is a granted request.
type activeGrant struct {
	Request
	server *server
	grant  Grant
	depth  int // place of the object among those of the upstream, the latest first; -1 for none
	at     time.Time
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
		cacheSize:     initialCacheSize,
		classStats:    map[corianderwing.RouteID]*classStats{},
		sharedClasses: map[corianderwing.RouteID]bool{},
	}
}

// SetAllocators changes Config.Sharers.
func (p *Pool) SetAllocators(n int) { p.cfg.Allocators = max(1, n) }

// Sync takes a new setup over.
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

// update takes an announced upstream over.
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

// Submit takes a request. Its Effect follows now or later.
func (p *Pool) Submit(r Request, now time.Time) []Effect {
	p.effects = p.effects[:0]
	w := p.latencyOf(r.Class)
	p.arrivals.add(1, now)
	p.recordRequest(&r, now)
	if d := p.homeDomain(&r, now); d != p.cfg.Domain {
		p.effects = append(p.effects, Effect{ID: r.ID, ForwardTo: d})
		return p.effects
	}
	if !r.RequireGoal {
		p.demand.add(max(w.mean, w.expected(true)), now)
	}
	p.schedule(&r, now)
	return p.effects
}

// Cancel ends the wait of a request whose caller left.
func (p *Pool) Cancel(id ID, now time.Time) []Effect {
	p.effects = p.effects[:0]
	p.dequeue(id)
	p.dispatch(now)
	return p.effects
}

// Release ends a Grant.
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

// Tick refuses what has waited in vain, and ends grants whose holder is gone.
func (p *Pool) Tick(now time.Time) []Effect {
	p.effects = p.effects[:0]
	for id, h := range p.active {
		if now.Sub(h.Deadline) > grantExpirySlack {
			delete(p.active, id)
			h.server.inFlight--
		}
	}
	p.dispatch(now)
	p.expire(now)
	return p.effects
}

// grantExpirySlack is how long after its deadline a request gives its slot back at
// the latest, whether or not its entry instance says so.
const grantExpirySlack = time.Second

// Load returns the slots for this Pool's requests, how many are in use, and how
// many the arriving requests need.
func (p *Pool) Load(now time.Time) (slots, own, busy int, demand, arrived float64) {
	for _, s := range p.sorted {
		busy += s.inFlight
		if !s.usable(now) || s.upstream.Version != p.setup.Version && s.upstream.Version != p.setup.NextVersion {
			continue
		}
		slots += s.slots
		if !s.remote {
			own += s.slots + s.lent
		}
	}
	return slots, own, busy, p.demand.rate(now), p.arrivals.rate(now)
}

// QueueLen returns the number of waiting requests.
func (p *Pool) QueueLen() int { return len(p.queue) }

func (p *Pool) grant(r *Request, s *server, now time.Time) {
	known, depth := s.hasCached(r.Object, p.cacheSize)
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
	}
	g := Grant{
		Upstream:        s.upstream,
		ExpectedLatency: seconds(p.latencyOf(r.Class).expected(known)*s.slowdown) + p.rtt(s),
		ExpectHit:       known,
		ColdStart:       cold,
		NextVersion:     next,
	}
	if w := p.latencyOf(r.Class); w.miss > 0 {
		g.MissLatency = seconds(w.miss*s.slowdown) + p.rtt(s)
	}
	p.active[r.ID] = &activeGrant{Request: *r, server: s, grant: g, depth: depth, at: now}
	p.effects = append(p.effects, Effect{ID: r.ID, Grant: g})
}

func (p *Pool) reject(r *Request, after time.Duration, code corianderwing.Code, format string, args ...any) {
	p.effects = append(p.effects, Effect{ID: r.ID, Err: corianderwing.Errorf(code, format, args...), RetryAfter: after})
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
