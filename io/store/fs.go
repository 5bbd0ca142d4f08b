package store

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// FS is the set of file system operations that a Store uses. Tests replace it to
// lose unsynced data and to fail at chosen operations. Names are relative to the
// store's directory, which DirFS creates.
type FS interface {
	// Create opens a new, empty file for writing.
	Create(name string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(name string) (File, error)
	// ReadFile returns an error that matches fs.ErrNotExist if the file does not exist.
	ReadFile(name string) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	Truncate(name string, size int64) error
	// List returns the names of all files.
	List() ([]string, error)
	// SyncDir makes creations, renames and removals durable.
	SyncDir() error
	// Lock takes an exclusive lock, which is released when the process exits.
	Lock(name string) (io.Closer, error)
}

// File is a file opened for writing.
type File interface {
	io.WriteCloser
	Sync() error
}

// ErrLocked is returned when another Store has the directory open.
var ErrLocked = errors.New("the directory is in use by another process")

const (
	dirMode  = 0o700
	fileMode = 0o600
)

type osFS struct{ dir string }

// DirFS returns the FS of a directory, which it creates if needed.
func DirFS(dir string) (FS, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, err
	}
	parent, err := os.Open(filepath.Dir(filepath.Clean(dir)))
	if err != nil {
		return nil, err
	}
	defer parent.Close()
	if err := parent.Sync(); err != nil {
		return nil, err
	}
	return osFS{dir}, nil
}

func (o osFS) path(name string) string { return filepath.Join(o.dir, name) }

func (o osFS) Create(name string) (File, error) {
	return os.OpenFile(o.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

func (o osFS) OpenAppend(name string) (File, error) {
	return os.OpenFile(o.path(name), os.O_APPEND|os.O_WRONLY, fileMode)
}

func (o osFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(o.path(name)) }
func (o osFS) Rename(from, to string) error         { return os.Rename(o.path(from), o.path(to)) }
func (o osFS) Remove(name string) error             { return os.Remove(o.path(name)) }

func (o osFS) Truncate(name string, size int64) error {
	f, err := os.OpenFile(o.path(name), os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	return errors.Join(f.Truncate(size), f.Sync(), f.Close())
}

func (o osFS) List() ([]string, error) {
	list, err := os.ReadDir(o.dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range list {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

func (o osFS) SyncDir() error {
	d, err := os.Open(o.dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

func (o osFS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(o.path(name), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, err
	}
	return f, nil
}

func isNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }
