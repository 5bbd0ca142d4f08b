package route

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"corianderwing"
)

// A fixed seed makes the property tests reproducible.
func init() { flag.Set("rapid.seed", "1") }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func noneDrained(corianderwing.UpstreamID) bool { return false }

func announcements(n int, version string) []corianderwing.Upstream {
	var list []corianderwing.Upstream
	for i := range n {
		list = append(list, corianderwing.Upstream{
			ID:      corianderwing.UpstreamID(fmt.Sprint(version, "-", i)),
			Version: corianderwing.VersionID(version),
			Seq:     100, Slots: 3, Conns: 10, Phase: corianderwing.Ready,
		})
	}
	return list
}

func newPool(t interface{ Fatalf(string, ...any) }, list []corianderwing.Upstream) *Pool {
	p := New(Config{OnViolation: func(what string) { t.Fatalf("invariant: %s", what) }}, rand.New(rand.NewPCG(1, 1)))
	p.Sync(list, noneDrained, epoch)
	return p
}

// sendSequentially sends n requests one after another and counts them by
// upstream.
func sendSequentially(p *Pool, n int, now time.Time, r func(corianderwing.Upstream) Result) map[corianderwing.UpstreamID]int {
	got := make(map[corianderwing.UpstreamID]int)
	for range n {
		u, ok := p.Pick(nil, now)
		if !ok {
			continue
		}
		got[u.ID]++
		p.Done(u.ID, r(u), 10*time.Millisecond, now)
	}
	return got
}

func alwaysSucceed(corianderwing.Upstream) Result { return Success }

// Checks with random events that an upstream never has more requests in flight
// than slots, that a draining or unannounced upstream gets no requests, that
// ejections leave at least half of the upstreams usable, and that the
// connection limit holds. Violations of the pool's own invariants fail the test.
func TestPoolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := announcements(rapid.IntRange(1, 6).Draw(t, "upstreams"), "v1")
		p := newPool(t, list)
		now := epoch
		var inFlight []corianderwing.UpstreamID
		conns := make(map[corianderwing.UpstreamID]int)
		busy := make(map[corianderwing.UpstreamID]int)
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(list)-1).Draw(t, "upstream")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1, 2:
				u, ok := p.Pick(nil, now)
				if !ok {
					continue
				}
				inFlight = append(inFlight, u.ID)
				if busy[u.ID]++; busy[u.ID] > int(u.Slots) {
					t.Fatalf("%s has %d requests for %d slots", u.ID, busy[u.ID], u.Slots)
				}
				for _, a := range list {
					if a.ID == u.ID && a.Phase != corianderwing.Ready {
						t.Fatalf("%s got work while it drains", u.ID)
					}
				}
			case 3:
				if len(inFlight) == 0 {
					continue
				}
				k := rapid.IntRange(0, len(inFlight)-1).Draw(t, "request")
				r := Result(rapid.IntRange(0, int(Unused)).Draw(t, "result"))
				busy[inFlight[k]]--
				p.Done(inFlight[k], r, time.Second, now)
				inFlight = append(inFlight[:k], inFlight[k+1:]...)
			case 4:
				list[i].Phase = rapid.SampledFrom([]corianderwing.Phase{corianderwing.Ready, corianderwing.Draining}).Draw(t, "phase")
				list[i].Slots = corianderwing.Slots(rapid.IntRange(1, 4).Draw(t, "slots"))
				list[i].Incarnation += corianderwing.Incarnation(rapid.IntRange(0, 1).Draw(t, "restart"))
				p.Sync(list, noneDrained, now)
			case 5:
				if p.AddConn(list[i].ID) {
					conns[list[i].ID]++
				}
				if conns[list[i].ID] > 8 {
					t.Fatalf("%d connections, budget 8", conns[list[i].ID])
				}
			}
			usable, open := 0, 0
			p.Available(now)
			for _, u := range p.upstreams {
				if u.accepting {
					open++
				}
				if u.usable(now) {
					usable++
				}
			}
			if 2*usable < open {
				t.Fatalf("%d of %d upstreams usable", usable, open)
			}
		}
	})
}

// Guards against an upstream that keeps getting requests while it fails, gets
// none after it has recovered, or gets its full load during slow start.
func TestEjection(t *testing.T) {
	is := is.New(t)
	p := newPool(t, announcements(4, "v1"))
	now := epoch
	got := sendSequentially(p, 100, now, func(u corianderwing.Upstream) Result {
		if u.ID == "v1-0" {
			return Failure
		}
		return Success
	})
	is.True(got["v1-0"] <= 3)
	for i, wait := range []time.Duration{500, 1000, 2000, 4000} {
		u := p.byID["v1-0"]
		for u.failures < 3 {
			u.busy++
			p.Done("v1-0", Failure, 0, now)
		}
		is.Equal(u.ejectedUntil.Sub(now), wait*time.Millisecond) // doubled each time
		is.Equal(u.ejections, i+1)
		now = u.ejectedUntil
		is.Equal(u.slotLimit(p.cfg.SlowStart, now), corianderwing.Slots(1)) // half-open
		u.failures = 2
	}
	now = now.Add(time.Minute)
	p.Sync(announcements(4, "v1"), noneDrained, now)
	got = sendSequentially(p, 400, now, alwaysSucceed)
	is.True(got["v1-0"] > 50)
	is.True(p.byID["v1-0"].slotLimit(p.cfg.SlowStart, now.Add(time.Second)) < 3) // slow start
	is.Equal(p.byID["v1-0"].slotLimit(p.cfg.SlowStart, now.Add(time.Minute)), corianderwing.Slots(3))
}

// Guards against reusing the slot of a canceled request before the upstream can
// have noticed the cancellation.
func TestSlotReleaseDelay(t *testing.T) {
	is := is.New(t)
	p := newPool(t, announcements(1, "v1"))
	for range 3 {
		_, ok := p.Pick(nil, epoch)
		is.True(ok)
	}
	p.Done("v1-0", Canceled, 0, epoch)
	is.True(!p.HasFreeSlot(epoch.Add(19 * time.Millisecond)))
	is.True(p.HasFreeSlot(epoch.Add(20 * time.Millisecond)))
	p.Done("v1-0", Success, time.Millisecond, epoch)
	is.True(p.HasFreeSlot(epoch))
}

// Guards against a cold upstream that gets its full load, and against a new pool
// owner that slow-starts upstreams that are already warm.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	list := announcements(2, "v1")
	list[0].Seq = 0
	p := newPool(t, list)
	is.Equal(p.byID["v1-0"].slotLimit(p.cfg.SlowStart, epoch), corianderwing.Slots(1))
	is.Equal(p.byID["v1-0"].slotLimit(p.cfg.SlowStart, epoch.Add(3*time.Second)), corianderwing.Slots(2))
	is.Equal(p.byID["v1-1"].slotLimit(p.cfg.SlowStart, epoch), corianderwing.Slots(3))
}

// Guards against preferring an upstream that reports a low load but is slow, and
// against observations that never expire and exclude an upstream for good.
func TestObservationsOutweighReportedLoad(t *testing.T) {
	is := is.New(t)
	list := announcements(2, "v1")
	list[1].Load = 1
	p := newPool(t, list)
	got := make(map[corianderwing.UpstreamID]int)
	for range 200 {
		u, _ := p.Pick(nil, epoch)
		got[u.ID]++
		took := 10 * time.Millisecond
		if u.ID == "v1-0" {
			took = time.Second // reports no load, but is slow
		}
		p.Done(u.ID, Success, took, epoch)
	}
	is.True(got["v1-1"] > 190)
	late := epoch.Add(20 * time.Second)
	p.Sync(list, noneDrained, late)
	u, _ := p.Pick(nil, late)
	is.Equal(u.ID, corianderwing.UpstreamID("v1-0")) // its observations expired, and it reports less load
}

// Guards against a new version that gets more than its share, also when all
// slots of the old version are in use, and against requests to a version that
// was rolled back.
func TestShiftShare(t *testing.T) {
	is := is.New(t)
	both := append(announcements(2, "v1"), announcements(8, "v2")...)
	for _, share := range []float64{0, 0.01, 0.25, 1} {
		p := newPool(t, both)
		p.SetShift(Shift{To: "v2", Share: share})
		to := 0
		for range 1000 {
			u, ok := p.Pick(nil, epoch)
			is.True(ok)
			if u.Version == "v2" {
				to++
			}
			p.Done(u.ID, Success, time.Millisecond, epoch)
		}
		is.True(to >= int(share*1000)-1 && to <= int(share*1000)+1)
	}
	p := newPool(t, both)
	p.SetShift(Shift{To: "v2", Share: 0.01})
	n := 0
	for p.HasFreeSlot(epoch) {
		p.Pick(nil, epoch)
		n++
	}
	is.True(n <= 7) // the old version's 6 slots, and one of the share
	p = newPool(t, announcements(2, "v2"))
	p.SetShift(Shift{To: "v2"})
	is.True(!p.Available(epoch))
}

// Guards against leaving the local domain while it has free slots, skipping a
// near domain, and a thundering herd of instances that all choose the same
// domain.
func TestSortCandidates(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	first := func(list ...Candidate) corianderwing.DomainID {
		SortCandidates(list, 50*time.Millisecond, rng)
		return list[0].Domain
	}
	home := Candidate{Domain: "home", Local: true, LoadKnown: true, Slots: 10, Busy: 9}
	full := Candidate{Domain: "home", Local: true, LoadKnown: true, Slots: 10, Busy: 10, Waiting: 30}
	near := Candidate{Domain: "near", LoadKnown: true, Slots: 10, Busy: 1, RTT: time.Millisecond}
	peer := Candidate{Domain: "peer", LoadKnown: true, Slots: 10, Busy: 6, RTT: 2 * time.Millisecond}
	far := Candidate{Domain: "far", LoadKnown: true, Slots: 10, RTT: 70 * time.Millisecond}
	is.Equal(first(far, near, home), corianderwing.DomainID("home"))
	is.Equal(first(far, full, near), corianderwing.DomainID("near"))
	brief := full
	brief.Waiting = 1
	is.Equal(first(far, brief), corianderwing.DomainID("home")) // a short queue costs less than a long round trip
	is.Equal(first(far, full), corianderwing.DomainID("far"))
	got := make(map[corianderwing.DomainID]int)
	for range 1000 {
		got[first(near, full, peer, far)]++
	}
	is.True(got["near"] > 550 && got["peer"] > 250 && got["far"] == 0) // weights 10 and 5 of 15
}
