package model

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"corianderwing"
)

// Guards against updates that are passed on with a gap, or do not lead to the state of
// the instance that passes them on.
func TestHistoryLeadsToTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		now := time.Unix(1000, 0)
		views := []*View{New()}
		var h History
		var pending [][]byte
		steps := rapid.IntRange(1, maxHistory+40).Draw(t, "changes")
		for i := 1; i <= steps; i++ {
			c := &Command{Edit: &corianderwing.Edit{Pools: []corianderwing.Pool{{Name: "files", Version: corianderwing.Version(i)}}}}
			data, err := Encode(c)
			is.NoErr(err)
			next, err := views[len(views)-1].Apply(c, now)
			is.NoErr(err)
			views = append(views, next)
			pending = append(pending, data)
			if i < steps && rapid.IntRange(0, 3).Draw(t, "combined with the next") == 0 {
				continue
			}
			from := corianderwing.Revision(i - len(pending))
			h = h.Add(Update{Revision: corianderwing.Revision(i), Commands: pending}, from)
			pending = nil
		}
		have := rapid.IntRange(0, steps-1).Draw(t, "revision of the other")
		list, ok := h.After(corianderwing.Revision(have))
		is.True(ok || have < steps-maxHistory)
		v := views[have]
		for _, u := range list {
			var err error
			v, err = v.Update(u, now)
			is.NoErr(err)
		}
		if ok {
			is.Equal(v.Revision(), views[steps].Revision())
		}
		// A snapshot begins a new history.
		u, err := views[steps].Pack(now)
		is.NoErr(err)
		h = h.Add(u, 0)
		_, ok = h.After(corianderwing.Revision(have))
		is.True(!ok)
		v, err = views[have].Update(u, now)
		is.NoErr(err)
		is.Equal(v.Revision(), corianderwing.Revision(steps))
	})
}
