package plane

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/model"
)

func leavingUpstream(i corianderwing.Incarnation) corianderwing.Upstream {
	return corianderwing.Upstream{
		ID: "1", Addr: "10.0.0.1:1", Pool: "files", Version: "v1", Domain: "a", Incarnation: i, Seq: 1, Slots: 5, Phase: corianderwing.Ready,
	}
}

// Guards against requests at an upstream after its leave was acknowledged: it had been
// removed for missing heartbeats, its leave named no incarnation, and a heartbeat from
// before was committed afterwards.
func TestUpstreamThatLeftDoesNotReturn(t *testing.T) {
	is := is.New(t)
	p, _, _ := openSingle(t)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	announce := func(i corianderwing.Incarnation) {
		is.NoErr(p.propose(ctx, &model.Command{Announce: []model.Announcement{{Upstream: leavingUpstream(i)}}}))
	}
	announce(7)
	is.NoErr(p.propose(ctx, &model.Command{Expire: []model.UpstreamRef{{ID: "1", Incarnation: 7}}}))
	is.NoErr(p.RemoveUpstream(ctx, "1", 0))
	announce(7)
	_, ok := p.machine.View().Upstream("1")
	is.True(!ok) // the late heartbeat
	announce(8)
	_, ok = p.machine.View().Upstream("1")
	is.True(ok) // started again under its id
}

// Guards against the ack of a leave that removes nothing: the control instance lags, and
// does not know the upstream, or only an earlier incarnation of it.
func TestLeaveAcknowledgedByLaggingControl(t *testing.T) {
	for _, known := range []corianderwing.Incarnation{0, 6} {
		is := is.New(t)
		committed, lagging := model.NewMachine(time.Now), model.NewMachine(time.Now)
		apply := func(c *model.Command, machines ...*model.Machine) {
			data, err := model.Encode(c)
			is.NoErr(err)
			for _, m := range machines {
				m.Apply(m.Applied()+1, data)
			}
		}
		if known > 0 {
			apply(&model.Command{Announce: []model.Announcement{{Upstream: leavingUpstream(known)}}}, committed, lagging)
		}
		apply(&model.Command{Announce: []model.Announcement{{Upstream: leavingUpstream(7)}}}, committed)
		p := &Plane{machine: lagging, heartbeats: newHeartbeatTracker(), log: &log.Logger{Level: log.PanicLevel}}
		p.confirmed = func(context.Context) (*model.View, error) { return committed.View(), nil }
		p.batch = newBatch(func(_ context.Context, c *model.Command) (corianderwing.Revision, error) {
			apply(c, committed)
			return committed.View().Revision(), nil
		})
		is.NoErr(p.RemoveUpstream(t.Context(), "1", 0))
		_, ok := committed.View().Upstream("1")
		is.True(!ok)
	}
}
