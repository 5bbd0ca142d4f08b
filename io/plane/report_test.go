package plane

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/model"
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
	q := &reportRequest{Upstreams: p.heartbeats.take(now)}
	is.Equal(q.Upstreams, []uint32{7})
	p.restoreReport(q, now)
	is.Equal(p.heartbeats.take(now.Add(time.Second)), []uint32{7})
	p.restoreReport(q, now)
	is.Equal(p.heartbeats.take(now.Add(maxReportedAge)), []uint32{}) // proves nothing any longer
}

// Guards against removing every upstream after the leader was suspended: it had
// received no heartbeats meanwhile, although the upstreams were sending them.
func TestSuspendedLeaderRemovesNoUpstream(t *testing.T) {
	is := is.New(t)
	view, err := model.New().Apply(&model.Command{Announce: []model.Announcement{{Upstream: corianderwing.Upstream{
		ID: "u", Pool: "files", Domain: "a", Incarnation: 1, Slots: 4, Phase: corianderwing.Ready,
	}}}}, time.Unix(1000, 0))
	is.NoErr(err)
	u, _ := view.Upstream("u")
	const interval = 1500 * time.Millisecond
	l := newLeaderState(interval)
	l.revision = view.Revision
	now := time.Unix(2000, 0)
	check := func(heartbeat bool) int {
		now = now.Add(interval / 2)
		if heartbeat {
			l.recordReport(1, &reportRequest{Replica: "r", Upstreams: []uint32{u.ShortID}}, now)
		}
		return len(l.expiredUpstreams(1, view, now))
	}
	for range 20 {
		is.Equal(check(true), 0)
	}
	now = now.Add(8 * time.Second) // suspended
	is.Equal(check(false), 0)
	silent := 0
	for check(false) == 0 {
		silent++
	}
	// The timeout starts again: an upstream that is silent from then on is removed.
	is.True(time.Duration(silent)*interval/2 >= (maxMissedHeartbeats-1)*interval)
	is.True(time.Duration(silent)*interval/2 <= 3*maxMissedHeartbeats*interval)
}

// Guards against a control instance that remembers every upstream which ever sent it
// a heartbeat: each start of an upstream has a new id.
func TestSilentUpstreamsAreForgotten(t *testing.T) {
	is := is.New(t)
	s := newHeartbeatTracker()
	now := time.Unix(1000, 0)
	h := corianderwing.Heartbeat{Upstream: corianderwing.Upstream{ID: "u", Incarnation: 1, Seq: 4}}
	is.True(!s.outdated(&h, now))
	h.Seq = 3
	s.forgetSilent(now.Add(lastSeqTTL - 1))
	is.True(s.outdated(&h, now))
	s.forgetSilent(now.Add(lastSeqTTL))
	is.Equal(len(s.lastSeqs), 0)
}

// Guards against the removal of healthy upstreams that reach only a control instance
// which the leader does not hear: it acknowledged their heartbeats, so that they asked no
// other one.
func TestHeartbeatNeedsContactWithLeader(t *testing.T) {
	is := is.New(t)
	u := leavingUpstream(7)
	data, err := model.Encode(&model.Command{Announce: []model.Announcement{{Upstream: u}}})
	is.NoErr(err)
	p := &Plane{machine: model.NewMachine(time.Now), heartbeats: newHeartbeatTracker(), log: &log.Logger{Level: log.PanicLevel}}
	p.machine.Apply(1, data)
	leader := false
	p.knowsLeader = func() bool { return leader }
	heartbeat := func(silence time.Duration) error {
		p.confirmedAt = clock.Boot().Add(-silence)
		u.Seq++
		return p.Heartbeat(t.Context(), corianderwing.Heartbeat{Upstream: u})
	}
	is.NoErr(heartbeat(time.Second))
	is.Equal(corianderwing.CodeOf(heartbeat(maxReportedAge)), corianderwing.NoLeader)
	is.Equal(len(p.heartbeats.take(clock.Boot())), 1) // reported if the contact returns
	leader = true
	is.NoErr(heartbeat(maxReportedAge)) // it is only too busy to answer
}
