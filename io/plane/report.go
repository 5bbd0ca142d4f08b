package plane

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"corianderwing"
	"corianderwing/core/quota"
	"corianderwing/io/clock"
	"corianderwing/io/peer"
)

const (
	// reportInterval is the interval at which control instances report to the
	// leader. It adds to the age of what entry instances are told.
	reportInterval = 400 * time.Millisecond
	// fastReportInterval is the interval while this instance has no valid shares of
	// bounds, or requests have just begun: entry instances refuse some meanwhile.
	fastReportInterval = 100 * time.Millisecond
	// reportTimeout bounds one report: a round of the leader and the way there
	// and back.
	reportTimeout = 900 * time.Millisecond
	// instanceTTL is how long an entry instance counts as live after its last
	// beat.
	instanceTTL = 1800 * time.Millisecond
)

// heartbeatTracker collects the upstreams that sent heartbeats since the last pulse.
type heartbeatTracker struct {
	mu        sync.Mutex
	upstreams map[uint32]struct{}
	lastSeqs  map[corianderwing.UpstreamID]lastSeq
}

// lastSeq is the latest heartbeat of one life of an upstream.
type lastSeq struct {
	incarnation corianderwing.Incarnation
	seq         uint64
}

func newHeartbeatTracker() *heartbeatTracker {
	return &heartbeatTracker{upstreams: map[uint32]struct{}{}, lastSeqs: map[corianderwing.UpstreamID]lastSeq{}}
}

// outdated reports whether a heartbeat was overtaken by a later one of the same
// life, and remembers it otherwise.
func (s *heartbeatTracker) outdated(h *corianderwing.Heartbeat) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.lastSeqs[h.ID]
	if ok && last.incarnation == h.Incarnation && h.Seq < last.seq {
		return true
	}
	s.lastSeqs[h.ID] = lastSeq{h.Incarnation, h.Seq}
	return false
}

func (s *heartbeatTracker) record(no uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreams[no] = struct{}{}
}

// take returns the upstreams seen since the last call.
func (s *heartbeatTracker) take() []uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]uint32, 0, len(s.upstreams))
	for no := range s.upstreams {
		list = append(list, no)
	}
	clear(s.upstreams)
	slices.Sort(list)
	return list
}

// reportLoop reports to the leader.
func (p *Plane) reportLoop() {
	var arrivals onset
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
		sentAt := clock.Boot()
		ctx, cancel := context.WithTimeout(p.ctx, reportTimeout)
		reply, err := p.sendReport(ctx)
		cancel()
		if err != nil {
			p.log.Debug().Err(err).Msg("no leader confirmed the state")
			continue
		}
		p.applyReportResponse(sentAt, reply)
	}
}

// onsetDuration is for how long after the first requests this instance reports more
// often: nothing was lent yet, and a failure domain with few upstreams would
// refuse requests until it hears of slots elsewhere.
const onsetDuration = 2 * time.Second

// onset tells whether requests have begun to arrive a moment ago. Its zero value
// knows of none.
type onset struct{ since time.Time }

// update takes over whether requests arrive now.
func (o *onset) update(busy bool, now time.Time) (recent bool) {
	switch {
	case !busy:
		o.since = time.Time{}
	case o.since.IsZero():
		o.since = now
	}
	return busy && now.Sub(o.since) < onsetDuration
}

// hasValidShares reports whether this instance has valid shares of bounds to give.
func (p *Plane) hasValidShares() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return clock.Boot().Before(p.sharesValidUntil)
}

// sendReport sends one report.
func (p *Plane) sendReport(ctx context.Context) (*reportResponse, error) {
	q := p.newReport()
	addr := p.leaderAddr()
	switch addr {
	case "":
		return nil, errors.New("no leader is known")
	case p.cfg.Quorum.Addr:
		return p.handleReport(ctx, q)
	}
	return peer.Call(ctx, p.peer, addr, reportMethod, q)
}

// leaderAddr returns the address of the leader, or of the last one that was known: a
// replica that has not joined the group yet hears no heartbeats, but the leader
// may answer it.
func (p *Plane) leaderAddr() string {
	addr := p.replica.Leader()
	p.mu.Lock()
	defer p.mu.Unlock()
	if addr != "" {
		p.lastLeaderAddr = addr
	}
	return p.lastLeaderAddr
}

// newReport returns the next pulse.
func (p *Plane) newReport() *reportRequest {
	now := clock.Boot()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !now.Before(p.sharesValidUntil) {
		p.quotaAllocator.SetBounds(nil)
	}
	q := &reportRequest{
		Replica:          p.replica.Self(),
		Domain:           p.cfg.Quorum.Domain,
		Region:           p.cfg.Quorum.Region,
		Upstreams:        p.heartbeats.take(),
		InstancesVersion: p.instancesVersion,
		Incarnation:      p.incarnation,
		Demands:          p.quotaAllocator.Demands(now),
		Trials:           mergeTrials(p.trials, p.runningRequests),
		Loads:            p.allocators.loads(),
		LoansVersion:     p.loansVersion,
	}
	p.trials = nil
	for id, b := range p.localEntries {
		age := now.Sub(b.lastHeartbeat)
		if age > instanceTTL {
			delete(p.localEntries, id)
			continue
		}
		q.Entries = append(q.Entries, reportedEntry{b.entry, corianderwing.Millis(age.Milliseconds())})
	}
	slices.SortFunc(q.Entries, func(a, b reportedEntry) int { return compare(a.ID, b.ID) })
	return q
}

func compare[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// applyReportResponse takes over the leader's answer to a pulse that was sent at asked.
func (p *Plane) applyReportResponse(sentAt time.Time, r *reportResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.moveShares = r.MoveShares
	if r.LoansVersion != p.loansVersion {
		p.loansVersion, p.loans = r.LoansVersion, r.Loans
		p.logLoans()
	}
	if sentAt.After(p.confirmedAt) {
		p.confirmedAt, p.confirmedRevision = sentAt, r.Revision
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

// handleReport takes a pulse at the leader. It answers once a majority has confirmed
// after the call that this instance leads.
func (p *Plane) handleReport(ctx context.Context, q *reportRequest) (*reportResponse, error) {
	term, ok := p.replica.Leads()
	if !ok {
		return nil, corianderwing.Errorf(corianderwing.NoLeader, "%s does not lead", p.replica.Self())
	}
	p.replica.Note(q.Replica, q.Domain, q.Region)
	p.leaderState.recordReport(term, q, clock.Boot())
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
		Shares:     p.leaderState.allocateShares(term, q, view, clock.Boot()),
		MoveShares: p.leaderState.recordTrials(term, string(q.Replica), q.Trials, view, time.Now()),
	}
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

// waitApplied waits until the machine of this instance has applied an index.
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
			return corianderwing.Errorf(corianderwing.NoQuorum, "entry %d is not applied yet", i)
		}
	}
}

// appliedPollInterval is the interval at which a waiting read looks at the replica:
// entries that are no commands do not show at the machine.
const appliedPollInterval = 5 * time.Millisecond
