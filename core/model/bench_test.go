package model

import (
	"fmt"
	"testing"
	"time"

	"corianderwing"
)

// largeMachine returns a replica with the upstreams and workspaces of a deployment
// of 300 instances.
func largeMachine(tb testing.TB) *Machine {
	tb.Helper()
	m := NewMachine(time.Now)
	c := &Command{Edit: &corianderwing.Edit{}}
	for i := range 190 {
		c.Edit.WorkspacePolicies = append(c.Edit.WorkspacePolicies, corianderwing.WorkspacePolicy{
			Name: corianderwing.WorkspaceID(fmt.Sprintf("workspace%d", i)), Version: 1, Rate: 50, Burst: 50,
			Keys: []string{fmt.Sprintf("key%017da", i), fmt.Sprintf("key%017db", i)},
		})
	}
	apply := func(i corianderwing.Index, c *Command) {
		data, err := Encode(c)
		if err != nil {
			tb.Fatal(err)
		}
		r, err := DecodeResult(m.Apply(i, data))
		if err != nil || r.Error != nil {
			tb.Fatal(err, r.Error)
		}
	}
	apply(1, c)
	for i := range 647 {
		apply(corianderwing.Index(i+2), &Command{Announce: []Announcement{{Upstream: corianderwing.Upstream{
			ID: corianderwing.UpstreamID(fmt.Sprintf("i-%08x", i)), Incarnation: 1, Seq: 9, Pool: "files", Version: "v1",
			Domain: "cnx-a", Addr: fmt.Sprintf("10.4.%d.%d:8080", i/200, i%200), Slots: 5, Phase: corianderwing.Ready,
		}}}})
	}
	return m
}

// BenchmarkWatchers measures what the first update of a watch costs a control
// instance when many entry instances open one at the same time.
func BenchmarkWatchers(b *testing.B) {
	m := largeMachine(b)
	for b.Loop() {
		if _, err := m.PackedUpdates(0); err != nil {
			b.Fatal(err)
		}
	}
}
