// Package lease decides which slot allocator of a failure domain may send requests to
// upstreams in their cold start. Such an upstream bears few requests a second, whoever
// sends them, so a single allocator must grant them. Several allocators of a domain
// exist at once whenever its entry instances do not all use the same control instance.
//
// The leader gives the right as a lease, and to another allocator only after the lease
// has lapsed. No clocks are compared: the holder counts its lease from before it sent
// the claim, the leader from after it received it.
package lease

import (
	"time"

	"corianderwing"
)

const (
	// Duration is the length of a lease. A holder loses it when two reports in a row get
	// no answer, which takes 2.6 s, but not when one does.
	Duration = 2 * time.Second
	// claimTTL is how long a claim competes with others after it was made: as long as
	// the lease that it got may last.
	claimTTL = Duration
	// minLead is by how many requests per second the arrivals at another allocator
	// must exceed twice those at the holder for the lease to move there. Below this
	// rate, an allocator counts as idle: moving averages decay slowly.
	minLead = 1.0
)

// Holder identifies an allocator: a control instance and its incarnation.
type Holder string

// Claim is the claim of an allocator to the lease of its failure domain.
type Claim struct {
	Holder      Holder
	Domain      corianderwing.DomainID
	ArrivalRate float64 // requests per second at the allocator
}

// Table holds the leases that a leader has given. It is not safe for concurrent use.
type Table struct {
	notBefore time.Time
	domains   map[corianderwing.DomainID]*domainLease
}

// domainLease is the lease of one failure domain.
type domainLease struct {
	holder  Holder
	expires time.Time
	claims  map[Holder]receivedClaim
}

// receivedClaim is the last claim of an allocator.
type receivedClaim struct {
	arrivalRate float64
	at          time.Time
}

// NewTable returns a Table without leases. It gives none before the given time, until
// which those of an earlier leader may be valid.
func NewTable(notBefore time.Time) *Table {
	return &Table{notBefore: notBefore, domains: map[corianderwing.DomainID]*domainLease{}}
}

// GracePeriod returns how long after its election a leader gives no leases: those of
// its predecessor may still be valid.
func GracePeriod() time.Duration {
	var zero time.Time
	return corianderwing.GrantorDeadline(zero, Duration).Sub(zero)
}

// Take reports whether the allocator that makes the claim gets the lease, or has it
// renewed, for Duration after the claim was sent.
func (t *Table) Take(c Claim, now time.Time) bool {
	d, ok := t.domains[c.Domain]
	if !ok {
		d = &domainLease{claims: map[Holder]receivedClaim{}}
		t.domains[c.Domain] = d
	}
	d.claims[c.Holder] = receivedClaim{c.ArrivalRate, now}
	held := now.Before(d.expires)
	if now.Before(t.notBefore) || held && d.holder != c.Holder || d.isOutbid(c, held, now) {
		return false
	}
	d.holder, d.expires = c.Holder, corianderwing.GrantorDeadline(now, Duration)
	return true
}

// isOutbid reports whether the lease should go to another allocator.
func (d *domainLease) isOutbid(c Claim, held bool, now time.Time) bool {
	for h, other := range d.claims {
		if now.Sub(other.at) > claimTTL {
			delete(d.claims, h)
			continue
		}
		if h != c.Holder && precedes(h, other.arrivalRate, c, held) {
			return true
		}
	}
	return false
}

// precedes reports whether another allocator should have the lease that c claims: the
// one where the most requests arrive, or, before there are any, the first by name,
// which entry instances use first. A lease that is held moves only for a clear lead,
// because nobody holds it until it has lapsed.
func precedes(other Holder, rate float64, c Claim, held bool) bool {
	switch {
	case rate < minLead && c.ArrivalRate < minLead:
		return other < c.Holder
	case held:
		return rate > 2*c.ArrivalRate+minLead
	}
	return rate > c.ArrivalRate || rate == c.ArrivalRate && other < c.Holder
}
