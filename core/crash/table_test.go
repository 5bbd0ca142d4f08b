package crash

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"corianderwing"
)

var start = time.Unix(1000, 0)

func crashed(f Fingerprint, n int) Event {
	return Event{Kind: Crashed, Fingerprint: f, Upstream: Upstream{ID: corianderwing.UpstreamID(fmt.Sprint(n)), Incarnation: 1}}
}

// apply applies events to a table, all at the same time.
func apply(t *Table, now time.Time, list ...Event) *Table { return t.Apply(list, now) }

// Guards against counting a crash twice that several entry instances report, and
// against a quarantine that an answer does not end.
func TestQuarantineAfterThreeUpstreams(t *testing.T) {
	is := is.New(t)
	quarantined := func(t *Table) bool {
		s, ok := t.Lookup("a")
		return ok && s.Quarantined()
	}
	var none *Table
	is.Equal(none.Len(), 0)
	two := apply(none, start, crashed("a", 1), crashed("b", 1), crashed("a", 2), crashed("a", 1), crashed("a", 2))
	is.True(!quarantined(two))
	s, _ := two.Lookup("a")
	is.True(!s.Retryable())
	s, _ = two.Lookup("b")
	is.True(s.Retryable())
	three := apply(two, start, crashed("a", 3))
	is.True(quarantined(three))
	is.Equal([]int{none.Quarantined(), two.Quarantined(), three.Quarantined()}, []int{0, 0, 1})
	is.True(!quarantined(two)) // tables are immutable
	is.True(!quarantined(apply(three, start, Event{Kind: Answered, Fingerprint: "a"})))
	is.True(apply(three, start, Event{Kind: Answered, Fingerprint: "a"}, Event{Kind: Expired, Fingerprint: "b"}) == nil)
}

// Guards against a probe that several entry instances make, and against probes that
// go on as often as at first: each crashes an upstream.
func TestOneInstanceProbes(t *testing.T) {
	is := is.New(t)
	q := apply(nil, start, crashed("a", 1), crashed("a", 2), crashed("a", 3))
	now := start
	for n, delay := range []time.Duration{time.Second, 15 * time.Second, time.Minute, time.Hour, time.Hour} {
		s, _ := q.Lookup("a")
		is.Equal(s.NextProbe(), now.Add(delay))
		now = now.Add(delay)
		q = apply(q, now, Event{Kind: Probe, Fingerprint: "a", By: "e-1", Probes: n}, Event{Kind: Probe, Fingerprint: "a", By: "e-2", Probes: n})
		s, _ = q.Lookup("a")
		is.True(s.Granted("e-1", n))
		is.True(!s.Granted("e-2", n))
		again := apply(q, now, Event{Kind: Probe, Fingerprint: "a", By: "e-1", Probes: n}) // sent again because its answer was lost
		s, _ = again.Lookup("a")
		is.True(s.Granted("e-1", n))
		q = apply(q, now, crashed("a", 10+n))
	}
	s, _ := q.Lookup("a")
	is.Equal(len(s.Crashes), quarantineCrashes)
}

// Guards against suspects that are never forgotten, and against a quarantine that
// ends between two probes although its request still comes.
func TestSuspectsExpire(t *testing.T) {
	is := is.New(t)
	q := apply(nil, start, crashed("a", 1))
	is.Equal(len(q.Expired(start.Add(suspectTTL-1))), 0)
	is.Equal(q.Expired(start.Add(suspectTTL)), []Event{{Kind: Expired, Fingerprint: "a"}})
	is.True(suspectTTL > probeDelays[len(probeDelays)-1])
}

// Guards against memory that grows with the number of requests that lose their
// upstream, and against a quarantine that such requests push out.
func TestSuspectsAreBounded(t *testing.T) {
	is := is.New(t)
	q := apply(nil, start, crashed("a", 1), crashed("a", 2), crashed("a", 3))
	for n := range 2 * maxSuspects {
		q = apply(q, start, crashed(Fingerprint(fmt.Sprint("x", n)), n))
	}
	is.Equal(q.Len(), maxSuspects)
	s, ok := q.Lookup("a")
	is.True(ok)
	is.True(s.Quarantined())
}

// Guards against replicas whose clocks differ and that decide differently for the
// same events, or after a restart from a snapshot.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a, b *Table
		now := start
		counts := map[Fingerprint]map[int]bool{} // upstreams crashed since the last answer
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			f := Fingerprint(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "fingerprint"))
			n := rapid.IntRange(0, 5).Draw(t, "n")
			e := crashed(f, n)
			switch kind := rapid.SampledFrom([]Kind{Crashed, Crashed, Crashed, Answered, Probe, Expired}).Draw(t, "kind"); kind {
			case Crashed:
				if counts[f] == nil {
					counts[f] = map[int]bool{}
				}
				counts[f][n] = true
			case Probe:
				e = Event{Kind: kind, Fingerprint: f, By: "e", Probes: n % 3}
			default:
				e = Event{Kind: kind, Fingerprint: f}
				delete(counts, f)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			a = a.Apply([]Event{e}, now)
			b = b.Apply([]Event{e}, now.Add(time.Hour))
			if rapid.Bool().Draw(t, "restart") {
				b = Load(b.Save(), now)
			}
			if got, want := fmt.Sprint(saved(b)), fmt.Sprint(saved(a)); got != want {
				t.Fatalf("after a restart %s, without %s", got, want)
			}
			s, ok := a.Lookup(f)
			if want := len(counts[f]) >= quarantineCrashes; (ok && s.Quarantined()) != want {
				t.Fatalf("quarantined %v after crashes of %v", !want, counts[f])
			}
		}
	})
}

// saved returns the suspects without their times.
func saved(t *Table) []Saved {
	list := t.Save()
	for i := range list {
		list[i].CrashedAt, list[i].Changed = time.Time{}, time.Time{}
	}
	return list
}

// Guards against refusing a request that crashes nothing for minutes: its probes met no
// upstream, a full one, or a caller that left.
func TestProbeWithoutResultDelaysNothing(t *testing.T) {
	is := is.New(t)
	q := apply(nil, start, crashed("a", 1), crashed("a", 2), crashed("a", 3), crashed("a", 4)) // all upstreams at once
	now := start
	for n := range 5 {
		s, _ := q.Lookup("a")
		is.Equal(s.NextProbe(), now.Add(time.Second))
		now = now.Add(time.Second)
		q = apply(q, now, Event{Kind: Probe, Fingerprint: "a", By: "e", Probes: n})
	}
	q = apply(q, now, crashed("a", 5), crashed("a", 6)) // one probe and a request sent before
	s, _ := q.Lookup("a")
	is.Equal(s.NextProbe(), now.Add(15*time.Second))
}

// Guards against forgetting the request that crashes upstreams because others that ran
// beside it are newer.
func TestFullTableKeepsWhatCrashedMost(t *testing.T) {
	is := is.New(t)
	var q *Table
	n := 0
	for up := 1; up <= 3; up++ {
		q = apply(q, start, crashed("a", up))
		for range maxSuspects {
			n++
			q = apply(q, start, crashed(Fingerprint(fmt.Sprint("x", n)), up))
			if up == 1 && n == maxSuspects/2 {
				q = apply(q, start, crashed("a", 9)) // its second
			}
		}
	}
	s, ok := q.Lookup("a")
	is.True(ok)
	is.True(s.Quarantined())
	is.Equal(q.Len(), maxSuspects)
}

// Guards against a quarantine that ends with an answer from before its last crash: the
// instance that saw the answer could not report it at the time.
func TestLateAnswerEndsNothing(t *testing.T) {
	is := is.New(t)
	q := apply(nil, start, crashed("a", 1))
	s, _ := q.Lookup("a")
	late := Event{Kind: Answered, Fingerprint: "a", Upstream: s.Last}
	q = apply(q, start, crashed("a", 2), crashed("a", 3))
	is.Equal(apply(q, start, late).Len(), 1)
	s, _ = q.Lookup("a")
	is.Equal(apply(q, start, Event{Kind: Answered, Fingerprint: "a", Upstream: s.Last}).Len(), 0)
}
