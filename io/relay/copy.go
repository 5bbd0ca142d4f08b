package relay

import (
	"errors"
	"io"
	"sync"
)

// buffers holds copy buffers of 32 KiB, the size that io.Copy uses.
var buffers = sync.Pool{New: func() any {
	b := make([]byte, 32<<10)
	return &b
}}

// Copy copies r to w until EOF, and returns a read error or a write error. If flush
// is not nil, it is called after each read, so that a stream of events is not
// delayed in a buffer.
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
