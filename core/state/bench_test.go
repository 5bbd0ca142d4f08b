package state_test

import (
	"fmt"
	"testing"

	"corianderwing"
	"corianderwing/core/state"
)

// Sizes of a large group. A settings change copies what it modifies, so its cost
// depends on the size of one workspace and of the id tables.
const (
	manyWorkspaces = 200
	manyKeys       = 20_000
	manyOrders     = 100_000
)

// fill returns a replica with the given numbers of workspaces, keys and done orders.
// Each workspace has 3 services with 3 routes each.
func fill(b *testing.B, workspaces, keys, orders int) (*state.Machine, *corianderwing.Index) {
	b.Helper()
	m := state.New("north")
	index := new(corianderwing.Index)
	for w := range workspaces {
		p := corianderwing.Path{Workspace: name("w", w)}
		set(b, m, index, p, &corianderwing.Settings{})
		for s := range 3 {
			p.Service, p.Route = corianderwing.ServiceID(fmt.Sprint("s", s)), ""
			set(b, m, index, p, &corianderwing.Settings{})
			for r := range 3 {
				p.Route = corianderwing.RouteID(fmt.Sprint("r", r))
				prefix := fmt.Sprint("/p", r)
				set(b, m, index, p, &corianderwing.Settings{Prefix: &prefix})
			}
		}
	}
	for k := range keys {
		key := corianderwing.Key{ID: corianderwing.KeyID(fmt.Sprint("k", k)), Workspace: name("w", k%workspaces)}
		key.Hash = corianderwing.HashKey([]byte("secret"), string(key.ID))
		apply(b, m, index, corianderwing.Command{Kind: corianderwing.AddKey, Key: &key})
	}
	answer := &corianderwing.StoredResponse{Status: 201, Body: make([]byte, 300)}
	for o := range orders {
		c := order(corianderwing.ClaimOrder, fmt.Sprint("o", o), "", nil)
		c.Order.Workspace = "w0"
		apply(b, m, index, c)
		s := order(corianderwing.ResolveOrder, fmt.Sprint("o", o), corianderwing.OrderDone, answer)
		s.Order.Workspace = "w0"
		apply(b, m, index, s)
	}
	return m, index
}

func name(prefix string, n int) corianderwing.WorkspaceID {
	return corianderwing.WorkspaceID(fmt.Sprint(prefix, n))
}

func set(b *testing.B, m *state.Machine, index *corianderwing.Index, p corianderwing.Path, s *corianderwing.Settings) {
	b.Helper()
	apply(b, m, index, corianderwing.Command{Kind: corianderwing.SetNode, Base: m.View().Revision(), Path: p, Settings: s})
}

func apply(b *testing.B, m *state.Machine, index *corianderwing.Index, c corianderwing.Command) {
	b.Helper()
	*index++
	c.Request, c.Now = corianderwing.RequestID(fmt.Sprint("r", *index)), startTime
	data, err := state.EncodeCommand(c)
	if err != nil {
		b.Fatal(err)
	}
	if r, err := state.DecodeResult(m.Apply(*index, data)); err != nil || r.Error != nil {
		b.Fatal(err, r.Error)
	}
}

// BenchmarkChange measures a settings change, including the encoding of the command and
// the decoding of its result.
func BenchmarkChange(b *testing.B) {
	m, index := fill(b, manyWorkspaces, manyKeys, 0)
	b.ReportAllocs()
	for b.Loop() {
		set(b, m, index, corianderwing.Path{Workspace: "w7", Service: "s1"}, &corianderwing.Settings{})
	}
}

// BenchmarkOrder measures a ClaimOrder and a ResolveOrder command.
func BenchmarkOrder(b *testing.B) {
	m, index := fill(b, 1, 0, 0)
	answer := &corianderwing.StoredResponse{Status: 201, Body: make([]byte, 300)}
	b.ReportAllocs()
	for b.Loop() {
		key := fmt.Sprint("o", *index)
		c := order(corianderwing.ClaimOrder, key, "", nil)
		c.Order.Workspace = "w0"
		apply(b, m, index, c)
		s := order(corianderwing.ResolveOrder, key, corianderwing.OrderDone, answer)
		s.Order.Workspace = "w0"
		apply(b, m, index, s)
		if *index > 800_000 {
			b.StopTimer()
			m, index = fill(b, 1, 0, 0) // the order table has a size limit
			b.StartTimer()
		}
	}
}

// BenchmarkUpdate measures the cost of a settings change on an entry instance.
func BenchmarkUpdate(b *testing.B) {
	m, index := fill(b, manyWorkspaces, manyKeys, 0)
	before := m.View()
	set(b, m, index, corianderwing.Path{Workspace: "w7", Service: "s1"}, &corianderwing.Settings{})
	updates, ok := m.Updates(before.Revision())
	if !ok || len(updates) != 1 {
		b.Fatal("no update")
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := before.Update(updates[0]); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkKey measures the key lookup of a request.
func BenchmarkKey(b *testing.B) {
	m, _ := fill(b, manyWorkspaces, manyKeys, 0)
	h := corianderwing.HashKey([]byte("secret"), "k17")
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := m.View().Key(h); !ok {
			b.Fatal("no key")
		}
	}
}

// BenchmarkFreeze measures how long a snapshot blocks the application of commands, and
// BenchmarkSave how long the whole snapshot takes.
func BenchmarkFreeze(b *testing.B) {
	m, _ := fill(b, manyWorkspaces, manyKeys, manyOrders)
	for b.Loop() {
		m.Freeze()
	}
}

func BenchmarkSave(b *testing.B) {
	m, _ := fill(b, manyWorkspaces, manyKeys, manyOrders)
	for b.Loop() {
		data, err := m.Save()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "bytes")
	}
}

func BenchmarkRestore(b *testing.B) {
	m, _ := fill(b, manyWorkspaces, manyKeys, manyOrders)
	data, err := m.Save()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if err := state.New("north").Restore(data); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkViewSnapshot measures the cost of a restarted entry instance on a replica.
func BenchmarkViewSnapshot(b *testing.B) {
	m, _ := fill(b, manyWorkspaces, manyKeys, 0)
	for b.Loop() {
		u, err := m.View().WithoutCache().Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(u.Snapshot)), "bytes")
	}
}
