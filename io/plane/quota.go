package plane

import (
	"context"
	"slices"
	"time"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/quota"
	"corianderwing/io/clock"
	"corianderwing/io/quorum"
)

// RateTolerance is how far the requests of a workspace may exceed its rate and
// burst: in any period of length Window, by Fraction of both plus Requests.
type RateTolerance struct {
	Window   time.Duration
	Fraction float64
	Requests float64
}

// boundFraction is the fraction of a bound that is allocated. The rest
// compensates for clock drift.
const boundFraction = 0.97

// bound returns the maximum number of requests of a workspace in any period of
// length Window.
func (x RateTolerance) bound(t *corianderwing.WorkspacePolicy) int {
	w := x.Window.Seconds()
	return int(boundFraction * ((float64(t.Rate)*w+float64(t.Burst))*(1+x.Fraction) + x.Requests))
}

// allocateShares returns a control instance's shares of the workspace bounds for a
// report that arrived at the given time. This instance must have applied all that was
// committed before the term.
func (l *leaderState) allocateShares(term corianderwing.Term, q *reportRequest, arrived time.Time, v *model.View, now time.Time) []quota.Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureTerm(term, now)
	l.setBounds(v)
	l.quotaAllocator.Reported(quorum.AddrOf(q.Replica), true, now)
	for _, e := range q.Entries {
		at := arrived.Add(-time.Duration(e.Age) * time.Millisecond)
		l.holders[e.ID] = at
		// A heartbeat from before the term may precede shares that an earlier
		// leader granted.
		if !at.Before(l.termStart) {
			l.quotaAllocator.Reported(string(e.ID), !e.SharesElsewhere, now)
		}
	}
	return l.quotaAllocator.Allocate(string(q.holder()), q.Demands, now)
}

// setBounds gives the allocator the bounds and the ceilings of the workspaces. The
// caller must hold l.mu.
func (l *leaderState) setBounds(v *model.View) {
	r := l.quotaRecord()
	if r == nil && l.founded {
		r = &quota.Record{} // there was no earlier leader
	}
	if !l.inherits {
		l.inherits = true
		l.quotaAllocator.Inherit(r, l.members())
	}
	l.quotaAllocator.SetRecord(r)
	if l.boundsRevision == v.Revision() {
		return
	}
	l.boundsRevision = v.Revision()
	bounds := map[corianderwing.WorkspaceID]int{}
	v.Items().EachPolicy(func(t *corianderwing.WorkspacePolicy) {
		if t.Rate > 0 {
			bounds[t.Name] = l.tolerance.bound(t)
		}
	})
	l.quotaAllocator.SetBounds(bounds)
}

// nextQuotaChange returns the change of the quota record that the leader should commit,
// or nil.
func (l *leaderState) nextQuotaChange(term corianderwing.Term, v *model.View, now time.Time) *quota.RecordChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != term || !l.inherits {
		return nil // no report has been answered in this term
	}
	l.setBounds(v)
	change := &quota.RecordChange{Set: l.quotaAllocator.CeilingChanges(now)}
	r := l.quotaRecord()
	for id := range l.holders {
		if !r.Covers(id) {
			change.Add = append(change.Add, id)
		}
	}
	slices.Sort(change.Add)
	if r == nil {
		return change // also if it is empty, so that successors have a record
	}
	for _, id := range r.Holders {
		if now.Sub(later(l.holders[id], l.termStart)) > quota.GracePeriod(l.tolerance.Window) {
			delete(l.holders, id)
			change.Remove = append(change.Remove, id)
		}
	}
	if change.IsEmpty() {
		return nil
	}
	return change
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// quotaChanged records that a change of the quota record was committed.
func (l *leaderState) quotaChanged(term corianderwing.Term, change *quota.RecordChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == term {
		l.quotaAllocator.CeilingsCommitted(change.Set)
	}
}

// quotaInterval is the interval at which the leader commits changes of the quota record.
const quotaInterval = 100 * time.Millisecond

// quotaLoop commits what a successor must know of the tokens of workspaces while this
// instance is the leader.
func (p *Plane) quotaLoop() {
	for clock.Sleep(p.ctx, quotaInterval) {
		term, ok := p.replica.IsLeader()
		if !ok {
			continue
		}
		change := p.leaderState.nextQuotaChange(term, p.machine.View(), clock.Boot())
		if change == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(p.ctx, batchTimeout)
		err := p.proposeInTerm(ctx, term, &model.Command{Quota: change})
		cancel()
		if err != nil {
			p.log.Debug().Err(err).Msg("the quota record is not committed")
			continue
		}
		p.leaderState.quotaChanged(term, change)
	}
}
