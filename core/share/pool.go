package share

import (
	"slices"
	"time"

	"corianderwing"
)

// owner is one incarnation of a holder. A new incarnation cannot account for
// the tokens of an earlier one: another instance may have borrowed some of
// them.
type owner struct {
	id          corianderwing.InstanceID
	incarnation corianderwing.Incarnation
}

// lease is a grant that counts against the burst of its pool.
type lease struct {
	owner  owner
	tokens corianderwing.Tokens
	until  time.Time
}

type tokenRequest struct {
	tokens corianderwing.Tokens
	at     time.Time
}

// pool is the token pool of one bound.
type pool struct {
	emptyUntil time.Time // the pool is empty until then
	limit      Limit
	pending    pendingLimit
	bucket     *Bucket
	fullDepth  int64   // time to fill the whole burst
	leases     []lease // ordered by end
	requests   map[corianderwing.InstanceID]tokenRequest
}

func newPool(l Limit, emptyUntil time.Time) *pool {
	b := NewBucket(l, emptyUntil)
	return &pool{emptyUntil: emptyUntil, limit: l, bucket: b, fullDepth: b.depth.Load(), requests: make(map[corianderwing.InstanceID]tokenRequest)}
}

func (p *pool) configure(now time.Time, l Limit) {
	p.refresh(now)
	var low Limit
	low, p.pending = stageLimit(p.limit, l, now)
	p.apply(now, low)
}

func (p *pool) apply(now time.Time, l Limit) {
	if l == p.limit {
		return
	}
	p.limit = l
	p.bucket = p.bucket.replace(l, latest(now, p.emptyUntil))
	p.fullDepth = p.bucket.depth.Load()
	p.limitDepth(now)
}

// refresh applies a pending limit that is due and drops expired leases.
func (p *pool) refresh(now time.Time) {
	if p.pending.due(now) {
		l := p.pending.limit
		p.pending = pendingLimit{}
		p.apply(now, l)
	}
	n := len(p.leases)
	p.leases = slices.DeleteFunc(p.leases, func(l lease) bool { return !now.Before(l.until) })
	if len(p.leases) != n {
		p.limitDepth(now)
	}
}

// limitDepth sets the depth of the bucket to the burst less the leases.
func (p *pool) limitDepth(now time.Time) {
	if p.bucket.tokenCost > 0 {
		p.bucket.setDepth(now, p.fullDepth-p.bucket.cost(p.outstanding()))
	}
}

func (p *pool) outstanding() corianderwing.Tokens {
	var n corianderwing.Tokens
	for _, l := range p.leases {
		n += l.tokens
	}
	return n
}

func (p *pool) leased(o owner) corianderwing.Tokens {
	var n corianderwing.Tokens
	for _, l := range p.leases {
		if l.owner == o {
			n += l.tokens
		}
	}
	return n
}

// update processes one spend. It reports false if there is nothing to grant and
// no room for tokens that the holder could give.
func (p *pool) update(now time.Time, o owner, consecutive bool, s corianderwing.TokenReport) (corianderwing.Grant, bool) {
	p.refresh(now)
	if p.bucket.tokenCost == 0 {
		return corianderwing.Grant{}, false
	}
	leased, held := p.leased(o), max(0, s.Held)
	if leased > held {
		p.reduceLeases(o, leased-held)
		p.limitDepth(now)
	}
	if consecutive {
		back := max(0, leased-held-max(0, s.Spent))
		p.bucket.add(now, back+max(0, s.Returned))
	}
	n := p.allot(now, o.id, s.Requested)
	if n > 0 && p.bucket.Take(now, n) {
		p.leases = append(p.leases, lease{owner: o, tokens: n, until: corianderwing.GrantorDeadline(now, GrantTTL)})
		p.limitDepth(now)
	} else {
		n = 0
	}
	grant := corianderwing.Grant{Bound: s.Bound, Tokens: n, ExpiresIn: corianderwing.Millis(GrantTTL / time.Millisecond)}
	return grant, n > 0 || s.Requested > 0 || p.bucket.levelTime(now) < p.bucket.depth.Load()/10*9
}

// reduceLeases takes n tokens off the leases of o, starting with those that end
// first: what remains must count for as long as any of the tokens may be valid.
func (p *pool) reduceLeases(o owner, n corianderwing.Tokens) {
	for i := range p.leases {
		l := &p.leases[i]
		if l.owner != o {
			continue
		}
		cut := min(n, l.tokens)
		l.tokens -= cut
		n -= cut
	}
	p.leases = slices.DeleteFunc(p.leases, func(l lease) bool { return l.tokens == 0 })
}

// allot returns how many tokens a holder that wants n gets: all of them, or a
// part in proportion to the recent requests if the pool has fewer tokens than
// their sum.
func (p *pool) allot(now time.Time, id corianderwing.InstanceID, n corianderwing.Tokens) corianderwing.Tokens {
	if n <= 0 {
		delete(p.requests, id)
		return 0
	}
	p.requests[id] = tokenRequest{n, now}
	var sum corianderwing.Tokens
	for i, w := range p.requests {
		if now.Sub(w.at) > requestTTL {
			delete(p.requests, i)
			continue
		}
		sum += w.tokens
	}
	level := p.bucket.Level(now)
	if level >= sum {
		return min(n, maxBatch)
	}
	part := corianderwing.Tokens(float64(level) * float64(n) / float64(sum))
	return min(n, level, max(1, part), maxBatch)
}

// withinBurst reports whether the level and the leases are within the burst.
func (p *pool) withinBurst(now time.Time) bool {
	if p.bucket.tokenCost == 0 {
		return true
	}
	used := p.bucket.cost(p.outstanding())
	return used > p.fullDepth || p.bucket.levelTime(now)+used <= p.fullDepth
}
