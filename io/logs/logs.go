// Package logs writes log lines asynchronously and reads them back. A bounded
// buffer takes the lines, and one goroutine writes them in batches, so that a
// slow output never blocks the code that logs. If the buffer is full, lines are
// dropped and counted; half of it is reserved for warnings and errors.
package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

const (
	// bufferSize is in bytes. It holds the lines of about one second at 1000
	// requests/s.
	bufferSize = 512 << 10
	// failureReserve is the part of the buffer that only warnings and errors may
	// use.
	failureReserve = bufferSize / 2
	// flushInterval is the interval between writes. Each write is a system call.
	flushInterval = 200 * time.Millisecond
)

// Writer is a log.Writer that buffers lines and writes them asynchronously.
type Writer struct {
	out     io.Writer
	dropped atomic.Int64

	mu     sync.Mutex
	buf    []byte
	spare  []byte
	wake   chan struct{}
	closed bool
	done   chan struct{}
}

// New returns a Writer to out and starts its goroutine, which Close stops.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// WriteEntry implements log.Writer. It never blocks on the output.
func (w *Writer) WriteEntry(e *log.Entry) (int, error) {
	line := e.Value()
	limit := bufferSize
	if e.Level < log.WarnLevel {
		limit -= failureReserve
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.buf)+len(line) > limit {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.buf = append(w.buf, line...)
	if len(w.buf) > bufferSize/8 {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close flushes the buffer and stops the Writer. It waits for the output until
// the deadline at most.
func (w *Writer) Close(deadline time.Time) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case <-w.done:
	case <-t.C:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-w.wake:
		}
		w.mu.Lock()
		out, closed := w.buf, w.closed
		w.buf, w.spare = w.spare[:0], out
		w.mu.Unlock()
		if len(out) > 0 {
			// An error of the log's own output cannot be logged.
			_, _ = w.out.Write(out)
		}
		if closed {
			return
		}
	}
}
