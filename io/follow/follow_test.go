package follow

import (
	"testing"
	"time"

	"github.com/matryer/is"

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
