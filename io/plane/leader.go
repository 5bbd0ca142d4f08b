package plane

import (
	"slices"
	"sync"
	"time"

	"corianderwing"
	"corianderwing/core/fresh"
	"corianderwing/core/lease"
	"corianderwing/core/model"
	"corianderwing/core/quota"
	"corianderwing/core/steer"
	"corianderwing/io/clock"
	"corianderwing/io/quorum"
)

// leaderState is the state that the leader collects from other instances. It is
// reset with each term.
type leaderState struct {
	heartbeatInterval time.Duration

	mu               sync.Mutex
	startedAt        time.Time // when this instance started
	term             corianderwing.Term
	termStart        time.Time
	observedSince    time.Time
	lastExpiryCheck  time.Time // time of the last check for expired upstreams
	entries          map[corianderwing.InstanceID]entryRecord
	controls         map[corianderwing.InstanceID]controlRecord
	lastHeartbeats   map[uint32]time.Time // last heartbeat of each upstream, by number
	instancesVersion uint64
	entryList        []corianderwing.Instance // at instancesVersion
	controlList      []ControlInstance        // at instancesVersion

	rollouts       map[corianderwing.RequestID]*rollout // of the moves in progress
	loans          loanPlan
	coldLeases     *lease.Table
	quotaAllocator *quota.Allocator
	boundsRevision corianderwing.Revision // revision that the bounds of quotaAllocator are based on
	tolerance      RateTolerance
	inherits       bool                                   // quotaAllocator has the record of its predecessor
	holders        map[corianderwing.InstanceID]time.Time // when each entry instance was last heard of
	founded        bool                                   // the site was founded when this instance started
	knownLoans     func() []steer.UpstreamLoan            // loans assigned by an earlier leader
	logLifts       func([]steer.Lift)                     // called when loans begin or cease to change without a ramp; optional
	revision       func() corianderwing.Revision
	quotaRecord    func() *quota.Record                          // committed; nil if there never was one
	rolloutRecord  func(corianderwing.Move) *model.RolloutRecord // committed; nil if there is none
	members        func() []string                               // peer addresses of the group
	regionOf       func(corianderwing.DomainID) corianderwing.RegionID
}

// controlRecord is a control instance that sends reports.
type controlRecord struct {
	instance    ControlInstance
	firstReport time.Time
	lastReport  time.Time
	freshness   fresh.Tracker // of its state, as far as it reported
}

// maxStateAge is the age of its state above which a control instance is left out of the
// list, like a lost one: entry instances leave it too, and all of them must agree which
// one allocates the slots of its failure domain.
const maxStateAge = 1500 * time.Millisecond

// lags reports whether the state of the control instance is too old.
func (c *controlRecord) lags(now time.Time) bool {
	newest := c.firstReport
	if reached, ok := c.freshness.Latest(); ok && reached.At.After(newest) {
		newest = reached.At
	}
	return now.Sub(newest) > maxStateAge
}

// record records a report while the leader's state has the given revision.
func (c *controlRecord) record(q *reportRequest, newest corianderwing.Revision, now time.Time) {
	if c.firstReport.IsZero() {
		c.firstReport = now
	}
	have := newest
	if q.Revision != nil {
		have = *q.Revision
	}
	c.lastReport = now
	c.freshness = c.freshness.Confirm(fresh.Confirmation{Revision: newest, At: now}, have)
}

func newLeaderState(heartbeatInterval time.Duration) *leaderState {
	return &leaderState{heartbeatInterval: heartbeatInterval, startedAt: clock.Boot()}
}

// ensureTerm resets the state if a new term has begun. The caller must hold
// l.mu.
func (l *leaderState) ensureTerm(term corianderwing.Term, now time.Time) {
	if l.entries != nil && l.term == term {
		return
	}
	l.term, l.termStart, l.observedSince = term, now, now
	l.entries = map[corianderwing.InstanceID]entryRecord{}
	l.controls = map[corianderwing.InstanceID]controlRecord{}
	l.lastHeartbeats = map[uint32]time.Time{}
	// Shares and leases of an earlier leader may still be valid. A replica that has just
	// started may not have applied its log, so an empty state does not show that there
	// were none.
	l.quotaAllocator, l.inherits = quota.NewAllocator(l.tolerance.Window, now.Add(quota.GracePeriod(l.tolerance.Window))), false
	l.holders = map[corianderwing.InstanceID]time.Time{}
	l.coldLeases = lease.NewTable(now.Add(lease.GracePeriod()))
	l.boundsRevision = 0
	l.loans = loanPlan{planner: steer.New(), loads: map[reportKey]domainReport{}}
	l.rollouts = map[corianderwing.RequestID]*rollout{}
}

// recordReport records a report from a control instance.
func (l *leaderState) recordReport(term corianderwing.Term, q *reportRequest, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureTerm(term, now)
	c := l.controls[q.Replica]
	c.instance = ControlInstance{quorum.AddrOf(q.Replica), q.Domain, q.Region}
	c.record(q, l.revision(), now)
	l.controls[q.Replica] = c
	for _, d := range q.Loads {
		l.loans.loads[reportKey{q.Replica, d.Domain}] = domainReport{l.regionOf(d.Domain), d.Loads, now}
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

// liveInstances returns the live entry instances, the live control instances whose
// state is not too old, and the version of
// both lists.
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
		if !c.lags(now) {
			controls = append(controls, c.instance)
		}
	}
	slices.SortFunc(controls, func(a, b ControlInstance) int { return compare(a.PeerAddr, b.PeerAddr) })
	if l.instancesVersion == 0 || !slices.EqualFunc(entries, l.entryList, sameInstance) || !slices.Equal(controls, l.controlList) {
		l.entryList, l.controlList = entries, controls
		// Versions of different leaders must differ, so they contain the term.
		l.instancesVersion = uint64(term)<<32 | (l.instancesVersion+1)&(1<<32-1)
	}
	return l.instancesVersion, l.entryList, l.controlList
}

// sameInstance reports whether two states of an instance are equivalent to
// other instances.
func sameInstance(a, b corianderwing.Instance) bool {
	return a.ID == b.ID && a.Incarnation == b.Incarnation && a.Phase == b.Phase && a.PublicAddr == b.PublicAddr && a.PeerAddr == b.PeerAddr
}
