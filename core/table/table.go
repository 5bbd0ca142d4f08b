// Package table maps client addresses to sites by longest-prefix match.
//
// It is designed for 570,000 client blocks and 440 sites. The target of a
// lookup is 200 ns: BenchmarkLookup measured 81 to 140 ns for IPv4 and 181 to
// 282 ns for IPv6, on a machine with twice as many runnable threads as cores. A
// table takes 24 bytes per block and 1 MiB per address family.
package table

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
)

// Site is the number of a site.
type Site uint16

// Block assigns a prefix of client addresses to a site.
type Block struct {
	Prefix netip.Prefix
	Site   Site
}

// Change assigns a block, or removes the block with its prefix.
type Change struct {
	Block
	Remove bool
}

// Table is the current assignment. Lookups load a pointer to an immutable
// snapshot and do not lock; Apply replaces the snapshot by a changed copy. The
// zero Table is empty and ready to use.
type Table struct {
	mu      sync.Mutex // held by Apply
	current atomic.Pointer[snapshot]
}

// snapshot holds the two address families, which never have a prefix in common.
type snapshot struct{ ipv4, ipv6 family }

// Lookup returns the site of the longest prefix that contains a. An IPv4-mapped
// IPv6 address is treated as IPv4.
func (t *Table) Lookup(a netip.Addr) (Site, bool) {
	p := t.current.Load()
	if p == nil || !a.IsValid() {
		return 0, false
	}
	a = a.Unmap()
	if a.Is4() {
		return p.ipv4.lookup(newKey(a))
	}
	return p.ipv6.lookup(newKey(a))
}

// Len returns the number of blocks.
func (t *Table) Len() int {
	p := t.current.Load()
	if p == nil {
		return 0
	}
	return p.ipv4.len() + p.ipv6.len()
}

// Apply applies all changes at once, in their order. It returns an error
// without applying any if a prefix is not valid. Apply copies the table, which
// takes time proportional to its size, so callers should pass changes together.
func (t *Table) Apply(changes []Change) error {
	var ipv4, ipv6 []edit
	for i, c := range changes {
		if !c.Prefix.IsValid() {
			return fmt.Errorf("change %d: prefix %v is not valid", i, c.Prefix)
		}
		if c.Prefix.Addr().Is4In6() {
			return fmt.Errorf("change %d: prefix %v is IPv4-mapped; use its IPv4 form", i, c.Prefix)
		}
		p := c.Prefix.Masked()
		e := edit{key: newKey(p.Addr()), bits: uint8(p.Bits()), site: c.Site, remove: c.Remove}
		if p.Addr().Is4() {
			ipv4 = append(ipv4, e)
			continue
		}
		ipv6 = append(ipv6, e)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.current.Load()
	if old == nil {
		old = &snapshot{}
	}
	t.current.Store(&snapshot{
		ipv4: old.ipv4.withEdits(sortEdits(ipv4)),
		ipv6: old.ipv6.withEdits(sortEdits(ipv6)),
	})
	return nil
}

// edit is a Change to one family.
type edit struct {
	key
	bits   uint8
	site   Site
	remove bool
}

func (e edit) compare(o edit) int {
	return cmp.Or(cmp.Compare(e.hi, o.hi), cmp.Compare(e.lo, o.lo), cmp.Compare(e.bits, o.bits))
}

// sortEdits sorts edits by prefix and keeps the last one of each prefix.
func sortEdits(all []edit) []edit {
	slices.SortStableFunc(all, edit.compare)
	kept := all[:0]
	for i, e := range all {
		if i+1 == len(all) || e.compare(all[i+1]) != 0 {
			kept = append(kept, e)
		}
	}
	return kept
}
