// Package store keeps the log, vote and snapshot of one replica in a
// directory. It implements corianderwing.Store.
//
// Files: segments of the log (append-only, checksummed, one sync for each
// Append), the vote, the last snapshot and the replica's identity (each
// written to a temporary file, synced, renamed, and the directory synced), and
// a lock.
package store

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	"corianderwing"
)

const (
	lockName     = "lock"
	voteName     = "vote"
	snapshotName = "snapshot"
	identityName = "identity"
	foundersName = "founders"
	tempSuffix   = ".tmp"
	segPrefix    = "log-"

	// A new segment starts after this many bytes. Each snapshot also removes
	// old segments, so this only bounds the size of a single file.
	maxSegmentSize = 16 << 20
)

// CorruptionError reports a file whose synced data can no longer be read. The
// replica must not vote again under its identity.
type CorruptionError struct {
	File   string
	Offset int64
	Detail string
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s", e.File, e.Offset, e.Detail)
}

// Store owns the files of one replica. After a failed write it rejects all
// further writes, because the contents of the disk are unknown until the next
// Load.
type Store struct {
	mu     sync.Mutex
	fs     FS
	lock   io.Closer
	failed error

	seg      File
	segNo    uint64
	segSize  int
	seq      uint64 // of the last frame
	log      memLog
	segLimit int
}

// memLog is the in-memory copy of the log: its start and the entries that follow.
// SaveSnapshot copies the entries after the snapshot from it.
type memLog struct {
	baseIndex corianderwing.Index
	baseTerm  corianderwing.Term
	entries   []corianderwing.Entry
}

func (m *memLog) last() corianderwing.Index {
	return m.baseIndex + corianderwing.Index(len(m.entries))
}

// add appends entries and removes those that they replace. It reports false on
// a gap.
func (m *memLog) add(entries []corianderwing.Entry) bool {
	for _, e := range entries {
		if e.Index <= m.baseIndex || e.Index > m.last()+1 {
			return false
		}
		m.entries = append(m.entries[:e.Index-m.baseIndex-1], e)
	}
	return true
}

// compact moves the start of the log to (i, t). The entries after it stay only
// if the log has exactly this entry.
func (m *memLog) compact(i corianderwing.Index, t corianderwing.Term) {
	switch {
	case i == m.baseIndex && t == m.baseTerm:
		return
	case i > m.baseIndex && i <= m.last() && m.entries[i-m.baseIndex-1].Term == t:
		m.entries = slices.Clone(m.entries[i-m.baseIndex:])
	default:
		m.entries = nil
	}
	m.baseIndex, m.baseTerm = i, t
}

// Open locks a directory for one replica. Call Load before using the log, vote
// or snapshot.
func Open(fs FS) (*Store, error) {
	lock, err := fs.Lock(lockName)
	if err != nil {
		return nil, eris.Wrap(err, "locking the data directory")
	}
	return &Store{fs: fs, lock: lock, segLimit: maxSegmentSize}, nil
}

// OpenDir opens the store in a directory of the host file system.
func OpenDir(dir string) (*Store, error) {
	fs, err := DirFS(dir)
	if err != nil {
		return nil, eris.Wrapf(err, "creating the data directory %s", dir)
	}
	return Open(fs)
}

// Append adds entries, replacing any with the same or a higher index, with one
// sync.
func (s *Store) Append(entries []corianderwing.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkWritable(); err != nil {
		return err
	}
	if !s.log.add(entries) {
		return eris.Errorf("entry %d does not fit a log of entries %d to %d", entries[0].Index, s.log.baseIndex+1, s.log.last())
	}
	if s.segSize >= s.segLimit {
		if err := s.startSegment(segmentHeader{}); err != nil {
			return s.fail(err, "starting a segment")
		}
	}
	return s.fail(s.write(appendEntries(nil, entries)), "appending to the log")
}

// SaveVote replaces the stored vote.
func (s *Store) SaveVote(v corianderwing.Vote) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkWritable(); err != nil {
		return err
	}
	return s.fail(s.replaceFile(voteName, v), "saving the vote")
}

// SaveSnapshot replaces the log up to snap.Index. Entries after it stay if the
// log holds exactly the entry that the snapshot ends with; otherwise they
// belong to a diverged log and are removed.
func (s *Store) SaveSnapshot(snap corianderwing.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkWritable(); err != nil {
		return err
	}
	if err := s.replaceFile(snapshotName, snap); err != nil {
		return s.fail(err, "saving the snapshot")
	}
	s.log.compact(snap.Index, snap.Term)
	full := segmentHeader{full: true, index: snap.Index, term: snap.Term, entries: s.log.entries}
	if err := s.startSegment(full); err != nil {
		return s.fail(err, "starting a segment")
	}
	return s.fail(s.removeOldSegments(), "removing old segments")
}

// Close releases the directory.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lock == nil {
		return nil
	}
	s.failed = eris.New("the store is closed")
	var err error
	if s.seg != nil {
		err = s.seg.Close()
	}
	if e := s.lock.Close(); err == nil {
		err = e
	}
	s.lock, s.seg = nil, nil
	return eris.Wrap(err, "closing the store")
}

func (s *Store) checkWritable() error {
	if s.failed != nil {
		return s.failed
	}
	if s.seg == nil {
		return eris.New("the store is not loaded")
	}
	return nil
}

// fail records err as the error that makes all further writes fail.
func (s *Store) fail(err error, doing string) error {
	if err == nil {
		return nil
	}
	s.failed = eris.Wrap(err, doing)
	return s.failed
}

// write adds one frame to the current segment and syncs it.
func (s *Store) write(payload []byte) error {
	b := encodeFrame(s.seq+1, payload)
	if _, err := s.seg.Write(b); err != nil {
		return err
	}
	if err := s.seg.Sync(); err != nil {
		return err
	}
	s.seq++
	s.segSize += len(b)
	return nil
}

// startSegment starts a new segment. It is durable when startSegment returns.
func (s *Store) startSegment(h segmentHeader) error {
	if s.seg != nil {
		if err := s.seg.Close(); err != nil {
			return err
		}
	}
	f, err := s.fs.Create(segName(s.segNo + 1))
	if err != nil {
		return err
	}
	s.seg, s.segSize = f, 0
	s.segNo++
	if err := s.write(h.encode()); err != nil {
		return err
	}
	return s.fs.SyncDir()
}

// removeOldSegments removes the segments before the current one.
func (s *Store) removeOldSegments() error {
	names, err := s.segments()
	if err != nil {
		return err
	}
	for _, name := range names {
		if name < segName(s.segNo) {
			if err := s.fs.Remove(name); err != nil {
				return err
			}
		}
	}
	return nil
}

func segName(n uint64) string { return fmt.Sprintf("%s%020d", segPrefix, n) }

// segments returns the names of the segments, oldest first.
func (s *Store) segments() ([]string, error) {
	names, err := s.fs.List()
	if err != nil {
		return nil, err
	}
	var segs []string
	for _, name := range names {
		if strings.HasPrefix(name, segPrefix) {
			segs = append(segs, name)
		}
	}
	slices.Sort(segs)
	return segs, nil
}
