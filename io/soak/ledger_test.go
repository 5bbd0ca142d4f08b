package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// call is a request of the main workspace that was sent at a time.
func call(l *Ledger, id string, body string, at time.Time) Arrival {
	q := Query{ID: corianderwing.RequestID(id), Path: "/goods/1", Key: "k-main", Body: body}
	l.Sent(q, mainWorkspace, at)
	return Arrival{ID: q.ID, Workspace: mainWorkspace, Path: q.Path, Body: body}
}

// Guards against a soak that finds nothing because a check sees nothing: each
// case breaks one promise, and that one alone is reported.
func TestEachPromiseCanBreak(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(d time.Duration) time.Time { return start.Add(time.Minute + d) }
	for _, c := range []struct {
		promise Promise
		play    func(l *Ledger)
	}{
		{OwnAnswer, func(l *Ledger) {
			l.Arrived(call(l, "a", "", at(0)), "u", "d", true, at(0))
			l.Answered(Reply{ID: "a", Status: 200, Body: Content("b")}, at(0))
		}},
		{OwnRequest, func(l *Ledger) {
			a := call(l, "a", "", at(0))
			a.Key = "k-main"
			l.Arrived(a, "u", "d", true, at(0))
		}},
		{OwnRequest, func(l *Ledger) { l.Arrived(Arrival{ID: "x"}, "u", "d", true, at(0)) }},
		{RunOnce, func(l *Ledger) {
			a := call(l, "a", "order", at(0))
			l.Arrived(a, "u", "d", true, at(0))
			l.Arrived(a, "v", "d", true, at(0))
		}},
		{NotRun, func(l *Ledger) {
			l.Arrived(call(l, "a", "order", at(0)), "u", "d", true, at(0))
			l.Answered(Reply{ID: "a", Status: 503}, at(0))
		}},
		{NotRun, func(l *Ledger) {
			a := call(l, "a", "order", at(0))
			l.Answered(Reply{ID: "a", Status: 429}, at(0))
			l.Arrived(a, "u", "d", true, at(0))
		}},
		{Revoked, func(l *Ledger) {
			l.Revoke("k-main", at(0))
			l.Arrived(call(l, "a", "", at(revokeBound+time.Second)), "u", "d", true, at(revokeBound+time.Second))
		}},
		{Reported, func(l *Ledger) {
			l.Report(corianderwing.UsageReport{Window: 1, Token: 1}, "a", at(0))
			l.Report(corianderwing.UsageReport{Window: 1, Token: 1, Counts: map[corianderwing.WorkspaceID]uint64{"w": 1}}, "a", at(0))
		}},
		{Reported, func(l *Ledger) {
			l.Fault()(at(0))
			l.checkReports(at(time.Minute))
		}},
		{OneHolder, func(l *Ledger) {
			l.Report(corianderwing.UsageReport{Window: 1, Token: 1}, "a", at(0))
			l.Report(corianderwing.UsageReport{Window: 2, Token: 1}, "b", at(time.Minute))
		}},
		{OneHolder, func(l *Ledger) {
			l.Report(corianderwing.UsageReport{Window: 1, Token: 2}, "a", at(0))
			l.Report(corianderwing.UsageReport{Window: 2, Token: 1}, "b", at(time.Minute))
		}},
		{OneHolder, func(l *Ledger) {
			l.Report(corianderwing.UsageReport{Window: 1, Token: 1}, "a", at(0))
			l.Report(corianderwing.UsageReport{Window: 2, Token: 2}, "b", at(time.Second))
			l.Report(corianderwing.UsageReport{Window: 3, Token: 3}, "a", at(usageLease-1))
		}},
		{Drained, func(l *Ledger) {
			l.Drain("u", at(0))
			l.Arrived(call(l, "a", "", at(0)), "u", "d", true, at(drainBound+time.Second))
		}},
		{Told, func(l *Ledger) {
			q := Query{ID: "a", Entry: "e1", Path: "/goods/1"}
			l.Sent(q, "", at(0))
			l.Arrived(Arrival{ID: "a", Path: q.Path}, "u", "d", true, at(0))
			l.Answered(Reply{ID: "a", Entry: "e1", Status: 200, Body: Content("a"), Leaving: true}, at(0))
			q.ID = "b"
			l.Sent(q, "", at(drainBound+time.Second))
			l.Arrived(Arrival{ID: "b", Path: q.Path}, "u", "d", true, at(drainBound+time.Second))
		}},
		{Pushback, func(l *Ledger) {
			for i, id := range []corianderwing.RequestID{"a", "b", "c", "d"} {
				now := at(contact + time.Duration(i)*time.Second)
				q := Query{ID: id, Entry: "e1", Path: "/goods/1"}
				l.Sent(q, "", now)
				l.Arrived(Arrival{ID: id, Path: q.Path}, "u", "d", true, now)
				if i == 0 {
					l.PushedBack(id, "u", now, 10*time.Second)
				}
			}
		}},
		{Emptied, func(l *Ledger) {
			l.Empty("d", true, at(0))
			l.Arrived(call(l, "a", "", at(0)), "u", "d", true, at(emptyBound+time.Second))
		}},
		{InBounds, func(l *Ledger) {
			for range 4 {
				l.Arrived(call(l, "a", "", at(0)), "u", "d", true, at(0))
			}
		}},
		{Applied, func(l *Ledger) {
			l.Add("k-main", at(0))
			call(l, "a", "", at(applyBound+time.Second))
			l.Answered(Reply{ID: "a", Status: 401}, at(applyBound+time.Second))
		}},
		{Allowed, func(l *Ledger) {
			call(l, "a", "", at(0))
			l.Answered(Reply{ID: "a", Status: 404}, at(0))
		}},
		{Whole, func(l *Ledger) {
			l.Arrived(call(l, "a", "", at(0)), "u", "d", true, at(0))
			l.Answered(Reply{ID: "a", Stopping: at(0)}, at(time.Second))
		}},
	} {
		t.Run(string(c.promise), func(t *testing.T) {
			is := is.New(t)
			l := NewLedger(start, map[corianderwing.WorkspaceID]int{mainWorkspace: 3})
			c.play(l)
			list, _ := l.Breaches()
			is.True(len(list) > 0)
			for _, b := range list {
				is.Equal(b.Promise, c.promise)
			}
		})
	}
}

// Guards against a bound on time that is held against instances which a fault
// keeps from knowing better.
func TestNoBoundWhileFaultsWork(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := NewLedger(start, nil)
	end := l.Fault()
	l.Drain("u", start)
	l.Arrived(call(l, "a", "", start), "u", "d", true, start.Add(drainBound+time.Second))
	end(start.Add(5 * time.Second))
	l.Arrived(call(l, "b", "", start), "u", "d", true, start.Add(6*time.Second))
	list, _ := l.Breaches()
	is.Equal(len(list), 0)
}

// Guards against a plan that is not the same for the same seed, or that has a
// kind of fault that nothing carries out.
func TestPlan(t *testing.T) {
	is := is.New(t)
	a, b := (&run{cfg: Config{Seed: 7}}), (&run{cfg: Config{Seed: 7}})
	is.Equal(plan(a.random("plan"), time.Minute), plan(b.random("plan"), time.Minute))
	is.True(len(plan(a.random("plan"), time.Minute)) > 0)
}
