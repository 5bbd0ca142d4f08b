package steer

import "corianderwing"

// usableLoans returns the loans as far as their lenders still have the slots: a lender
// that was evacuated, or has lost upstreams, cannot give all that it has lent. Loans of
// lenders without a load are taken for usable.
func (p *Planner) usableLoans(loads []Load) map[loanKey]float64 {
	lent := map[poolKey]float64{}
	for k, n := range p.loans {
		lent[poolKey{k.pool, k.lender}] += n
	}
	fraction := map[poolKey]float64{}
	for _, l := range loads {
		k := poolKey{l.Pool, l.Domain}
		if lent[k] > l.Slots {
			fraction[k] = l.Slots / lent[k]
		}
	}
	usable := map[loanKey]float64{}
	for k, n := range p.loans {
		usable[k] = n
		if f, ok := fraction[poolKey{k.pool, k.lender}]; ok {
			usable[k] = n * f
		}
	}
	return usable
}

// lostLoans reports whether the lenders of a domain have lost a large part of the slots
// that the domain had, its own included.
func (p *Planner) lostLoans(l Load, usable map[loanKey]float64) bool {
	had, lost := l.Slots, 0.0
	for k, n := range p.loans {
		if k.pool == l.Pool && k.borrower == l.Domain {
			had += n
			lost += n - usable[k]
		}
	}
	return lost > 0 && lost >= lossThreshold*had
}

// replaceLost gives a borrower the slots that its lenders have lost from others of the
// same region, as far as these are to lend more: no request changes its region by that.
// The lost slots are given by borrower and region.
func (p *Planner) replaceLost(lost map[borrowerRegion]float64, targets map[loanKey]float64, regions map[corianderwing.DomainID]corianderwing.RegionID) {
	room := map[borrowerRegion]float64{}
	for k, target := range targets {
		room[k.region(regions)] += max(0, target-p.loans[k])
	}
	for k, target := range targets {
		b := k.region(regions)
		if lost[b] > 0 && room[b] > 0 && target > p.loans[k] {
			p.loans[k] += (target - p.loans[k]) * min(1, lost[b]/room[b])
		}
	}
}

// borrowerRegion is a borrower, and the region of some of its lenders.
type borrowerRegion struct {
	pool     corianderwing.PoolID
	borrower corianderwing.DomainID
	lenders  corianderwing.RegionID
}

func (k loanKey) region(regions map[corianderwing.DomainID]corianderwing.RegionID) borrowerRegion {
	return borrowerRegion{k.pool, k.borrower, regions[k.lender]}
}
