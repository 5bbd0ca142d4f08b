package follow

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/model"
)

// Guards against reporting a new route as nonexistent: the lease on the state is
// longer than changes take to come into force, and the instance may have lost
// contact or may follow a control instance that has.
func TestCurrentIsShorterThanFresh(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	now := start
	f := &Follower{cfg: Config{Lease: 4 * time.Second, CurrentFor: 1500 * time.Millisecond, Now: func() time.Time { return now }}}
	f.state.Store(&state{view: model.New(), known: true})
	is.True(!f.IsCurrent())
	f.confirm(0, start.Add(f.cfg.Lease))
	for _, c := range []struct {
		after          time.Duration
		current, fresh bool
	}{
		{0, true, true},
		{1400 * time.Millisecond, true, true},
		{1600 * time.Millisecond, false, true},
		{4100 * time.Millisecond, false, false},
	} {
		now = start.Add(c.after)
		is.Equal(f.IsCurrent(), c.current)
		is.Equal(f.IsFresh(), c.fresh)
	}
	// A confirmation of a revision that the view has not reached has no effect.
	now = start
	f.confirm(corianderwing.Revision(7), start.Add(time.Hour))
	now = start.Add(2 * time.Second)
	is.True(!f.IsCurrent())
}

// followerAndUpdates returns a Follower without a state, and three updates that follow
// each other.
func followerAndUpdates(t *testing.T, now time.Time) (*Follower, []model.Update) {
	is := is.New(t)
	f := &Follower{cfg: Config{Lease: 4 * time.Second, Now: func() time.Time { return now }, Log: &log.Logger{Level: log.PanicLevel}}}
	f.state.Store(&state{view: model.New()})
	m := model.NewMachine(func() time.Time { return now })
	for i, on := range []bool{true, false, true} {
		data, err := model.Encode(&model.Command{Evacuate: &model.Evacuation{Domain: "a", On: on}})
		is.NoErr(err)
		m.Apply(corianderwing.Index(i+1), data)
	}
	list, err := m.Updates(0)
	is.NoErr(err)
	return f, list
}

// Guards against using upstreams that have left: an entry instance that starts
// follows a control instance that has just restarted, and gets the state from
// before its restart.
func TestStateOfRestartedControl(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f, list := followerAndUpdates(t, now)
	known := func() bool {
		_, known := f.View()
		return known
	}
	is.NoErr(f.apply(&list[0]))
	is.True(!known()) // no leader has confirmed this state
	f.confirm(3, now.Add(f.cfg.Lease))
	is.True(!known()) // it lags behind
	is.NoErr(f.apply(&list[1]))
	is.True(!known())
	is.NoErr(f.apply(&list[2]))
	is.True(known())
	is.True(f.IsFresh())
}

// Guards against using upstreams that have left, or keys that were revoked: after an
// update that did not apply, the state was discarded, and the next one came from a
// control instance that lags behind. The state must not go back.
func TestDiscardedStateDoesNotGoBack(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f, list := followerAndUpdates(t, now)
	for i := range list {
		is.NoErr(f.apply(&list[i]))
	}
	f.confirm(3, now.Add(f.cfg.Lease))
	_, known := f.View()
	is.True(known)
	err := f.apply(&model.Update{Revision: 9, Command: list[0].Command})
	is.Equal(corianderwing.CodeOf(err), corianderwing.RevisionConflict)
	is.NoErr(f.apply(&list[0])) // the first update after the conflict, from a lagging control instance
	is.NoErr(f.apply(&list[1]))
	_, known = f.View()
	is.True(!known) // revision 2 after revision 3
	is.True(!f.IsFresh())
	is.NoErr(f.apply(&list[2]))
	_, known = f.View()
	is.True(known)
	is.True(f.IsFresh())
}

// Guards against a state that counts as old although it trails by one heartbeat only:
// each confirmation replaced the one before, whose revision the state was about to reach.
func TestStateThatTrailsIsCurrent(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := &Follower{cfg: Config{
		Lease: 4600 * time.Millisecond, CurrentFor: 2100 * time.Millisecond,
		Now: func() time.Time { return now }, Log: &log.Logger{Level: log.PanicLevel},
	}}
	f.state.Store(&state{view: model.New()})
	m := model.NewMachine(func() time.Time { return now })
	for i := 1; i <= 20; i++ {
		data, err := model.Encode(&model.Command{Evacuate: &model.Evacuation{Domain: "a", On: i%2 == 1}})
		is.NoErr(err)
		m.Apply(corianderwing.Index(i), data)
	}
	list, err := m.Updates(0)
	is.NoErr(err)
	for i := range list {
		f.confirm(list[i].Revision, now.Add(f.cfg.Lease)) // a heartbeat
		if i > 0 {
			is.NoErr(f.apply(&list[i-1])) // the watch is one change behind
			is.True(f.IsCurrent())
			is.Equal(f.StateAge(), heartbeatInterval)
		}
		now = now.Add(heartbeatInterval)
	}
}
