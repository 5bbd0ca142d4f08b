package record

import (
	"sync"

	"github.com/phuslu/log"

	"corianderwing"
)

// HolderConfig configures a Holder.
type HolderConfig struct {
	MaxRecords  int    // records kept in memory; default 100,000
	Dir         string // directory of the files; if empty, records are kept in memory only
	MaxFileSize int64  // bytes of one file; default 8 MB
	MaxFiles    int    // files kept; default 8
	Log         *log.Logger
}

// Holder stores the records that entry instances ship to it. A second holder has a
// copy of each record.
type Holder struct {
	cfg HolderConfig

	mu    sync.Mutex
	ring  []corianderwing.Record // once full, next is the oldest
	next  int
	known map[recordID]bool // the records in ring
	lost  map[corianderwing.InstanceID]loss
	files *files // nil if Dir is empty
}

// loss counts the records lost by one instance: current by its latest incarnation,
// earlier by all previous ones.
type loss struct {
	incarnation corianderwing.Incarnation
	current     uint64
	earlier     uint64
}

// NewHolder returns a Holder with the records stored in its directory.
func NewHolder(cfg HolderConfig) (*Holder, error) {
	if cfg.MaxRecords <= 0 {
		cfg.MaxRecords = 100_000
	}
	if cfg.MaxFileSize <= 0 {
		cfg.MaxFileSize = 8 << 20
	}
	if cfg.MaxFiles <= 0 {
		cfg.MaxFiles = 8
	}
	if cfg.Log == nil {
		cfg.Log = &log.Logger{Level: log.ErrorLevel}
	}
	h := &Holder{
		cfg:   cfg,
		known: map[recordID]bool{},
		lost:  map[corianderwing.InstanceID]loss{},
	}
	if cfg.Dir == "" {
		return h, nil
	}
	f, err := openFiles(cfg, func(r corianderwing.Record) { h.add(r) })
	if err != nil {
		return nil, err
	}
	h.files = f
	return h, nil
}

// Store stores a batch and skips records it already has. On an error, the records are
// in memory only, and the sender should also ship them to another holder.
func (h *Holder) Store(b Batch) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateLost(b)
	var added []corianderwing.Record
	for _, r := range b.Records {
		if h.add(r) {
			added = append(added, r)
		}
	}
	if h.files == nil {
		return nil
	}
	return h.files.write(added)
}

func (h *Holder) updateLost(b Batch) {
	l := h.lost[b.Instance]
	switch {
	case b.Incarnation > l.incarnation:
		l = loss{incarnation: b.Incarnation, current: b.Lost, earlier: l.earlier + l.current}
	case b.Incarnation == l.incarnation:
		l.current = max(l.current, b.Lost)
	}
	h.lost[b.Instance] = l
}

// add stores a record in memory and replaces the oldest one when the ring is full. It
// returns false if the record is already stored.
func (h *Holder) add(r corianderwing.Record) bool {
	if h.known[idOf(r)] {
		return false
	}
	h.known[idOf(r)] = true
	if len(h.ring) < h.cfg.MaxRecords {
		h.ring = append(h.ring, r)
		return true
	}
	delete(h.known, idOf(h.ring[h.next]))
	h.ring[h.next] = r
	h.next = (h.next + 1) % len(h.ring)
	return true
}

// Find returns the newest records that a query selects.
func (h *Holder) Find(q corianderwing.Query) QueryResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := QueryResult{Lost: map[corianderwing.InstanceID]uint64{}}
	for _, r := range h.ring {
		if Match(q, r) {
			found.Records = append(found.Records, r)
		}
	}
	for i, l := range h.lost {
		if n := l.current + l.earlier; n > 0 {
			found.Lost[i] = n
		}
	}
	newestFirst(found.Records)
	found.Records = found.Records[:min(len(found.Records), limit(q))]
	return found
}

// Len returns the number of records in memory.
func (h *Holder) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.ring)
}

// Close syncs and closes the current file.
func (h *Holder) Close() error {
	if h.files == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.files.close()
}
