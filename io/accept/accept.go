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
	"sync/atomic"

	"corianderwing"
	"corianderwing/core/budget"
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
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.WithValue(ctx, connKey{}, c))
		c.mu.Lock() // another connection may close this one at any time
		c.cancel = cancel
		c.mu.Unlock()
	}
	return ctx
}

// conn is a connection that reads ahead once a caller has sent a byte that the
// server has asked for while it handles a request.
type conn struct {
	net.Conn
	cancel context.CancelFunc // set by ConnContext, before the first Read

	guard      *Guard          // nil without a budget
	account    *budget.Account // nil without a budget
	held       atomic.Int64    // bytes charged to the current request
	bodyBytes  atomic.Int64    // of the current request
	headBytes  int             // of the head that is read; used by Read only
	headFields int

	mu      sync.Mutex
	changed *sync.Cond
	reading bool // readAhead is running
	closed  bool
	writing bool   // the client has not taken all of a response
	ahead   int    // bytes charged for buf
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
	if c.account == nil {
		return c.read(p)
	}
	background := len(p) == 1 // the server waits for the end of the connection
	if !background {
		c.account.BeginWait()
		defer c.account.EndWait()
	}
	n, err := c.read(p)
	if n > 0 && !background && !c.arrived(p[:n]) {
		c.reset()
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *conn) read(p []byte) (int, error) {
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
	n, err := c.readConn(p)
	if n == 1 && len(p) == 1 && err == nil {
		c.startReadAhead()
	}
	return n, err
}

// readConn reads from the connection below.
func (c *conn) readConn(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.account != nil {
		c.account.Move(n)
	}
	return n, err
}

// Write implements net.Conn. While the client does not take the bytes, nothing is read
// ahead.
func (c *conn) Write(p []byte) (int, error) {
	if c.account == nil {
		return c.Conn.Write(p)
	}
	c.account.BeginWait()
	c.setWriting(true)
	n, err := writeParts(c.Conn, p, c.account.Move)
	c.setWriting(false)
	c.account.EndWait()
	return n, err
}

// writeWhole writes p to c, and calls moved when all of it is written.
func writeWhole(c net.Conn, p []byte, moved func(int)) (int, error) {
	n, err := c.Write(p)
	moved(n)
	return n, err
}

func (c *conn) setWriting(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = on
	if c.reading {
		c.changed.Broadcast()
	}
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
	p := make([]byte, aheadStep)
	for {
		n, err := c.readConn(p)
		c.mu.Lock()
		c.buf = append(c.buf, p[:n]...)
		expired := errors.Is(err, os.ErrDeadlineExceeded)
		if !expired { // Read reports an expired deadline itself, as long as it is set
			c.err = err
		}
		for err == nil && !c.closed && (len(c.buf) >= maxReadAhead || len(c.buf) > 0 && c.writing || !c.chargeAhead()) {
			c.changed.Wait()
		}
		done := err != nil || len(c.buf) == 0
		c.reading = !done
		if done {
			c.releaseAhead()
		}
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

// aheadStep is the number of bytes that are read ahead at once.
const aheadStep = 4 << 10

// chargeAhead charges the next step of reading ahead. It closes no other connection for
// it: without room, the caller is not read until its earlier requests are handled.
func (c *conn) chargeAhead() bool {
	if c.account == nil {
		return true
	}
	missing := len(c.buf) + aheadStep - freeAhead - c.ahead
	if missing <= 0 {
		return true
	}
	if !c.guard.reserveSpare(c, corianderwing.Bytes(missing)) {
		return false
	}
	c.ahead += missing
	return true
}

func (c *conn) releaseAhead() {
	if c.ahead > 0 {
		c.guard.release(c, corianderwing.Bytes(c.ahead))
		c.ahead = 0
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	c.buf, c.closed = nil, true
	cancel := c.cancel
	c.changed.Broadcast()
	c.mu.Unlock()
	cancel()
	if c.account != nil {
		c.guard.remove(c)
	}
	return err
}

// CloseWrite closes the connection for writing, if the connection below can. The server
// does so before it closes a connection on which the caller may still send, because
// the caller could otherwise lose the response.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}
