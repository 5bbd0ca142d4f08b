package plane

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
)

// Guards against new work for an upstream whose drain is committed after the leader has
// decided to remove it as silent and before the removal, and whose last heartbeat from
// before the drain comes late.
func TestDrainWhileRemovalIsDecided(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	up := corianderwing.Upstream{ID: "1", Addr: "10.0.0.1:1", Pool: "files", Domain: "a", Incarnation: 7, Slots: 4, Phase: corianderwing.Ready}
	draining := up
	draining.Phase = corianderwing.Draining
	v := model.New()
	apply := func(c *model.Command) {
		next, err := v.Apply(c, now)
		is.NoErr(err)
		v = next
	}
	apply(&model.Command{Announce: []model.Announcement{{Upstream: up}}})
	removal := expireCommand(v, []model.UpstreamRef{{ID: "1", Incarnation: 7}})
	apply(&model.Command{Announce: []model.Announcement{{Upstream: draining}}})
	apply(removal)
	apply(&model.Command{Announce: []model.Announcement{{Upstream: up}}})
	_, ok := v.Upstream("1")
	is.True(!ok)
}

// Guards against new work for an upstream that said that it drains: it fell silent
// and was removed, and then a heartbeat arrived that it had sent before, or after the
// control instances had restarted and forgotten its sequence number.
func TestDrainedUpstreamDoesNotReturn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	up := func(id corianderwing.UpstreamID, phase corianderwing.Phase) corianderwing.Upstream {
		return corianderwing.Upstream{ID: id, Addr: "10.0.0.1:" + string(id), Pool: "files", Domain: "a", Incarnation: 7, Slots: 4, Phase: phase}
	}
	apply := func(v *model.View, c *model.Command) *model.View {
		next, err := v.Apply(c, now)
		is.NoErr(err)
		return next
	}
	announce := func(v *model.View, u corianderwing.Upstream) *model.View {
		return apply(v, &model.Command{Announce: []model.Announcement{{Upstream: u}}})
	}
	v := announce(announce(model.New(), up("1", corianderwing.Ready)), up("2", corianderwing.Ready))
	v = announce(v, up("1", corianderwing.Draining))
	v = apply(v, expireCommand(v, []model.UpstreamRef{{ID: "1", Incarnation: 7}, {ID: "2", Incarnation: 7}}))
	is.Equal(v.NumUpstreams(), 0)
	saved, err := v.Save(now)
	is.NoErr(err)
	v, err = model.Load(saved, now) // the control instances restart
	is.NoErr(err)
	v = announce(announce(v, up("1", corianderwing.Ready)), up("2", corianderwing.Ready))
	_, ok := v.Upstream("1")
	is.True(!ok) // the late heartbeat
	_, ok = v.Upstream("2")
	is.True(ok) // was only silent
	next := up("1", corianderwing.Ready)
	next.Incarnation++
	v = announce(v, next)
	_, ok = v.Upstream("1")
	is.True(ok) // started again under its id
}
