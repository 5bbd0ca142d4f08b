package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"corianderwing"
)

// restarts is a fleet whose processes are all killed at the same moment, again and
// again. Only the committed ceilings survive.
type restarts struct {
	t        *rapid.T
	bound    int
	record   *Record
	leader   *Allocator
	entries  []*Limiter
	starts   int
	admitted []time.Time
}

func (r *restarts) start(now time.Time) {
	r.leader = NewAllocator(window, now.Add(GracePeriod(window)))
	r.leader.SetBounds(bounds(r.bound))
	if r.record == nil {
		r.record = &Record{}
	}
	r.leader.Inherit(r.record, []string{"c"})
	r.leader.SetRecord(r.record)
	r.entries = nil
	for range 4 {
		r.entries = append(r.entries, NewLimiter(window))
	}
	r.starts++
}

// commit commits what the leader asks for. The answer may be lost, and so may the
// proposal.
func (r *restarts) commit(now time.Time) {
	changes := r.leader.CeilingChanges(now)
	names := []corianderwing.InstanceID{"0", "1", "2", "3"}
	if rapid.IntRange(0, 5).Draw(r.t, "proposal lost") == 0 {
		return
	}
	r.record = r.record.Apply(&RecordChange{Set: changes, Add: names})
	r.leader.SetRecord(r.record)
	if rapid.IntRange(0, 5).Draw(r.t, "answer lost") > 0 {
		r.leader.CeilingsCommitted(changes)
	}
}

func (r *restarts) renew(i int, now time.Time) {
	if !r.record.Covers(corianderwing.InstanceID(fmt.Sprint(i))) {
		return
	}
	r.leader.Reported("c", true, now)
	r.leader.Reported(fmt.Sprint(i), true, now)
	e := r.entries[i]
	shares := r.leader.Allocate(fmt.Sprint(r.starts, "/", i), e.Demands("c", []corianderwing.WorkspaceID{shop}, now), now)
	if rapid.IntRange(0, 4).Draw(r.t, "lost") > 0 {
		e.SetShares("c", shares, corianderwing.HolderDeadline(now, LeaseDuration), now)
	}
}

// Guards against tokens that are handed out twice because every process that knew of
// their use was killed (QUOTA): no window may admit more requests than the bound,
// however often that happens.
func TestTokensUsedBeforeAllWereKilled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &restarts{t: t, bound: rapid.IntRange(1, 300).Draw(t, "bound")}
		now := begin
		r.start(now)
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(r.entries)-1).Draw(t, "entry")
			switch event := rapid.IntRange(0, 59).Draw(t, "event"); {
			case event == 0:
				r.start(now)
			case event < 10:
				r.commit(now)
			case event < 30:
				r.renew(i, now)
			default:
				for range rapid.IntRange(1, 40).Draw(t, "requests") {
					if r.entries[i].Take(shop, now) {
						r.admitted = append(r.admitted, now)
					}
				}
			}
		}
		checkWindows(t, r.admitted, r.bound)
	})
}

// Guards against a workspace within its rate that is refused for as long as tokens may be
// in use after all processes were killed, and against a ceiling that does not fall again.
func TestServedAfterAllWereKilled(t *testing.T) {
	is := is.New(t)
	const (
		bound = 400
		rate  = 30 // requests per second; 80 would use the whole bound
		step  = 20 * time.Millisecond
	)
	f := newFleet(bound, []int{2, 2, 2, 1, 1, 1})
	var record *Record
	renew := func(now time.Time) {
		record = commit(f.leader, record, now, "e")
		f.renewAll(now)
	}
	n, asked, refused := 0, 0, 0
	send := func(now time.Time) {
		for ; float64(n) < rate*now.Sub(begin).Seconds(); n++ {
			c := f.controls[n%len(f.controls)]
			asked++
			if !f.admit(c, n%len(c.entries), now) {
				refused++
			}
		}
	}
	run := func(from, to time.Time) {
		for now := from; now.Before(to); now = now.Add(step) {
			if now.Sub(from)%(400*time.Millisecond) == 0 {
				renew(now)
			}
			send(now)
		}
	}
	killed := begin.Add(20 * time.Second)
	run(begin, killed)
	calm := record.Ceilings[shop]
	f = newFleet(bound, []int{2, 2, 2, 1, 1, 1})
	f.leader = NewAllocator(window, killed.Add(GracePeriod(window)))
	f.leader.SetBounds(bounds(bound))
	f.leader.Inherit(record, nil) // nobody reports that e has started again
	asked, refused = 0, 0
	run(killed, killed.Add(GracePeriod(window)))
	t.Logf("ceiling %d of %d; %d of %d refused afterwards", calm, bound, refused, asked)
	is.True(float64(refused) < 0.4*float64(asked))
	is.True(record.Ceilings[shop] > calm)
	run(killed.Add(GracePeriod(window)), killed.Add(40*time.Second))
	is.Equal(record.Ceilings[shop], calm)
}
