// Package accept wraps the connections that callers open, so that a caller that
// disconnects is noticed while it has further requests in flight.
//
// The HTTP server reads one byte ahead while it handles a request, to detect that
// the caller has closed the connection. A caller that pipelines requests sends
// that byte as the beginning of the next request, and the server then learns of
// the disconnect only after it has handled every request before it: upstreams
// work for a caller that is gone. A connection of this package continues to read
// ahead, into a bounded buffer, and cancels the context of its requests when the
// caller closes it.
package accept

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
)

// maxReadAhead is the maximum number of bytes that a connection reads ahead. A
// caller that sends more is not read until its earlier requests are handled.
const maxReadAhead = 32 << 10

// Wrap returns a listener whose connections read ahead.
func Wrap(l net.Listener) *Listener { return &Listener{Listener: l} }

// ConnContext is the http.Server.ConnContext of a server that uses a wrapped
// listener. The context ends when the caller closes the connection.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if c, ok := c.(*conn); ok {
		ctx, c.cancel = context.WithCancel(ctx)
	}
	return ctx
}

// conn is a connection that reads ahead once a caller has sent a byte that the
// server has asked for while it handles a request.
type conn struct {
	net.Conn
	cancel context.CancelFunc // set by ConnContext, before the first Read

	mu      sync.Mutex
	changed *sync.Cond
	reading bool   // readAhead is running
	buf     []byte // bytes read ahead
	err     error  // why the connection ended, returned after buf
}

func newConn(c net.Conn) *conn {
	x := &conn{Conn: c, cancel: func() {}}
	x.changed = sync.NewCond(&x.mu)
	return x
}

// Read implements net.Conn. Like the connection below, it supports one reader at a
// time.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	for c.reading && len(c.buf) == 0 {
		c.changed.Wait()
	}
	if len(c.buf) > 0 {
		n := copy(p, c.buf)
		c.buf = c.buf[n:]
		c.changed.Broadcast()
		c.mu.Unlock()
		return n, nil
	}
	err := c.err
	c.err = nil
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n == 1 && len(p) == 1 && err == nil {
		c.startReadAhead()
	}
	return n, err
}

func (c *conn) startReadAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reading {
		c.reading = true
		go c.readAhead()
	}
}

// readAhead reads until the caller closes the connection, a read deadline passes,
// or the server has taken all that was read ahead.
func (c *conn) readAhead() {
	p := make([]byte, 4<<10)
	for {
		n, err := c.Conn.Read(p)
		c.mu.Lock()
		c.buf = append(c.buf, p[:n]...)
		expired := errors.Is(err, os.ErrDeadlineExceeded)
		if !expired { // Read reports an expired deadline itself, as long as it is set
			c.err = err
		}
		for err == nil && len(c.buf) >= maxReadAhead {
			c.changed.Wait()
		}
		done := err != nil || len(c.buf) == 0
		c.reading = !done
		c.changed.Broadcast()
		c.mu.Unlock()
		if err != nil && !expired {
			c.cancel()
		}
		if done {
			return
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	c.buf = nil
	c.changed.Broadcast()
	c.mu.Unlock()
	c.cancel()
	return err
}
