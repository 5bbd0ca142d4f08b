package relay

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
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
	// IdleTimeout ends unused connections, so that a former pool owner soon
	// uses none of an upstream's connections.
	IdleTimeout = 15 * time.Second
	// keepMargin is the least margin before the peer closes an idle connection:
	// ten times the way to another region.
	keepMargin = 500 * time.Millisecond
	// answerHeaderLimit bounds the header of an answer, in bytes.
	answerHeaderLimit = 64 << 10
)

// DialFunc opens a connection. It must end when ctx ends.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// TCPDialer is the Dial that is used outside tests. Connections come from a local
// IP; nil leaves that to the system.
func TCPDialer(from net.IP) DialFunc {
	var local net.Addr
	if from != nil {
		local = &net.TCPAddr{IP: from}
	}
	d := &net.Dialer{
		LocalAddr: local,
		Control:   setUserTimeout,
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

// ConnPool holds the connections to one address.
type ConnPool struct {
	Addr        string
	Dial        DialFunc
	MaxIdle     int         // idle connections that are kept
	AcquireConn func() bool // counts a new connection, or refuses it; nil for no budget
	ReleaseConn func()      // counts the end of a connection

	mu    sync.Mutex
	idle  []*conn
	epoch uint64 // connections of an earlier epoch are not used again
}

// conn is a connection to an upstream or to another entry instance. One
// request at a time uses it.
type conn struct {
	net.Conn
	host   *ConnPool
	epoch  uint64
	br     *bufio.Reader
	bw     *bufio.Writer
	sent   atomic.Int64 // bytes handed to the kernel for the current request
	limit  int64        // bytes that may still be read; negative for no limit
	since  time.Time    // start of idleness
	until  time.Time    // not used after it; zero for no limit
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
	if c.host.ReleaseConn != nil {
		c.host.ReleaseConn()
	}
	return err
}

// get returns an idle connection that suits c, or a new one. No byte has been
// sent when it fails. Dial is the time that it took to open a new one.
func (h *ConnPool) get(ctx context.Context, c Call) (_ *conn, dial time.Duration, _ error) {
	if !c.NewConn {
		if cn := h.pop(c.MinIdleSince); cn != nil {
			return cn, 0, nil
		}
	}
	if h.AcquireConn != nil && !h.AcquireConn() {
		h.CloseIdle(0)
		if !h.AcquireConn() {
			return nil, 0, corianderwing.Errorf(corianderwing.NoCapacity, "connection budget of %s is used up", h.Addr)
		}
	}
	start := time.Now()
	cn, err := h.open(ctx, c.FirstByteDeadline)
	if err != nil && h.ReleaseConn != nil {
		h.ReleaseConn()
	}
	return cn, time.Since(start), err
}

// open dials. The answer is due at first.
func (h *ConnPool) open(ctx context.Context, first time.Time) (*conn, error) {
	h.mu.Lock()
	epoch := h.epoch
	h.mu.Unlock()
	// Half of the time is left for another try, but a lost packet and the
	// longest way must fit.
	left := time.Until(first)
	ctx, cancel := context.WithTimeout(ctx, min(left, dialTimeout, max(left/2, minDial)))
	defer cancel()
	raw, err := h.Dial(ctx, h.Addr)
	if err != nil {
		return nil, err
	}
	cn := &conn{Conn: raw, host: h, epoch: epoch, probe: prober(raw)}
	cn.br = bufio.NewReaderSize(cn, 4096)
	cn.bw = bufio.NewWriterSize(cn, 4096)
	return cn, nil
}

// pop returns the most recently used idle connection that still works. One
// that has been idle since before recent is not returned.
func (h *ConnPool) pop(recent time.Time) *conn {
	now := time.Now()
	for {
		h.mu.Lock()
		n := len(h.idle)
		if n == 0 || h.idle[n-1].since.Before(recent) {
			h.mu.Unlock()
			return nil
		}
		c := h.idle[n-1]
		h.idle[n-1] = nil
		h.idle = h.idle[:n-1]
		h.mu.Unlock()
		if (c.until.IsZero() || now.Before(c.until)) && c.probe() {
			c.sent.Store(0)
			return c
		}
		c.Close()
	}
}

// put keeps a connection for the next request. KeepAlive is the answer's
// header, which tells when the peer will close the connection.
func (h *ConnPool) put(c *conn, keepAlive string) {
	c.since = time.Now()
	c.until = closesAt(keepAlive, c.since)
	h.mu.Lock()
	keep := c.epoch == h.epoch && len(h.idle) < h.MaxIdle
	if keep {
		h.idle = append(h.idle, c)
	}
	h.mu.Unlock()
	if !keep {
		c.Close()
	}
}

// closesAt returns until when a connection with the given Keep-Alive header
// may be used, zero if it says nothing. A fifth of the time, at least, is kept
// as a margin for a request on its way.
func closesAt(keepAlive string, now time.Time) time.Time {
	for part := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		n, err := strconv.ParseInt(value, 10, 32)
		if err != nil || n < 0 {
			return time.Time{}
		}
		d := time.Duration(n) * time.Second
		return now.Add(d - max(d/5, keepMargin))
	}
	return time.Time{}
}

// Idle returns the number of connections that no request uses.
func (h *ConnPool) Idle() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.idle)
}

// Reset closes the idle connections, and makes those in use close when their
// request ends.
func (h *ConnPool) Reset() {
	h.mu.Lock()
	h.epoch++
	h.mu.Unlock()
	h.CloseIdle(0)
}

// CloseIdle closes the idle connections that have not been used for d.
func (h *ConnPool) CloseIdle(d time.Duration) {
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
