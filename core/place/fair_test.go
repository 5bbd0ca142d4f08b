package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"corianderwing"
)

// pickWorkspace returns the workspace of the next request.
func (w *simulation) pickWorkspace(rng *rand.Rand) corianderwing.WorkspaceID {
	if len(w.workspaces) == 0 {
		return ""
	}
	sum := 0.0
	for _, x := range w.workspaces {
		sum += x.load
	}
	at := rng.Float64() * sum
	for _, x := range w.workspaces {
		if at -= x.load; at < 0 {
			return x.id
		}
	}
	return w.workspaces[0].id
}

func (w *simulation) weightOf(id corianderwing.WorkspaceID) float64 {
	for _, x := range w.workspaces {
		if x.id == id {
			return x.weight
		}
	}
	return 0
}

// crowded models more requests than slots: one workspace sends eight times its agreed
// rate, beside a large one and many small ones at theirs.
func crowded(divided bool) deployment {
	s := threadworks(160)
	s.workspaces = []workspace{{"hot", 10, 80}, {"large", 40, 40}}
	for i := range 20 {
		s.workspaces = append(s.workspaces, workspace{corianderwing.WorkspaceID(fmt.Sprintf("small-%d", i)), 2, 2})
	}
	s.divided = divided
	return s
}

// Guards against a workspace at many times its rate that takes the slots of the
// others while requests wait, and against a division that leaves slots unused. The
// owners of all queues are lost once: their successors do not know who used what.
func TestReplayedHotWorkspace(t *testing.T) {
	is := is.New(t)
	play := func(divided, lost bool) (all, hot, worst float64) {
		w := newSimulation(crowded(divided), 1)
		d := newAllocators(w)
		w.placer = d
		for _, x := range w.domains {
			if lost {
				w.after(10*sec, func() { d.takeOver(x.id, 0) })
			}
		}
		w.run()
		hot = w.spaces["hot"].value / w.spaces["hot"].maxValue
		delete(w.spaces, "hot")
		return w.total.value / w.total.maxValue, hot, lowest(w.spaces)
	}
	for _, lost := range []bool{false, true} {
		all, hot, worst := play(false, lost)
		dividedAll, dividedHot, dividedWorst := play(true, lost)
		t.Logf("owners lost %v: all, hot and worst other workspace: undivided %.3f %.3f %.3f, divided %.3f %.3f %.3f",
			lost, all, hot, worst, dividedAll, dividedHot, dividedWorst)
		is.True(dividedWorst > worst)
		is.True(dividedWorst > dividedHot)
		is.True(dividedAll >= all)
	}
}
