package store

import (
	"encoding/binary"
	"hash/crc32"

	"corianderwing"
)

// A segment is a sequence of frames. Each Append writes one frame:
//
//	magic    4 bytes
//	size     4 bytes, of the payload
//	seq      8 bytes, increases by one with each frame of a store
//	checksum 4 bytes, CRC-32C of seq and payload
//	payload  entries, or the segment header
//
// One checksum covers a whole batch, because the disk may write the blocks of
// an unsynced batch in any order. An invalid frame that no valid frame follows
// is therefore an unsynced tail; an invalid frame before a valid one is
// corruption, since a frame is only written after the previous one is synced.
const (
	frameMagic      = 0x6b3fc21d
	frameHeaderSize = 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(seq uint64, payload []byte) uint32 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], seq)
	return crc32.Update(crc32.Checksum(b[:], castagnoli), castagnoli, payload)
}

func encodeFrame(seq uint64, payload []byte) []byte {
	b := make([]byte, 0, frameHeaderSize+len(payload))
	b = binary.LittleEndian.AppendUint32(b, frameMagic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint64(b, seq)
	b = binary.LittleEndian.AppendUint32(b, checksum(seq, payload))
	return append(b, payload...)
}

// parseFrame returns the frame at the start of b, and the bytes after it.
func parseFrame(b []byte) (seq uint64, payload, rest []byte, ok bool) {
	if len(b) < frameHeaderSize || binary.LittleEndian.Uint32(b) != frameMagic {
		return 0, nil, nil, false
	}
	size := uint64(binary.LittleEndian.Uint32(b[4:]))
	if size > uint64(len(b)-frameHeaderSize) {
		return 0, nil, nil, false
	}
	seq = binary.LittleEndian.Uint64(b[8:])
	payload = b[frameHeaderSize : frameHeaderSize+size]
	if checksum(seq, payload) != binary.LittleEndian.Uint32(b[16:]) {
		return 0, nil, nil, false
	}
	return seq, payload, b[frameHeaderSize+size:], true
}

// frameFollows reports whether b holds, at any offset, a valid frame whose
// sequence number is at least seq.
func frameFollows(b []byte, seq uint64) bool {
	for i := range b {
		if s, _, _, ok := parseFrame(b[i:]); ok && s >= seq {
			return true
		}
	}
	return false
}

func appendEntries(b []byte, entries []corianderwing.Entry) []byte {
	for _, e := range entries {
		b = binary.AppendUvarint(b, uint64(e.Index))
		b = binary.AppendUvarint(b, uint64(e.Term))
		b = append(b, byte(e.Kind))
		b = binary.AppendUvarint(b, uint64(len(e.Data)))
		b = append(b, e.Data...)
	}
	return b
}

// decoder reads integers and bytes. After a failure all reads return zero
// values and failed stays set.
type decoder struct {
	b      []byte
	failed bool
}

func (d *decoder) uint() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 {
		d.failed, d.b = true, nil
		return 0
	}
	d.b = d.b[n:]
	return v
}

func (d *decoder) bytes(n uint64) []byte {
	if n > uint64(len(d.b)) {
		d.failed, d.b = true, nil
		return nil
	}
	v := d.b[:n:n]
	d.b = d.b[n:]
	return v
}

func parseEntries(b []byte) ([]corianderwing.Entry, bool) {
	d := decoder{b: b}
	var list []corianderwing.Entry
	for len(d.b) > 0 {
		var e corianderwing.Entry
		e.Index = corianderwing.Index(d.uint())
		e.Term = corianderwing.Term(d.uint())
		if k := d.bytes(1); len(k) == 1 {
			e.Kind = corianderwing.EntryKind(k[0])
		}
		if n := d.uint(); n > 0 {
			e.Data = d.bytes(n)
		}
		if d.failed {
			return nil, false
		}
		list = append(list, e)
	}
	return list, true
}

// segmentHeader is the payload of a segment's first frame. The log starts after
// (index, term) if full is set; otherwise the segment continues the one
// before it. Entries follow in the same frame.
type segmentHeader struct {
	full    bool
	index   corianderwing.Index
	term    corianderwing.Term
	entries []corianderwing.Entry
}

func (h segmentHeader) encode() []byte {
	b := []byte{0}
	if h.full {
		b[0] = 1
	}
	b = binary.AppendUvarint(b, uint64(h.index))
	b = binary.AppendUvarint(b, uint64(h.term))
	return appendEntries(b, h.entries)
}

func parseSegmentHeader(b []byte) (segmentHeader, bool) {
	d := decoder{b: b}
	first := d.bytes(1)
	h := segmentHeader{full: len(first) == 1 && first[0] == 1}
	h.index = corianderwing.Index(d.uint())
	h.term = corianderwing.Term(d.uint())
	if d.failed {
		return h, false
	}
	var ok bool
	h.entries, ok = parseEntries(d.b)
	return h, ok
}
