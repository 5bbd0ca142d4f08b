package member

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/internal/runs"
)

func runFaults(seed uint64, disabled string) error {
	f := newFleet(seed, disabled)
	f.run(60*time.Second, true)
	return f.failure
}

// Guards against two simultaneous owners of a pool in a domain, under partitions
// between domains, frozen and isolated instances, instances that can only send
// or only receive, restarts, lost and late messages, and clock drift.
func TestNeverTwoOwners(t *testing.T) {
	if seed, err := runs.FirstFailure(1, 50, func(seed uint64) error { return runFaults(seed, "") }); err != nil {
		t.Fatalf("CORIANDER_SEED=%d: %v", seed, err)
	}
}

// Guards against a simulation that cannot detect two owners: it must fail with
// each mechanism disabled.
func TestOwnershipNeedsEachMechanism(t *testing.T) {
	for disabled, first := range map[string]uint64{"echo": 1, "wait until eligible": 1, "echo of local peers": 1} {
		t.Run(disabled, func(t *testing.T) {
			seed, err := runs.FirstFailure(first, 500, func(seed uint64) error { return runFaults(seed, disabled) })
			t.Logf("without %q seed %d: %v", disabled, seed, err)
			is.New(t).True(err != nil)
		})
	}
}

// Guards against pools without an owner while there are no faults, and against
// an owner that stops because another instance of its domain failed.
func TestPoolsKeepTheirOwner(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, "")
	f.lossPercent = 0
	f.run(6*time.Second, false)
	f.ownedSteps = make(map[poolDomain]int)
	from := f.now
	f.run(30*time.Second, false)
	is.NoErr(f.failure)
	for _, p := range testPools {
		is.Equal(f.ownedSteps[poolDomain{p, "d0"}], int((f.now-from)/step))
	}

	pool := testPools[0]
	owner, ok := f.nodes[0].view.Owner(pool, "d0")
	is.True(ok)
	for _, n := range f.nodes {
		if n.id == owner.ID {
			n.frozenUntil = f.now + time.Hour
		}
	}
	lost := f.unowned("d0", 10*time.Second)
	is.NoErr(f.failure)
	for i, p := range testPools {
		t.Logf("pool %s had no owner for %v after %s froze", p, lost[i], owner.ID)
		is.True(lost[i] == 0 || lost[i] > 2*time.Second && lost[i] < 3500*time.Millisecond)
	}
	is.True(lost[0] > 0)
}

// Guards against a restart that leaves pools without an owner for as long as a
// crash does.
func TestRestartHandsPoolsOver(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, "")
	f.lossPercent = 0
	f.run(6*time.Second, false)
	for _, n := range f.nodes[:2] { // both of domain d0
		f.start(n)
		lost := f.unowned("d0", 10*time.Second)
		is.NoErr(f.failure)
		for i, p := range testPools {
			t.Logf("pool %s had no owner for %v while %s restarted", p, lost[i], n.id)
			is.True(lost[i] < 1500*time.Millisecond)
		}
	}
}

// Guards against allocations on the request path.
func TestOwnerDoesNotAllocate(t *testing.T) {
	f := newFleet(7, "")
	f.run(6*time.Second, false)
	v, now := f.nodes[0].view, f.nodes[0].localTime(f.now)
	is.New(t).Equal(testing.AllocsPerRun(100, func() { v.Owner("motif-catalogue", "d0"); v.Owns(now, "order-desk") }), 0.0)
}

// Guards against outdated records that bring back an instance or upstream that
// has left or expired, and against an earlier or later announcement that ends
// the draining of the same incarnation.
func TestLeftAndDrainAreFinal(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	self := corianderwing.Instance{ID: "a", Incarnation: 1, Domain: "d"}
	s := New(Config{Self: self}, now)
	up := corianderwing.Upstream{ID: "u", Incarnation: 1, Seq: 5, Pool: "p", Version: "v", Domain: "d", Addr: "127.0.0.1:1", Phase: corianderwing.Ready}
	live := func() int { return len(s.View(now).Upstreams("p", "d")) }

	is.NoErr(s.Announce(now, up))
	is.Equal(live(), 1)
	drain := up
	drain.Seq, drain.Phase = 6, corianderwing.Draining
	is.NoErr(s.Announce(now, drain))
	is.NoErr(s.Announce(now, up))
	up.Seq = 7
	is.NoErr(s.Announce(now, up))
	is.Equal(s.View(now).Upstreams("p", "d")[0].Phase, corianderwing.Draining)

	now = now.Add(3 * time.Second)
	s.Tick(now)
	is.Equal(live(), 0)
	s.Merge(now, Gossip{UpstreamRecords: []UpstreamRecord{{Upstream: up}}}) // the same announcement, late
	is.Equal(live(), 0)
	up.Incarnation, up.Seq = 2, 1
	s.Merge(now, Gossip{UpstreamRecords: []UpstreamRecord{{Upstream: up}}})
	is.Equal(live(), 1)
	up.Incarnation = 1
	is.Equal(corianderwing.CodeOf(s.Announce(now, up)), corianderwing.InvalidInput)

	other := corianderwing.Instance{ID: "b", Incarnation: 1, Seq: 9, Domain: "d", Phase: corianderwing.Left}
	s.Merge(now, Gossip{InstanceRecords: []InstanceRecord{{Instance: other}}})
	other.Seq, other.Phase = 8, corianderwing.Ready
	s.Merge(now, Gossip{InstanceRecords: []InstanceRecord{{Instance: other}}})
	is.Equal(len(s.View(now).Instances), 1)
}

// Guards against sending full records for announcements that change only the
// load, and against an upstream that expires because only its digest is sent.
func TestDigestRefreshesUpstreams(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	a := New(Config{Self: corianderwing.Instance{ID: "a", Incarnation: 1, Domain: "d"}}, now)
	b := New(Config{Self: corianderwing.Instance{ID: "b", Incarnation: 1, Domain: "d"}}, now)
	up := corianderwing.Upstream{ID: "u", Incarnation: 1, Pool: "p", Version: "v", Domain: "d", Addr: "127.0.0.1:1", Phase: corianderwing.Ready}
	for i := range 10 {
		up.Seq, up.Load = uint64(i+1), float64(i)
		is.NoErr(a.Announce(now, up))
		if i > 2 {
			is.Equal(len(a.StartExchange(now).UpstreamRecords), 0)
		}
		answer := a.HandleExchange(now, b.StartExchange(now))
		is.Equal(len(answer.UpstreamRecords) > 0, i == 0)
		b.Merge(now, answer)
		got := b.View(now).Upstreams("p", "d")
		is.Equal(len(got), 1)
		is.Equal(got[0].Load, up.Load)
		now = now.Add(time.Second)
	}
	up.Seq, up.Version = 20, "w"
	is.NoErr(a.Announce(now, up))
	b.Merge(now, a.HandleExchange(now, b.StartExchange(now)))
	is.Equal(b.View(now).Upstreams("p", "d")[0].Version, corianderwing.VersionID("w"))
}

func BenchmarkOwns(b *testing.B) {
	f := newFleet(7, "")
	f.run(6*time.Second, false)
	v, now := f.nodes[0].view, f.nodes[0].localTime(f.now)
	for b.Loop() {
		v.Owns(now, "motif-catalogue")
	}
}
