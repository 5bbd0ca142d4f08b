package plane

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/io/clock"
)

// Guards against a renewed cold start that is never announced: the control instance that
// gets the heartbeats applied the last announcement late, after a restart or a pause, and
// takes the upstream for cold while all others take it for warm.
func TestWarmupAfterLateAnnouncement(t *testing.T) {
	is := is.New(t)
	u := corianderwing.Upstream{
		ID: "1", Addr: "10.0.0.1:1", Pool: "files", Version: "v1", Domain: "a", Incarnation: 7, Seq: 1, Slots: 5, Phase: corianderwing.Ready,
	}
	// Announced by another instance, and applied here only now.
	data, err := model.Encode(&model.Command{Announce: []model.Announcement{{Upstream: u, WarmupRemaining: 60_000}}})
	is.NoErr(err)
	p := &Plane{machine: model.NewMachine(time.Now), heartbeats: newHeartbeatTracker(), log: &log.Logger{Level: log.PanicLevel}}
	p.machine.Apply(1, data)
	p.confirmedAt = clock.Boot()
	announced := 0
	p.batch = newBatch(func(_ context.Context, c *model.Command) (corianderwing.Revision, error) {
		announced += len(c.Announce)
		return 0, nil
	})
	heartbeat := func(seq uint64, cold corianderwing.Millis) {
		t.Helper()
		u.Seq = seq
		is.NoErr(p.Heartbeat(t.Context(), corianderwing.Heartbeat{Upstream: u, Cold: cold}))
	}
	heartbeat(2, 60_000)
	is.Equal(announced, 1)
	heartbeat(3, 1000) // of the same cold start
	is.Equal(announced, 1)
}

// Guards against an upstream that is taken for warm in the last second of a renewed cold
// start, which ends less than a second after the one that is known.
func TestWarmupLongerByLessThanSecond(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := newHeartbeatTracker()
	heartbeat := func(seq uint64, cold corianderwing.Millis) *corianderwing.Heartbeat {
		return &corianderwing.Heartbeat{Upstream: corianderwing.Upstream{ID: "1", Incarnation: 7, Seq: seq}, Cold: cold}
	}
	h := heartbeat(1, 3000)
	is.True(!s.outdated(h, now))
	is.True(s.extendsWarmup(h, now))
	s.recordWarmup(h, now)
	now = now.Add(2500 * time.Millisecond)
	h = heartbeat(2, 500)
	is.True(!s.outdated(h, now))
	is.True(!s.extendsWarmup(h, now))
	h = heartbeat(3, 1400)
	is.True(!s.outdated(h, now))
	is.True(s.extendsWarmup(h, now))
}
