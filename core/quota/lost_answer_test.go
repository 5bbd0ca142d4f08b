package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// Guards against tokens that are handed out twice because a holder that
// allocates its share to others reported only what those have: until the next
// answer arrives, it may still hand out all of its present share.
func TestLostAnswerToAllocator(t *testing.T) {
	is := is.New(t)
	const (
		w     = corianderwing.WorkspaceID("w")
		bound = 70
	)
	now := time.Unix(1000, 0)
	demand := func(asked float64) []Demand { return []Demand{{Workspace: w, Rate: asked}} }
	tokens := func(list []Share) int {
		is.Equal(len(list), 1)
		return list[0].Tokens
	}
	leader := NewAllocator(5*time.Second, time.Time{})
	leader.SetBounds(map[corianderwing.WorkspaceID]int{w: bound})
	first, second := NewAllocator(5*time.Second, time.Time{}), NewAllocator(5*time.Second, time.Time{})

	first.SetBounds(map[corianderwing.WorkspaceID]int{w: tokens(leader.Allocate("first", demand(20), now))})
	now = now.Add(100 * time.Millisecond)
	leader.Allocate("first", first.Demands(now), now) // the answer is lost
	now = now.Add(100 * time.Millisecond)
	second.SetBounds(map[corianderwing.WorkspaceID]int{w: tokens(leader.Allocate("second", demand(40), now))})
	now = now.Add(100 * time.Millisecond)
	all := tokens(first.Allocate("a", demand(40), now)) + tokens(second.Allocate("b", demand(40), now))
	is.True(all <= bound)
}
