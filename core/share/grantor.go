package share

import (
	"time"

	"corianderwing"
)

const (
	// wantLife is how long a want counts when a scarce pool is divided. It is
	// a little more than the longest time between two renewals.
	wantLife = 1500 * time.Millisecond
	// peerLife is how long a silent holder is remembered.
	peerLife = time.Minute
)

// Grantor owns the token pools of the bounds of one home group. Only the
// leader of the group may use it, and only after a read-index round that began
// when the renewal had arrived. Its methods must not run at the same time.
type Grantor struct {
	from   time.Time
	expiry time.Time                         // all grants of predecessors have expired
	await  map[corianderwing.InstanceID]bool // holders that may have grants of a predecessor
	pools  map[corianderwing.BoundID]*pool
	levels map[corianderwing.BoundID]*ceiling
	peers  map[corianderwing.InstanceID]*peer
	swept  time.Time
	broken uint64
}

type peer struct {
	life   corianderwing.Incarnation
	seq    uint64
	first  time.Time // first report of this life
	seen   time.Time
	grants []corianderwing.Grant // the answer to seq
}

// GraceEnd returns when a leader that takes over at now may grant: when all
// grants of its predecessors have expired, and every process knows the limits.
// Changed is when this replica last applied a change of any rate, burst, fixed
// fraction or number of seats, by its own clock; the time at which the process
// started, if it applied none since.
func GraceEnd(now, changed time.Time) time.Time {
	return latest(corianderwing.GrantorDeadline(now, GrantTTL), corianderwing.GrantorDeadline(changed, PropagationDelay))
}

// NewGrantor returns a grantor with empty pools that grants nothing before
// from, which WaitUntil returns, or before each of the holders has introduced itself. Holders must include all
// that a predecessor may have granted tokens to; without any, only from counts.
func NewGrantor(from time.Time, holders ...corianderwing.InstanceID) *Grantor {
	await := make(map[corianderwing.InstanceID]bool)
	for _, id := range holders {
		await[id] = true
	}
	return &Grantor{
		await:  await,
		expiry: from,
		from:   from,
		pools:  make(map[corianderwing.BoundID]*pool),
		levels: make(map[corianderwing.BoundID]*ceiling),
		peers:  make(map[corianderwing.InstanceID]*peer),
	}
}

// Configure sets the limit of a bound's token pool, as Divide returns it. A
// decrease takes effect at once; an increase takes effect after Known, when no
// holder uses the earlier limits any more. The pool gains no tokens by it.
func (g *Grantor) Configure(now time.Time, b corianderwing.BoundID, l Limit) {
	p, ok := g.pools[b]
	if !ok {
		g.pools[b] = newPool(l, latest(now, g.from))
		return
	}
	p.configure(now, l)
}

// Remove removes a bound. Grants of it expire at their holders.
func (g *Grantor) Remove(b corianderwing.BoundID) {
	delete(g.pools, b)
	delete(g.levels, b)
}

// Violations returns how often a pool and its grants exceeded the pool's burst.
// Anything but zero is a fault of this package.
func (g *Grantor) Violations() uint64 { return g.broken }

// Outstanding returns the granted tokens of a bound that count against its
// burst.
func (g *Grantor) Outstanding(b corianderwing.BoundID) corianderwing.Tokens {
	if p, ok := g.pools[b]; ok {
		return p.outstanding()
	}
	return 0
}

// Update processes the spends of one report and returns the grants that
// answer it. A repeated report gets the same answer again; an older one is
// ignored. A grant of zero tokens tells the holder that the pool can use
// tokens that the holder gives.
func (g *Grantor) Update(now time.Time, holder corianderwing.InstanceID, life corianderwing.Incarnation, seq uint64, spends []corianderwing.TokenReport) []corianderwing.Grant {
	g.sweep(now)
	p, ok := g.peers[holder]
	if ok && (life < p.life || life == p.life && seq < p.seq) {
		return nil
	}
	if ok && life == p.life && seq == p.seq {
		return p.grants
	}
	follows := ok && life == p.life && seq == p.seq+1
	first := now
	if ok && life == p.life {
		first = p.first
	}
	p = &peer{life: life, seq: seq, first: first, seen: now}
	g.peers[holder] = p
	o := owner{holder, life}
	if now.Before(g.from) {
		return nil
	}
	for _, s := range spends {
		if c := g.levels[s.Bound]; c != nil && !now.Before(g.expiry) {
			p.grants = append(p.grants, c.update(now, o, s))
		}
		pool := g.pools[s.Bound]
		if pool == nil {
			continue
		}
		if grant, ok := pool.update(now, o, follows, s); ok {
			p.grants = append(p.grants, grant)
		}
		if !pool.sound(now) {
			g.broken++
		}
	}
	return p.grants
}

// sweep forgets holders that have been silent for long.
func (g *Grantor) sweep(now time.Time) {
	if now.Sub(g.swept) < peerLife {
		return
	}
	g.swept = now
	for id, p := range g.peers {
		if now.Sub(p.seen) > peerLife {
			delete(g.peers, id)
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
