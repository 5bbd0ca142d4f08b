package plane

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
)

// announcedCold reports whether a control instance announces a heartbeat of an upstream
// with some warm-up left.
func announcedCold(t *testing.T, p *Plane, seq uint64, cold corianderwing.Millis) bool {
	t.Helper()
	before := p.machine.View().Revision()
	err := p.Heartbeat(t.Context(), corianderwing.Heartbeat{Upstream: corianderwing.Upstream{
		ID: "1", Addr: "10.0.0.1:1", Pool: "files", Version: "v1", Domain: "a", Incarnation: 7, Seq: seq, Slots: 5, Phase: corianderwing.Ready,
	}, Cold: cold})
	if err != nil {
		t.Fatal(err)
	}
	return p.machine.View().Revision() > before
}

// Guards against a renewed cold start that is never announced: the control instance that
// gets the heartbeats applied the last announcement late, after a restart or a pause, and
// takes the upstream for cold while all others take it for warm.
func TestWarmupAfterLateAnnouncement(t *testing.T) {
	is := is.New(t)
	p, _, _ := openSingle(t)
	u := corianderwing.Upstream{
		ID: "1", Addr: "10.0.0.1:1", Pool: "files", Version: "v1", Domain: "a", Incarnation: 7, Seq: 1, Slots: 5, Phase: corianderwing.Ready,
	}
	// Announced by another instance, and applied here only now.
	is.NoErr(p.propose(t.Context(), &model.Command{Announce: []model.Announcement{{Upstream: u, WarmupRemaining: 60_000}}}))
	is.True(announcedCold(t, p, 2, 60_000))
	is.True(!announcedCold(t, p, 3, 1000)) // the same cold start
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
