package model

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// Guards against a command that cannot be decoded and stops the replica: it changes
// nothing, and the commands behind it are applied.
func TestOddCommandIsSkipped(t *testing.T) {
	is := is.New(t)
	m := NewMachine(func() time.Time { return time.Unix(1000, 0) })
	m.Apply(1, announce(t, 1))
	invalidUTF8, err := Encode(&Command{Announce: []Announcement{{Upstream: corianderwing.Upstream{ID: "i-\xff"}}}})
	is.NoErr(err)
	nested := make([]byte, 100_000)
	for i := range nested {
		nested[i] = 0x81 // an array of one element
	}
	hugeSlots, err := encMode.Marshal(map[string]any{"announce": []any{map[string]any{"id": "i-3", "slots": 1e300}}})
	is.NoErr(err)
	negativeSeq, err := encMode.Marshal(map[string]any{"announce": []any{map[string]any{"id": "i-3", "seq": -1}}})
	is.NoErr(err)
	for i, data := range [][]byte{nil, {0xff}, nested, invalidUTF8, hugeSlots, negativeSeq} {
		r, err := DecodeResult(m.Apply(corianderwing.Index(i+2), data))
		is.NoErr(err)
		is.True(r.Error != nil)
		is.Equal(m.View().NumUpstreams(), 1)
	}
	m.Apply(100, announce(t, 2))
	is.Equal(m.View().NumUpstreams(), 2)
	list, err := m.Updates(0)
	is.NoErr(err)
	v := New()
	for _, u := range list {
		v, err = v.Update(u, time.Unix(1000, 0))
		is.NoErr(err) // followers get nothing that they cannot decode
	}
	is.Equal(v.NumUpstreams(), 2)
}

// Guards against a state, written before heartbeats were checked as strictly, that
// holds an upstream whose slots overflow sums, whose ID adds header lines, or whose
// address leads nowhere: it is offered to no reader, in whatever way the state
// arrives, and the leader still sees it, to remove it.
func TestOddUpstreamsAreNotOffered(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	good := corianderwing.Upstream{
		ID: "i-1", Incarnation: 1, Pool: "web", Version: "v1", Domain: "a", Addr: "10.0.0.1:80", Slots: 4, Phase: corianderwing.Ready,
	}
	odd := func(id corianderwing.UpstreamID, change func(u *corianderwing.Upstream)) Announcement {
		u := good
		u.ID, u.Addr = id, "10.0.1.1:"+string(id[len(id)-1])
		change(&u)
		return Announcement{Upstream: u}
	}
	m := NewMachine(func() time.Time { return now })
	data, err := Encode(&Command{Announce: []Announcement{
		{Upstream: good},
		odd("i-2", func(u *corianderwing.Upstream) { u.Slots = math.MaxInt64 }),
		odd("i-3", func(u *corianderwing.Upstream) { u.Slots = -1 }),
		odd("i-4", func(u *corianderwing.Upstream) { u.Addr = "10.0.0.2:0" }),
		odd("i-5", func(u *corianderwing.Upstream) { u.Addr = "10.0.0.2:70000" }),
		odd("i\r\nX-Tenant: 6", func(*corianderwing.Upstream) {}),
		{Upstream: corianderwing.Upstream{ID: "i-7", Incarnation: 1, Pool: "web", Version: "v1", Domain: "a", Addr: "10.0.0.7:80", Slots: 4}, WarmupRemaining: math.MaxInt64},
	}})
	is.NoErr(err)
	m.Apply(1, data)
	plain, err := m.View().Save(now)
	is.NoErr(err)
	loaded, err := Load(plain, now)
	is.NoErr(err)
	packed, err := pack(plain)
	is.NoErr(err)
	unpacked, err := New().Update(Update{Revision: 1, Packed: packed}, now)
	is.NoErr(err)
	followed, err := New().Update(Update{Revision: 1, Command: data}, now)
	is.NoErr(err)
	for name, v := range map[string]*View{"replica": m.View(), "snapshot": loaded, "packed": unpacked, "command": followed} {
		var ids []corianderwing.UpstreamID
		for _, u := range v.PoolUpstreams("web") {
			ids = append(ids, u.ID)
		}
		if !slices.Equal(ids, []corianderwing.UpstreamID{"i-1", "i-7"}) {
			t.Errorf("%s: offered upstreams are %q", name, ids)
		}
		is.Equal(v.NumUpstreams(), 7)
	}
}
