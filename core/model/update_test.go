package model

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// announce returns the encoded announcement of an upstream.
func announce(t *testing.T, n int) []byte {
	t.Helper()
	data, err := Encode(&Command{Announce: []Announcement{{Upstream: corianderwing.Upstream{
		ID: corianderwing.UpstreamID(fmt.Sprintf("i-%03d", n)), Incarnation: 1, Pool: "web", Version: "v1", Domain: "a", Addr: fmt.Sprintf("10.0.0.%d:80", n), Slots: 4,
	}}}})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against followers whose view differs from the control instance's after
// a combined update, also if they have some of its commands already: a watch that
// is reopened may overlap the one before it.
func TestCombinedUpdate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	m := NewMachine(func() time.Time { return now })
	evacuate, err := Encode(&Command{Evacuate: &Evacuation{Domain: "a", On: true}})
	is.NoErr(err)
	for i := range 20 {
		data := announce(t, i)
		if i == 10 {
			data = evacuate
		}
		m.Apply(corianderwing.Index(i+1), data)
	}
	want, err := m.View().Save(now)
	is.NoErr(err)
	list, err := m.Updates(0)
	is.NoErr(err)
	combined := Combine(list)
	is.Equal(len(combined), 1)
	for _, known := range []int{0, 1, 10, 11, 19, 20} {
		v := New()
		for i := range known {
			v, err = v.Update(list[i], now)
			is.NoErr(err)
		}
		before := v.NumUpstreams()
		next, err := v.Update(combined[0], now)
		is.NoErr(err)
		is.Equal(v.NumUpstreams(), before) // the old view is unchanged
		got, err := next.Save(now)
		is.NoErr(err)
		is.Equal(got, want)
	}
	// A gap needs a snapshot.
	_, err = New().Update(Combine(list[5:])[0], now)
	is.Equal(corianderwing.CodeOf(err), corianderwing.RevisionConflict)
}

// Guards against the cost of a start at scale: each batch of upstreams that a
// control instance registers reached every entry instance as an update of its
// own, and each copied all upstreams.
func BenchmarkCombinedUpdate(b *testing.B) {
	now := time.Unix(1000, 0)
	m := NewMachine(func() time.Time { return now })
	for i := range 400 {
		data, err := Encode(&Command{Announce: []Announcement{{Upstream: corianderwing.Upstream{
			ID: corianderwing.UpstreamID(fmt.Sprintf("i-%03d", i)), Incarnation: 1, Pool: "web", Version: "v1", Domain: "a", Addr: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200), Slots: 4,
		}}}})
		if err != nil {
			b.Fatal(err)
		}
		m.Apply(corianderwing.Index(i+1), data)
	}
	list, err := m.Updates(0)
	if err != nil {
		b.Fatal(err)
	}
	for _, c := range []struct {
		name    string
		updates []Update
	}{{"single", list}, {"combined", Combine(list)}} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				v := New()
				for _, u := range c.updates {
					if v, err = v.Update(u, now); err != nil {
						b.Fatal(err)
					}
					v.UpstreamsByPool()
				}
			}
		})
	}
}
