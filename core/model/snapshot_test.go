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
		list, err := m.PackedUpdates(0)
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
	is.True(&first.Packed[0] == &second.Packed[0]) // encoded once
	is.Equal(until(first), now.Add(3*time.Second))

	end := now.Add(3 * time.Second)
	now = now.Add(maxSnapshotAge - time.Millisecond)
	is.True(until(snapshot()).Sub(end) < maxSnapshotAge)
	now = now.Add(time.Millisecond)
	is.Equal(until(snapshot()), end)

	cold(5001)
	is.True(snapshot().Revision > second.Revision)
}

// Guards against the bytes of hundreds of entry instances that fetch the state from
// three seeds, most of them in other failure domains, and against a snapshot that a
// follower of an earlier version cannot read.
func TestSnapshotIsCompressed(t *testing.T) {
	is := is.New(t)
	m := largeMachine(t)
	plain, err := m.Updates(0)
	is.NoErr(err)
	packed, err := m.PackedUpdates(0)
	is.NoErr(err)
	t.Logf("snapshot of %d bytes, %d compressed", len(plain[0].Snapshot), len(packed[0].Packed))
	is.True(5*len(packed[0].Packed) < len(plain[0].Snapshot))
	is.Equal(plain[0].Packed, nil) // a follower that does not ask for it gets none
	for _, u := range []Update{plain[0], packed[0]} {
		v, err := New().Update(u, time.Now())
		is.NoErr(err)
		is.Equal(v.NumUpstreams(), 647)
		is.Equal(v.Revision(), m.View().Revision())
	}
	// A follower that lacks a few changes gets these.
	list, err := m.PackedUpdates(m.View().Revision() - maxPackedUpdates)
	is.NoErr(err)
	is.Equal(len(list), maxPackedUpdates)
}

// Guards against a compressed snapshot that fills the memory of a follower, or is
// damaged.
func TestMalformedPackedSnapshot(t *testing.T) {
	is := is.New(t)
	bomb, err := pack(make([]byte, maxUnpackedBytes+1))
	is.NoErr(err)
	good, err := pack([]byte("x"))
	is.NoErr(err)
	for _, packed := range [][]byte{bomb, good[:len(good)-3], {1, 2, 3}, {}} {
		v := New()
		next, err := v.Update(Update{Revision: 9, Packed: packed}, time.Now())
		is.True(err != nil)
		is.True(next == v || next == nil)
	}
}
