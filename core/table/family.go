package table

import (
	"encoding/binary"
	"math/bits"
	"net/netip"
)

// key is a left-aligned address. An IPv4 address is the upper half of hi.
type key struct{ hi, lo uint64 }

func newKey(a netip.Addr) key {
	if a.Is4() {
		b := a.As4()
		return key{hi: uint64(binary.BigEndian.Uint32(b[:])) << 32}
	}
	b := a.As16()
	return key{binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])}
}

// commonBits returns the number of leading bits that two keys have in common.
func (k key) commonBits(o key) int {
	if k.hi != o.hi {
		return bits.LeadingZeros64(k.hi ^ o.hi)
	}
	return 64 + bits.LeadingZeros64(k.lo^o.lo)
}

func (k key) less(o key) bool { return k.hi < o.hi || k.hi == o.hi && k.lo < o.lo }

// indexBits is the number of bits, after those common to all blocks, that index
// the search. 262,145 offsets take 1 MiB and leave about 2 of 570,000 evenly
// spread blocks to search.
const indexBits = 18

// noBlock is the position of a block that does not exist, such as the parent of
// a top-level block.
const noBlock = -1

// block is one entry of 24 bytes, so that it spans at most two cache lines.
type block struct {
	key
	parent int32 // the longest shorter block that contains this one, or noBlock
	site   Site
	bits   uint8
}

// family is an immutable table of one address family, sorted by address and
// length. An address is contained in the last block at or before it in this
// order, in one of that block's ancestors, or in no block. The ancestors are
// visited from the longest on, so the first that contains the address is the
// match.
type family struct {
	blocks      []block
	skippedBits int      // leading bits common to all blocks
	slotStart   []uint32 // for each value of the bits after skippedBits, the first block at or after it
}

func (f *family) len() int { return len(f.blocks) }

func (f *family) lookup(k key) (Site, bool) {
	for i := f.predecessor(k); i != noBlock; {
		b := &f.blocks[i]
		if k.commonBits(b.key) >= int(b.bits) {
			return b.site, true
		}
		i = int(b.parent)
	}
	return 0, false
}

// predecessor returns the last block whose address is at or before k, or
// noBlock.
func (f *family) predecessor(k key) int {
	last := len(f.blocks) - 1
	if last < 0 || k.less(f.blocks[0].key) {
		return noBlock
	}
	if !k.less(f.blocks[last].key) {
		return last
	}
	p := f.slot(k)
	from, to := int(f.slotStart[p]), int(f.slotStart[p+1])
	for from < to {
		mid := int(uint(from+to) >> 1)
		if k.less(f.blocks[mid].key) {
			to = mid
		} else {
			from = mid + 1
		}
	}
	return from - 1
}

// slot returns the bits of k that index the search. Keys between the first and
// the last block have the skipped bits in common with them.
func (f *family) slot(k key) int { return int(k.hi << f.skippedBits >> (64 - indexBits)) }

// withEdits returns a copy with the sorted edits applied.
func (f *family) withEdits(edits []edit) family {
	if len(edits) == 0 {
		return *f
	}
	size := f.sizeAfter(edits)
	next := family{blocks: make([]block, 0, size)}
	f.merge(edits, func(e edit) { next.appendBlock(e) })
	next.buildIndex()
	return next
}

// sizeAfter returns the number of blocks after the edits, so that the copy is
// allocated without spare capacity.
func (f *family) sizeAfter(edits []edit) int {
	n := 0
	f.merge(edits, func(edit) { n++ })
	return n
}

// merge calls add for every block after the edits, in order.
func (f *family) merge(edits []edit, add func(edit)) {
	i := 0
	for _, e := range edits {
		for i < f.len() && f.editAt(i).compare(e) < 0 {
			add(f.editAt(i))
			i++
		}
		if i < f.len() && f.editAt(i).compare(e) == 0 {
			i++
		}
		if !e.remove {
			add(e)
		}
	}
	for ; i < f.len(); i++ {
		add(f.editAt(i))
	}
}

func (f *family) editAt(i int) edit {
	b := f.blocks[i]
	return edit{key: b.key, bits: b.bits, site: b.site}
}

// appendBlock appends a block that sorts after all others. Its parent is the
// last block or one of that block's ancestors.
func (f *family) appendBlock(e edit) {
	parent := len(f.blocks) - 1
	for parent != noBlock && e.commonBits(f.blocks[parent].key) < int(f.blocks[parent].bits) {
		parent = int(f.blocks[parent].parent)
	}
	f.blocks = append(f.blocks, block{key: e.key, parent: int32(parent), site: e.site, bits: e.bits})
}

func (f *family) buildIndex() {
	if len(f.blocks) == 0 {
		return
	}
	low, high := f.blocks[0].key, f.blocks[len(f.blocks)-1].key
	f.skippedBits = min(low.commonBits(high), 64-indexBits)
	f.slotStart = make([]uint32, 1<<indexBits+1)
	i := 0
	for p := range f.slotStart {
		for i < len(f.blocks) && f.slot(f.blocks[i].key) < p {
			i++
		}
		f.slotStart[p] = uint32(i)
	}
}
