package plane

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/io/clock"
)

// Guards against running upstreams that are removed as silent: their heartbeats
// had reached a control instance, but its reports to a busy leader timed out and
// took the heartbeats with them.
func TestFailedReportKeepsHeartbeats(t *testing.T) {
	is := is.New(t)
	p := &Plane{heartbeats: newHeartbeatTracker()}
	now := clock.Boot()
	p.heartbeats.record(7, now)
	q := &reportRequest{Upstreams: p.heartbeats.take(now), Trials: []Trial{{Move: "m"}}}
	is.Equal(q.Upstreams, []uint32{7})
	p.restoreReport(q, now, context.DeadlineExceeded)
	is.Equal(p.heartbeats.take(now.Add(time.Second)), []uint32{7})
	is.Equal(len(p.trials), 0) // the leader may have counted them
	p.restoreReport(q, now, errNoLeaderKnown)
	is.Equal(p.trials, []Trial{{Move: corianderwing.RequestID("m")}})
	is.Equal(p.heartbeats.take(now.Add(maxReportedAge)), []uint32{}) // proves nothing any longer
}
