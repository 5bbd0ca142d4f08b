package model

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// Guards against an update that ends the process of every entry instance that
// follows: its revision is so far ahead of the view that the number of missing
// commands is negative as an int.
func TestUpdateWithHugeRevision(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, r := range []corianderwing.Revision{math.MaxUint64, 1 << 63, 1<<63 + 1, 1 << 40} {
		for _, u := range []Update{
			{Revision: r},
			{Revision: r, Command: announce(t, 1)},
			{Revision: r, Commands: [][]byte{announce(t, 1), announce(t, 2)}},
			{Revision: r, Commands: [][]byte{}},
		} {
			is := is.New(t)
			v := New()
			next, err := v.Update(u, now)
			is.Equal(corianderwing.CodeOf(err), corianderwing.RevisionConflict)
			is.Equal(next, v)
		}
	}
}

// Guards against a control instance that cannot answer a watch any longer, because
// its view has a revision that no int holds.
func TestWatchFromHugeRevision(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	m := NewMachine(func() time.Time { return now })
	view := New()
	view.revision = math.MaxUint64 - 1
	m.current.Store(&published{view: view, replaced: make(chan struct{})})
	m.Apply(1, announce(t, 1))
	list, err := m.Updates(3)
	is.NoErr(err)
	is.Equal(len(list), 1)
	is.True(list[0].Snapshot != nil)
}
