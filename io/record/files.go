package record

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"corianderwing"
)

// syncDelay bounds the time for which written records are not synced. Until then
// the copy at the second holder protects against a failure of this machine. Syncing
// every batch would cost up to ten syncs per second for each entry instance.
const syncDelay = time.Second

// files appends records to numbered files, one JSON object per line. When a file is
// full, the next one is created and the oldest is removed.
type files struct {
	cfg    HolderConfig
	number int
	size   int64

	mu    sync.Mutex // guards file and dirty against the timer
	file  *os.File
	dirty bool
}

func (f *files) name(number int) string {
	return filepath.Join(f.cfg.Dir, fmt.Sprintf("records-%09d.json", number))
}

// openFiles calls add with every stored record, oldest first, and creates a new file,
// so that nothing is appended to a partially written line.
func openFiles(cfg HolderConfig, add func(corianderwing.Record)) (*files, error) {
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("create record directory: %w", err)
	}
	f := &files{cfg: cfg}
	numbers, err := f.numbers()
	if err != nil {
		return nil, err
	}
	for _, n := range numbers {
		corrupt, err := loadFile(f.name(n), add)
		if err != nil {
			return nil, fmt.Errorf("load records: %w", err)
		}
		if corrupt > 0 {
			cfg.Log.Warn().Str("file", f.name(n)).Int("lines", corrupt).Msg("skipped corrupt records")
		}
		f.number = n
	}
	return f, f.rotate()
}

// numbers returns the file numbers in ascending order.
func (f *files) numbers() ([]int, error) {
	names, err := filepath.Glob(filepath.Join(f.cfg.Dir, "records-*.json"))
	if err != nil {
		return nil, err
	}
	var numbers []int
	for _, name := range names {
		var n int
		if _, err := fmt.Sscanf(filepath.Base(name), "records-%d.json", &n); err == nil {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

// loadFile reads one file and returns the number of corrupt lines.
func loadFile(name string, add func(corianderwing.Record)) (corrupt int, err error) {
	file, err := os.Open(name)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	r := bufio.NewReader(file)
	for {
		line, err := r.ReadBytes('\n')
		if len(line) > 0 {
			var record corianderwing.Record
			if json.Unmarshal(line, &record) == nil && record.Request != "" {
				add(record)
			} else {
				corrupt++
			}
		}
		if errors.Is(err, io.EOF) {
			return corrupt, nil
		}
		if err != nil {
			return corrupt, err
		}
	}
}

// rotate creates the next file and removes the oldest ones beyond MaxFiles.
func (f *files) rotate() error {
	if err := f.close(); err != nil {
		return err
	}
	f.number++
	file, err := os.OpenFile(f.name(f.number), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("create record file: %w", err)
	}
	f.mu.Lock()
	f.file = file
	f.size = 0
	f.mu.Unlock()
	numbers, err := f.numbers()
	if err != nil {
		return err
	}
	for len(numbers) > f.cfg.MaxFiles {
		if err := os.Remove(f.name(numbers[0])); err != nil {
			return fmt.Errorf("remove old record file: %w", err)
		}
		numbers = numbers[1:]
	}
	return nil
}

// write appends records and schedules a sync within syncDelay.
func (f *files) write(records []corianderwing.Record) error {
	var buf bytes.Buffer
	for _, r := range records {
		line, err := json.Marshal(r)
		if err != nil {
			return fmt.Errorf("encode record %s: %w", r.Request, err)
		}
		if f.size+int64(buf.Len()+len(line)) > f.cfg.MaxFileSize && f.size+int64(buf.Len()) > 0 {
			if err := f.append(buf.Bytes()); err != nil {
				return err
			}
			buf.Reset()
			if err := f.rotate(); err != nil {
				return err
			}
		}
		buf.Write(line)
		buf.WriteByte('\n')
	}
	return f.append(buf.Bytes())
}

func (f *files) append(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.file == nil {
		return errors.New("record files are closed")
	}
	n, err := f.file.Write(data)
	f.size += int64(n)
	if err != nil {
		return fmt.Errorf("write records: %w", err)
	}
	if !f.dirty {
		f.dirty = true
		time.AfterFunc(syncDelay, f.sync)
	}
	return nil
}

func (f *files) sync() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.dirty || f.file == nil {
		return
	}
	f.dirty = false
	if err := f.file.Sync(); err != nil {
		f.cfg.Log.Error().Err(err).Msg("syncing the record file failed")
	}
}

func (f *files) close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.file == nil {
		return nil
	}
	f.dirty = false
	err := errors.Join(f.file.Sync(), f.file.Close())
	f.file = nil
	return err
}
