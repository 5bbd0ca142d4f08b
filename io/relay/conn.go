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
	// tcpUserTimeout bounds the time for which sent data may stay unacknowledged,
	// so that a connection into a partition ends within the membership expiry.
	tcpUserTimeout = 3 * time.Second
	// dialTimeout bounds the opening of a connection. The longest delay
	// between regions is 70 ms there and back; one lost SYN costs 1 s.
	dialTimeout = 1200 * time.Millisecond
	// minDialTimeout is the shortest time that a dial gets, if the deadline allows:
	// four times the longest way there and back.
	minDialTimeout = 300 * time.Millisecond
	// IdleTimeout ends unused connections, so that a former pool owner soon
	// uses none of an upstream's connections.
	IdleTimeout = 15 * time.Second
	// keepAliveMargin is the least margin before the peer closes an idle connection:
	// ten times the way to another region.
	keepAliveMargin = 500 * time.Millisecond
	// maxResponseHeader bounds the header of an answer, in bytes.
	maxResponseHeader = 64 << 10
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
	pool        *ConnPool
	epoch       uint64
	br          *bufio.Reader
	bw          *bufio.Writer
	sent        atomic.Int64 // bytes handed to the kernel for the current request
	readLimit   int64        // bytes that may still be read; negative for no limit
	idleSince   time.Time    // start of idleness
	usableUntil time.Time    // not used after it; zero for no limit
	isAlive     func() bool  // reports whether an idle connection still works
	closed      atomic.Bool
}

// Read limits the size of an answer's header.
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
	if c.pool.ReleaseConn != nil {
		c.pool.ReleaseConn()
	}
	return err
}

// get returns an idle connection that suits c, or a new one. No byte has been
// sent when it fails. Dial is the time that it took to open a new one.
func (p *ConnPool) get(ctx context.Context, c Call) (_ *conn, dial time.Duration, _ error) {
	if !c.NewConn {
		if cn := p.pop(c.MinIdleSince); cn != nil {
			return cn, 0, nil
		}
	}
	if p.AcquireConn != nil && !p.AcquireConn() {
		p.CloseIdle(0)
		if !p.AcquireConn() {
			return nil, 0, corianderwing.Errorf(corianderwing.NoCapacity, "connection budget of %s is used up", p.Addr)
		}
	}
	start := time.Now()
	cn, err := p.dial(ctx, c.FirstByteDeadline)
	if err != nil && p.ReleaseConn != nil {
		p.ReleaseConn()
	}
	return cn, time.Since(start), err
}

// dial dials. The answer is due at first.
func (p *ConnPool) dial(ctx context.Context, firstByteDeadline time.Time) (*conn, error) {
	p.mu.Lock()
	epoch := p.epoch
	p.mu.Unlock()
	// Half of the time is left for another try, but a lost packet and the
	// longest way must fit.
	left := time.Until(firstByteDeadline)
	ctx, cancel := context.WithTimeout(ctx, min(left, dialTimeout, max(left/2, minDialTimeout)))
	defer cancel()
	raw, err := p.Dial(ctx, p.Addr)
	if err != nil {
		return nil, err
	}
	cn := &conn{Conn: raw, pool: p, epoch: epoch, isAlive: newLivenessCheck(raw)}
	cn.br = bufio.NewReaderSize(cn, 4096)
	cn.bw = bufio.NewWriterSize(cn, 4096)
	return cn, nil
}

// pop returns the most recently used idle connection that still works. One
// that has been idle since before recent is not returned.
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

// put keeps a connection for the next request. KeepAlive is the answer's
// header, which tells when the peer will close the connection.
func (p *ConnPool) put(c *conn, keepAlive string) {
	c.idleSince = time.Now()
	c.usableUntil = keepAliveDeadline(keepAlive, c.idleSince)
	p.mu.Lock()
	keep := c.epoch == p.epoch && len(p.idle) < p.MaxIdle
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		c.Close()
	}
}

// keepAliveDeadline returns until when a connection with the given Keep-Alive header
// may be used, zero if it says nothing. A fifth of the time, at least, is kept
// as a margin for a request on its way.
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

// Idle returns the number of connections that no request uses.
func (p *ConnPool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// Reset closes the idle connections, and makes those in use close when their
// request ends.
func (p *ConnPool) Reset() {
	p.mu.Lock()
	p.epoch++
	p.mu.Unlock()
	p.CloseIdle(0)
}

// CloseIdle closes the idle connections that have not been used for d.
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
