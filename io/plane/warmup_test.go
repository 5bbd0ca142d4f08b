package plane

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
)

// warmingMachine returns a replica that applied, at a time, the announcement of an
// upstream with 3 s of warm-up left.
func warmingMachine(t *testing.T, at time.Time) *model.Machine {
	t.Helper()
	m := model.NewMachine(func() time.Time { return at })
	data, err := model.Encode(&model.Command{Announce: []model.Announcement{{
		Upstream: corianderwing.Upstream{
			ID: "1", Addr: "10.0.0.1:1", Pool: "files", Version: "v1", Domain: "a", Incarnation: 7, Seq: 1, Slots: 5, Phase: corianderwing.Ready,
		},
		WarmupRemaining: 3000,
	}}})
	if err != nil {
		t.Fatal(err)
	}
	m.Apply(1, data)
	return m
}

// Guards against a renewed cold start that is never announced: the control instance that
// gets the heartbeats applied the last announcement late, after a restart or a pause, and
// takes the upstream for cold while all others take it for warm.
func TestWarmupAfterLateAnnouncement(t *testing.T) {
	is := is.New(t)
	announced := time.Unix(1000, 0)
	restarted := announced.Add(time.Minute)
	elsewhere, _ := warmingMachine(t, announced).View().Upstream("1")
	here, _ := warmingMachine(t, restarted).View().Upstream("1")
	now := restarted.Add(500 * time.Millisecond)
	h := &corianderwing.Heartbeat{Upstream: here.Upstream, Cold: 3000}
	is.True(hasChanged(elsewhere, h, now)) // warm for all others
	is.True(hasChanged(here, h, now))
}

// Guards against an upstream that is taken for warm in the last second of a renewed cold
// start, which is less than warmupEndTolerance longer than the one that is known.
func TestWarmupLongerByLessThanTolerance(t *testing.T) {
	is := is.New(t)
	announced := time.Unix(1000, 0)
	u, _ := warmingMachine(t, announced).View().Upstream("1")
	now := announced.Add(2500 * time.Millisecond)
	is.True(hasChanged(u, &corianderwing.Heartbeat{Upstream: u.Upstream, Cold: 1400}, now))
}
