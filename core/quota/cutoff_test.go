package quota

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// TestMain gives the randomized tests the same cases in every run. Use
// -rapid.seed for other cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// commit commits all changes that an Allocator asks for, as its owner does.
func commit(a *Allocator, r *Record, now time.Time, holders ...corianderwing.InstanceID) *Record {
	a.SetRecord(r)
	changes := a.CeilingChanges(now)
	r = r.Apply(&RecordChange{Set: changes, Add: holders})
	a.SetRecord(r)
	a.CeilingsCommitted(changes)
	return r
}

// Guards against exceeding the bound when a holder with most of the tokens is
// cut off and keeps using them, while a new leader hands out tokens to the
// others, whether or not it knows how many the holders had.
func TestHolderCutOffFromNewLeader(t *testing.T) {
	t.Run("without a record", func(t *testing.T) { cutOffHolder(t, false) })
	t.Run("with a record", func(t *testing.T) { cutOffHolder(t, true) })
}

// cutOffHolder cuts a holder with most of the tokens off while the leader changes. It
// returns how many requests the other holder admits until the tokens of the first are
// free again.
func cutOffHolder(t *testing.T, withRecord bool) int {
	is := is.New(t)
	const bound = 200
	demands := func(p *Limiter, now time.Time) []Demand {
		return p.Demands("c", []corianderwing.WorkspaceID{shop}, now)
	}
	far, near := NewLimiter(window), NewLimiter(window)
	leader := NewAllocator(window, begin)
	leader.SetBounds(bounds(bound))
	var record *Record
	renew := func(now time.Time) {
		if withRecord {
			record = commit(leader, record, now, "far", "near")
		}
	}
	var admitted []time.Time
	take := func(p *Limiter, n int, now time.Time) (taken int) {
		for range n {
			if p.Take(shop, now) {
				admitted = append(admitted, now)
				taken++
			}
		}
		return taken
	}
	// All requests arrive at one holder until it is cut off.
	now := begin
	for ; now.Before(begin.Add(6 * time.Second)); now = now.Add(200 * time.Millisecond) {
		renew(now)
		far.SetShares("c", leader.Allocate("far", demands(far, now), now), corianderwing.HolderDeadline(now, LeaseDuration), now)
		near.SetShares("c", leader.Allocate("near", demands(near, now), now), corianderwing.HolderDeadline(now, LeaseDuration), now)
		take(far, 4, now)
	}
	leader = NewAllocator(window, now.Add(GracePeriod(window)))
	leader.SetBounds(bounds(bound))
	leader.Inherit(record, []string{"c-far", "c-near"})
	for _, name := range []string{"c-far", "c-near", "near"} {
		leader.Reported(name, true, now)
	}
	served := 0
	for cut := now; now.Before(cut.Add(GracePeriod(window))); now = now.Add(200 * time.Millisecond) {
		renew(now)
		near.SetShares("c", leader.Allocate("near", demands(near, now), now), corianderwing.HolderDeadline(now, LeaseDuration), now)
		take(far, 40, now)
		served += take(near, 40, now)
	}
	for i, from := range admitted {
		n := 0
		for _, at := range admitted[i:] {
			if at.Sub(from) < window {
				n++
			}
		}
		is.True(n <= bound)
	}
	return served
}

// Guards against exceeding the bound when an entry instance with most of the
// tokens is cut off alone while all control instances restart: none of them knows
// which entry instances there were. What nobody can have is handed out meanwhile.
func TestEntryCutOffFromAllRestartedControls(t *testing.T) {
	is := is.New(t)
	is.True(cutOffHolder(t, true) > 0)
}
