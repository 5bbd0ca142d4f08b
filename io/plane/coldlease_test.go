package plane

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/lease"
	"corianderwing/core/model"
	"corianderwing/io/alloc"
	"corianderwing/io/clock"
)

// Guards against a cold upstream that is flooded because two control instances grant
// its slots at the same time, each as if it were the only one.
func TestColdUpstreamIsGrantedByLeaseHolder(t *testing.T) {
	is := is.New(t)
	p, _, _ := openSingle(t)
	is.NoErr(p.Edit(t.Context(), corianderwing.Edit{
		Pools: []corianderwing.Pool{{Name: "files", Version: 1, MaxConns: 100, Protocol: "h1", Warmup: 3000, WarmupRate: 20}},
	}))
	for d, addr := range map[corianderwing.DomainID]string{"a": "127.0.0.1:80", "b": "127.0.0.2:80"} {
		is.NoErr(p.propose(t.Context(), &model.Command{Announce: []model.Announcement{{
			Upstream: corianderwing.Upstream{
				ID: corianderwing.UpstreamID("i-" + d), Incarnation: 1, Pool: "files", Version: "v1", Domain: d,
				Addr: addr, Slots: 4, Phase: corianderwing.Ready,
			},
			WarmupRemaining: 60_000,
		}}}))
	}
	granted := func(d corianderwing.DomainID) bool {
		a, err := p.acquire(t.Context(), &AcquireRequest{Domain: d, Pool: "files", Class: "r-1", Goal: 200, Timeout: 2000, NoForward: true})
		is.NoErr(err)
		return a.Upstream != "" && a.ColdStart
	}
	deadline := time.Now().Add(time.Minute)
	for !granted("a") {
		is.True(time.Now().Before(deadline))
	}
	term, ok := p.replica.IsLeader()
	is.True(ok)
	another := &reportRequest{Replica: "127.0.0.1:1", Loads: []domainLoads{{"b", []alloc.PoolLoad{{Pool: "files", ArrivalRate: 100}}}}}
	lasting := clock.Boot().Add(time.Hour) // the lease of the other instance does not lapse during the test
	for len(p.leaderState.renewColdLeases(term, another, lasting)) == 0 {
		is.True(time.Now().Before(deadline))
	}
	for range 5 {
		is.True(!granted("b"))
	}
}

// newTestLeaderState returns the state of a leader whose replica has a revision.
func newTestLeaderState(r corianderwing.Revision) *leaderState {
	l := newLeaderState(time.Minute)
	l.revision = func() corianderwing.Revision { return r }
	l.tolerance = RateTolerance{Window: 5 * time.Second}
	return l
}

// claimBy returns a report of an incarnation of a control instance that allocates the
// slots of failure domain "b".
func claimBy(addr string, i corianderwing.Incarnation) *reportRequest {
	return &reportRequest{Replica: corianderwing.InstanceID(addr), Incarnation: i, Loads: []domainLoads{{Domain: "b"}}}
}

// Guards against two allocators of a cold upstream after an election: the lease that the
// last leader gave to one of them is still valid.
func TestColdLeaseWaitsAfterElection(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := newTestLeaderState(7)
	given := func(term corianderwing.Term, addr string) bool {
		return len(l.renewColdLeases(term, claimBy(addr, 1), now)) > 0
	}
	for term := corianderwing.Term(1); term <= 3; term++ { // also if this instance was the last leader
		elected := now
		is.True(!given(term, "10.0.0.1:1"))
		now = elected.Add(lease.GracePeriod() - time.Millisecond)
		is.True(!given(term, "10.0.0.1:1"))
		now = elected.Add(lease.GracePeriod())
		is.True(given(term, "10.0.0.1:1"))
		is.True(!given(term, "10.0.0.2:1"))
	}
}

// Guards against two allocators of a cold upstream: a control instance that has started
// again does not know that its earlier process holds the lease, and has given away some of
// the requests of this second. The allocator that was started again must wait.
func TestColdLeaseOfRestartedControl(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := newTestLeaderState(7)
	l.ensureTerm(1, now)
	now = now.Add(lease.GracePeriod())
	is.Equal(l.renewColdLeases(1, claimBy("10.0.0.1:1", 1), now), []corianderwing.DomainID{"b"})
	is.Equal(len(l.renewColdLeases(1, claimBy("10.0.0.1:1", 2), now)), 0)
}

// Guards against two allocators of a cold upstream after the leader has started again: it
// is elected before it has applied its log, and takes the empty state for a new site.
func TestColdLeaseWaitsWhileStateIsEmpty(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := newTestLeaderState(0)
	l.regionOf = func(corianderwing.DomainID) corianderwing.RegionID { return "r" }
	q := claimBy("10.0.0.1:1", 1)
	l.recordReport(4, q, now)
	l.revision = func() corianderwing.Revision { return 7 }
	is.Equal(len(l.renewColdLeases(4, q, now)), 0)
}

// Guards against a lease on cold upstreams that its holder uses past its end, because the
// response came late or after a later one.
func TestColdLeaseEndsByReportTime(t *testing.T) {
	is := is.New(t)
	p, _, _ := openSingle(t)
	respond := func(sentAt time.Time) time.Time {
		p.applyReportResponse(sentAt, &reportResponse{ColdLeases: []corianderwing.DomainID{"b"}})
		return p.syncParams("b").ColdUntil
	}
	sent := clock.Boot().Add(-time.Second)
	end := corianderwing.HolderDeadline(sent, lease.Duration)
	is.Equal(respond(sent), end)
	is.Equal(respond(sent.Add(-time.Second)), end)
	is.True(p.syncParams("c").ColdUntil.IsZero())
}
