// Package logs writes log lines without ever delaying the code that logs: a
// bounded buffer takes them, and one goroutine writes them in batches. When the
// output is slower than the lines, lines are dropped and counted, those of
// ordinary events before those of failures.
package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

const (
	// bufferSize is the bufferSize of the buffer in bytes: about a second of lines at a
	// thousand requests a second.
	bufferSize = 512 << 10
	// failureReserve is the part of the buffer that only failures may use.
	failureReserve = bufferSize / 2
	// flushInterval is the interval between writes. Each write costs a system call.
	flushInterval = 200 * time.Millisecond
)

// Writer is a log.Writer.
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

// New returns a Writer to out. Close ends it.
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

// Close writes what is buffered and ends the Writer. It waits for the output
// until the deadline at the most.
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
			// There is nowhere to report that the log itself cannot be written.
			_, _ = w.out.Write(out)
		}
		if closed {
			return
		}
	}
}
