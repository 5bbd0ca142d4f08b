package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// Guards against tokens that are handed out twice: a holder whose control
// instance was lost still has valid shares from it, and another control
// instance must not hand out the same number again because they are in use. A new
// leader must learn that there are such shares.
func TestHolderOfTwoControls(t *testing.T) {
	is := is.New(t)
	const bound = 100
	leader := NewAllocator(window, begin)
	leader.SetBounds(bounds(bound))
	lost, next := NewAllocator(window, begin), NewAllocator(window, begin)
	entry := NewLimiter(window)
	admitted := 0
	ask := func(name string, d *Allocator, now time.Time) {
		list := []corianderwing.WorkspaceID{shop}
		demands := entry.Demands(name, list, now)
		d.Allocate("entry", demands, now) // its demand is known before the leader is asked
		got := map[corianderwing.WorkspaceID]int{}
		for _, s := range leader.Allocate(name, d.Demands(now), now) {
			got[s.Workspace] = s.Tokens
		}
		d.SetBounds(got)
		entry.SetShares(name, d.Allocate("entry", demands, now), corianderwing.HolderDeadline(now, LeaseDuration), now)
		for entry.Take(shop, now) {
			admitted++
		}
	}
	now := begin
	for range 5 {
		now = now.Add(200 * time.Millisecond)
		ask("lost", lost, now)
	}
	is.True(admitted > bound/2)
	for range 5 {
		now = now.Add(200 * time.Millisecond)
		ask("next", next, now)
	}
	is.True(admitted <= bound) // all within one window
	leader = NewAllocator(window, now.Add(GracePeriod(window)))
	leader.SetBounds(bounds(bound))
	for range 5 {
		now = now.Add(200 * time.Millisecond)
		ask("next", next, now)
	}
	is.True(admitted <= bound)
}
