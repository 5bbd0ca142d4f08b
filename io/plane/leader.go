package plane

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/quota"
	"corianderwing/core/shift"
	"corianderwing/core/steer"
	"corianderwing/io/clock"
	"corianderwing/io/quorum"
)

// leaderState is what the leader knows of others. It begins anew with each term.
type leaderState struct {
	heartbeatInterval time.Duration

	mu               sync.Mutex
	startedAt        time.Time // this instance
	term             corianderwing.Term
	observedSince    time.Time
	lastExpiryCheck  time.Time // when silent upstreams were looked for
	entries          map[corianderwing.InstanceID]entryRecord
	controls         map[corianderwing.InstanceID]controlRecord
	lastHeartbeats   map[uint32]time.Time // last heartbeat of an upstream
	instancesVersion uint64
	entryList        []corianderwing.Instance // of version
	controlList      []ControlInstance        // of version

	rollouts       rollouts
	loans          loanPlan
	quotaAllocator *quota.Allocator
	boundsRevision corianderwing.Revision // of the divider's bounds
	tolerance      RateTolerance
	knownLoans     func() []steer.UpstreamLoan // of an earlier leader
	revision       func() corianderwing.Revision
	regionOf       func(corianderwing.DomainID) corianderwing.RegionID
}

// controlRecord is a control instance that sends pulses.
type controlRecord struct {
	instance   ControlInstance
	lastReport time.Time
}

func newLeaderState(heartbeatInterval time.Duration) *leaderState {
	return &leaderState{heartbeatInterval: heartbeatInterval, startedAt: clock.Boot()}
}

// ensureTerm starts a new term. The lock is held.
func (l *leaderState) ensureTerm(term corianderwing.Term, now time.Time) {
	if l.entries != nil && l.term == term {
		return
	}
	l.term, l.observedSince = term, now
	l.entries = map[corianderwing.InstanceID]entryRecord{}
	l.controls = map[corianderwing.InstanceID]controlRecord{}
	l.lastHeartbeats = map[uint32]time.Time{}
	graceEnd := time.Time{}
	if l.revision() > 0 {
		// An earlier leader may have handed out shares until now.
		graceEnd = now.Add(quota.GracePeriod(l.tolerance.Window))
	}
	l.quotaAllocator = quota.NewAllocator(l.tolerance.Window, graceEnd)
	l.boundsRevision = 0
	l.loans = loanPlan{planner: steer.New(), loads: map[corianderwing.DomainID]domainReport{}}
	l.rollouts = rollouts{
		byMove:  map[corianderwing.RequestID]*shift.Rollout{},
		running: map[corianderwing.RequestID]map[string]int{},
	}
}

// RateTolerance is what a bound on the requests of a workspace allows beyond its rate
// and burst: in any time of Window, a part Over of both and Slack requests.
type RateTolerance struct {
	Window   time.Duration
	Fraction float64
	Requests float64
}

// boundFraction is the part of a bound that is handed out. The rest covers clocks
// that run apart.
const boundFraction = 0.97

// bound returns the most requests of a workspace in any time of Window.
func (x RateTolerance) bound(t *corianderwing.WorkspacePolicy) int {
	w := x.Window.Seconds()
	return int(boundFraction * ((float64(t.Rate)*w+float64(t.Burst))*(1+x.Fraction) + x.Requests))
}

// allocateShares returns a control instance's shares of the bounds of workspaces.
func (l *leaderState) allocateShares(term corianderwing.Term, q *reportRequest, v *model.View, now time.Time) []quota.Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureTerm(term, now)
	if l.boundsRevision != v.Revision() {
		l.boundsRevision = v.Revision()
		bounds := map[corianderwing.WorkspaceID]int{}
		v.Items().Tenures(func(t *corianderwing.WorkspacePolicy) {
			if t.Rate > 0 {
				bounds[t.Name] = l.tolerance.bound(t)
			}
		})
		l.quotaAllocator.SetBounds(bounds)
	}
	return l.quotaAllocator.Allocate(string(q.Replica)+"/"+strconv.FormatUint(uint64(q.Incarnation), 36), q.Demands, now)
}

// recordReport notes what a control instance reports.
func (l *leaderState) recordReport(term corianderwing.Term, q *reportRequest, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureTerm(term, now)
	l.controls[q.Replica] = controlRecord{ControlInstance{quorum.AddrOf(q.Replica), q.Domain, q.Region}, now}
	for _, d := range q.Loads {
		l.loans.loads[d.Domain] = domainReport{l.regionOf(d.Domain), d.Loads, now}
	}
	for _, no := range q.Upstreams {
		l.lastHeartbeats[no] = now
	}
	for _, e := range q.Entries {
		at := now.Add(-time.Duration(e.Age) * time.Millisecond)
		if old, ok := l.entries[e.ID]; !ok || at.After(old.lastHeartbeat) {
			l.entries[e.ID] = entryRecord{entry: e.Instance, lastHeartbeat: at}
		}
	}
}

// liveInstances returns the live entry and control instances and the version of both
// lists.
func (l *leaderState) liveInstances(term corianderwing.Term, now time.Time) (uint64, []corianderwing.Instance, []ControlInstance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureTerm(term, now)
	var entries []corianderwing.Instance
	for id, b := range l.entries {
		if now.Sub(b.lastHeartbeat) > instanceTTL {
			delete(l.entries, id)
			continue
		}
		entries = append(entries, b.entry)
	}
	slices.SortFunc(entries, func(a, b corianderwing.Instance) int { return compare(a.ID, b.ID) })
	var controls []ControlInstance
	for id, c := range l.controls {
		if now.Sub(c.lastReport) > instanceTTL {
			delete(l.controls, id)
			continue
		}
		controls = append(controls, c.instance)
	}
	slices.SortFunc(controls, func(a, b ControlInstance) int { return compare(a.PeerAddr, b.PeerAddr) })
	if l.instancesVersion == 0 || !slices.EqualFunc(entries, l.entryList, sameInstance) || !slices.Equal(controls, l.controlList) {
		l.entryList, l.controlList = entries, controls
		// Versions of different leaders must not be equal.
		l.instancesVersion = uint64(term)<<32 | (l.instancesVersion+1)&(1<<32-1)
	}
	return l.instancesVersion, l.entryList, l.controlList
}

// sameInstance reports whether two states of an instance mean the same to others.
func sameInstance(a, b corianderwing.Instance) bool {
	return a.ID == b.ID && a.Incarnation == b.Incarnation && a.Phase == b.Phase && a.PublicAddr == b.PublicAddr && a.PeerAddr == b.PeerAddr
}

// expiredUpstreams returns the upstreams of a view that sent no heartbeat for long. It
// returns none before the leader has led for as long.
func (l *leaderState) expiredUpstreams(term corianderwing.Term, v *model.View, now time.Time) []model.Left {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureTerm(term, now)
	timeout := time.Duration(maxMissedHeartbeats) * l.heartbeatInterval
	if now.Sub(l.lastExpiryCheck) > timeout/2 {
		// This instance stood still, and so did the pulses to it.
		l.observedSince = now
		clear(l.lastHeartbeats)
	}
	l.lastExpiryCheck = now
	if now.Sub(l.observedSince) < timeout {
		return nil
	}
	var expired []model.Left
	for _, list := range v.Pools() {
		for _, u := range list {
			at, ok := l.lastHeartbeats[u.No]
			if !ok {
				l.lastHeartbeats[u.No] = now // watched from now on
				continue
			}
			if now.Sub(at) >= timeout {
				expired = append(expired, model.Left{ID: u.ID, Incarnation: u.Incarnation})
			}
		}
	}
	return expired
}

// maxMissedHeartbeats is the number of heartbeat intervals after which a silent
// upstream is removed. Entry instances notice a dead one sooner by themselves.
const maxMissedHeartbeats = 5

// expireLoop removes upstreams that have been silent for long, while this
// instance leads.
func (p *Plane) expireLoop() {
	for clock.Sleep(p.ctx, p.cfg.HeartbeatInterval/2) {
		term, ok := p.replica.Leads()
		if !ok {
			continue
		}
		expired := p.leaderState.expiredUpstreams(term, p.machine.View(), clock.Boot())
		if len(expired) == 0 {
			continue
		}
		ctx, cancel := context.WithTimeout(p.ctx, batchTimeout)
		err := p.propose(ctx, &model.Command{Expire: expired})
		cancel()
		for _, l := range expired {
			p.log.Info().Str("upstream", string(l.ID)).Int("beats", maxMissedHeartbeats).Err(err).Msg("silent upstream removed")
		}
	}
}
