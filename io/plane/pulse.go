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
	// pulseEvery is the interval at which control instances report to the
	// leader. It adds to the age of what entry instances are told.
	pulseEvery = 400 * time.Millisecond
	// firstPulse is the interval while this instance has no valid shares of
	// bounds, or requests have just begun: entry instances refuse some meanwhile.
	firstPulse = 100 * time.Millisecond
	// pulseTimeout bounds one report: a round of the leader and the way there
	// and back.
	pulseTimeout = 900 * time.Millisecond
	// entryFor is how long an entry instance counts as live after its last
	// beat.
	entryFor = 1800 * time.Millisecond
)

// seen collects the upstreams that sent heartbeats since the last pulse.
type seen struct {
	mu      sync.Mutex
	numbers map[uint32]struct{}
	seqs    map[corianderwing.UpstreamID]lastSeq
}

// lastSeq is the latest heartbeat of one life of an upstream.
type lastSeq struct {
	incarnation corianderwing.Incarnation
	seq         uint64
}

func newSeen() *seen {
	return &seen{numbers: map[uint32]struct{}{}, seqs: map[corianderwing.UpstreamID]lastSeq{}}
}

// late reports whether a heartbeat was overtaken by a later one of the same
// life, and remembers it otherwise.
func (s *seen) late(h *corianderwing.Heartbeat) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.seqs[h.ID]
	if ok && last.incarnation == h.Incarnation && h.Seq < last.seq {
		return true
	}
	s.seqs[h.ID] = lastSeq{h.Incarnation, h.Seq}
	return false
}

func (s *seen) add(no uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.numbers[no] = struct{}{}
}

// take returns the upstreams seen since the last call.
func (s *seen) take() []uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]uint32, 0, len(s.numbers))
	for no := range s.numbers {
		list = append(list, no)
	}
	clear(s.numbers)
	slices.Sort(list)
	return list
}

// keepPulse reports to the leader.
func (p *Plane) keepPulse() {
	var first onset
	for {
		every := pulseEvery
		begins := first.update(p.desks.busy(), clock.Boot())
		switch {
		case !p.sharing() || begins:
			every = firstPulse
		case moving(p.machine.View()):
			every = movePulse
		}
		if !clock.Sleep(p.ctx, every) {
			return
		}
		asked := clock.Boot()
		ctx, cancel := context.WithTimeout(p.ctx, pulseTimeout)
		reply, err := p.pulse(ctx)
		cancel()
		if err != nil {
			p.log.Debug().Err(err).Msg("no leader confirmed the state")
			continue
		}
		p.confirmed(asked, reply)
	}
}

// beginFor is for how long after the first requests this instance reports more
// often: nothing was lent yet, and a failure domain with few upstreams would
// refuse requests until it hears of slots elsewhere.
const beginFor = 2 * time.Second

// onset tells whether requests have begun to arrive a moment ago. Its zero value
// knows of none.
type onset struct{ at time.Time }

// update takes over whether requests arrive now.
func (o *onset) update(busy bool, now time.Time) (recent bool) {
	switch {
	case !busy:
		o.at = time.Time{}
	case o.at.IsZero():
		o.at = now
	}
	return busy && now.Sub(o.at) < beginFor
}

// sharing reports whether this instance has valid shares of bounds to give.
func (p *Plane) sharing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return clock.Boot().Before(p.until)
}

// pulse sends one report.
func (p *Plane) pulse(ctx context.Context) (*pulseReply, error) {
	q := p.report()
	addr := p.leader()
	switch addr {
	case "":
		return nil, errors.New("no leader is known")
	case p.cfg.Quorum.PeerAddr:
		return p.pulsed(ctx, q)
	}
	return peer.Call(ctx, p.peer, addr, pulseMethod, q)
}

// leader returns the address of the leader, or of the last one that was known: a
// replica that has not joined the group yet hears no heartbeats, but the leader
// may answer it.
func (p *Plane) leader() string {
	addr := p.replica.LeaderAddr()
	p.mu.Lock()
	defer p.mu.Unlock()
	if addr != "" {
		p.lastLeader = addr
	}
	return p.lastLeader
}

// report returns the next pulse.
func (p *Plane) report() *pulse {
	now := clock.Boot()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !now.Before(p.until) {
		p.divider.SetBounds(nil)
	}
	q := &pulse{
		Replica:   p.replica.Self(),
		Domain:    p.cfg.Quorum.Domain,
		Region:    p.cfg.Quorum.Region,
		Seen:      p.seen.take(),
		Known:     p.version,
		Life:      p.life,
		Needs:     p.divider.Demands(now),
		Trials:    merge(p.trials, p.runningOf),
		Loads:     p.desks.loads(),
		KnownLots: p.lotsVersion,
	}
	p.trials = nil
	for id, b := range p.beats {
		age := now.Sub(b.at)
		if age > entryFor {
			delete(p.beats, id)
			continue
		}
		q.Entries = append(q.Entries, reported{b.entry, corianderwing.Millis(age.Milliseconds())})
	}
	slices.SortFunc(q.Entries, func(a, b reported) int { return compare(a.ID, b.ID) })
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

// confirmed takes over the leader's answer to a pulse that was sent at asked.
func (p *Plane) confirmed(asked time.Time, r *pulseReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shares = r.Moves
	if r.LotsVersion != p.lotsVersion {
		p.lotsVersion, p.lots = r.LotsVersion, r.Lots
		p.logLots()
	}
	if asked.After(p.confirm) {
		p.confirm, p.revision = asked, r.Revision
	}
	if r.Version != p.version {
		p.version, p.entries, p.controls = r.Version, r.Entries, r.Controls
	}
	if until := corianderwing.HolderDeadline(asked, quota.LeaseDuration); until.After(p.until) {
		p.until = until
		bounds := make(map[corianderwing.WorkspaceID]int, len(r.Shares))
		for _, s := range r.Shares {
			bounds[s.Workspace] = s.Tokens
		}
		p.divider.SetBounds(bounds)
	}
}

// pulsed takes a pulse at the leader. It answers once a majority has confirmed
// after the call that this instance leads.
func (p *Plane) pulsed(ctx context.Context, q *pulse) (*pulseReply, error) {
	term, ok := p.replica.IsLeader()
	if !ok {
		return nil, corianderwing.Errorf(corianderwing.NoLeader, "%s does not lead", p.replica.Self())
	}
	p.replica.SetLocation(q.Replica, q.Domain, q.Region)
	p.lead.take(term, q, clock.Boot())
	index, err := p.rounds.wait(ctx)
	if err != nil {
		return nil, err
	}
	if err := p.applied(ctx, index); err != nil {
		return nil, err
	}
	view := p.machine.View()
	reply := &pulseReply{
		Revision: view.Revision(),
		Shares:   p.lead.divide(term, q, view, clock.Boot()),
		Moves:    p.lead.observe(term, string(q.Replica), q.Trials, view, time.Now()),
	}
	reply.LotsVersion, reply.Lots = p.lead.lend(term, view, clock.Boot())
	if reply.LotsVersion == q.KnownLots {
		reply.Lots = nil
	}
	reply.Version, reply.Entries, reply.Controls = p.lead.live(term, clock.Boot())
	if reply.Version == q.Known {
		reply.Entries, reply.Controls = nil, nil
	}
	return reply, nil
}

// applied waits until the machine of this instance has applied an index.
func (p *Plane) applied(ctx context.Context, i corianderwing.Index) error {
	for {
		changed := p.machine.Changed()
		if p.machine.Applied() >= i || p.replica.Status().Applied >= i {
			return nil
		}
		select {
		case <-changed:
		case <-time.After(appliedPoll):
		case <-ctx.Done():
			return corianderwing.Errorf(corianderwing.NoQuorum, "entry %d is not applied yet", i)
		}
	}
}

// appliedPoll is the interval at which a waiting read looks at the replica:
// entries that are no commands do not show at the machine.
const appliedPoll = 5 * time.Millisecond
