package quota

import (
	"fmt"
	"testing"
	"time"

	"corianderwing"
)

// Guards against a cost of heartbeats in the product of holders and workspaces
// squared: one control instance of a large deployment serves 33 entry instances
// and 190 workspaces, and allocates shares for each heartbeat.
func BenchmarkAllocate(b *testing.B) {
	for _, holders := range []int{8, 33} {
		b.Run(fmt.Sprintf("holders=%d", holders), func(b *testing.B) {
			now := time.Unix(1000, 0)
			a := NewAllocator(5*time.Second, time.Time{})
			bounds := map[corianderwing.WorkspaceID]int{}
			var demands []Demand
			for i := range 190 {
				w := corianderwing.WorkspaceID(fmt.Sprintf("w-%03d", i))
				bounds[w] = 500
				demands = append(demands, Demand{Workspace: w, Rate: 2, Used: 3, Held: 8})
			}
			a.SetBounds(bounds)
			names := make([]string, holders)
			for i := range names {
				names[i] = fmt.Sprintf("entry-%02d/1", i)
				a.Allocate(names[i], demands, now)
			}
			n := 0
			for b.Loop() {
				n++
				a.DemandsExcept("", now)
				a.Allocate(names[n%holders], demands, now)
			}
		})
	}
}
