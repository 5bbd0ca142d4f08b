package store

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
)

var errCrash = errors.New("crash")

// memFS is an in-memory directory that crashes after opsLeft operations: every
// later operation fails, and recover returns the contents of the disk.
type memFS struct {
	rng      *rand.Rand
	opsLeft  int
	skipSync bool // Sync does nothing
	locked   bool

	names   map[string]*memFile // as seen by the running process
	durable map[string]*memFile
	pending []func(names map[string]*memFile) // name changes since SyncDir
}

type memFile struct {
	fs     *memFS
	data   []byte
	synced int
}

func newMemFS(seed uint64, opsLeft int) *memFS {
	return &memFS{rng: rand.New(rand.NewPCG(seed, 1)), opsLeft: opsLeft, names: map[string]*memFile{}, durable: map[string]*memFile{}}
}

// op counts an operation. The operation that crashes may still take effect.
func (m *memFS) op() error {
	m.opsLeft--
	if m.opsLeft < 0 {
		return errCrash
	}
	return nil
}

func (m *memFS) rename(change func(names map[string]*memFile)) error {
	err := m.op()
	if m.opsLeft >= -1 {
		change(m.names)
		m.pending = append(m.pending, change)
	}
	return err
}

// recover returns the directory after a crash. Any unsynced name change and any
// part of the unsynced data may have reached the disk.
func (m *memFS) recover() *memFS {
	after := newMemFS(m.rng.Uint64(), 1<<30)
	after.skipSync = m.skipSync
	for _, change := range m.pending {
		if m.rng.IntN(2) == 0 {
			change(m.durable)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.durable)) {
		f := m.durable[name]
		data := slices.Clone(f.data[:f.synced+m.rng.IntN(len(f.data)-f.synced+1)])
		if tail := data[f.synced:]; len(tail) > 0 && m.rng.IntN(2) == 0 {
			clear(tail[:m.rng.IntN(len(tail))]) // later blocks were written before earlier ones
		}
		file := &memFile{fs: after, data: data, synced: len(data)}
		after.names[name], after.durable[name] = file, file
	}
	return after
}

func (m *memFS) Create(name string) (File, error) {
	f := &memFile{fs: m}
	return f, m.rename(func(names map[string]*memFile) { names[name] = f })
}

func (m *memFS) OpenAppend(name string) (File, error) {
	if f, ok := m.names[name]; ok {
		return f, m.op()
	}
	return nil, fs.ErrNotExist
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	if f, ok := m.names[name]; ok {
		return slices.Clone(f.data), nil
	}
	return nil, fs.ErrNotExist
}

func (m *memFS) Rename(from, to string) error {
	f := m.names[from]
	return m.rename(func(names map[string]*memFile) {
		delete(names, from)
		names[to] = f
	})
}

func (m *memFS) Remove(name string) error {
	return m.rename(func(names map[string]*memFile) { delete(names, name) })
}

func (m *memFS) Truncate(name string, size int64) error {
	err := m.op()
	if m.opsLeft >= -1 {
		f := m.names[name]
		f.data = f.data[:size]
		f.synced = min(f.synced, len(f.data))
	}
	return err
}

func (m *memFS) List() ([]string, error) { return slices.Sorted(maps.Keys(m.names)), nil }

func (m *memFS) SyncDir() error {
	if err := m.op(); err != nil || m.skipSync {
		return err
	}
	for _, change := range m.pending {
		change(m.durable)
	}
	m.pending = nil
	return nil
}

func (m *memFS) Lock(string) (io.Closer, error) {
	if m.locked {
		return nil, ErrLocked
	}
	m.locked = true
	return lock{m}, nil
}

type lock struct{ fs *memFS }

func (l lock) Close() error {
	l.fs.locked = false
	return nil
}

func (f *memFile) Write(b []byte) (int, error) {
	err := f.fs.op()
	if f.fs.opsLeft >= -1 {
		f.data = append(f.data, b...)
	}
	return len(b), err
}

func (f *memFile) Sync() error {
	if err := f.fs.op(); err != nil || f.fs.skipSync {
		return err
	}
	f.synced = len(f.data)
	return nil
}

func (f *memFile) Close() error { return nil }
