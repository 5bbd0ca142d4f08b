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

// Guards against exceeding the bound when a holder with most of the tokens is
// cut off and keeps using them, while a new leader hands out tokens to the
// others.
func TestHolderCutOffFromNewLeader(t *testing.T) {
	is := is.New(t)
	const bound = 200
	demands := func(p *Limiter, now time.Time) []Demand {
		return p.Demands("c", []corianderwing.WorkspaceID{shop}, now)
	}
	far, near := NewLimiter(window), NewLimiter(window)
	leader := NewAllocator(window, begin)
	leader.SetBounds(bounds(bound))
	var admitted []time.Time
	take := func(p *Limiter, n int, now time.Time) {
		for range n {
			if p.Take(shop, now) {
				admitted = append(admitted, now)
			}
		}
	}
	// All requests arrive at one holder until it is cut off.
	now := begin
	for ; now.Before(begin.Add(6 * time.Second)); now = now.Add(200 * time.Millisecond) {
		far.SetShares("c", leader.Allocate("far", demands(far, now), now), corianderwing.HolderDeadline(now, LeaseDuration), now)
		near.SetShares("c", leader.Allocate("near", demands(near, now), now), corianderwing.HolderDeadline(now, LeaseDuration), now)
		take(far, 4, now)
	}
	leader = NewAllocator(window, now.Add(GracePeriod(window)))
	leader.SetBounds(bounds(bound))
	for cut := now; now.Before(cut.Add(GracePeriod(window))); now = now.Add(200 * time.Millisecond) {
		near.SetShares("c", leader.Allocate("near", demands(near, now), now), corianderwing.HolderDeadline(now, LeaseDuration), now)
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
		is.True(n <= bound)
	}
}
