package plane

import (
	"context"
	"errors"
	"slices"
	"time"

	"corianderwing"
	"corianderwing/core/fresh"
	"corianderwing/core/quota"
	"corianderwing/core/usage"
	"corianderwing/io/clock"
	"corianderwing/io/peer"
)

const (
	// reportInterval is the interval at which control instances report to the
	// leader. It adds to the age of the state that entry instances receive.
	reportInterval = 400 * time.Millisecond
	// fastReportInterval is the interval while this instance has no valid
	// shares of rate limits, or shortly after requests have begun to arrive,
	// because entry instances reject some requests during that time.
	fastReportInterval = 100 * time.Millisecond
	// reportTimeout bounds one report: a leadership confirmation and the
	// network round trip.
	reportTimeout = 900 * time.Millisecond
	// instanceTTL is how long an entry or control instance counts as live after
	// its last heartbeat or report.
	instanceTTL = 1800 * time.Millisecond
)

// reportLoop sends reports to the leader until the instance is closed.
func (p *Plane) reportLoop() {
	var arrivals onsetDetector
	for {
		interval := reportInterval
		recent := arrivals.update(p.allocators.busy(), clock.Boot())
		switch {
		case !p.hasValidShares() || recent:
			interval = fastReportInterval
		case moveInProgress(p.machine.View()):
			interval = moveReportInterval
		}
		if !clock.Sleep(p.ctx, interval) {
			return
		}
		q := p.newReport()
		sentAt := clock.Boot()
		ctx, cancel := context.WithTimeout(p.ctx, reportTimeout)
		reply, err := p.sendReport(ctx, q)
		cancel()
		if err != nil {
			p.restoreReport(q, sentAt)
			p.log.Debug().Err(err).Msg("no leader confirmed the state")
			continue
		}
		p.applyReportResponse(sentAt, reply)
	}
}

// onsetDuration is how long after the first requests this instance uses
// fastReportInterval: no slots have been lent yet, and a failure domain with
// few upstreams would reject requests until it learns of free slots in other
// domains.
const onsetDuration = 2 * time.Second

// onsetDetector detects whether requests have only recently begun to arrive. The zero
// value is ready to use.
type onsetDetector struct{ since time.Time }

// update records whether requests arrive at time now, and reports whether they
// began to arrive less than onsetDuration ago.
func (o *onsetDetector) update(busy bool, now time.Time) (recent bool) {
	switch {
	case !busy:
		o.since = time.Time{}
	case o.since.IsZero():
		o.since = now
	}
	return busy && now.Sub(o.since) < onsetDuration
}

// hasValidShares reports whether this instance has valid shares of all rate limits
// that entry instances asked for.
func (p *Plane) hasValidShares() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return clock.Boot().Before(p.sharesValidUntil) && !p.quotaAllocator.LacksBounds()
}

// sendReport sends one report to the leader, or handles it locally if this
// instance is the leader.
func (p *Plane) sendReport(ctx context.Context, q *reportRequest) (*reportResponse, error) {
	addr := p.leaderAddr()
	switch addr {
	case "":
		return nil, errNoLeaderKnown
	case p.cfg.Quorum.PeerAddr:
		return p.handleReport(ctx, q)
	}
	q.Usage = p.usage.report(addr, clock.Boot())
	reply, err := peer.Call(ctx, p.peer, addr, reportMethod, q)
	if err == nil && reply.Incarnation != 0 {
		p.usage.handleResponse(usage.Receiver{Addr: addr, Incarnation: reply.Incarnation}, len(q.Usage) > 0)
	}
	return reply, err
}

// leaderAddr returns the address of the leader, or of the last known one: a
// replica that has not joined the group yet receives no heartbeats, but the
// leader may still answer it.
func (p *Plane) leaderAddr() string {
	addr := p.replica.LeaderAddr()
	p.mu.Lock()
	defer p.mu.Unlock()
	if addr != "" {
		p.lastLeaderAddr = addr
	}
	return p.lastLeaderAddr
}

// newReport builds the next report.
func (p *Plane) newReport() *reportRequest {
	now := clock.Boot()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !now.Before(p.sharesValidUntil) {
		p.quotaAllocator.SetBounds(nil)
	}
	batch := p.nextTrialBatch()
	q := &reportRequest{
		Replica:          p.replica.Self(),
		Domain:           p.cfg.Quorum.Domain,
		Region:           p.cfg.Quorum.Region,
		Upstreams:        p.heartbeats.take(now),
		InstancesVersion: p.instancesVersion,
		Incarnation:      p.incarnation,
		Demands:          p.quotaAllocator.Demands(now),
		Trials:           mergeTrials(batch.trials, p.runningRequests),
		Batch:            batch.no,
		Loads:            p.allocators.loads(),
		LoansVersion:     p.loansVersion,
	}
	revision := p.machine.View().Revision()
	q.Revision = &revision
	for id, b := range p.localEntries {
		age := now.Sub(b.lastHeartbeat)
		if age > instanceTTL {
			delete(p.localEntries, id)
			continue
		}
		q.Entries = append(q.Entries, reportedEntry{b.entry, b.sharesElsewhere, corianderwing.Millis(age.Milliseconds())})
	}
	slices.SortFunc(q.Entries, func(a, b reportedEntry) int { return compare(a.ID, b.ID) })
	return q
}

// restoreReport keeps for the next report what a failed one held: upstreams whose
// heartbeats the leader does not learn of would be removed.
func (p *Plane) restoreReport(q *reportRequest, sentAt time.Time) {
	for _, no := range q.Upstreams {
		p.heartbeats.record(no, sentAt)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trials = mergeTrials(p.trials, p.runningRequests)
}

// errNoLeaderKnown is returned for a report that was not sent.
var errNoLeaderKnown = errors.New("no leader is known")

func compare[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// applyReportResponse applies the leader's response to a report sent at sentAt.
func (p *Plane) applyReportResponse(sentAt time.Time, r *reportResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.moveShares, p.sentTrials.answered = r.MoveShares, true
	p.coldLeases.renew(r.ColdLeases, sentAt)
	if r.LoansVersion != p.loansVersion {
		p.loansVersion, p.loans = r.LoansVersion, r.Loans
		p.borrowed = borrowedByDomain(p.loans, p.loansVersion, p.borrowed)
		p.logLoans()
	}
	if sentAt.After(p.confirmedAt) {
		p.confirmedAt, p.confirmedRevision = sentAt, r.Revision
		p.freshness = p.freshness.Confirm(fresh.Confirmation{Revision: r.Revision, At: sentAt}, p.machine.View().Revision())
	}
	if r.InstancesVersion != p.instancesVersion {
		p.instancesVersion, p.entries, p.controls = r.InstancesVersion, r.Entries, r.Controls
	}
	if until := corianderwing.HolderDeadline(sentAt, quota.LeaseDuration); until.After(p.sharesValidUntil) {
		p.sharesValidUntil = until
		bounds := make(map[corianderwing.WorkspaceID]int, len(r.Shares))
		for _, s := range r.Shares {
			bounds[s.Workspace] = s.Tokens
		}
		p.quotaAllocator.SetBounds(bounds)
	}
}

// handleReport handles a report at the leader. It responds only after a
// majority has confirmed, after the call began, that this instance is the
// leader.
func (p *Plane) handleReport(ctx context.Context, q *reportRequest) (*reportResponse, error) {
	term, ok := p.replica.IsLeader()
	if !ok {
		return nil, corianderwing.Errorf(corianderwing.NoLeader, "%s is not the leader", p.replica.Self())
	}
	p.replica.SetLocation(q.Replica, q.Domain, q.Region)
	arrived := clock.Boot()
	p.leaderState.recordReport(term, q, arrived)
	p.usage.merge(q.Usage, time.Now(), arrived)
	index, err := p.confirmer.wait(ctx)
	if err != nil {
		return nil, err
	}
	if err := p.waitApplied(ctx, index); err != nil {
		return nil, err
	}
	view := p.machine.View()
	reply := &reportResponse{
		Revision:   view.Revision(),
		Shares:     p.leaderState.allocateShares(term, q, arrived, view, clock.Boot()),
		MoveShares: p.leaderState.recordTrials(term, q, view, time.Now()),
	}
	if p.cfg.UsageWindow > 0 {
		reply.Incarnation = p.usage.incarnation
	}
	reply.ColdLeases = p.leaderState.renewColdLeases(term, q, clock.Boot())
	reply.LoansVersion, reply.Loans = p.leaderState.planLoans(term, view, clock.Boot())
	if reply.LoansVersion == q.LoansVersion {
		reply.Loans = nil
	}
	reply.InstancesVersion, reply.Entries, reply.Controls = p.leaderState.liveInstances(term, clock.Boot())
	if reply.InstancesVersion == q.InstancesVersion {
		reply.Entries, reply.Controls = nil, nil
	}
	return reply, nil
}

// waitApplied waits until this instance has applied the log entry at an index.
func (p *Plane) waitApplied(ctx context.Context, i corianderwing.Index) error {
	for {
		changed := p.machine.Changed()
		if p.machine.Applied() >= i || p.replica.Status().Applied >= i {
			return nil
		}
		select {
		case <-changed:
		case <-time.After(appliedPollInterval):
		case <-ctx.Done():
			return corianderwing.Errorf(corianderwing.NoQuorum, "log entry %d is not applied yet", i)
		}
	}
}

// appliedPollInterval is the interval at which waitApplied polls the replica:
// log entries without a command do not signal a change of the state machine.
const appliedPollInterval = 5 * time.Millisecond
