package gate

import (
	"sync"
	"time"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/io/relay"
)

// pool holds the connections to the upstreams of a pool, the budget of retries
// there, and what the entry instance counts for a move.
type pool struct {
	name corianderwing.PoolID
	dial relay.DialFunc

	mu     sync.Mutex
	hosts  map[corianderwing.UpstreamID]*host
	budget budget
	trial  trial
}

// host is the connections to one life of an upstream.
type host struct {
	relay.ConnPool
	incarnation corianderwing.Incarnation
}

// mostIdle is the number of idle connections to an upstream that are kept.
const mostIdle = 32

// idleFor is how long an unused connection is kept.
const idleFor = 8 * time.Second

func newPool(name corianderwing.PoolID, dial relay.DialFunc, ratio float64) *pool {
	return &pool{
		name:   name,
		dial:   dial,
		hosts:  map[corianderwing.UpstreamID]*host{},
		budget: newBudget(ratio),
	}
}

// sync brings the pool up to date with the state. It returns the move that is
// under way, if any, and the share of its new version.
func (p *pool) sync(v *model.View, now time.Time) (corianderwing.RequestID, float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, h := range p.hosts {
		if u, ok := v.Upstream(id); !ok || u.Pool != p.name || u.Incarnation != h.incarnation {
			delete(p.hosts, id)
			h.Reset()
		}
	}
	return p.trial.follow(v, p.name, now)
}

// host returns the connections to an upstream.
func (p *pool) host(u *model.Upstream) *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[u.ID]
	if ok && h.Addr == u.Addr && h.incarnation == u.Incarnation {
		return h
	}
	if ok {
		h.Reset()
	}
	h = &host{incarnation: u.Incarnation}
	h.Addr, h.Dial, h.MaxIdle = u.Addr, p.dial, mostIdle
	p.hosts[u.ID] = h
	return h
}

// first counts the first attempt of a request, which earns retries.
func (p *pool) first() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.earn()
}

// again takes a retry from the budget.
func (p *pool) again() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.spend()
}

// mayRetry reports whether the budget has a retry left.
func (p *pool) mayRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.level >= 1
}

func (p *pool) each(f func(*host)) {
	p.mu.Lock()
	hosts := make([]*host, 0, len(p.hosts))
	for _, h := range p.hosts {
		hosts = append(hosts, h)
	}
	p.mu.Unlock()
	for _, h := range hosts {
		f(h)
	}
}

// budget bounds the attempts beyond the first at one pool.
type budget struct {
	ratio float64
	level float64
}

// Every window of requests may hold the retries that the window before it
// earned and those of its own, so each request earns half of the ratio.
const (
	earnPart   = 0.5
	budgetMost = 20.0
)

func newBudget(ratio float64) budget { return budget{ratio: ratio * earnPart, level: 1} }

func (b *budget) earn() { b.level = min(b.level+b.ratio, budgetMost) }

func (b *budget) spend() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// splitter spreads the requests of a rule over its targets by their weights.
type splitter struct {
	version corianderwing.Version
	credit  []float64
}

// target returns whose turn it is: the pool that is furthest behind its part.
func (s *Server) target(r *corianderwing.Rule) corianderwing.PoolID {
	if len(r.Targets) == 1 {
		return r.Targets[0].Pool
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sp := s.split[r.Name]
	if sp == nil || sp.version != r.Version {
		sp = &splitter{version: r.Version, credit: make([]float64, len(r.Targets))}
		s.split[r.Name] = sp
	}
	total, best := 0.0, 0
	for i, t := range r.Targets {
		total += t.Weight
		sp.credit[i] += t.Weight
		if sp.credit[i] > sp.credit[best] {
			best = i
		}
	}
	sp.credit[best] -= total
	return r.Targets[best].Pool
}
