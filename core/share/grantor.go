package share

import (
	"time"

	"corianderwing"
)

const (
	// requestTTL is how long a request counts when a scarce pool is divided. It
	// is a little more than the longest time between two renewals.
	requestTTL = 1500 * time.Millisecond
	// holderTTL is how long a silent holder is remembered.
	holderTTL = time.Minute
)

// Grantor owns the token pools of the bounds of one home group. Only the leader
// of the group may use it, and only after a read-index round that began after
// the renewal arrived. Its methods are not safe for concurrent use.
type Grantor struct {
	graceEnd            time.Time
	predecessorsExpired time.Time                         // when all grants of predecessors have expired
	unrecovered         map[corianderwing.InstanceID]bool // holders that may have grants of a predecessor
	pools               map[corianderwing.BoundID]*pool
	semaphores          map[corianderwing.BoundID]*semaphorePool
	holders             map[corianderwing.InstanceID]*holderState
	lastSweep           time.Time
	violations          uint64
}

type holderState struct {
	incarnation corianderwing.Incarnation
	seq         uint64
	firstSeen   time.Time // first report of this incarnation
	lastSeen    time.Time
	grants      []corianderwing.Grant // the answer to seq
}

// GraceEnd returns when a leader that takes over at now may grant: when all
// grants of its predecessors have expired and every process knows the limits.
// Changed is when this replica last applied a change of any rate, burst, fixed
// fraction or number of seats, by its own clock, or when the process started if
// it has applied none since.
func GraceEnd(now, changed time.Time) time.Time {
	return latest(corianderwing.GrantorDeadline(now, GrantTTL), corianderwing.GrantorDeadline(changed, PropagationDelay))
}

// NewGrantor returns a grantor with empty pools. It grants nothing before
// graceEnd, as returned by GraceEnd, unless the grants of each of the holders
// have been recovered earlier with RecoverGrants. Holders must include all that
// a predecessor may have granted tokens to; if none are listed, only graceEnd
// counts.
func NewGrantor(graceEnd time.Time, holders ...corianderwing.InstanceID) *Grantor {
	unrecovered := make(map[corianderwing.InstanceID]bool)
	for _, id := range holders {
		unrecovered[id] = true
	}
	return &Grantor{
		unrecovered:         unrecovered,
		predecessorsExpired: graceEnd,
		graceEnd:            graceEnd,
		pools:               make(map[corianderwing.BoundID]*pool),
		semaphores:          make(map[corianderwing.BoundID]*semaphorePool),
		holders:             make(map[corianderwing.InstanceID]*holderState),
	}
}

// Configure sets the limit of a bound's token pool, as Split returns it. A
// decrease takes effect at once; an increase takes effect after
// PropagationDelay, when no holder uses the earlier limits any more. The pool
// gains no tokens by a change.
func (g *Grantor) Configure(now time.Time, b corianderwing.BoundID, l Limit) {
	p, ok := g.pools[b]
	if !ok {
		g.pools[b] = newPool(l, latest(now, g.graceEnd))
		return
	}
	p.configure(now, l)
}

// Remove removes a bound. Grants of it expire at their holders.
func (g *Grantor) Remove(b corianderwing.BoundID) {
	delete(g.pools, b)
	delete(g.semaphores, b)
}

// Violations returns how often a pool and its grants exceeded the pool's burst.
// Any value but zero is a bug in this package.
func (g *Grantor) Violations() uint64 { return g.violations }

// Outstanding returns the granted tokens of a bound that count against its
// burst.
func (g *Grantor) Outstanding(b corianderwing.BoundID) corianderwing.Tokens {
	if p, ok := g.pools[b]; ok {
		return p.outstanding()
	}
	return 0
}

// Update processes the spends of one report and returns the grants that answer
// it. A repeated report gets the same answer again; an older one is ignored. A
// grant of zero tokens tells the holder that the pool can use tokens that the
// holder gives.
func (g *Grantor) Update(now time.Time, holder corianderwing.InstanceID, incarnation corianderwing.Incarnation, seq uint64, spends []corianderwing.TokenReport) []corianderwing.Grant {
	g.sweep(now)
	p, ok := g.holders[holder]
	if ok && (incarnation < p.incarnation || incarnation == p.incarnation && seq < p.seq) {
		return nil
	}
	if ok && incarnation == p.incarnation && seq == p.seq {
		return p.grants
	}
	consecutive := ok && incarnation == p.incarnation && seq == p.seq+1
	firstSeen := now
	if ok && incarnation == p.incarnation {
		firstSeen = p.firstSeen
	}
	p = &holderState{incarnation: incarnation, seq: seq, firstSeen: firstSeen, lastSeen: now}
	g.holders[holder] = p
	o := owner{holder, incarnation}
	if now.Before(g.graceEnd) {
		return nil
	}
	for _, s := range spends {
		if c := g.semaphores[s.Bound]; c != nil && !now.Before(g.predecessorsExpired) {
			p.grants = append(p.grants, c.update(now, o, s))
		}
		pool := g.pools[s.Bound]
		if pool == nil {
			continue
		}
		if grant, ok := pool.update(now, o, consecutive, s); ok {
			p.grants = append(p.grants, grant)
		}
		if !pool.withinBurst(now) {
			g.violations++
		}
	}
	return p.grants
}

// sweep removes holders that have been silent for longer than holderTTL.
func (g *Grantor) sweep(now time.Time) {
	if now.Sub(g.lastSweep) < holderTTL {
		return
	}
	g.lastSweep = now
	for id, p := range g.holders {
		if now.Sub(p.lastSeen) > holderTTL {
			delete(g.holders, id)
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
