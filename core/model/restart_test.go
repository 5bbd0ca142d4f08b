package model

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// Guards against an upstream that left or drains, or a key that was withdrawn, in
// use again after a restart: control instances restore a snapshot, and late
// heartbeats and resent changes of before arrive.
func TestRemovalsSurviveSnapshot(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	apply := func(v *View, c Command) *View {
		next, err := v.Apply(&c, now)
		is.NoErr(err)
		return next
	}
	up := func(id corianderwing.UpstreamID, i corianderwing.Incarnation, phase corianderwing.Phase) Command {
		return Command{Announce: []Announcement{{Upstream: corianderwing.Upstream{
			ID: id, Addr: "10.0.0.1:" + string(id), Pool: "files", Domain: "a", Incarnation: i, Slots: 4, Phase: phase,
		}}}}
	}
	key := func(version corianderwing.Version, keys ...string) Command {
		return Command{Edit: &corianderwing.Edit{WorkspacePolicies: []corianderwing.WorkspacePolicy{{Name: "w", Version: version, Keys: keys}}}}
	}
	v := New()
	for _, c := range []Command{
		up("1", 7, corianderwing.Ready), up("2", 7, corianderwing.Ready), up("3", 7, corianderwing.Ready), key(1, "a", "b"),
		up("1", 7, corianderwing.Draining),
		{Remove: []UpstreamRef{{ID: "2", Incarnation: 7}}},
		{Remove: []UpstreamRef{{ID: "4", Incarnation: 7}}}, // its announcement is still on the way
		{Evacuate: &Evacuation{Domain: "a", On: true}},
		key(2, "b"),
	} {
		v = apply(v, c)
	}
	saved, err := v.Save(now)
	is.NoErr(err)
	v, err = Load(saved, now)
	is.NoErr(err)
	for _, c := range []Command{
		up("1", 7, corianderwing.Ready), up("2", 7, corianderwing.Ready), up("2", 6, corianderwing.Ready),
		up("4", 7, corianderwing.Ready), up("3", 6, corianderwing.Draining), key(1, "a", "b"),
	} {
		v = apply(v, c)
	}
	u, ok := v.Upstream("1")
	is.True(ok)
	is.Equal(u.Phase, corianderwing.Draining)
	_, ok = v.Upstream("2")
	is.True(!ok)
	_, ok = v.Upstream("4")
	is.True(!ok)
	u, _ = v.Upstream("3")
	is.Equal(u.Phase, corianderwing.Ready)
	is.True(v.Evacuated("a"))
	_, ok = v.Items().PolicyByKey("a")
	is.True(!ok)
	_, ok = v.Items().PolicyByKey("b")
	is.True(ok)
}
