package table

import (
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	numBlocks = 570_000
	numSites  = 440
	maxMemory = 64 << 20
)

// blocks draws random blocks like those of a routing table: IPv4 blocks of 16
// to 24 bits, IPv6 blocks of 32 to 48 bits below 2000::/3.
func blocks(n int, ipv6 bool) []Change {
	rng := rand.New(rand.NewPCG(1, 2))
	all := make([]Change, 0, n)
	seen := make(map[netip.Prefix]bool, n)
	for len(all) < n {
		p := netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(rng.Uint32()), byte(rng.Uint32()), byte(rng.Uint32())}), 16+rng.IntN(9)).Masked()
		if ipv6 {
			p = netip.PrefixFrom(netip.AddrFrom16([16]byte{0x20 | byte(rng.IntN(16)), byte(rng.Uint32()), byte(rng.Uint32()), byte(rng.Uint32()), byte(rng.Uint32()), byte(rng.Uint32())}), 32+rng.IntN(17)).Masked()
		}
		if !seen[p] {
			seen[p] = true
			all = append(all, Change{Block: Block{p, Site(len(all) % numSites)}})
		}
	}
	return all
}

// linearLookup finds the longest match by testing every block.
func linearLookup(all map[netip.Prefix]Site, a netip.Addr) (site Site, ok bool) {
	best := -1
	for p, s := range all {
		if p.Contains(a) && p.Bits() > best {
			best, site, ok = p.Bits(), s, true
		}
	}
	return site, ok
}

// Guards against a wrong match, in particular of nested blocks and after blocks
// were replaced and removed. The addresses are dense, so that blocks nest often
// and chains of parents are long.
func TestLongestMatch(t *testing.T) {
	addr := rapid.Custom(func(t *rapid.T) netip.Addr {
		b := make([]byte, 4)
		if rapid.Bool().Draw(t, "six") {
			b = make([]byte, 16)
		}
		for i := range b {
			b[i] = rapid.SampledFrom([]byte{0, 1, 0x80, 0xff}).Draw(t, "byte")
		}
		a, _ := netip.AddrFromSlice(b)
		return a
	})
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		var table Table
		want := map[netip.Prefix]Site{}
		for range rapid.IntRange(1, 4).Draw(rt, "applies") {
			var changes []Change
			for range rapid.IntRange(0, 20).Draw(rt, "changes") {
				a := addr.Draw(rt, "addr").Unmap()
				p := netip.PrefixFrom(a, rapid.IntRange(0, a.BitLen()).Draw(rt, "bits"))
				if p.Addr().Is4In6() {
					continue
				}
				c := Change{Block: Block{p, Site(rapid.IntRange(0, numSites-1).Draw(rt, "site"))}, Remove: rapid.IntRange(0, 3).Draw(rt, "drop") == 0}
				changes = append(changes, c)
				delete(want, p.Masked())
				if !c.Remove {
					want[p.Masked()] = c.Site
				}
			}
			is.NoErr(table.Apply(changes))
			if table.Len() != len(want) {
				rt.Fatalf("%d blocks, want %d", table.Len(), len(want))
			}
		}
		for range 20 {
			a := addr.Draw(rt, "lookup").Unmap()
			site, ok := table.Lookup(a)
			wantSite, wantOK := linearLookup(want, a)
			if site != wantSite || ok != wantOK {
				rt.Fatalf("%v: site %d %v, want %d %v", a, site, ok, wantSite, wantOK)
			}
		}
	})
}

// Guards against applying a part of the changes if one of them has an invalid
// prefix.
func TestInvalidPrefix(t *testing.T) {
	is := is.New(t)
	var table Table
	good := Change{Block: Block{netip.MustParsePrefix("10.0.0.0/8"), 1}}
	is.True(table.Apply([]Change{good, {}}) != nil)
	is.Equal(table.Len(), 0)
	_, ok := table.Lookup(netip.Addr{})
	is.True(!ok)
}

// Guards against a table that exceeds the 64 MB of a daemon while it is
// replaced: at that time both the old and the new table are in memory.
func TestMemory(t *testing.T) {
	for _, six := range []bool{false, true} {
		is := is.New(t)
		changes := blocks(numBlocks, six)
		before := heapBytes()
		old, next := new(Table), new(Table)
		is.NoErr(old.Apply(changes))
		p := old.current.Load()
		next.current.Store(p)
		is.NoErr(next.Apply([]Change{{Block: changes[0].Block, Remove: true}}))
		used := heapBytes() - before
		t.Logf("six %v: %d bytes for the old and the new table of %d blocks", six, used, numBlocks)
		is.True(used < maxMemory)
		is.Equal(old.Len(), numBlocks)
		is.Equal(next.Len(), numBlocks-1)
		runtime.KeepAlive(changes)
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against a lookup that allocates.
func TestLookupDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	var table Table
	changes := blocks(1000, true)
	is.NoErr(table.Apply(changes))
	a := changes[7].Prefix.Addr()
	is.Equal(testing.AllocsPerRun(100, func() { table.Lookup(a) }), 0.0)
}

func BenchmarkLookup(b *testing.B) {
	for name, six := range map[string]bool{"four": false, "six": true} {
		b.Run(name, func(b *testing.B) {
			var table Table
			changes := blocks(numBlocks, six)
			if err := table.Apply(changes); err != nil {
				b.Fatal(err)
			}
			rng := rand.New(rand.NewPCG(3, 4))
			rng.Shuffle(len(changes), func(i, j int) { changes[i], changes[j] = changes[j], changes[i] })
			addrs := make([]netip.Addr, 1<<16)
			for i := range addrs {
				addrs[i] = changes[i].Prefix.Addr()
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				table.Lookup(addrs[i&(len(addrs)-1)])
				i++
			}
		})
	}
}

// BenchmarkReplace applies one change to a full table.
func BenchmarkReplace(b *testing.B) {
	var table Table
	changes := blocks(numBlocks, false)
	if err := table.Apply(changes); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if err := table.Apply(changes[:1]); err != nil {
			b.Fatal(err)
		}
	}
}
