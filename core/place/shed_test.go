package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// isShed reports whether an upstream rejects a request that arrives now although it
// has a free slot.
func (w *simulation) isShed(u *upstream) bool {
	for _, x := range w.sheds {
		if x.pool == u.model.Pool && w.now >= x.at && w.now < x.at+x.length && w.workRand.Float64() < x.part {
			return true
		}
	}
	return false
}

// Guards against taking upstreams that reject requests for full ones although they
// report free slots, and against forgetting what they cache: the requests that they
// would still take were rejected by the allocator.
func TestReplayedShedding(t *testing.T) {
	is := is.New(t)
	const from, to = 8 * sec, 16 * sec
	s := benches(120, moments{part: 0.15, factor: 2.5, every: 600 * time.Millisecond, reported: true})
	s.sheds = []shed{{"status", 0.55, from, to - from}}
	w := newSimulation(s, 1)
	w.placer = newAllocators(w)
	w.run()
	sum := tally{}
	for _, x := range w.windows[from/window : to/window] {
		sum.requests += x.requests
		sum.refused += x.refused
		sum.failed += x.failed
		sum.inGoal += x.inGoal
	}
	t.Logf("%+v", sum)
	is.True(float64(sum.refused) < 0.05*float64(sum.requests))
}
