package plane

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/quota"
)

// Guards against two allocators of the slots of one failure domain: its own entry
// instances had left a control instance that lags, those of other domains still
// forwarded requests to it.
func TestLaggingControlAllocatesForNobody(t *testing.T) {
	is := is.New(t)
	l := newLeaderState(time.Second)
	newest := corianderwing.Revision(1)
	l.revision = func() corianderwing.Revision { return newest }
	now := time.Unix(1000, 0)
	report := func(id corianderwing.InstanceID, state *corianderwing.Revision) {
		l.recordReport(1, &reportRequest{Replica: id, Domain: "a", Revision: state}, now)
	}
	listed := func(id corianderwing.InstanceID) bool {
		_, _, controls := l.liveInstances(1, now)
		for _, c := range controls {
			if c.PeerAddr == string(id) {
				return true
			}
		}
		return false
	}
	stuck := corianderwing.Revision(1)
	for range 20 { // the state of b trails by one change, that of c does not change, d is of an earlier version
		newest++
		trailing := newest - 1
		report("a", &newest)
		report("b", &trailing)
		report("c", &stuck)
		report("d", nil)
		now = now.Add(reportInterval)
	}
	is.True(listed("a"))
	is.True(listed("b"))
	is.True(!listed("c"))
	is.True(listed("d"))
	report("c", &newest) // its disk works again
	is.True(listed("c"))
	lost := corianderwing.Revision(0)
	report("e", &lost) // joins with an empty disk
	is.True(listed("e"))
	now = now.Add(maxStateAge + time.Millisecond)
	report("e", &lost)
	is.True(!listed("e"))
	is.True(maxStateAge < quota.LeaseDuration)
}
