package model

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxSnapshotAge is how long an encoded snapshot serves further followers: it
	// holds the remaining warm-up times of upstreams.
	maxSnapshotAge = 250 * time.Millisecond
	// maxUnpackedBytes bounds a snapshot after decompression: the largest message
	// between instances.
	maxUnpackedBytes = 64 << 20
)

// snapshotCache holds the encoded view of a published state. When many instances
// restart, dozens of followers ask each replica for it within a second.
type snapshotCache struct {
	mu      sync.Mutex
	current encodedView
	at      time.Time
}

// encodedView is an encoded view, as it is and compressed.
type encodedView struct {
	plain, packed []byte
}

// encode returns the view as it was at now, or at most maxSnapshotAge earlier.
func (c *snapshotCache) encode(v *View, now time.Time) (encodedView, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if age := now.Sub(c.at); c.current.plain != nil && age >= 0 && age < maxSnapshotAge {
		return c.current, nil
	}
	plain, err := v.Save(now)
	if err != nil {
		return encodedView{}, err
	}
	packed, err := pack(plain)
	if err != nil {
		return encodedView{}, err
	}
	c.current, c.at = encodedView{plain, packed}, now
	return c.current, nil
}

// pack compresses an encoded view. Higher levels take several times the processor
// time and save little on lists of similar items.
func pack(plain []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// unpack reverses pack. It fails if the view has more than maxUnpackedBytes.
func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("decompress snapshot: %w", err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress snapshot: %w", err)
	}
	if len(plain) > maxUnpackedBytes {
		return nil, fmt.Errorf("snapshot has more than %d bytes", maxUnpackedBytes)
	}
	return plain, nil
}
