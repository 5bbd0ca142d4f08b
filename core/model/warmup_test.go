package model

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// announceWarmup returns the view after a heartbeat of incarnation 7 of an upstream.
func announceWarmup(t *testing.T, v *View, seq uint64, remaining corianderwing.Millis, now time.Time) *View {
	t.Helper()
	next, err := v.Apply(&Command{Announce: []Announcement{{
		Upstream: corianderwing.Upstream{
			ID: "1", Addr: "10.0.0.1:1", Pool: "files", Domain: "a", Incarnation: 7, Seq: seq, Slots: 5, Phase: corianderwing.Ready,
		},
		WarmupRemaining: remaining,
	}}}, now)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// Guards against a cold upstream that gets as many requests as a warm one: another control
// instance commits an earlier heartbeat after the one that announced the cold start.
func TestLateAnnouncementKeepsWarmup(t *testing.T) {
	for _, remaining := range []corianderwing.Millis{0, 200} {
		is := is.New(t)
		now := time.Unix(1000, 0)
		v := announceWarmup(t, New(), 5, 0, now)
		v = announceWarmup(t, v, 7, 3000, now)
		v = announceWarmup(t, v, 6, remaining, now.Add(10*time.Millisecond))
		u, ok := v.Upstream("1")
		is.True(ok)
		is.True(!u.WarmupUntil.Before(now.Add(3 * time.Second))) // the later heartbeat holds
	}
}
