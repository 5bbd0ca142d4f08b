package model

import (
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
