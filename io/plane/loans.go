package plane

import (
	"slices"
	"time"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/steer"
	"corianderwing/io/alloc"
)

const (
	// planInterval is the minimum time between two plans.
	planInterval = 300 * time.Millisecond
	// loadTTL is how long a load report is valid. It must not exceed the period for
	// which the load of a new allocator is provisional.
	loadTTL = 1500 * time.Millisecond
	// startupPeriod is the time after its own start in which a leader without
	// any loans assumes that all instances have just restarted. Loans then
	// follow demand without a ramp for rampSuspension, by whose end entry
	// instances have their shares.
	startupPeriod  = 5 * time.Second
	rampSuspension = 5 * time.Second
	// loansTTL is how long a borrower may use loans without confirmation by the
	// leader.
	loansTTL = 4 * time.Second
	// maxConfirmationAge is the maximum age of the last confirmation of an instance
	// that is in contact with the leader: a report was answered at the last moment, and
	// the next one is about to be. A lender may have been confirmed that much earlier
	// than a borrower when both lose the leader.
	maxConfirmationAge = reportInterval + 2*reportTimeout
	// loanEndDelay is the maximum time from the end of a loan until the allocator of
	// the borrower grants no more slots of it.
	loanEndDelay = syncInterval + minSyncInterval
)

// loanPlan is the leader's plan of the slots that failure domains lend each
// other.
type loanPlan struct {
	planner   *steer.Planner
	loads     map[reportKey]domainReport
	plannedAt time.Time
	lifts     []steer.Lift // as last logged
	version   uint64
	loans     []steer.UpstreamLoan
}

// reportKey identifies the report of a control instance on a failure domain.
// Several control instances may report the same domain.
type reportKey struct {
	replica corianderwing.InstanceID
	domain  corianderwing.DomainID
}

// domainReport contains the loads that a control instance reported for a
// failure domain.
type domainReport struct {
	region     corianderwing.RegionID
	loads      []alloc.PoolLoad
	reportedAt time.Time
}

// planLoans returns the loans and their version. It plans them anew at most
// once per planInterval.
func (l *leaderState) planLoans(term corianderwing.Term, v *model.View, now time.Time) (uint64, []steer.UpstreamLoan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureTerm(term, now)
	s := &l.loans
	if now.Sub(s.plannedAt) < planInterval {
		return s.version, s.loans
	}
	if s.plannedAt.IsZero() {
		s.loans = l.knownLoans()
		s.planner.Restore(domainLoans(s.loans, v))
		if l.revision() > 0 && len(s.loans) == 0 && now.Sub(l.startedAt) < startupPeriod {
			s.planner.SuspendRamp(now.Add(rampSuspension))
		}
		s.version = uint64(term) << 32
	}
	s.plannedAt = now
	if now.Sub(l.observedSince) < 2*reportInterval {
		return s.version, s.loans // some loads may not have been reported yet
	}
	s.planner.SetInstances(l.entriesByDomain())
	loans := steer.Assign(s.planner.Update(s.currentLoads(now), now), func(p corianderwing.PoolID) []corianderwing.Upstream {
		var list []corianderwing.Upstream
		for _, u := range v.PoolUpstreams(p) {
			if u.Phase == corianderwing.Ready && !v.Evacuated(u.Domain) && u.Version == v.CurrentVersion(p) {
				list = append(list, u.Upstream)
			}
		}
		return list
	})
	if lifts := s.planner.Lifts(); l.logLifts != nil && !sameLifts(lifts, s.lifts) {
		s.lifts = slices.Clone(lifts)
		l.logLifts(s.lifts)
	}
	if !slices.Equal(loans, s.loans) {
		s.loans = loans
		s.version = uint64(term)<<32 | (s.version+1)&(1<<32-1)
	}
	return s.version, s.loans
}

// sameLifts reports whether two lists hold the same lifts, in any order.
func sameLifts(a, b []steer.Lift) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(x steer.Lift) bool { return !slices.Contains(b, x) })
}

// entriesByDomain returns the number of live entry instances in each failure domain.
// The caller must hold l.mu.
func (l *leaderState) entriesByDomain() map[corianderwing.DomainID]int {
	n := map[corianderwing.DomainID]int{}
	for _, e := range l.entries {
		n[e.entry.Domain]++
	}
	return n
}

// currentLoads returns the loads that have not expired, one for each pool and
// failure domain, and deletes the expired reports.
func (s *loanPlan) currentLoads(now time.Time) []steer.Load {
	var list []steer.Load
	for k, l := range s.loads {
		if now.Sub(l.reportedAt) > loadTTL {
			delete(s.loads, k)
			continue
		}
		for _, x := range l.loads {
			list = append(list, steer.Load{
				Pool:        x.Pool,
				Domain:      k.domain,
				Region:      l.region,
				Slots:       float64(x.OwnSlots),
				Demand:      x.Demand,
				ArrivalRate: x.ArrivalRate,
				Provisional: x.Provisional,
			})
		}
	}
	return steer.Merge(list)
}

// loanedSlots returns the number of slots that a failure domain lends and
// borrows, by upstream. A lender that has lost the leader keeps its slots reserved
// for longer than a borrower may use them, because the two were not confirmed at the
// same moment. The caller must hold p.mu.
func (p *Plane) loanedSlots(domain corianderwing.DomainID, now time.Time) (lent, borrowed map[corianderwing.UpstreamID]int) {
	lent, borrowed = map[corianderwing.UpstreamID]int{}, map[corianderwing.UpstreamID]int{}
	mayBorrow := now.Before(corianderwing.HolderDeadline(p.confirmedAt, loansTTL))
	mustReserve := now.Before(corianderwing.GrantorDeadline(p.confirmedAt, loansTTL).Add(maxConfirmationAge + loanEndDelay))
	for _, l := range p.loans {
		switch {
		case l.Borrower == domain && mayBorrow:
			borrowed[l.Upstream] += l.Slots
		case l.Borrower != domain && mustReserve:
			lent[l.Upstream] += l.Slots
		}
	}
	return lent, borrowed
}

// logLoans logs the number of slots that this failure domain lends and borrows.
// The caller must hold p.mu.
func (p *Plane) logLoans() {
	lent, borrowed := 0, 0
	for _, l := range p.loans {
		if l.Borrower == p.cfg.Quorum.Domain {
			borrowed += l.Slots
		} else if u, ok := p.machine.View().Upstream(l.Upstream); ok && u.Domain == p.cfg.Quorum.Domain {
			lent += l.Slots
		}
	}
	p.log.Info().Uint64("plan", p.loansVersion).Int("lent", lent).Int("borrowed", borrowed).
		Any("loads", p.allocators.loads()).Msg("slots lent between failure domains")
}

// domainLoans converts loans of upstreams, as assigned by an earlier leader, to
// loans between failure domains.
func domainLoans(loans []steer.UpstreamLoan, v *model.View) []steer.Loan {
	var list []steer.Loan
	for _, l := range loans {
		if u, ok := v.Upstream(l.Upstream); ok {
			list = append(list, steer.Loan{Pool: u.Pool, Lender: u.Domain, Borrower: l.Borrower, Slots: l.Slots})
		}
	}
	return list
}
