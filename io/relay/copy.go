package relay

import (
	"errors"
	"io"
	"sync"
)

// buffers holds copy buffers. 32 KiB is what io.Copy uses.
var buffers = sync.Pool{New: func() any {
	b := make([]byte, 32<<10)
	return &b
}}

// Copy copies r to w until r ends, and tells which side failed. Flush, if not
// nil, is called after each part, so that a stream of events does not wait in
// a buffer.
func Copy(w io.Writer, r io.Reader, flush func() error) (readErr, writeErr error) {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for {
		n, err := r.Read(*buf)
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				return nil, werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
		if flush == nil {
			continue
		}
		if err := flush(); err != nil {
			return nil, err
		}
	}
}
