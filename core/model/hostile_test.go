package model

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/internal/extreme"
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

// Guards against one malformed command that ends the process of every replica, and
// of every entry instance, each time that it is applied; and against a state that
// cannot be saved and loaded after it.
func TestHostileCommands(t *testing.T) {
	names := []string{"", "a", "files", "web", "v1", "10.0.0.1:80", "i-1", "i-2", "ready", "drain", "/", "/files/", "rule", "moving", "done"}
	runs := rand.New(rand.NewPCG(1, 1))
	applied := 0
	for range 300 {
		is := is.New(t)
		now := time.Unix(1000, 0)
		m := NewMachine(func() time.Time { return now })
		follower := New()
		for i := range 30 {
			c := new(Command)
			extreme.Fill(runs, names, c)
			if c.Edit != nil && runs.IntN(4) > 0 {
				c.Edit = nil // the other changes come after it
			}
			data, err := Encode(c)
			is.NoErr(err)
			before := m.View()
			result, err := DecodeResult(m.Apply(corianderwing.Index(i+1), data))
			is.NoErr(err)
			if result.Error == nil {
				applied++
			}
			list, err := m.Updates(follower.Revision())
			is.NoErr(err)
			for _, u := range list {
				follower, err = follower.Update(u, now)
				is.NoErr(err)
			}
			is.True(m.View().Revision() >= before.Revision())
		}
		want, err := m.View().Save(now)
		is.NoErr(err)
		got, err := follower.Save(now)
		is.NoErr(err)
		is.Equal(got, want)
		loaded, err := Load(want, now)
		is.NoErr(err)
		loaded.UpstreamsByPool()
		loaded.Items().All()
		loaded.Items().MatchRule("a", "/files/1")
	}
	is.New(t).True(applied > 1000)
}

// Guards against one malformed snapshot that ends the process of a replica or of an
// entry instance that loads it.
func TestHostileSnapshots(t *testing.T) {
	names := []string{"", "a", "files", "i-1", "/", "/files/"}
	runs := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		is := is.New(t)
		now := time.Unix(1000, 0)
		s := new(viewSnapshot)
		extreme.Fill(runs, names, s)
		data, err := encMode.Marshal(s)
		is.NoErr(err)
		v, err := New().Update(Update{Revision: s.Revision, Snapshot: data}, now)
		if err != nil {
			continue
		}
		c := new(Command)
		extreme.Fill(runs, names, c)
		if next, err := v.Apply(c, now); err == nil {
			v = next
		}
		v.UpstreamsByPool()
		v.Items().All()
		v.Items().MatchRule("a", "/files/1")
		_, err = v.Save(now)
		is.NoErr(err)
	}
}

// Guards against a view that goes back to an earlier revision, with upstreams that
// have left since: an update holds the snapshot of another revision.
func TestSnapshotOfOtherRevision(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	m := NewMachine(func() time.Time { return now })
	for i := range 3 {
		m.Apply(corianderwing.Index(i+1), announce(t, i))
	}
	old, err := m.View().Save(now)
	is.NoErr(err)
	packed, err := pack(old)
	is.NoErr(err)
	m.Apply(4, announce(t, 4))
	v := m.View()
	for _, u := range []Update{{Revision: 9, Snapshot: old}, {Revision: 9, Packed: packed}} {
		next, err := v.Update(u, now)
		is.Equal(corianderwing.CodeOf(err), corianderwing.RevisionConflict)
		is.Equal(next, v)
	}
}
