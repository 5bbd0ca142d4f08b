package share

import (
	"time"

	"corianderwing"
)

// RecoverGrants tells a new grantor how many tokens a holder holds from grants
// of its predecessors, so that it need not wait until these have expired. It
// must be called before Update with the same report, and only for a report that
// was made after the holder had heard from this grantor and had applied the
// settings that the grantor was first configured with: answers of predecessors
// to earlier reports are void for the holder, and no predecessor can answer a
// later one.
//
// An incarnation of a holder counts as recovered once LoanTTL has passed since
// its first report. Until then, another instance may hold tokens that an
// earlier incarnation lent.
func (g *Grantor) RecoverGrants(now time.Time, holder corianderwing.InstanceID, incarnation corianderwing.Incarnation, seq uint64, spends []corianderwing.TokenReport) {
	if !now.Before(g.graceEnd) || len(g.unrecovered) == 0 {
		return
	}
	p, ok := g.holders[holder]
	if !ok || incarnation != p.incarnation || seq <= p.seq {
		return
	}
	o := owner{holder, incarnation}
	for id, pool := range g.pools {
		pool.replaceLeases(now, o, heldTokens(id, spends))
	}
	if !now.Before(corianderwing.GrantorDeadline(p.firstSeen, LoanTTL)) {
		delete(g.unrecovered, holder)
	}
	if len(g.unrecovered) == 0 {
		g.endGracePeriod(now)
	}
}

// endGracePeriod ends the wait for the grants of predecessors.
func (g *Grantor) endGracePeriod(now time.Time) {
	g.graceEnd = now
	for _, p := range g.pools {
		p.startFilling(now)
	}
}

// InGracePeriod reports whether the grantor does not grant anything yet.
func (g *Grantor) InGracePeriod(now time.Time) bool { return now.Before(g.graceEnd) }

func heldTokens(id corianderwing.BoundID, spends []corianderwing.TokenReport) corianderwing.Tokens {
	for _, s := range spends {
		if s.Bound == id {
			return max(0, s.Held)
		}
	}
	return 0
}

// replaceLeases replaces the leases of o by one of n tokens.
func (p *pool) replaceLeases(now time.Time, o owner, n corianderwing.Tokens) {
	if leased := p.leased(o); leased > 0 {
		p.reduceLeases(o, leased)
	}
	if n > 0 {
		p.leases = append(p.leases, lease{owner: o, tokens: n, until: corianderwing.GrantorDeadline(now, GrantTTL)})
	}
}

// startFilling makes the pool fill from now on, in addition to its leases.
func (p *pool) startFilling(now time.Time) {
	p.bucket = NewBucket(p.limit, now)
	p.fullDepth = p.bucket.depth.Load()
	p.limitDepth(now)
}
