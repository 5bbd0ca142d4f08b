package quota

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderwing"
)

// cutControl is a control instance that may be cut off from the leader, with the
// entry instances that are cut off with it.
type cutControl struct {
	name       string
	allocator  *Allocator
	validUntil time.Time
	entries    []*Limiter
	cut        bool
}

// report reports to the leader. The answer may be lost.
func (c *cutControl) report(leader *Allocator, lost bool, now time.Time) {
	if c.cut {
		return
	}
	c.expire(now)
	shares := leader.Allocate(c.name, c.allocator.Demands(now), now)
	if lost {
		return
	}
	granted := map[corianderwing.WorkspaceID]int{}
	for _, s := range shares {
		granted[s.Workspace] = s.Tokens
	}
	c.allocator.SetBounds(granted)
	c.validUntil = corianderwing.HolderDeadline(now, LeaseDuration)
}

// renew renews the share of an entry instance.
func (c *cutControl) renew(i int, lost bool, now time.Time) {
	c.expire(now)
	e := c.entries[i]
	shares := c.allocator.Allocate(fmt.Sprint(i), e.Demands(c.name, []corianderwing.WorkspaceID{shop}, now), now)
	if until := min(LeaseDuration, c.validUntil.Sub(now)); until > 0 && !lost {
		e.SetShares(c.name, shares, corianderwing.HolderDeadline(now, until), now)
	}
}

func (c *cutControl) expire(now time.Time) {
	if !now.Before(c.validUntil) {
		c.allocator.SetBounds(nil)
	}
}

// Guards against shares that together exceed the limit while control instances
// are cut off with their entry instances, and the leader changes meanwhile.
func TestSharesOfCutOffControls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound = 275
		var controls []*cutControl
		for i := range 3 {
			c := &cutControl{name: fmt.Sprint("c", i), allocator: NewAllocator(window, time.Time{})}
			c.entries = []*Limiter{NewLimiter(window), NewLimiter(window)}
			controls = append(controls, c)
		}
		leader := NewAllocator(window, begin)
		leader.SetBounds(bounds(bound))
		var admitted []time.Time
		now := begin
		for range 600 {
			now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
			c := controls[rapid.IntRange(0, len(controls)-1).Draw(t, "control")]
			i := rapid.IntRange(0, len(c.entries)-1).Draw(t, "entry")
			switch event := rapid.IntRange(0, 79).Draw(t, "event"); {
			case event == 0:
				leader = NewAllocator(window, now.Add(GracePeriod(window)))
				leader.SetBounds(bounds(bound))
			case event < 3:
				c.cut = !c.cut
			case event < 25:
				c.report(leader, rapid.IntRange(0, 9).Draw(t, "lost") == 0, now)
			case event < 50:
				c.renew(i, rapid.IntRange(0, 9).Draw(t, "lost") == 0, now)
			default:
				for range rapid.IntRange(1, 40).Draw(t, "requests") {
					if c.entries[i].Take(shop, now) {
						admitted = append(admitted, now)
					}
				}
			}
		}
		checkWindows(t, admitted, bound)
	})
}

// checkWindows fails if any window holds more than bound of the admitted
// requests.
func checkWindows(t *rapid.T, admitted []time.Time, bound int) {
	first := 0
	for i, at := range admitted {
		for at.Sub(admitted[first]) >= window {
			first++
		}
		if n := i - first + 1; n > bound {
			t.Fatalf("%d requests admitted in %v, at most %d", n, window, bound)
		}
	}
}
