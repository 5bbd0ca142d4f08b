package model

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// Guards against a replica that encodes its whole view for each of a hundred
// followers that start at the same time, and against a snapshot that is kept so long
// that upstreams look cold for too long.
func TestSnapshotIsShared(t *testing.T) {
	is := is.New(t)
	m := largeMachine(t)
	now := time.Unix(1000, 0)
	m.now = func() time.Time { return now }
	cold := func(i corianderwing.Index) {
		data, err := Encode(&Command{Announce: []Announcement{{
			Upstream:        corianderwing.Upstream{ID: "cold", Incarnation: corianderwing.Incarnation(i), Pool: "files", Domain: "a", Addr: "10.0.0.1:1", Slots: 1},
			WarmupRemaining: 3000,
		}}})
		is.NoErr(err)
		m.Apply(i, data)
	}
	snapshot := func() Update {
		list, err := m.Updates(0)
		is.NoErr(err)
		is.Equal(len(list), 1)
		return list[0]
	}
	until := func(u Update) time.Time {
		v, err := New().Update(u, now)
		is.NoErr(err)
		x, ok := v.Upstream("cold")
		is.True(ok)
		return x.WarmupUntil
	}
	cold(5000)
	first, second := snapshot(), snapshot()
	is.True(&first.Snapshot[0] == &second.Snapshot[0]) // encoded once
	is.Equal(until(first), now.Add(3*time.Second))

	end := now.Add(3 * time.Second)
	now = now.Add(maxSnapshotAge - time.Millisecond)
	is.True(until(snapshot()).Sub(end) < maxSnapshotAge)
	now = now.Add(time.Millisecond)
	is.Equal(until(snapshot()), end)

	cold(5001)
	is.True(snapshot().Revision > second.Revision)
}
