package store

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"

	"corianderwing"
)

// fullFS is a directory on a disk that is full at times: files are not created, or
// stay empty, and writes end after a part of their bytes.
type fullFS struct {
	*memFS
	full       bool
	writesLeft int // writes until the disk is full
}

// fill makes the disk full after some more writes.
func (f *fullFS) fill() { f.writesLeft = f.rng.IntN(20) }

// clear makes room.
func (f *fullFS) clear() { f.full, f.writesLeft = false, 1<<30 }

func (f *fullFS) Create(name string) (File, error) {
	if f.full && f.rng.IntN(2) == 0 {
		return nil, syscall.ENOSPC
	}
	file, err := f.memFS.Create(name)
	return fullFile{f, file}, err
}

func (f *fullFS) OpenAppend(name string) (File, error) {
	file, err := f.memFS.OpenAppend(name)
	return fullFile{f, file}, err
}

func (f *fullFS) Rename(from, to string) error {
	if f.full && f.rng.IntN(4) == 0 {
		return syscall.ENOSPC
	}
	return f.memFS.Rename(from, to)
}

type fullFile struct {
	fs *fullFS
	File
}

func (f fullFile) Write(b []byte) (int, error) {
	if f.fs.writesLeft--; f.fs.writesLeft < 0 {
		f.fs.full = true
	}
	if !f.fs.full {
		return f.File.Write(b)
	}
	n, err := f.File.Write(b[:f.fs.rng.IntN(len(b)+1)])
	return n, errors.Join(err, syscall.ENOSPC)
}

// openFull opens the store of a disk that may be full.
func openFull(disk *fullFS) (*Store, model, error) {
	s, err := Open(disk)
	if err != nil {
		return nil, model{}, err
	}
	s.segLimit = 200
	st, err := s.Load()
	if err != nil {
		return nil, model{}, errors.Join(err, s.Close())
	}
	return s, model{vote: st.Vote, snap: st.Snapshot, log: memLog{baseIndex: st.Snapshot.Index, baseTerm: st.Snapshot.Term, entries: st.Entries}}, nil
}

// fillAtTimes runs operations on a disk that is full at times, and reopens the store
// after each failure, as its owner does. It returns a description of the failure, or
// "".
func fillAtTimes(seed uint64) (wrong string) {
	rng := rand.New(rand.NewPCG(seed, 2))
	disk := &fullFS{memFS: newMemFS(seed, 1<<30)}
	disk.clear()
	s, _, err := openFull(disk)
	if err != nil {
		return err.Error()
	}
	allowed := []model{{}}
	for outage := range 8 {
		disk.fill()
		allowed = runUntilCrash(rng, s, allowed[0], 100)
		if err := s.Close(); err != nil {
			return fmt.Sprintf("outage %d: closing: %v", outage, err)
		}
		for tries := rng.IntN(4); ; tries-- {
			if tries <= 0 {
				disk.clear()
			}
			var loaded model
			s, loaded, err = openFull(disk)
			if err != nil && disk.full && errors.Is(err, syscall.ENOSPC) {
				continue
			}
			if err != nil {
				return fmt.Sprintf("outage %d, full %v: %v", outage, disk.full, err)
			}
			k := slices.IndexFunc(allowed, func(m model) bool { return m.same(stateOf(loaded)) })
			if k < 0 {
				return fmt.Sprintf("outage %d: loaded %+v, want one of %+v", outage, loaded, allowed)
			}
			if !disk.full {
				allowed = []model{allowed[k]}
				break
			}
			if err := s.Close(); err != nil {
				return fmt.Sprintf("outage %d: closing: %v", outage, err)
			}
		}
	}
	return ""
}

// Guards against a replica that cannot be opened, or is taken for damaged and loses its
// identity, after its disk was full for a while: with several disks full one after the
// other, the group would lose its majority.
func TestFullDisk(t *testing.T) {
	for seed := range uint64(2000) {
		if wrong := fillAtTimes(seed); wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
		}
	}
}

// stateOf returns the state that a store with these contents loads.
func stateOf(m model) corianderwing.StoredState {
	return corianderwing.StoredState{Vote: m.vote, Snapshot: m.snap, Entries: m.log.entries}
}
