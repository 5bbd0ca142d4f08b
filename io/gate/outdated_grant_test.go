package gate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
)

// coldAgain announces that the upstream of the tests is cold.
var coldAgain = model.Command{Announce: []model.Announcement{{
	Upstream: corianderwing.Upstream{
		ID: "i-1", Incarnation: 1, Pool: "files", Version: "v1", Domain: "a", Addr: "127.0.0.1:1", Slots: 100, Phase: corianderwing.Ready,
	},
	WarmupRemaining: 3000,
}}}

// Guards against requests to an upstream that has left, drains, was evacuated or is
// flooded because it is cold again: the slot came from a control instance that lags
// behind the state of this instance, or the request was admitted under a state from
// before that.
func TestGrantOfControlThatLags(t *testing.T) {
	ref := model.UpstreamRef{ID: "i-1", Incarnation: 1}
	draining := model.Announcement{Upstream: corianderwing.Upstream{
		ID: "i-1", Incarnation: 1, Pool: "files", Version: "v1", Domain: "a", Addr: "127.0.0.1:1", Slots: 100, Phase: corianderwing.Draining,
	}}
	for _, c := range []struct {
		name   string
		change model.Command
	}{
		{"left", model.Command{Remove: []model.UpstreamRef{ref}}},
		{"drains", model.Command{Announce: []model.Announcement{draining}}},
		{"evacuated", model.Command{Evacuate: &model.Evacuation{Domain: "a", On: true}}},
		{"cold again", coldAgain},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				control := &pausingControl{grantingControl: newGrantingControl(t, "127.0.0.1:1"), pause: func(*pausingControl) {}}
				s := newTestServer(control, quiet)
				defer s.Close()
				s.NotifyChange()
				synctest.Wait()
				next, err := control.view.Apply(&c.change, time.Now())
				is.NoErr(err)
				control.view = next
				s.NotifyChange()
				synctest.Wait()
				_, no := acquireFrom(t.Context(), s)
				is.True(no != nil)
				is.Equal(control.released.Load(), int32(1))
			})
		})
	}
}

// Guards against requests to an upstream that has left, was evacuated or is flooded
// because it is cold again, on an instance that decides alone: its allocator has not
// followed the state yet.
func TestOwnGrantOfLastState(t *testing.T) {
	for name, change := range map[string]model.Command{
		"left":      {Remove: []model.UpstreamRef{{ID: "i-1", Incarnation: 1}}},
		"evacuated": {Evacuate: &model.Evacuation{Domain: "a", On: true}},
		"cold":      coldAgain,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				control := newGrantingControl(t, "127.0.0.1:1")
				s := newTestServer(silentControl{control}, quiet)
				defer s.Close()
				s.NotifyChange()
				synctest.Wait()
				next, err := control.view.Apply(&change, time.Now())
				is.NoErr(err)
				control.view = next // the allocator has not been told
				_, no := acquireFrom(t.Context(), s)
				is.True(no != nil)
				is.Equal(no.err.Execution, corianderwing.NotExecuted)
			})
		})
	}
}

// Guards against requests to a bad version after its move was rolled back: the slot came
// from a control instance that does not know the roll-back yet.
func TestGrantOfRolledBackVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		control := &pausingControl{grantingControl: newGrantingControl(t, "127.0.0.1:1"), pause: func(*pausingControl) {}}
		apply := func(c model.Command) {
			next, err := control.view.Apply(&c, time.Now())
			is.NoErr(err)
			control.view = next
		}
		apply(model.Command{Announce: []model.Announcement{{Upstream: corianderwing.Upstream{
			ID: "i-2", Incarnation: 1, Pool: "files", Version: "v2", Domain: "a", Addr: "127.0.0.1:2", Slots: 100, Phase: corianderwing.Ready,
		}}}})
		move := corianderwing.Move{ID: "files.v2", Pool: "files", To: "v2", Start: time.Now(), By: time.Now().Add(time.Minute)}
		apply(model.Command{Move: &move})
		control.upstream, _ = control.view.Upstream("i-2")
		s := newTestServer(control, quiet)
		defer s.Close()
		s.NotifyChange()
		synctest.Wait()
		acquire := func() corianderwing.VersionID {
			sl, no := acquireFrom(t.Context(), s)
			if no != nil {
				return ""
			}
			return sl.upstream.Version
		}
		is.Equal(acquire(), corianderwing.VersionID("v2")) // during the move
		move.Outcome = corianderwing.RolledBack
		apply(model.Command{EndMove: &move})
		s.NotifyChange()
		synctest.Wait()
		is.True(acquire() != "v2")
	})
}
