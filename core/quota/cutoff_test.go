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
// others, whether or not it knows which holders there were.
func TestHolderCutOffFromNewLeader(t *testing.T) {
	t.Run("unknown holders", func(t *testing.T) { cutOffHolder(t, func(*Allocator, time.Time) {}) })
	t.Run("known holders", func(t *testing.T) {
		cutOffHolder(t, func(leader *Allocator, now time.Time) {
			leader.ExpectReports([]string{"far", "near"}, now)
			leader.Reported("near", true, now)
		})
	})
}

// cutOffHolder cuts a holder with most of the tokens off while the leader
// changes. The next one learns from begun what is known at its start.
func cutOffHolder(t *testing.T, begun func(leader *Allocator, now time.Time)) {
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
	begun(leader, now)
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

// Guards against handing out tokens before an instance that may have granted
// them has reported, and against keeping them back afterwards: after a restart
// of everything nobody knows of any tokens.
func TestMissingInstanceKeepsTokensBack(t *testing.T) {
	is := is.New(t)
	d := NewAllocator(window, begin.Add(GracePeriod(window)))
	d.SetBounds(bounds(100))
	d.ExpectReports([]string{"a", "b"}, begin)
	ask := func(name string, at time.Time) int {
		d.Reported(name, true, at)
		return d.Allocate(name, []Demand{{Workspace: shop, Rate: 5}}, at)[0].Tokens
	}
	is.Equal(ask("a", begin), 0)
	is.Equal(ask("a", begin.Add(2*time.Second)), 0)
	is.Equal(ask("b", begin.Add(2*time.Second)), 0)
	is.True(ask("a", begin.Add(2*time.Second+demandWarmup)) > 0)
}

// Guards against exceeding the bound when an entry instance with most of the
// tokens is cut off alone, and the control instance that granted them restarts
// while the leader changes: it reports, but does not know what it granted.
func TestEntryCutOffFromRestartedControl(t *testing.T) {
	cutOffHolder(t, func(leader *Allocator, now time.Time) {
		leader.ExpectReports([]string{"c-far", "c-near", "far", "near"}, now)
		for _, name := range []string{"c-far", "c-near", "near"} {
			leader.Reported(name, true, now)
		}
	})
}

// Guards against exceeding the bound when an entry instance with most of the
// tokens is cut off alone while all control instances restart: none of them knows
// which entry instances there were.
func TestEntryCutOffFromAllRestartedControls(t *testing.T) {
	cutOffHolder(t, func(leader *Allocator, now time.Time) {
		leader.ExpectReports([]string{"c-far", "c-near"}, now)
		for _, name := range []string{"c-far", "c-near", "near"} {
			leader.Reported(name, true, now)
		}
	})
}
