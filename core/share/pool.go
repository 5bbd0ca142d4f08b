package share

import (
	"slices"
	"time"

	"corianderwing"
)

// owner is one life of a holder. A new life cannot vouch for the tokens of an
// earlier one: a neighbour may have borrowed some of them.
type owner struct {
	id   corianderwing.InstanceID
	life corianderwing.Incarnation
}

// loan is a grant that counts against the burst of its pool.
type loan struct {
	owner  owner
	tokens corianderwing.Tokens
	until  time.Time
}

type want struct {
	tokens corianderwing.Tokens
	at     time.Time
}

// pool is the token pool of one bound.
type pool struct {
	from   time.Time // the pool is empty until then
	limit  Limit
	next   change
	bucket *Bucket
	full   int64  // fill time of the whole burst
	loans  []loan // in the order of their ends
	wants  map[corianderwing.InstanceID]want
}

func newPool(l Limit, from time.Time) *pool {
	b := NewBucket(l, from)
	return &pool{from: from, limit: l, bucket: b, full: b.depth.Load(), wants: make(map[corianderwing.InstanceID]want)}
}

func (p *pool) configure(now time.Time, l Limit) {
	p.settle(now)
	var low Limit
	low, p.next = plan(p.limit, l, now)
	p.apply(now, low)
}

func (p *pool) apply(now time.Time, l Limit) {
	if l == p.limit {
		return
	}
	p.limit = l
	p.bucket = p.bucket.replace(l, latest(now, p.from))
	p.full = p.bucket.depth.Load()
	p.limitDepth(now)
}

// settle applies a due change and drops loans that have expired.
func (p *pool) settle(now time.Time) {
	if p.next.due(now) {
		l := p.next.limit
		p.next = change{}
		p.apply(now, l)
	}
	n := len(p.loans)
	p.loans = slices.DeleteFunc(p.loans, func(l loan) bool { return !now.Before(l.until) })
	if len(p.loans) != n {
		p.limitDepth(now)
	}
}

// limitDepth makes the depth of the bucket what the loans leave of the burst.
func (p *pool) limitDepth(now time.Time) {
	if p.bucket.one > 0 {
		p.bucket.setDepth(now, p.full-p.bucket.cost(p.outstanding()))
	}
}

func (p *pool) outstanding() corianderwing.Tokens {
	var n corianderwing.Tokens
	for _, l := range p.loans {
		n += l.tokens
	}
	return n
}

func (p *pool) owed(o owner) corianderwing.Tokens {
	var n corianderwing.Tokens
	for _, l := range p.loans {
		if l.owner == o {
			n += l.tokens
		}
	}
	return n
}

// update processes one spend. It reports false if there is nothing to grant
// and no room for tokens that the holder could give.
func (p *pool) update(now time.Time, o owner, follows bool, s corianderwing.TokenReport) (corianderwing.Grant, bool) {
	p.settle(now)
	if p.bucket.one == 0 {
		return corianderwing.Grant{}, false
	}
	owed, held := p.owed(o), max(0, s.Held)
	if owed > held {
		p.shrink(o, owed-held)
		p.limitDepth(now)
	}
	if follows {
		back := max(0, owed-held-max(0, s.Spent))
		p.bucket.add(now, back+max(0, s.Returned))
	}
	n := p.share(now, o.id, s.Requested)
	if n > 0 && p.bucket.Take(now, n) {
		p.loans = append(p.loans, loan{owner: o, tokens: n, until: corianderwing.GrantorDeadline(now, GrantTTL)})
		p.limitDepth(now)
	} else {
		n = 0
	}
	grant := corianderwing.Grant{Bound: s.Bound, Tokens: n, ExpiresIn: corianderwing.Millis(GrantTTL / time.Millisecond)}
	return grant, n > 0 || s.Requested > 0 || p.bucket.fill(now) < p.bucket.depth.Load()/10*9
}

// shrink reduces the loans of o by n tokens, those that end first before the
// others: what stays counts for as long as any of the tokens may be valid.
func (p *pool) shrink(o owner, n corianderwing.Tokens) {
	for i := range p.loans {
		l := &p.loans[i]
		if l.owner != o {
			continue
		}
		cut := min(n, l.tokens)
		l.tokens -= cut
		n -= cut
	}
	p.loans = slices.DeleteFunc(p.loans, func(l loan) bool { return l.tokens == 0 })
}

// share returns how many tokens a holder that wants n gets: all of them, or in
// proportion to recent wants if the pool has fewer than those add up to.
func (p *pool) share(now time.Time, id corianderwing.InstanceID, n corianderwing.Tokens) corianderwing.Tokens {
	if n <= 0 {
		delete(p.wants, id)
		return 0
	}
	p.wants[id] = want{n, now}
	var sum corianderwing.Tokens
	for i, w := range p.wants {
		if now.Sub(w.at) > wantLife {
			delete(p.wants, i)
			continue
		}
		sum += w.tokens
	}
	level := p.bucket.Level(now)
	if level >= sum {
		return min(n, lotMax)
	}
	part := corianderwing.Tokens(float64(level) * float64(n) / float64(sum))
	return min(n, level, max(1, part), lotMax)
}

// sound reports whether the level and the loans are within the burst.
func (p *pool) sound(now time.Time) bool {
	if p.bucket.one == 0 {
		return true
	}
	used := p.bucket.cost(p.outstanding())
	return used > p.full || p.bucket.fill(now)+used <= p.full
}
