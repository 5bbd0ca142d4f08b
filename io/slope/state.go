package slope

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"time"

	"corianderwing"
	"corianderwing/core/state"
	"corianderwing/core/table"
)

// filler applies commands to a machine.
type filler struct {
	machine *state.Machine
	index   corianderwing.Index
	err     error
}

func newFiller() *filler { return &filler{machine: state.New("g0")} }

func (f *filler) apply(c corianderwing.Command) {
	f.index++
	c.Request = corianderwing.RequestID(fmt.Sprint("r", f.index))
	c.Now = time.Unix(1_800_000_000, 0)
	c.Base = f.machine.View().Revision()
	data, err := state.EncodeCommand(c)
	if err != nil {
		f.err = err
		return
	}
	if r, err := state.DecodeResult(f.machine.Apply(f.index, data)); err != nil {
		f.err = err
	} else if r.Error != nil {
		f.err = r.Error
	}
}

func (f *filler) workspaces(n int) {
	for i := range n {
		f.apply(setWorkspace(i))
	}
}

func setWorkspace(i int) corianderwing.Command {
	rate := corianderwing.TokensPerSecond(100 + i)
	return corianderwing.Command{
		Kind:     corianderwing.SetNode,
		Path:     corianderwing.Path{Workspace: workspace(i)},
		Settings: &corianderwing.Settings{Rate: &rate},
	}
}

func workspace(i int) corianderwing.WorkspaceID {
	return corianderwing.WorkspaceID(fmt.Sprint("w", i))
}

func (f *filler) routes(n int) {
	f.workspaces(1)
	p := corianderwing.Path{Workspace: workspace(0), Service: "s"}
	f.apply(corianderwing.Command{Kind: corianderwing.SetNode, Path: p, Settings: &corianderwing.Settings{}})
	for i := range n {
		prefix := fmt.Sprint("/p", i)
		p.Route = corianderwing.RouteID(fmt.Sprint("r", i))
		f.apply(corianderwing.Command{Kind: corianderwing.SetNode, Path: p, Settings: &corianderwing.Settings{Prefix: &prefix}})
	}
}

func (f *filler) keys(n int) {
	f.workspaces(1)
	for i := range n {
		key := corianderwing.Key{ID: corianderwing.KeyID(fmt.Sprint("k", i)), Workspace: workspace(0)}
		key.Hash = corianderwing.HashKey([]byte("secret"), string(key.ID))
		f.apply(corianderwing.Command{Kind: corianderwing.AddKey, Key: &key})
	}
}

func (f *filler) orders(n int) {
	f.workspaces(1)
	for i := range n {
		o := corianderwing.Order{Workspace: workspace(0), Key: fmt.Sprint("o", i), Fingerprint: 1, Holder: corianderwing.RequestID(fmt.Sprint("h", i))}
		f.apply(corianderwing.Command{Kind: corianderwing.ClaimOrder, Order: &o})
		settled := o
		settled.State = corianderwing.OrderDone
		settled.Response = &corianderwing.StoredResponse{Status: 201, Body: make([]byte, 300)}
		f.apply(corianderwing.Command{Kind: corianderwing.ResolveOrder, Order: &settled})
	}
}

const stateBasis = "core/state alone, no log; snapshot is Machine.Save, replica memory the live heap of a machine restored from it (with the results of the requests that filled it), entry memory that of a view restored from its snapshot. A workspace is its node, a key has 32 bytes of hash, an order is done with an answer of 300 bytes"

// states measures what each kind of item takes.
func states(_ context.Context, s Sizes, _ string) ([]Series, error) {
	kinds := []struct {
		name string
		fill func(*filler, int)
	}{
		{"workspaces", (*filler).workspaces},
		{"routes", (*filler).routes},
		{"keys", (*filler).keys},
		{"orders", (*filler).orders},
	}
	var all []Series
	for _, k := range kinds {
		saved := Series{Role: "control", Cost: "snapshot", Unit: "B", Per: k.name, Basis: stateBasis}
		memory := Series{Role: "control", Cost: "replica memory", Unit: "B", Per: k.name, Basis: stateBasis}
		view := Series{Role: "entry", Cost: "entry memory", Unit: "B", Per: k.name, Basis: stateBasis}
		for _, n := range s.Items {
			a, b, c, err := sizeOf(func(f *filler) { k.fill(f, n) })
			if err != nil {
				return nil, err
			}
			saved.Points = append(saved.Points, Point{float64(n), a})
			memory.Points = append(memory.Points, Point{float64(n), b})
			view.Points = append(view.Points, Point{float64(n), c})
		}
		all = append(all, saved, memory)
		if k.name != "orders" {
			all = append(all, view)
		}
	}
	return all, nil
}

func sizeOf(fill func(*filler)) (saved, memory, view float64, err error) {
	f := newFiller()
	fill(f)
	if f.err != nil {
		return 0, 0, 0, f.err
	}
	data, err := f.machine.Save()
	if err != nil {
		return 0, 0, 0, err
	}
	update, err := f.machine.View().Snapshot()
	if err != nil {
		return 0, 0, 0, err
	}
	before := heap()
	m := state.New("g0")
	if err := m.Restore(data); err != nil {
		return 0, 0, 0, err
	}
	memory = heap() - before
	before = heap()
	v, err := state.NewView("g0").Update(update)
	if err != nil {
		return 0, 0, 0, err
	}
	view = heap() - before
	runtime.KeepAlive(f)
	runtime.KeepAlive(m)
	runtime.KeepAlive(v)
	runtime.KeepAlive(data)
	return float64(len(data)), memory, view, nil
}

const lookupBasis = "core/table alone, on one core, random addresses of random blocks (IPv4 of 16 to 24 bits, IPv6 of 32 to 48); no network, no HTTP, no client protocol"

// lookups measures the table of client blocks.
func lookups(_ context.Context, s Sizes, _ string) ([]Series, error) {
	var all []Series
	for _, six := range []bool{false, true} {
		family := "IPv4"
		if six {
			family = "IPv6"
		}
		took := Series{Role: "lookup", Cost: family + " lookup", Unit: "ns", Per: "blocks", Basis: lookupBasis}
		size := Series{Role: "lookup", Cost: family + " table", Unit: "B", Per: "blocks", Basis: lookupBasis}
		for _, n := range s.Blocks {
			t := new(table.Table)
			changes := blocks(n, six)
			before := heap()
			if err := t.Apply(changes); err != nil {
				return nil, err
			}
			size.Points = append(size.Points, Point{float64(n), heap() - before})
			took.Points = append(took.Points, Point{float64(n), lookupTime(t, changes)})
		}
		all = append(all, took, size)
	}
	return all, nil
}

// blocks draws distinct client blocks.
func blocks(n int, six bool) []table.Change {
	rng := rand.New(rand.NewPCG(1, 2))
	seen := make(map[netip.Prefix]bool, n)
	all := make([]table.Change, 0, n)
	for len(all) < n {
		v := rng.Uint64()
		p := netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(v), byte(v >> 8), byte(v >> 16)}), 16+rng.IntN(9)).Masked()
		if six {
			p = netip.PrefixFrom(netip.AddrFrom16([16]byte{0x20 | byte(v&15), byte(v >> 8), byte(v >> 16), byte(v >> 24), byte(v >> 32), byte(v >> 40)}), 32+rng.IntN(17)).Masked()
		}
		if seen[p] {
			continue
		}
		seen[p] = true
		all = append(all, table.Change{Block: table.Block{Prefix: p, Site: table.Site(len(all) % 440)}})
	}
	return all
}

// lookupTime returns the mean time of a lookup in nanoseconds of CPU.
func lookupTime(t *table.Table, changes []table.Change) float64 {
	const times = 2_000_000
	rng := rand.New(rand.NewPCG(3, 4))
	addrs := make([]netip.Addr, 1<<16)
	for i := range addrs {
		addrs[i] = changes[rng.IntN(len(changes))].Prefix.Addr()
	}
	start := cpu()
	for i := range times {
		t.Lookup(addrs[i&(len(addrs)-1)])
	}
	return float64(cpu()-start) / times
}
