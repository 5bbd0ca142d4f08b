package soak

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// storage kills a control process, damages its files and starts it again. Only
// one disk may be lost at a time, and its replica needs time to catch up.
func (r *run) storage(ctx context.Context, s Step, damage func(dir string) error) {
	list := r.site.Controls()
	p := list[s.On%len(list)]
	if !r.disk.TryLock() {
		return
	}
	defer r.disk.Unlock()
	r.down(ctx, []*Proc{p}, s, func() error { return damage(filepath.Join(r.site.Dir, p.Name, "data")) })
	r.pause(ctx, quietFor)
}

// wipe removes all files, as if the disk were replaced.
func wipe(dir string) error { return os.RemoveAll(dir) }

// tear adds the beginning of a record to the newest log, as a write that was
// under way at a loss of power does.
func tear(dir string) error {
	var name string
	var newest time.Time
	err := filepath.WalkDir(dir, func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		info, err := d.Info()
		if err == nil && strings.Contains(filepath.Base(path), "log") && info.ModTime().After(newest) {
			name, newest = path, info.ModTime()
		}
		return err
	})
	if err != nil || name == "" {
		return err
	}
	f, err := os.OpenFile(name, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = f.Write(tornRecord)
	return err
}

// tornRecord is shorter than the head of any record.
var tornRecord = []byte{0, 0, 1}
