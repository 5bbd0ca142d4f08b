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
	cfg     Config
	rng     *rand.Rand
	set     Setup
	servers map[corianderwing.UpstreamID]*server
	list    []*server // by id
	held    map[ID]*hold
	queue   []*waiter // by precedence
	work    map[corianderwing.RouteID]*work
	credit  float64                                  // requests that the new version of a move may still get
	delays  map[corianderwing.DomainID]time.Duration // there and back, as measured
	demand  average                                  // slots that the arriving requests need
	arrived average                                  // requests per second
	keep    float64                                  // objects that an upstream is thought to remember
	slots   map[corianderwing.DomainID]float64       // of the usable upstreams in each failure domain
	seen    map[corianderwing.RouteID]*census        // objects of each class
	shared  map[corianderwing.RouteID]bool           // classes whose objects live anywhere in the region
	orders  int                                      // how often upstreams were put in the order of an object

	room []*server // see withRoom
	out  []Effect
}

// hold is a granted request.
type hold struct {
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
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		servers: map[corianderwing.UpstreamID]*server{},
		held:    map[ID]*hold{},
		work:    map[corianderwing.RouteID]*work{},
		delays:  map[corianderwing.DomainID]time.Duration{},
		keep:    firstKeep,
		seen:    map[corianderwing.RouteID]*census{},
		shared:  map[corianderwing.RouteID]bool{},
	}
}

// SetAllocators changes Config.Sharers.
func (p *Pool) SetAllocators(n int) { p.cfg.Allocators = max(1, n) }

// Sync takes a new setup over.
func (p *Pool) Sync(set Setup, now time.Time) []Effect {
	p.out = p.out[:0]
	if set.NextVersion != p.set.NextVersion {
		p.credit = 0
	}
	p.set = set
	for _, s := range p.servers {
		s.open = false
		s.room = 0
	}
	for _, u := range set.Upstreams {
		p.update(u)
	}
	p.list = p.list[:0]
	for id, s := range p.servers {
		if !s.open && s.busy == 0 {
			delete(p.servers, id)
			continue
		}
		p.list = append(p.list, s)
	}
	sortServers(p.list)
	p.look(now)
	p.aim(now)
	p.pump(now)
	return p.out
}

// update takes an announced upstream over.
func (p *Pool) update(u *model.Upstream) {
	slots, remote := int(u.Slots)-p.set.Lent[u.ID], false
	if u.Domain != p.cfg.Domain {
		slots, remote = p.set.Borrowed[u.ID], true
	}
	s, ok := p.servers[u.ID]
	if !ok && slots <= 0 {
		return
	}
	if !ok || s.up.Incarnation != u.Incarnation {
		fresh := newServer(u)
		if ok {
			fresh.busy = s.busy
		}
		s = fresh
		p.servers[u.ID] = s
	}
	s.up, s.remote = u, remote
	s.open = true
	s.ready = u.Phase == corianderwing.Ready && !p.set.Evacuated(u.Domain)
	s.room = max(0, slots)
	s.lent = p.set.Lent[u.ID]
}

// Submit takes a request. Its Effect follows now or later.
func (p *Pool) Submit(r Request, now time.Time) []Effect {
	p.out = p.out[:0]
	w := p.workOf(r.Class)
	p.arrived.add(1, now)
	p.count(&r, now)
	if d := p.home(&r, now); d != p.cfg.Domain {
		p.out = append(p.out, Effect{ID: r.ID, ForwardTo: d})
		return p.out
	}
	if !r.RequireGoal {
		p.demand.add(max(w.mean, w.of(true)), now)
	}
	p.place(&r, now)
	return p.out
}

// Cancel ends the wait of a request whose caller left.
func (p *Pool) Cancel(id ID, now time.Time) []Effect {
	p.out = p.out[:0]
	p.unqueue(id)
	p.pump(now)
	return p.out
}

// Release ends a Grant.
func (p *Pool) Release(o Outcome, now time.Time) []Effect {
	p.out = p.out[:0]
	h, ok := p.held[o.ID]
	if !ok {
		return nil
	}
	delete(p.held, o.ID)
	h.server.busy--
	if s := p.servers[h.server.up.ID]; s == h.server {
		p.observe(h, o, now)
	}
	p.pump(now)
	return p.out
}

// Tick refuses what has waited in vain, and ends grants whose holder is gone.
func (p *Pool) Tick(now time.Time) []Effect {
	p.out = p.out[:0]
	for id, h := range p.held {
		if now.Sub(h.Deadline) > holdSlack {
			delete(p.held, id)
			h.server.busy--
		}
	}
	p.pump(now)
	p.expire(now)
	return p.out
}

// holdSlack is how long after its deadline a request gives its slot back at
// the latest, whether or not its entry instance says so.
const holdSlack = time.Second

// Load returns the slots for this Pool's requests, how many are in use, and how
// many the arriving requests need.
func (p *Pool) Load(now time.Time) (slots, own, busy int, demand, arrived float64) {
	for _, s := range p.list {
		busy += s.busy
		if !s.usable(now) || s.up.Version != p.set.Version && s.up.Version != p.set.NextVersion {
			continue
		}
		slots += s.room
		if !s.remote {
			own += s.room + s.lent
		}
	}
	return slots, own, busy, p.demand.rate(now), p.arrived.rate(now)
}

// QueueLen returns the number of waiting requests.
func (p *Pool) QueueLen() int { return len(p.queue) }

func (p *Pool) grant(r *Request, s *server, now time.Time) {
	known, depth := s.knows(r.Object, p.keep)
	s.busy++
	s.touch(r.Object)
	next := p.set.NextVersion != "" && s.up.Version == p.set.NextVersion
	if p.set.NextVersion != "" {
		p.credit = min(p.credit+p.set.NextShare, 2)
		if next {
			p.credit--
		}
	}
	cold := s.isCold(now)
	if cold {
		s.tokens--
	}
	g := Grant{
		Upstream:        s.up,
		ExpectedLatency: seconds(p.workOf(r.Class).of(known)*s.slow) + p.delay(s),
		ExpectHit:       known,
		ColdStart:       cold,
		NextVersion:     next,
	}
	if w := p.workOf(r.Class); w.unknown > 0 {
		g.MissLatency = seconds(w.unknown*s.slow) + p.delay(s)
	}
	p.held[r.ID] = &hold{Request: *r, server: s, grant: g, depth: depth, at: now}
	p.out = append(p.out, Effect{ID: r.ID, Grant: g})
}

func (p *Pool) refuse(r *Request, after time.Duration, code corianderwing.Code, format string, args ...any) {
	p.out = append(p.out, Effect{ID: r.ID, Err: corianderwing.Errorf(code, format, args...), RetryAfter: after})
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
