package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// Guards against workspaces that have no tokens for seconds where their callers are:
// before the first request, all entry instances have moved to another control instance,
// and the one that they left counts what it granted to them as in use.
func TestTokensFollowMovedInstances(t *testing.T) {
	is := is.New(t)
	const (
		window  = 5 * time.Second
		entries = 30
		tokens  = 60
	)
	now := time.Unix(1000, 0)
	leader := NewAllocator(window, time.Time{})
	leader.SetBounds(map[corianderwing.WorkspaceID]int{shop: tokens})
	controls := map[string]*Allocator{}
	for _, name := range []string{"seed", "near"} {
		controls[name] = NewAllocator(window, time.Time{})
	}
	limiters := make([]*Limiter, entries)
	for i := range limiters {
		limiters[i] = NewLimiter(window)
	}
	step := func(followed string) {
		now = now.Add(400 * time.Millisecond)
		for name, c := range controls {
			bounds := map[corianderwing.WorkspaceID]int{}
			for _, s := range leader.Allocate(name, c.Demands(now), now) {
				bounds[s.Workspace] = s.Tokens
			}
			c.SetBounds(bounds)
		}
		for i, l := range limiters {
			shares := controls[followed].Allocate(fmt.Sprint("e", i), l.Demands(followed, []corianderwing.WorkspaceID{shop}, now), now)
			l.SetShares(followed, shares, now.Add(LeaseDuration), now)
		}
	}
	for range 5 {
		step("seed")
	}
	for range 15 {
		step("near")
	}
	held := 0
	for _, l := range limiters {
		held += l.Demands("near", []corianderwing.WorkspaceID{shop}, now)[0].Held
	}
	t.Logf("6 s after they moved, the instances have %d of %d tokens", held, tokens)
	is.True(held >= tokens/2)
}
