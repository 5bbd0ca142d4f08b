package share

import (
	"time"

	"corianderwing"
)

// RecoverGrants tells a new grantor what a holder holds of its predecessors'
// grants, so that it need not wait until these have expired. It must be called
// before Update with the same report, and only for a report that was made
// after the holder had heard from this grantor and had applied the settings
// that the grantor was first configured from: answers of predecessors to
// earlier reports are void for the holder, and no predecessor can answer a
// later one.
//
// A life of a holder counts once LendLife has passed since its first report.
// Until then, a neighbour may hold tokens that an earlier life lent.
func (g *Grantor) RecoverGrants(now time.Time, holder corianderwing.InstanceID, life corianderwing.Incarnation, seq uint64, spends []corianderwing.TokenReport) {
	if !now.Before(g.from) || len(g.await) == 0 {
		return
	}
	p, ok := g.peers[holder]
	if !ok || life != p.life || seq <= p.seq {
		return
	}
	o := owner{holder, life}
	for id, pool := range g.pools {
		pool.recall(now, o, heldOf(id, spends))
	}
	if !now.Before(corianderwing.GrantorDeadline(p.first, LoanTTL)) {
		delete(g.await, holder)
	}
	if len(g.await) == 0 {
		g.open(now)
	}
}

// open ends the wait for the predecessors' grants.
func (g *Grantor) open(now time.Time) {
	g.from = now
	for _, p := range g.pools {
		p.restart(now)
	}
}

// InGracePeriod reports whether the grantor grants nothing yet.
func (g *Grantor) InGracePeriod(now time.Time) bool { return now.Before(g.from) }

func heldOf(id corianderwing.BoundID, spends []corianderwing.TokenReport) corianderwing.Tokens {
	for _, s := range spends {
		if s.Bound == id {
			return max(0, s.Held)
		}
	}
	return 0
}

// recall replaces the loans of o by one of n tokens.
func (p *pool) recall(now time.Time, o owner, n corianderwing.Tokens) {
	if owed := p.owed(o); owed > 0 {
		p.shrink(o, owed)
	}
	if n > 0 {
		p.loans = append(p.loans, loan{owner: o, tokens: n, until: corianderwing.GrantorDeadline(now, GrantTTL)})
	}
}

// restart makes the pool fill from now on, beside the loans that it has.
func (p *pool) restart(now time.Time) {
	p.bucket = NewBucket(p.limit, now)
	p.full = p.bucket.depth.Load()
	p.limitDepth(now)
}
