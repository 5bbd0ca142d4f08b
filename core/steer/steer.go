// Package steer decides how many slots of upstreams the failure domains lend
// each other. A domain whose requests need more than its own upstreams bear
// borrows slots of certain upstreams elsewhere, for all its requests alike: the
// objects that belong to a borrowed upstream go there and nowhere else.
//
// It answers a load that peaks in one region while others have room. If every
// entry instance sent its surplus away by itself, they would all choose the
// same free upstreams at the same moment, and all objects would be known
// nowhere. The part of a region's requests that runs elsewhere changes slowly,
// so that caches and links elsewhere are not hit at once.
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
	// borrowAt is the part of its slots in use from which on a domain borrows,
	// and lendAt the part up to which a lender may be used by itself. Between
	// them requests wait for a moment now and then.
	borrowAt = 0.78
	lendAt   = 0.70
	// mostLent is the part of its slots that a domain lends at the most: its
	// demand may come back at any moment.
	mostLent = 0.7
	// returnAt is the part in use below which a domain gives slots back.
	returnAt = 0.62
	// mostChange is the part of a region's requests that may begin or end to run
	// elsewhere within a second.
	mostChange = 0.06
	// firstFor is how long after its first requests a region may change at will:
	// there is nothing yet that could be hit by the change.
	firstFor = 700 * time.Millisecond
	// lostPart is the part of its slots that a domain must have lost lately to
	// borrow at once: requests that have nowhere to go do not wait for a ramp.
	lostPart = 0.3
	// lostFor is how long a loss counts as recent.
	lostFor = 6 * time.Second
	// silentFor is how long the loans of a domain stay as they are while nothing
	// is reported of it: another control instance reports it soon.
	silentFor = 5 * time.Second
	// leastLoan is the smallest loan, in slots.
	leastLoan = 0.5
)

// Load is what a failure domain reports of one pool.
type Load struct {
	Pool        corianderwing.PoolID
	Domain      corianderwing.DomainID
	Region      corianderwing.RegionID
	Slots       float64 // of its own usable upstreams
	Demand      float64 // slots that its requests need
	ArrivalRate float64 // its requests a second
}

// Loan is a number of slots that one failure domain lends another.
type Loan struct {
	Pool     corianderwing.PoolID
	Lender   corianderwing.DomainID
	Borrower corianderwing.DomainID
	Slots    int
}

// pair is a possible loan.
type pair struct {
	pool     corianderwing.PoolID
	lender   corianderwing.DomainID
	borrower corianderwing.DomainID
}

// spot is a pool in a failure domain.
type spot struct {
	pool   corianderwing.PoolID
	domain corianderwing.DomainID
}

// peak is the largest number of slots that a spot had lately.
type peak struct {
	slots float64
	at    time.Time
}

// Planner holds the loans. The leader of a term owns it; a new leader adopts
// those that it knows of.
type Planner struct {
	loans map[pair]float64
	peaks map[spot]peak
	heard map[spot]time.Time                   // last report
	first map[corianderwing.RegionID]time.Time // when a region's requests began
	free  time.Time                            // until which regions may change at will
	last  time.Time
}

// New returns a Planner without loans.
func New() *Planner {
	return &Planner{loans: map[pair]float64{}, peaks: map[spot]peak{}, heard: map[spot]time.Time{}, first: map[corianderwing.RegionID]time.Time{}}
}

// SuspendRamp lets all regions change at will until a deadline. It answers the loss of
// everything at once, loans and requests included: what comes back meets caches
// that nobody uses.
func (p *Planner) SuspendRamp(until time.Time) { p.free = until }

// Restore takes over the loans of an earlier Planner.
func (p *Planner) Restore(loans []Loan) {
	for _, l := range loans {
		p.loans[pair{l.Pool, l.Lender, l.Borrower}] += float64(l.Slots)
	}
}

// Update moves the loans towards what the loads ask for, and returns them,
// sorted.
func (p *Planner) Update(loads []Load, now time.Time) []Loan {
	step := min(now.Sub(p.last).Seconds(), 1)
	if p.last.IsZero() {
		step = 0
	}
	p.last = now
	for _, l := range loads {
		k := spot{l.Pool, l.Domain}
		p.heard[k] = now
		if top := p.peaks[k]; l.Slots >= top.slots || now.Sub(top.at) > lostFor {
			p.peaks[k] = peak{l.Slots, now}
		}
	}
	held := p.held(now)
	wanted := p.wanted(loads, held)
	p.follow(loads, wanted, step, now)
	return p.list()
}

// held returns the loans that stay as they are, because nothing is known of the
// lender or the borrower.
func (p *Planner) held(now time.Time) map[pair]float64 {
	out := map[pair]float64{}
	for k, n := range p.loans {
		for _, s := range []spot{{k.pool, k.lender}, {k.pool, k.borrower}} {
			at, ok := p.heard[s]
			if !ok {
				p.heard[s] = now // an adopted loan
				out[k] = n
			} else if age := now.Sub(at); age > 0 && age < silentFor {
				out[k] = n
			}
		}
	}
	return out
}

// wanted returns the loans that would serve all loads, besides those that are
// held.
func (p *Planner) wanted(loads []Load, held map[pair]float64) map[pair]float64 {
	out := maps.Clone(held)
	byPool := map[corianderwing.PoolID][]Load{}
	for _, l := range loads {
		byPool[l.Pool] = append(byPool[l.Pool], l)
	}
	for pool, list := range byPool {
		slices.SortFunc(list, func(a, b Load) int { return cmp.Compare(a.Domain, b.Domain) })
		p.match(pool, list, held, out)
	}
	return out
}

// match divides the slots that domains can spare of one pool over those that
// need some.
func (p *Planner) match(pool corianderwing.PoolID, list []Load, held, out map[pair]float64) {
	need := make([]float64, len(list))
	spare := make([]float64, len(list))
	total, all := 0.0, 0.0
	scarce := usage(list)
	for i, l := range list {
		need[i] = p.need(pool, l, scarce)
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
			spare[i] = max(0, min(mostLent*l.Slots, l.Slots-l.Demand/max(lendAt, scarce))-lent)
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
		for _, j := range p.lenders(pool, l, list, spare) {
			if left <= 0 {
				break
			}
			n := min(left, spare[j])
			spare[j] -= n
			left -= n
			out[pair{pool, list[j].Domain, l.Domain}] += n
		}
	}
}

// usage returns the part of all slots of a pool that the requests of all domains
// need. Where that is much, there is not enough for everybody to have slots to
// spare, and each domain gets its part of what there is: otherwise the domains
// with few upstreams would be served far worse than the others.
func usage(list []Load) float64 {
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

// need returns how many slots a domain should borrow if all together use the
// given part of theirs. One that borrows goes on until it clearly does with less.
func (p *Planner) need(pool corianderwing.PoolID, l Load, scarce float64) float64 {
	more := max(0, l.Demand/max(borrowAt, scarce)-l.Slots)
	has := 0.0
	for k, n := range p.loans {
		if k.pool == pool && k.borrower == l.Domain {
			has += n
		}
	}
	if has > more {
		return max(more, min(has, l.Demand/max(returnAt, scarce-borrowAt+returnAt)-l.Slots))
	}
	return more
}

// lenders returns the domains to borrow from, the best first: those that lend
// already, those of the same region, those with most to spare.
func (p *Planner) lenders(pool corianderwing.PoolID, l Load, list []Load, spare []float64) []int {
	var order []int
	for j, other := range list {
		if other.Domain != l.Domain && spare[j] >= leastLoan {
			order = append(order, j)
		}
	}
	rank := func(j int) float64 {
		r := -spare[j]
		if p.loans[pair{pool, list[j].Domain, l.Domain}] > 0 {
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

// follow moves the loans towards the wanted ones, as fast as each region's part
// of requests elsewhere may change.
func (p *Planner) follow(loads []Load, wanted map[pair]float64, step float64, now time.Time) {
	at := map[spot]Load{}
	region := map[corianderwing.RegionID]float64{}
	for _, l := range loads {
		at[spot{l.Pool, l.Domain}] = l
		region[l.Region] += l.ArrivalRate
	}
	for k := range p.loans {
		if _, ok := wanted[k]; !ok {
			wanted[k] = 0
		}
	}
	for r, n := range region {
		if _, ok := p.first[r]; !ok && n > 0 {
			p.first[r] = now
		}
	}
	change := map[corianderwing.RegionID]float64{}
	effect := func(k pair) (corianderwing.RegionID, float64) {
		l := at[spot{k.pool, k.borrower}]
		begins := now.Before(p.free) || now.Sub(p.first[l.Region]) < firstFor
		if l.Region == at[spot{k.pool, k.lender}].Region || region[l.Region] == 0 || begins {
			return l.Region, 0
		}
		slots := max(l.Slots, l.Demand, 1)
		return l.Region, math.Abs(wanted[k]-p.loans[k]) / slots * l.ArrivalRate / region[l.Region]
	}
	for k := range wanted {
		r, e := effect(k)
		if !p.lost(at[spot{k.pool, k.borrower}]) {
			change[r] += e
		}
	}
	for k, target := range wanted {
		r, e := effect(k)
		part := 1.0
		if e > 0 && change[r] > mostChange*step && !p.lost(at[spot{k.pool, k.borrower}]) {
			part = mostChange * step / change[r]
		}
		n := p.loans[k] + (target-p.loans[k])*part
		if n < 0.05 && target == 0 {
			delete(p.loans, k)
			continue
		}
		p.loans[k] = n
	}
}

// lost reports whether a domain has lost a good part of its slots lately.
func (p *Planner) lost(l Load) bool {
	return l.Slots < (1-lostPart)*p.peaks[spot{l.Pool, l.Domain}].slots
}

// list returns the loans in whole slots.
func (p *Planner) list() []Loan {
	var out []Loan
	for k, n := range p.loans {
		if n < leastLoan {
			continue
		}
		out = append(out, Loan{k.pool, k.lender, k.borrower, int(math.Round(n))})
	}
	slices.SortFunc(out, func(a, b Loan) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Borrower, b.Borrower), cmp.Compare(a.Lender, b.Lender))
	})
	return out
}
