package entry

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"corianderwing"
)

const (
	// userTimeout bounds the time for which sent data may stay unacknowledged,
	// so that a connection into a partition ends within the membership expiry.
	userTimeout = 3 * time.Second
	// dialTimeout bounds the opening of a connection. The longest delay
	// between regions is 70 ms there and back; one lost SYN costs 1 s.
	dialTimeout = 1200 * time.Millisecond
	// minDial is the shortest time that a dial gets, if the deadline allows:
	// four times the longest way there and back.
	minDial = 300 * time.Millisecond
	// idleTimeout ends unused connections, so that a former pool owner soon
	// uses none of an upstream's connections.
	idleTimeout = 15 * time.Second
	// answerHeaderLimit bounds the header of an answer, in bytes.
	answerHeaderLimit = 64 << 10
)

// Dial opens a connection. It must end when ctx ends.
type Dial func(ctx context.Context, addr string) (net.Conn, error)

// tcpDial is the Dial that is used outside tests.
func tcpDial() Dial {
	d := &net.Dialer{
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     5 * time.Second,
			Interval: 2 * time.Second,
			Count:    2,
		},
	}
	return func(ctx context.Context, addr string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", addr)
	}
}

// host holds the connections to one address.
type host struct {
	addr  string
	dial  Dial
	most  int         // idle connections that are kept
	allow func() bool // counts a new connection, or refuses it; nil for no budget
	gone  func()      // counts the end of a connection

	mu    sync.Mutex
	idle  []*conn
	epoch uint64 // connections of an earlier epoch are not used again
}

// conn is a connection to an upstream or to another entry instance. One
// request at a time uses it.
type conn struct {
	net.Conn
	host   *host
	epoch  uint64
	br     *bufio.Reader
	bw     *bufio.Writer
	sent   atomic.Int64 // bytes handed to the kernel for the current request
	limit  int64        // bytes that may still be read; negative for no limit
	since  time.Time    // start of idleness
	probe  func() bool  // reports whether an idle connection still works
	closed atomic.Bool
}

// Read limits the size of an answer's header.
func (c *conn) Read(b []byte) (int, error) {
	if c.limit == 0 {
		return 0, errBigAnswer
	}
	if c.limit > 0 && int64(len(b)) > c.limit {
		b = b[:c.limit]
	}
	n, err := c.Conn.Read(b)
	if c.limit > 0 {
		c.limit -= int64(n)
	}
	return n, err
}

// Write counts the bytes, so that a failure can tell whether any was sent.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

// Close closes the connection once.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	err := c.Conn.Close()
	if c.host.gone != nil {
		c.host.gone()
	}
	return err
}

// get returns an idle connection, or a new one if fresh is set or none is
// idle. No byte has been sent when it fails. The answer is due at first.
func (h *host) get(ctx context.Context, fresh bool, first time.Time) (*conn, error) {
	if !fresh {
		if c := h.pop(); c != nil {
			return c, nil
		}
	}
	if h.allow != nil && !h.allow() {
		h.trim(0)
		if !h.allow() {
			return nil, corianderwing.Errorf(corianderwing.NoCapacity, "connection budget of %s is used up", h.addr)
		}
	}
	h.mu.Lock()
	epoch := h.epoch
	h.mu.Unlock()
	// Half of the time is left for another try, but a lost packet and the
	// longest way must fit.
	left := time.Until(first)
	ctx, cancel := context.WithTimeout(ctx, min(left, dialTimeout, max(left/2, minDial)))
	defer cancel()
	raw, err := h.dial(ctx, h.addr)
	if err != nil {
		if h.gone != nil {
			h.gone()
		}
		return nil, err
	}
	c := &conn{Conn: raw, host: h, epoch: epoch, probe: prober(raw)}
	c.br = bufio.NewReaderSize(c, 4096)
	c.bw = bufio.NewWriterSize(c, 4096)
	return c, nil
}

// pop returns the most recently used idle connection that still works.
func (h *host) pop() *conn {
	for {
		h.mu.Lock()
		n := len(h.idle)
		if n == 0 {
			h.mu.Unlock()
			return nil
		}
		c := h.idle[n-1]
		h.idle[n-1] = nil
		h.idle = h.idle[:n-1]
		h.mu.Unlock()
		if c.probe() {
			c.sent.Store(0)
			return c
		}
		c.Close()
	}
}

// put keeps a connection for the next request.
func (h *host) put(c *conn) {
	c.since = time.Now()
	h.mu.Lock()
	keep := c.epoch == h.epoch && len(h.idle) < h.most
	if keep {
		h.idle = append(h.idle, c)
	}
	h.mu.Unlock()
	if !keep {
		c.Close()
	}
}

// reset closes the idle connections, and makes those in use close when their
// request ends.
func (h *host) reset() {
	h.mu.Lock()
	h.epoch++
	h.mu.Unlock()
	h.trim(0)
}

// trim closes the idle connections that have not been used for d.
func (h *host) trim(d time.Duration) {
	now := time.Now()
	h.mu.Lock()
	var old []*conn
	kept := h.idle[:0]
	for _, c := range h.idle {
		if now.Sub(c.since) >= d {
			old = append(old, c)
			continue
		}
		kept = append(kept, c)
	}
	clear(h.idle[len(kept):])
	h.idle = kept
	h.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}
