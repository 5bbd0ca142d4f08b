package gate

import (
	"sync"
	"time"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/io/relay"
)

// pool holds the connections to the upstreams of a pool, its retry budget, and the
// statistics of its move.
type pool struct {
	name corianderwing.PoolID
	dial relay.DialFunc

	mu        sync.Mutex
	conns     map[corianderwing.UpstreamID]*upstreamConns
	budget    retryBudget
	moveStats moveStats
	notices   notices
	view      *model.View // as of the last sync; nil before
}

// upstreamConns is the connection pool of one incarnation of an upstream.
type upstreamConns struct {
	relay.ConnPool
	incarnation corianderwing.Incarnation
	notice      *upstreamNotice
}

// maxIdleConns is the maximum number of idle connections kept per upstream.
const maxIdleConns = 32

// idleTimeout is how long an idle connection is kept.
const idleTimeout = 8 * time.Second

func newPool(name corianderwing.PoolID, dial relay.DialFunc, ratio float64) *pool {
	return &pool{
		name:   name,
		dial:   dial,
		conns:  map[corianderwing.UpstreamID]*upstreamConns{},
		budget: newRetryBudget(ratio),

		notices: newNotices(),
	}
}

// sync updates the pool from the state. It returns the ID of the move in progress,
// if any, the share of its new version, and the upstreams that are no longer spared.
// now is on Go's clock, boot on the boot clock.
func (p *pool) sync(v *model.View, now, boot time.Time) (corianderwing.RequestID, float64, []endedSparing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view = v
	for id, h := range p.conns {
		if u, ok := v.Upstream(id); !ok || u.Pool != p.name || u.Incarnation != h.incarnation {
			delete(p.conns, id)
			h.Close()
		}
	}
	ended := p.notices.sync(v, p.name, boot)
	move, share := p.moveStats.update(v, p.name, now)
	return move, share, ended
}

// connsTo returns the connection pool of an upstream.
func (p *pool) connsTo(u *model.Upstream) *upstreamConns {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.conns[u.ID]
	if ok && old.Addr == u.Addr && old.incarnation == u.Incarnation {
		return old
	}
	h := &upstreamConns{incarnation: u.Incarnation}
	h.Addr, h.Dial, h.MaxIdle = u.Addr, p.dial, maxIdleConns
	key := incarnationKey{u.ID, u.Incarnation}
	if p.hasRestarted(key) {
		h.notice = endedNotice(key) // the slot was granted before
		return h
	}
	if ok {
		old.Close()
	}
	h.notice = p.notices.of(key)
	p.conns[u.ID] = h
	return h
}

// earnRetry adds to the retry budget for the first attempt of a request. Its time and
// those of spendRetry and hasRetry are on the boot clock.
func (p *pool) earnRetry(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.earn(now)
}

// spendRetry takes a retry from the budget, if there is one.
func (p *pool) spendRetry(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.spend(now)
}

// hasRetry reports whether the budget has a retry left.
func (p *pool) hasRetry(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.available(now) >= 1
}

func (p *pool) eachUpstream(f func(*upstreamConns)) {
	p.mu.Lock()
	hosts := make([]*upstreamConns, 0, len(p.conns))
	for _, h := range p.conns {
		hosts = append(hosts, h)
	}
	p.mu.Unlock()
	for _, h := range hosts {
		f(h)
	}
}

// splitter distributes the requests of a rule over its targets by smooth weighted
// round-robin.
type splitter struct {
	version corianderwing.Version
	weights []float64
}

// pickTarget returns the pool that is furthest behind its weighted share.
func (s *Server) pickTarget(r *corianderwing.Rule) corianderwing.PoolID {
	if len(r.Targets) == 1 {
		return r.Targets[0].Pool
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sp := s.splitters[r.Name]
	if sp == nil || sp.version != r.Version {
		sp = &splitter{version: r.Version, weights: make([]float64, len(r.Targets))}
		s.splitters[r.Name] = sp
	}
	total, best := 0.0, 0
	for i, t := range r.Targets {
		total += t.Weight
		sp.weights[i] += t.Weight
		if sp.weights[i] > sp.weights[best] {
			best = i
		}
	}
	sp.weights[best] -= total
	return r.Targets[best].Pool
}
