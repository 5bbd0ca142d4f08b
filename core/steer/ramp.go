package steer

import (
	"math"
	"time"

	"corianderwing"
)

// borrower is a pool of a failure domain that borrows slots, or is about to.
type borrower struct {
	Load
	own     float64                            // slots in its region, borrowed ones included
	exempt  bool                               // its loans change at once
	current map[corianderwing.RegionID]float64 // slots that it borrows in each other region
	target  map[corianderwing.RegionID]float64 // the same after the loans have changed
}

// rampLoans moves the loans towards their targets, as fast as the limit on the
// requests of each region that change the region in which they run allows.
//
// The limit is a fraction of the requests that run, not of those that arrive:
// in overload few of the arriving requests get a slot, and borrowed slots serve
// a large part of those. Requests are divided in proportion to the slots, so
// the fraction that runs in a region is its fraction of the slots.
func (p *Planner) rampLoans(loads []Load, targets map[loanKey]float64, step float64, now time.Time) {
	for k := range p.loans {
		if _, ok := targets[k]; !ok {
			targets[k] = 0
		}
	}
	regions := map[corianderwing.DomainID]corianderwing.RegionID{}
	for _, l := range loads {
		regions[l.Domain] = l.Region
	}
	usable := p.usableLoans(loads)
	borrowers := p.borrowers(loads, regions, targets, usable, now)
	shifts := p.regionShifts(borrowers, maxShiftPerSecond*step)
	lost := map[borrowerRegion]float64{}
	for k, target := range targets {
		part := 1.0
		if b, ok := borrowers[poolKey{k.pool, k.borrower}]; ok && !b.exempt && regions[k.lender] != b.Region {
			if s := shifts[b.Region]; s.moved > s.limit {
				part = b.slotsPart(regions[k.lender], s.limit/s.moved)
			}
		}
		lost[k.region(regions)] += (p.loans[k] - usable[k]) * (1 - part)
		n := usable[k] + (target-usable[k])*part
		if n < 0.05 && target == 0 {
			delete(p.loans, k)
			continue
		}
		p.loans[k] = n
	}
	p.replaceLost(lost, targets, regions)
}

// recordFirstTraffic records when the requests of each region began. With restored
// loans, that was long ago: an earlier Planner made them for these requests.
func (p *Planner) recordFirstTraffic(loads []Load, now time.Time) {
	if p.restored {
		now = time.Time{}
	}
	for _, l := range loads {
		if _, ok := p.firstTraffic[l.Region]; ok || l.ArrivalRate == 0 {
			continue
		}
		p.firstTraffic[l.Region] = now
		if p.trafficSince.IsZero() {
			p.trafficSince = now
		}
	}
}

// Lift says that the loans of a pool to a failure domain change without a ramp.
type Lift struct {
	Pool   corianderwing.PoolID   `json:"pool"`
	Domain corianderwing.DomainID `json:"domain"`
	Reason LiftReason             `json:"reason"`
}

// LiftReason tells why the ramp is lifted.
type LiftReason string

// The reasons.
const (
	LiftSuspended LiftReason = "suspended" // see Planner.SuspendRamp
	LiftStartup   LiftReason = "startup"   // the first requests of the region
	LiftLoss      LiftReason = "loss"      // the domain has lost many of its slots
	LiftLender    LiftReason = "lender"    // its lenders have lost many of those that it has
)

// Lifts returns the loans that changed without a ramp in the last update. The slice is
// valid until the next one.
func (p *Planner) Lifts() []Lift { return p.lifts }

// liftReason returns why the loans to a domain change without a ramp, or "".
func (p *Planner) liftReason(l Load, usable map[loanKey]float64, now time.Time) LiftReason {
	switch {
	case now.Before(p.rampSuspendedUntil):
		return LiftSuspended
	case now.Sub(p.firstTraffic[l.Region]) < startupPeriod:
		return LiftStartup
	case p.lostCapacity(l):
		return LiftLoss
	case p.lostLoans(l, usable):
		return LiftLender
	}
	return ""
}

// borrowers returns the borrower of each load.
func (p *Planner) borrowers(loads []Load, regions map[corianderwing.DomainID]corianderwing.RegionID, targets, usable map[loanKey]float64, now time.Time) map[poolKey]*borrower {
	out := map[poolKey]*borrower{}
	for _, l := range loads {
		reason := p.liftReason(l, usable, now)
		if reason != "" {
			p.lifts = append(p.lifts, Lift{l.Pool, l.Domain, reason})
		}
		out[poolKey{l.Pool, l.Domain}] = &borrower{
			Load:    l,
			own:     l.Slots,
			exempt:  reason != "",
			current: map[corianderwing.RegionID]float64{},
			target:  map[corianderwing.RegionID]float64{},
		}
	}
	for k, target := range targets {
		b, ok := out[poolKey{k.pool, k.borrower}]
		switch region := regions[k.lender]; {
		case !ok:
		case region == b.Region:
			b.own += target
		default:
			b.current[region] += p.loans[k]
			b.target[region] += target
		}
	}
	return out
}

// runningRequests returns how many of the arriving requests get a slot, per
// second.
func (b *borrower) runningRequests() float64 {
	return b.ArrivalRate * min(1, (b.own+sum(b.current))/max(b.Demand, minLoan))
}

// movedFraction returns the fraction of the running requests that changes its
// region when the loans change to their targets.
func (b *borrower) movedFraction() float64 {
	from, to := b.fractions(b.current), b.fractions(b.target)
	moved := math.Abs(b.ownFraction(b.target) - b.ownFraction(b.current))
	for region := range b.target {
		moved += math.Abs(to[region] - from[region])
	}
	return moved / 2 // each request is counted where it leaves and where it arrives
}

// slotsPart returns which part of the way to their targets the loans from a
// region go if the requests go the given part of their way.
func (b *borrower) slotsPart(region corianderwing.RegionID, part float64) float64 {
	whole := b.target[region] - b.current[region]
	if math.Abs(whole) < 1e-9 {
		return part
	}
	from, to := b.fractions(b.current)[region], b.fractions(b.target)[region]
	own := b.ownFraction(b.current)
	own += (b.ownFraction(b.target) - own) * part
	slots := b.ownSlots() * (from + (to-from)*part) / own
	return min(1, max(0, (slots-b.current[region])/whole))
}

// withSlots returns the borrower as if its domain had other upstreams.
func (b *borrower) withSlots(slots float64) *borrower {
	other := *b
	other.own += slots - b.Slots
	return &other
}

// fractions returns the fraction of the slots that is in each other region.
func (b *borrower) fractions(loans map[corianderwing.RegionID]float64) map[corianderwing.RegionID]float64 {
	out := map[corianderwing.RegionID]float64{}
	for region, n := range loans {
		out[region] = n / (b.ownSlots() + sum(loans))
	}
	return out
}

// ownFraction returns the fraction of the slots that is in the own region.
func (b *borrower) ownFraction(loans map[corianderwing.RegionID]float64) float64 {
	return b.ownSlots() / (b.ownSlots() + sum(loans))
}

// ownSlots returns the slots in the own region. It is never zero: a domain that
// has lost all of its own is exempt.
func (b *borrower) ownSlots() float64 { return max(b.own, minLoan) }

func sum(m map[corianderwing.RegionID]float64) float64 {
	n := 0.0
	for _, v := range m {
		n += v
	}
	return n
}
