package plane

import (
	"slices"
	"time"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/steer"
	"corianderwing/io/desk"
)

const (
	// steerEvery is the shortest time between two plans.
	steerEvery = 300 * time.Millisecond
	// loadFor is how long a report of loads counts.
	loadFor = 1500 * time.Millisecond
	// startedFor is how soon after its own start a leader without any loans takes
	// it that all instances have started anew, and freeFor how long loans then
	// follow the demand at once: entry instances have their shares by then.
	startedFor = 5 * time.Second
	freeFor    = 5 * time.Second
	// lotsFor is how long lots count without a confirmation by the leader.
	lotsFor = 4 * time.Second
)

// steering is the leader's plan of slots that failure domains lend each other.
type steering struct {
	planner *steer.Planner
	loads   map[corianderwing.DomainID]loaded
	at      time.Time
	version uint64
	lots    []steer.UpstreamLoan
}

// loaded is what a control instance reported of its failure domain.
type loaded struct {
	region corianderwing.RegionID
	loads  []desk.PoolLoad
	at     time.Time
}

// lend returns the lots and their version. It plans anew now and then.
func (l *lead) lend(term corianderwing.Term, v *model.View, now time.Time) (uint64, []steer.UpstreamLoan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin(term, now)
	s := &l.steer
	if now.Sub(s.at) < steerEvery {
		return s.version, s.lots
	}
	if s.at.IsZero() {
		s.lots = l.known()
		s.planner.Restore(loansOf(s.lots, v))
		if l.revision() > 0 && len(s.lots) == 0 && now.Sub(l.started) < startedFor {
			s.planner.SuspendRamp(now.Add(freeFor))
		}
		s.version = uint64(term) << 32
	}
	s.at = now
	if now.Sub(l.since) < 2*pulseEvery {
		return s.version, s.lots // not all loads are known yet
	}
	lots := steer.Assign(s.planner.Update(s.reported(now), now), func(p corianderwing.PoolID) []corianderwing.Upstream {
		var list []corianderwing.Upstream
		for _, u := range v.PoolUpstreams(p) {
			if u.Phase == corianderwing.Ready && !v.Evacuated(u.Domain) && u.Version == v.CurrentVersion(p) {
				list = append(list, u.Upstream)
			}
		}
		return list
	})
	if !slices.Equal(lots, s.lots) {
		s.lots = lots
		s.version = uint64(term)<<32 | (s.version+1)&(1<<32-1)
	}
	return s.version, s.lots
}

// reported returns the loads that still count.
func (s *steering) reported(now time.Time) []steer.Load {
	var list []steer.Load
	for d, l := range s.loads {
		if now.Sub(l.at) > loadFor {
			delete(s.loads, d)
			continue
		}
		for _, x := range l.loads {
			list = append(list, steer.Load{
				Pool:        x.Pool,
				Domain:      d,
				Region:      l.region,
				Slots:       float64(x.OwnSlots),
				Demand:      x.Demand,
				ArrivalRate: x.ArrivalRate,
			})
		}
	}
	return list
}

// lent returns the slots that a failure domain lends and borrows, by
// upstream. The lock is held.
func (p *Plane) lent(domain corianderwing.DomainID, now time.Time) (lent, borrowed map[corianderwing.UpstreamID]int) {
	lent, borrowed = map[corianderwing.UpstreamID]int{}, map[corianderwing.UpstreamID]int{}
	if now.Sub(p.confirm) > lotsFor {
		return lent, borrowed
	}
	for _, l := range p.lots {
		if l.Borrower == domain {
			borrowed[l.Upstream] += l.Slots
		} else {
			lent[l.Upstream] += l.Slots
		}
	}
	return lent, borrowed
}

// logLots logs what this failure domain lends and borrows. The lock is held.
func (p *Plane) logLots() {
	lent, borrowed := 0, 0
	for _, l := range p.lots {
		if l.Borrower == p.cfg.Quorum.Domain {
			borrowed += l.Slots
		} else if u, ok := p.machine.View().Upstream(l.Upstream); ok && u.Domain == p.cfg.Quorum.Domain {
			lent += l.Slots
		}
	}
	p.log.Info().Uint64("plan", p.lotsVersion).Int("lent", lent).Int("borrowed", borrowed).
		Any("loads", p.desks.loads()).Msg("slots lent between failure domains")
}

// loansOf returns the loans behind the lots that an earlier leader assigned.
func loansOf(lots []steer.UpstreamLoan, v *model.View) []steer.Loan {
	var list []steer.Loan
	for _, l := range lots {
		if u, ok := v.Upstream(l.Upstream); ok {
			list = append(list, steer.Loan{Pool: u.Pool, Lender: u.Domain, Borrower: l.Borrower, Slots: l.Slots})
		}
	}
	return list
}
