package store

import (
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"corianderwing"
)

// Load reads the directory. It truncates an unsynced tail and returns a
// *CorruptionError, possibly wrapped, if synced data is corrupt.
//
// Corruption of the last frame cannot be distinguished from an unsynced tail.
func (s *Store) Load() (corianderwing.StoredState, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var st corianderwing.StoredState
	if s.seg != nil || s.failed != nil {
		return st, eris.New("the store is already loaded, or closed")
	}
	voted, err := s.readFile(voteName, &st.Vote)
	if err != nil {
		return st, eris.Wrap(err, "reading the vote")
	}
	saved, err := s.readFile(snapshotName, &st.Snapshot)
	if err != nil {
		return st, eris.Wrap(err, "reading the snapshot")
	}
	named, err := s.readFile(identityName, &identity{})
	if err != nil {
		return st, eris.Wrap(err, "reading the identity")
	}
	s.segNo, s.segSize, s.seq, s.log = 0, 0, 0, memLog{}
	if st.Truncated, err = s.loadLog(); err != nil {
		return st, eris.Wrap(err, "reading the log")
	}
	switch {
	case s.segNo == 0 && (voted || saved || named):
		// The first segment is synced before any of these files.
		err = &CorruptionError{File: segName(1), Detail: "the log is missing"}
	case s.log.baseIndex > st.Snapshot.Index:
		err = &CorruptionError{File: snapshotName, Detail: "the log starts after a snapshot that is missing"}
	}
	if err != nil {
		return st, eris.Wrap(err, "reading the log")
	}
	if err := s.openLog(st.Snapshot); err != nil {
		return st, s.fail(err, "opening the last segment")
	}
	st.Entries = slices.Clone(s.log.entries)
	return st, nil
}

// openLog opens the log for appending. If the log does not start at the
// snapshot, a crash interrupted SaveSnapshot, and openLog completes it.
func (s *Store) openLog(snap corianderwing.Snapshot) error {
	switch {
	case s.segNo == 0:
		return s.startSegment(segmentHeader{})
	case s.log.baseIndex != snap.Index:
		s.log.compact(snap.Index, snap.Term)
		err := s.startSegment(segmentHeader{full: true, index: snap.Index, term: snap.Term, entries: s.log.entries})
		if err != nil {
			return err
		}
		return s.removeOldSegments()
	}
	f, err := s.fs.OpenAppend(segName(s.segNo))
	s.seg = f
	return err
}

// loadLog reads the segments into s.log and reports whether it truncated an
// unsynced tail.
func (s *Store) loadLog() (truncated bool, err error) {
	names, err := s.segments()
	if err != nil {
		return false, err
	}
	data := make([][]byte, len(names))
	start := 0
	for k, name := range names {
		if data[k], err = s.fs.ReadFile(name); err != nil {
			return false, err
		}
		if startsLog(data[k]) {
			start = k
		}
	}
	// Segments before a full one remain if a crash interrupted their removal.
	for _, name := range names[:start] {
		if err := s.fs.Remove(name); err != nil {
			return false, err
		}
	}
	for k := start; k < len(names); k++ {
		segTruncated, err := s.loadSegment(names[k], data[k], k == start, k == len(names)-1)
		if err != nil {
			return false, err
		}
		truncated = truncated || segTruncated
	}
	return truncated, nil
}

func startsLog(b []byte) bool {
	_, payload, _, ok := parseFrame(b)
	if !ok {
		return false
	}
	h, ok := parseSegmentHeader(payload)
	return ok && h.full
}

// loadSegment replays one segment and truncates the unsynced tail of the last
// one.
func (s *Store) loadSegment(name string, b []byte, first, last bool) (truncated bool, err error) {
	n, err := strconv.ParseUint(strings.TrimPrefix(name, segPrefix), 10, 64)
	if err != nil {
		return false, &CorruptionError{name, 0, "invalid segment name"}
	}
	validLen, err := s.replay(name, b, first, last)
	if err != nil {
		return false, err
	}
	if validLen == 0 {
		// Earlier segments are removed only after the header of the new one is
		// synced, so a segment with an unsynced header either follows another
		// segment or is the first.
		if first && n != 1 {
			return false, &CorruptionError{name, 0, "the segment header is unreadable"}
		}
		return true, s.fs.Remove(name)
	}
	s.segNo, s.segSize = n, validLen
	if validLen == len(b) {
		return false, nil
	}
	return true, s.fs.Truncate(name, int64(validLen))
}

// replay applies the frames of a segment and returns the size of its valid
// prefix. Only the last segment may end in invalid data.
func (s *Store) replay(name string, b []byte, first, last bool) (int, error) {
	validLen := 0
	for rest := b; len(rest) > 0; {
		seq, payload, after, ok := parseFrame(rest)
		if !ok && (!last || frameFollows(rest, s.seq+1)) {
			return 0, &CorruptionError{name, int64(validLen), "a synced frame is unreadable"}
		}
		if !ok {
			break
		}
		var detail string
		if validLen == 0 {
			detail = s.replayHeader(seq, payload, first)
		} else {
			detail = s.replayEntries(seq, payload)
		}
		if detail != "" {
			return 0, &CorruptionError{name, int64(validLen), detail}
		}
		s.seq = seq
		validLen = len(b) - len(after)
		rest = after
	}
	if validLen == 0 && !last {
		return 0, &CorruptionError{name, 0, "the segment is empty"}
	}
	return validLen, nil
}

func (s *Store) replayHeader(seq uint64, payload []byte, first bool) string {
	h, ok := parseSegmentHeader(payload)
	switch {
	case !ok:
		return "the segment header is unreadable"
	case h.full:
		s.log = memLog{baseIndex: h.index, baseTerm: h.term}
		if !s.log.add(h.entries) {
			return "the entries after the snapshot have a gap"
		}
	case first && seq != 1 || !first && seq != s.seq+1:
		return "the preceding segment is missing"
	}
	return ""
}

func (s *Store) replayEntries(seq uint64, payload []byte) string {
	entries, ok := parseEntries(payload)
	switch {
	case seq != s.seq+1:
		return "the preceding frame is missing"
	case !ok:
		return "the entries are unreadable"
	case !s.log.add(entries):
		return "the entries leave a gap"
	}
	return ""
}
