package steer

import (
	"time"
)

const (
	// holdTimeout is how long the loans of a domain are kept without a reliable
	// load. Another control instance is expected to allocate and report the
	// domain's slots within this time.
	holdTimeout = 5 * time.Second
	// establishedAfter is how long after its first request the loads of a region
	// are expected to come from control instances that have measured them.
	establishedAfter = 3 * time.Second
	// minArrivalRate is the rate, in requests per second, below which a domain has
	// no requests: the moving averages decay slowly after the last one.
	minArrivalRate = 1.0
)

// reliableLoads returns the loads that say what their domains need, and records
// when they were reported.
//
// When the control instance that allocates the slots of a domain stops, the domain
// seems to have no requests until another one gets them. That one does not know how
// long requests take, and the last report of the first counts for a while: the
// domain seems to need several times its slots. A planner that believed either
// would end the loans that the domain uses or gives, and the ramp would delay new
// ones for many seconds.
func (p *Planner) reliableLoads(loads []Load, now time.Time) []Load {
	var reliable []Load
	for _, l := range loads {
		k := poolKey{l.Pool, l.Domain}
		if l.ArrivalRate >= minArrivalRate {
			p.lastRequests[k] = now
		}
		if p.established(l, now) && (l.Provisional || p.isInterrupted(l, now)) {
			continue
		}
		p.lastReport[k] = now
		reliable = append(reliable, l)
	}
	return reliable
}

// established reports whether the region of a load has had requests for some time.
// Before, provisional loads are all there is, and the first loans follow them.
func (p *Planner) established(l Load, now time.Time) bool {
	first, ok := p.firstTraffic[l.Region]
	return ok && now.Sub(first) >= establishedAfter && !now.Before(p.rampSuspendedUntil)
}

// isInterrupted reports whether a domain had requests until a moment ago and has
// none now.
func (p *Planner) isInterrupted(l Load, now time.Time) bool {
	last, ok := p.lastRequests[poolKey{l.Pool, l.Domain}]
	return ok && l.ArrivalRate < minArrivalRate && now.Sub(last) < holdTimeout
}

// heldLoans returns the loans that are kept unchanged because the lender or the
// borrower has reported no reliable load.
func (p *Planner) heldLoans(now time.Time) map[loanKey]float64 {
	held := map[loanKey]float64{}
	for k, n := range p.loans {
		for _, s := range []poolKey{{k.pool, k.lender}, {k.pool, k.borrower}} {
			at, ok := p.lastReport[s]
			if !ok {
				p.lastReport[s] = now // a restored loan
				held[k] = n
			} else if age := now.Sub(at); age > 0 && age < holdTimeout {
				held[k] = n
			}
		}
	}
	return held
}
