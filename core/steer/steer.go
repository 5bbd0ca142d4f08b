// Package steer plans how many upstream slots the failure domains lend each
// other. A domain whose demand exceeds its own upstreams borrows slots of
// specific upstreams in other domains and uses them for all its requests
// alike: objects assigned to a borrowed upstream go to that upstream only.
//
// This serves a load that peaks in one region while others have free capacity.
// If every entry instance forwarded its surplus independently, all would
// choose the same free upstreams at the same moment, and no upstream would
// cache any object for long. The fraction of a region's requests that runs in
// other regions changes slowly, to protect the caches and network links there
// from sudden load.
package steer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"corianderwing"
)

const (
	// borrowThreshold is the utilization above which a domain borrows.
	// maxLenderLoad is the utilization that a lender's own demand may reach by
	// lending. Between them requests are queued briefly now and then.
	borrowThreshold = 0.78
	maxLenderLoad   = 0.70
	// easyBorrowThreshold and easyReturnThreshold apply instead while the
	// utilization of the pool over all domains is at most easyUtilization. From
	// easyUtilization to fullUtilization they change to the normal thresholds.
	easyBorrowThreshold = 0.5
	easyReturnThreshold = 0.4
	easyUtilization     = 0.3
	fullUtilization     = 0.45
	// maxLentFraction is the fraction of its slots that a domain lends at most,
	// because its own demand may return at any moment.
	maxLentFraction = 0.7
	// returnThreshold is the utilization below which a domain returns slots.
	returnThreshold = 0.62
	// maxShiftPerSecond is the fraction of a region's requests that may be moved
	// to or from other regions per second.
	maxShiftPerSecond = 0.05
	// startupPeriod is how long after its first request a region is exempt from
	// the ramp: no established load can be disturbed yet.
	startupPeriod = 700 * time.Millisecond
	// minLoan is the smallest loan, in slots.
	minLoan = 0.5
)

// Load is the load of one pool in a failure domain, as reported.
type Load struct {
	Pool        corianderwing.PoolID
	Domain      corianderwing.DomainID
	Region      corianderwing.RegionID
	Slots       float64 // slots of the domain's own usable upstreams
	Demand      float64 // slots needed by the domain's requests
	ArrivalRate float64 // requests per second
	Provisional bool    // the control instance that reports it has just begun to get the requests
}

// Loan is a number of slots that one failure domain lends to another.
type Loan struct {
	Pool     corianderwing.PoolID
	Lender   corianderwing.DomainID
	Borrower corianderwing.DomainID
	Slots    int
}

// loanKey identifies a loan.
type loanKey struct {
	pool     corianderwing.PoolID
	lender   corianderwing.DomainID
	borrower corianderwing.DomainID
}

// poolKey identifies a pool in a failure domain.
type poolKey struct {
	pool   corianderwing.PoolID
	domain corianderwing.DomainID
}

// Planner plans the loans. The leader of a term owns it. A new leader restores
// the loans that it knows of.
type Planner struct {
	loans              map[loanKey]float64
	peaks              map[poolKey]peak
	lastReport         map[poolKey]time.Time                // time of the last reliable load
	lastRequests       map[poolKey]time.Time                // time of the last load with requests
	restored           bool                                 // an earlier Planner planned for loads that arrive already
	firstTraffic       map[corianderwing.RegionID]time.Time // time of a region's first request
	trafficSince       time.Time                            // time of the first request of all
	rampSuspendedUntil time.Time                            // regions are exempt from the ramp before this time
	lastSlots          map[poolKey]float64                  // slots of the last load
	joined             map[corianderwing.RegionID]float64   // fraction of the requests moved by upstreams that joined or left, not yet accounted for by the ramp
	lifts              []Lift                               // of the last update
	lastUpdate         time.Time
	instances          map[corianderwing.DomainID]int // entry instances
}

// New returns a Planner without loans.
func New() *Planner {
	return &Planner{
		loans:        map[loanKey]float64{},
		peaks:        map[poolKey]peak{},
		lastReport:   map[poolKey]time.Time{},
		lastRequests: map[poolKey]time.Time{},
		firstTraffic: map[corianderwing.RegionID]time.Time{},
		lastSlots:    map[poolKey]float64{},
		joined:       map[corianderwing.RegionID]float64{},
	}
}

// SuspendRamp exempts all regions from the ramp until the given time. It is
// meant for the recovery from a total loss, in which loans and requests were
// lost too: the returning requests cannot disturb caches that nobody uses.
func (p *Planner) SuspendRamp(until time.Time) { p.rampSuspendedUntil = until }

// Restore takes over the loans of an earlier Planner.
func (p *Planner) Restore(loans []Loan) {
	p.restored = len(loans) > 0
	for _, l := range loans {
		p.loans[loanKey{l.Pool, l.Lender, l.Borrower}] += float64(l.Slots)
	}
}

// Update moves the loans towards those that the loads need, and returns them
// sorted.
func (p *Planner) Update(loads []Load, now time.Time) []Loan {
	step := min(now.Sub(p.lastUpdate).Seconds(), 1)
	if p.lastUpdate.IsZero() {
		step = 0
	}
	p.lastUpdate = now
	p.recordFirstTraffic(loads, now)
	for _, l := range loads {
		k := poolKey{l.Pool, l.Domain}
		p.peaks[k] = p.peaks[k].update(l.Slots, now)
	}
	p.lifts = p.lifts[:0]
	loads = p.expect(loads, now)
	reliable := p.reliableLoads(loads, now)
	targets := p.targetLoans(reliable, p.heldLoans(now))
	p.rampLoans(loads, targets, step, now)
	return p.wholeLoans()
}

// targetLoans returns the loans that would serve the loads, together with the held
// loans.
func (p *Planner) targetLoans(loads []Load, held map[loanKey]float64) map[loanKey]float64 {
	out := maps.Clone(held)
	byPool := map[corianderwing.PoolID][]Load{}
	for _, l := range loads {
		byPool[l.Pool] = append(byPool[l.Pool], l)
	}
	for pool, list := range byPool {
		slices.SortFunc(list, func(a, b Load) int { return cmp.Compare(a.Domain, b.Domain) })
		p.distribute(pool, list, held, out)
	}
	return out
}

// distribute divides the spare slots of a pool among the domains that need
// some.
func (p *Planner) distribute(pool corianderwing.PoolID, list []Load, held, out map[loanKey]float64) {
	need := make([]float64, len(list))
	spare := make([]float64, len(list))
	total, all := 0.0, 0.0
	usedFraction := utilization(list)
	for i, l := range list {
		need[i] = p.neededSlots(l, usedFraction)
		lent := 0.0
		for k, n := range held {
			if k.pool == pool && k.borrower == l.Domain {
				need[i] = max(0, need[i]-n)
			}
			if k.pool == pool && k.lender == l.Domain {
				lent += n
			}
		}
		if need[i] == 0 {
			spare[i] = max(0, min(maxLentFraction*l.Slots, l.Slots-l.Demand/max(maxLenderLoad, usedFraction))-lent)
		}
		total += need[i]
		all += spare[i]
	}
	if total == 0 || all == 0 {
		return
	}
	part := min(1, all/total)
	for i, l := range list {
		left := need[i] * part
		for _, j := range p.rankLenders(pool, l, list, spare) {
			if left <= 0 {
				break
			}
			n := min(left, spare[j])
			spare[j] -= n
			left -= n
			out[loanKey{pool, list[j].Domain, l.Domain}] += n
		}
	}
}

// utilization returns the ratio of demand to slots of a pool over all domains.
// When it is high, no domain has slots to spare by the normal thresholds. The
// thresholds are then raised to it, so that each domain gets its share of the
// slots. Otherwise domains with few upstreams would be served far worse than
// the others.
func utilization(list []Load) float64 {
	slots, demand := 0.0, 0.0
	for _, l := range list {
		slots += l.Slots
		demand += l.Demand
	}
	if slots == 0 {
		return 0
	}
	return demand / slots
}

// neededSlots returns how many slots a domain should borrow, given the
// utilization over all domains. A domain that already borrows continues until
// its demand is clearly lower, which adds hysteresis.
func (p *Planner) neededSlots(l Load, usedFraction float64) float64 {
	borrowAt, returnAt := thresholds(usedFraction)
	more := max(0, l.Demand/max(borrowAt, usedFraction)-l.Slots)
	if has := p.borrowed(l); has > more {
		return max(more, min(has, l.Demand/max(returnAt, usedFraction-borrowAt+returnAt)-l.Slots))
	}
	return more
}

// borrowed returns how many slots of the pool the domain borrows.
func (p *Planner) borrowed(l Load) float64 {
	n := 0.0
	for k, slots := range p.loans {
		if k.pool == l.Pool && k.borrower == l.Domain {
			n += slots
		}
	}
	return n
}

// thresholds returns the utilization above which a domain borrows and the one
// below which it returns slots, given the utilization over all domains.
//
// While most slots of the pool are free, a domain with few upstreams borrows
// long before its own are busy: requests there would wait for each other, and
// its upstreams cannot cache all its objects, while upstreams elsewhere idle.
// While most slots are in use, early loans would only evict the objects of the
// lenders.
func thresholds(usedFraction float64) (borrowAt, returnAt float64) {
	full := min(1, max(0, (usedFraction-easyUtilization)/(fullUtilization-easyUtilization)))
	return easyBorrowThreshold + full*(borrowThreshold-easyBorrowThreshold),
		easyReturnThreshold + full*(returnThreshold-easyReturnThreshold)
}

// rankLenders returns the domains to borrow from, best first: those that
// already lend to the domain, then those of the same region, then those with
// the most spare slots.
func (p *Planner) rankLenders(pool corianderwing.PoolID, l Load, list []Load, spare []float64) []int {
	var order []int
	for j, other := range list {
		if other.Domain != l.Domain && spare[j] >= minLoan {
			order = append(order, j)
		}
	}
	rank := func(j int) float64 {
		r := -spare[j]
		if p.loans[loanKey{pool, list[j].Domain, l.Domain}] > 0 {
			r -= 1e6
		}
		if list[j].Region == l.Region {
			r -= 1e3
		}
		return r
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(rank(a), rank(b)) })
	return order
}

// wholeLoans returns the loans rounded to whole slots.
func (p *Planner) wholeLoans() []Loan {
	var out []Loan
	for k, n := range p.loans {
		if n < minLoan {
			continue
		}
		out = append(out, Loan{k.pool, k.lender, k.borrower, int(math.Round(n))})
	}
	slices.SortFunc(out, func(a, b Loan) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Borrower, b.Borrower), cmp.Compare(a.Lender, b.Lender))
	})
	return out
}
