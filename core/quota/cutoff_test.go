package quota

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// TestMain gives the randomised tests the same cases in every run. Other cases
// are played with -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Guards against a bound that is exceeded when a holder with most of the tokens
// is cut off and goes on, while a new leader hands tokens out to the others.
func TestHolderCutOffFromNewLeader(t *testing.T) {
	is := is.New(t)
	const most = 200
	needs := func(p *Purses, now time.Time) []Need {
		return p.Needs("c", []corianderwing.WorkspaceID{shop}, now)
	}
	far, near := NewPurses(window), NewPurses(window)
	leader := New(window, begin)
	leader.SetBounds(bounds(most))
	var admitted []time.Time
	take := func(p *Purses, n int, now time.Time) {
		for range n {
			if p.Take(shop, now) {
				admitted = append(admitted, now)
			}
		}
	}
	// All requests come to one holder, until it is cut off.
	now := begin
	for ; now.Before(begin.Add(6 * time.Second)); now = now.Add(200 * time.Millisecond) {
		far.Lend("c", leader.Ask("far", needs(far, now), now), corianderwing.HolderDeadline(now, Lease), now)
		near.Lend("c", leader.Ask("near", needs(near, now), now), corianderwing.HolderDeadline(now, Lease), now)
		take(far, 4, now)
	}
	leader = New(window, now.Add(Quiet(window)))
	leader.SetBounds(bounds(most))
	for cut := now; now.Before(cut.Add(Quiet(window))); now = now.Add(200 * time.Millisecond) {
		near.Lend("c", leader.Ask("near", needs(near, now), now), corianderwing.HolderDeadline(now, Lease), now)
		take(far, 40, now)
		take(near, 40, now)
	}
	for i, from := range admitted {
		n := 0
		for _, at := range admitted[i:] {
			if at.Sub(from) < window {
				n++
			}
		}
		is.True(n <= most)
	}
}
