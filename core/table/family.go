package table

import (
	"encoding/binary"
	"math/bits"
	"net/netip"
)

// key is an address, left-aligned: an IPv4 address is the upper half of hi.
type key struct{ hi, lo uint64 }

func newKey(a netip.Addr) key {
	if a.Is4() {
		b := a.As4()
		return key{hi: uint64(binary.BigEndian.Uint32(b[:])) << 32}
	}
	b := a.As16()
	return key{binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])}
}

// commonBits returns how many leading bits two keys share.
func (k key) commonBits(o key) int {
	if k.hi != o.hi {
		return bits.LeadingZeros64(k.hi ^ o.hi)
	}
	return 64 + bits.LeadingZeros64(k.lo^o.lo)
}

func (k key) less(o key) bool { return k.hi < o.hi || k.hi == o.hi && k.lo < o.lo }

// indexBits is how many bits, after those that all blocks share, index the
// search. 262,145 offsets take 1 MiB and leave about 2 of 570,000 evenly
// spread blocks to search.
const indexBits = 18

// noBlock marks a block without a parent.
const noBlock = -1

// block is one row, 24 bytes, so that it lies on at most two cache lines.
type block struct {
	key
	parent int32 // the next shorter block that contains this one, or none
	site   Site
	bits   uint8
}

// family is an immutable table of one address family, sorted by address and
// length. The block before an address in this order contains it, or one of
// that block's parents does, or none does. The parents are walked from the
// longest on, so the first that contains the address is the match.
type family struct {
	blocks      []block
	skippedBits int      // leading bits that all blocks share
	slotStart   []uint32 // for each value of the bits after skip, the first block at or after it
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

// predecessor returns the last block whose address is at or predecessor k, or none.
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

// slot returns the bits that index the search. Keys between the first and the
// last block share the skipped bits with them.
func (f *family) slot(k key) int { return int(k.hi << f.skippedBits >> (64 - indexBits)) }

// withEdits returns a copy withEdits sorted edits made.
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

// sizeAfter returns the number of blocks after edits, so that the rows have no
// spare room.
func (f *family) sizeAfter(edits []edit) int {
	n := 0
	f.merge(edits, func(edit) { n++ })
	return n
}

// merge calls add with every block after the edits, in order.
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

// appendBlock appends a block that is behind all others. Its parent is the block
// before it or one of that block's parents.
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
