package relay

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"corianderwing"
)

const (
	// tcpUserTimeout bounds the time for which sent data may stay unacknowledged, so
	// that a connection into a partition fails within the membership expiry.
	tcpUserTimeout = 3 * time.Second
	// dialTimeout bounds the opening of a connection. The longest round trip between
	// regions is 70 ms; one lost SYN costs 1 s.
	dialTimeout = 1200 * time.Millisecond
	// minDialTimeout is the minimum time allowed for a dial, if the deadline permits:
	// four times the longest round trip.
	minDialTimeout = 300 * time.Millisecond
	// IdleTimeout is how long a connection may stay idle. It bounds how long a former
	// pool owner still holds connections of an upstream.
	IdleTimeout = 15 * time.Second
	// keepAliveMargin is the minimum margin before the peer closes an idle connection:
	// ten times the delay to another region.
	keepAliveMargin = 500 * time.Millisecond
	// maxResponseHeader limits the size of a response header, in bytes.
	maxResponseHeader = 64 << 10
)

// DialFunc opens a connection. It must return when ctx ends.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// TCPDialer returns the DialFunc that is used outside tests. Connections are made
// from the given local IP; nil lets the system choose one.
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
	MaxIdle     int         // maximum number of idle connections kept
	AcquireConn func() bool // reserves a new connection; false if the limit is reached; nil for no limit
	ReleaseConn func()      // releases a reserved connection; may be nil

	mu     sync.Mutex
	idle   []*conn
	epoch  uint64 // connections of an earlier epoch are not reused
	closed bool
}

// conn is a connection to an upstream or to another entry instance. It serves one
// request at a time.
type conn struct {
	net.Conn
	pool        *ConnPool
	epoch       uint64
	br          *bufio.Reader
	bw          *bufio.Writer
	sent        atomic.Int64 // bytes written to the kernel for the current request
	writing     atomic.Int32 // writes in progress, whose bytes are not in sent yet
	readLimit   int64        // bytes that may still be read; negative for no limit
	idleSince   time.Time    // when it was last put into the pool
	usableUntil time.Time    // not reused after this time; zero for no limit
	isAlive     func() bool  // reports whether the idle connection is still usable
	// isReset reports whether the connection was reset, if that is known.
	isReset func() (reset, known bool)
	closed  atomic.Bool
}

// Read enforces the size limit of a response header.
func (c *conn) Read(b []byte) (int, error) {
	if c.readLimit == 0 {
		return 0, errHeaderTooLarge
	}
	if c.readLimit > 0 && int64(len(b)) > c.readLimit {
		b = b[:c.readLimit]
	}
	n, err := c.Conn.Read(b)
	if c.readLimit > 0 {
		c.readLimit -= int64(n)
	}
	return n, err
}

// Write counts the bytes, so that after a failure it is known whether any were sent.
func (c *conn) Write(b []byte) (int, error) {
	c.writing.Add(1)
	defer c.writing.Add(-1)
	if c.closed.Load() {
		return 0, net.ErrClosed // another goroutine may not have closed the socket yet
	}
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

// mayHaveSent reports whether bytes of the current request may have been sent. After
// the connection was closed, its result is final: later writes send nothing.
func (c *conn) mayHaveSent() bool {
	// In this order: a write that ends between the two is counted in sent.
	return c.writing.Load() > 0 || c.sent.Load() > 0
}

// Close closes the connection. Later calls do nothing.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	err := c.Conn.Close()
	if c.pool.ReleaseConn != nil {
		c.pool.ReleaseConn()
	}
	return err
}

// get returns an idle connection that satisfies c, or a new one. If it fails, no byte
// has been sent. The dial result is the time taken to open a new connection.
func (p *ConnPool) get(ctx context.Context, c Call) (_ *conn, dial time.Duration, _ error) {
	if !c.NewConn {
		if cn := p.pop(c.MinIdleSince); cn != nil {
			return cn, 0, nil
		}
	}
	if p.AcquireConn != nil && !p.AcquireConn() {
		p.CloseIdle(0)
		if !p.AcquireConn() {
			return nil, 0, corianderwing.Errorf(corianderwing.NoCapacity, "connection limit of %s reached", p.Addr)
		}
	}
	start := time.Now()
	cn, err := p.dial(ctx, c.FirstByteDeadline)
	if err != nil && p.ReleaseConn != nil {
		p.ReleaseConn()
	}
	return cn, time.Since(start), err
}

// dial opens a connection. The timeout depends on the time until firstByteDeadline.
func (p *ConnPool) dial(ctx context.Context, firstByteDeadline time.Time) (*conn, error) {
	p.mu.Lock()
	epoch := p.epoch
	p.mu.Unlock()
	// Leaves half of the remaining time for another attempt, but allows at least
	// for a lost packet and the longest round trip.
	left := time.Until(firstByteDeadline)
	ctx, cancel := context.WithTimeout(ctx, min(left, dialTimeout, max(left/2, minDialTimeout)))
	defer cancel()
	raw, err := p.Dial(ctx, p.Addr)
	if err != nil {
		return nil, err
	}
	cn := &conn{Conn: raw, pool: p, epoch: epoch, isAlive: newLivenessCheck(raw), isReset: newResetCheck(raw)}
	cn.br = bufio.NewReaderSize(cn, 4096)
	cn.bw = bufio.NewWriterSize(cn, 4096)
	return cn, nil
}

// refusalCheckTime bounds the check whether an address refuses connections. Half of
// it is for the dial.
const refusalCheckTime = 2 * minDialTimeout

// RefusesConnections opens a connection and reports whether the peer refused it
// because nothing listens at the address any more. A connection that opens is kept
// for later requests.
func (p *ConnPool) RefusesConnections(ctx context.Context) bool {
	cn, _, err := p.get(ctx, Call{NewConn: true, FirstByteDeadline: time.Now().Add(refusalCheckTime)})
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.put(cn, "")
	return false
}

// pop returns the most recently used idle connection that is still usable, or nil if
// there is none that became idle at minIdleSince or later.
func (p *ConnPool) pop(minIdleSince time.Time) *conn {
	now := time.Now()
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 || p.idle[n-1].idleSince.Before(minIdleSince) {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[n-1]
		p.idle[n-1] = nil
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if (c.usableUntil.IsZero() || now.Before(c.usableUntil)) && c.isAlive() {
			c.sent.Store(0)
			return c
		}
		c.Close()
	}
}

// put returns a connection to the pool. The Keep-Alive header of the response tells
// when the peer will close it.
func (p *ConnPool) put(c *conn, keepAlive string) {
	c.idleSince = time.Now()
	c.usableUntil = keepAliveDeadline(keepAlive, c.idleSince)
	p.keep(c)
}

// putUnused returns a connection to the pool on which nothing was sent.
func (p *ConnPool) putUnused(c *conn) {
	if c.idleSince.IsZero() {
		c.idleSince = time.Now()
	}
	p.keep(c)
}

func (p *ConnPool) keep(c *conn) {
	p.mu.Lock()
	keep := !p.closed && c.epoch == p.epoch && len(p.idle) < p.MaxIdle
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		c.Close()
	}
}

// keepAliveDeadline returns until when a connection with the given Keep-Alive header
// may be reused, or zero if the header gives no timeout. At least a fifth of the
// timeout is reserved for a request in flight.
func keepAliveDeadline(keepAlive string, now time.Time) time.Time {
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
		return now.Add(d - max(d/5, keepAliveMargin))
	}
	return time.Time{}
}

// Idle returns the number of idle connections.
func (p *ConnPool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// Reset closes the idle connections, and marks those in use to be closed when their
// request ends.
func (p *ConnPool) Reset() {
	p.mu.Lock()
	p.epoch++
	p.mu.Unlock()
	p.CloseIdle(0)
}

// Close closes the idle connections, and those in use or being opened when their
// request ends.
func (p *ConnPool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle(0)
}

// CloseIdle closes the connections that have been idle for at least d.
func (p *ConnPool) CloseIdle(d time.Duration) {
	now := time.Now()
	p.mu.Lock()
	var expired []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) >= d {
			expired = append(expired, c)
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}
