package peer

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	grpcpeer "google.golang.org/grpc/peer"
)

const (
	// DefaultMaxHandshakes is the default number of connections that may be open before
	// their first call with the fleet token.
	DefaultMaxHandshakes = 512
	// HandshakeBytes is about the memory that such a connection takes: gRPC allocates a
	// buffer of 32 kB in each direction.
	HandshakeBytes = 80 << 10
	// handshakeTimeout bounds the time from the accept of a connection to its first call
	// with the fleet token. Instances connect when they make a call.
	handshakeTimeout = 5 * time.Second
	// maxHandshakeBytes is the maximum number of bytes before that call. The preface, the
	// settings and the header of a call take less than 1 kB.
	maxHandshakeBytes = 16 << 10
	// maxRefusedCalls is the number of calls without the fleet token after which a
	// connection is closed.
	maxRefusedCalls = 8
	// handshakeLogInterval is the interval between two log lines about closed connections.
	handshakeLogInterval = 10 * time.Second

	// clientPreface is what a client of HTTP/2 sends first.
	clientPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
)

// Reasons for which a connection is closed before its first call with the fleet token.
var (
	errHandshakeTimeout  = fmt.Errorf("no call with the fleet token within %v", handshakeTimeout)
	errHandshakeBytes    = fmt.Errorf("more than %d bytes before the first call with the fleet token", maxHandshakeBytes)
	errRefusedCalls      = fmt.Errorf("%d calls without the fleet token", maxRefusedCalls)
	errTooManyHandshakes = errors.New("too many connections before their first call with the fleet token")
	errPreface           = errors.New("not a connection of HTTP/2")
)

// handshakes are the connections that have not made a call with the fleet token yet. It
// bounds their number, and the time and the bytes that each may take, so that clients
// that are no instances cannot exhaust the memory or the descriptors of the process.
type handshakes struct {
	max int
	log *log.Logger // may be nil

	mu       sync.Mutex
	pending  list.List          // of *serverConn, oldest first
	byAddr   map[netip.Addr]int // pending connections by address
	closed   int64              // connections closed
	unlogged int64              // those since the latest log line
	loggedAt time.Time
}

// handshakeListener is a listener whose connections are kept in handshakes until they
// make a call with the fleet token.
type handshakeListener struct {
	net.Listener
	h *handshakes
}

// Accept implements net.Listener.
func (l *handshakeListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.h.add(c), nil
}

// serverConn is an accepted connection.
type serverConn struct {
	net.Conn
	h       *handshakes
	addr    netip.Addr    // of the peer; zero if unknown
	timer   *time.Timer   // ends the handshake
	element *list.Element // in h.pending; nil afterwards. Guarded by h.mu

	// The fields below are used only by the goroutine that reads.
	authorized bool
	left       int    // bytes that may still be read before the first call
	refused    int    // calls without the fleet token
	unread     []byte // bytes that the handshake has read
}

// add adds a connection. It closes another one if there are too many.
func (h *handshakes) add(conn net.Conn) *serverConn {
	c := &serverConn{Conn: conn, h: h, left: maxHandshakeBytes}
	if a, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		c.addr = a.AddrPort().Addr().Unmap()
	}
	h.mu.Lock()
	c.element = h.pending.PushBack(c)
	if h.byAddr == nil {
		h.byAddr = map[netip.Addr]int{}
	}
	h.byAddr[c.addr]++
	c.timer = time.AfterFunc(handshakeTimeout, func() { c.abort(errHandshakeTimeout) })
	var excess *serverConn
	if h.pending.Len() > h.max {
		excess = h.excess()
	}
	h.mu.Unlock()
	if excess != nil {
		excess.abort(errTooManyHandshakes)
	}
	return c
}

// excess returns the oldest connection of an address that has the most, so that one
// address does not displace the instances at others. The caller holds h.mu.
func (h *handshakes) excess() *serverConn {
	most := 0
	for _, n := range h.byAddr {
		most = max(most, n)
	}
	for e := h.pending.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*serverConn); h.byAddr[c.addr] == most {
			return c
		}
	}
	return nil
}

// remove removes a connection and reports whether it was pending.
func (h *handshakes) remove(c *serverConn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.element == nil {
		return false
	}
	h.pending.Remove(c.element)
	c.element = nil
	if h.byAddr[c.addr]--; h.byAddr[c.addr] == 0 {
		delete(h.byAddr, c.addr)
	}
	c.timer.Stop()
	return true
}

// record counts a connection that was closed because of err.
func (h *handshakes) record(c *serverConn, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed++
	h.unlogged++
	now := time.Now()
	if h.log == nil || now.Sub(h.loggedAt) < handshakeLogInterval {
		return
	}
	h.log.Warn().Int64("connections", h.unlogged).Str("from", c.RemoteAddr().String()).Int("pending", h.pending.Len()).Int("limit", h.max).
		Err(err).Msg("closed connections of peers before their first call")
	h.loggedAt, h.unlogged = now, 0
}

// numClosed returns the number of connections that were closed.
func (h *handshakes) numClosed() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.closed
}

// abort closes the connection unless it has made a call with the fleet token.
func (c *serverConn) abort(err error) {
	if !c.h.remove(c) {
		return
	}
	c.h.record(c, err)
	c.Conn.Close()
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	c.h.remove(c)
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *serverConn) Read(p []byte) (int, error) {
	if len(c.unread) > 0 {
		n := copy(p, c.unread)
		c.unread = c.unread[n:]
		return n, nil
	}
	if c.authorized {
		return c.Conn.Read(p)
	}
	if c.left == 0 {
		c.abort(errHandshakeBytes)
		return 0, errHandshakeBytes
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// recordCall records a call. A connection whose calls lack the fleet token is closed.
func (c *serverConn) recordCall(authorized bool) {
	switch {
	case c.authorized:
	case authorized:
		c.authorized = true
		c.h.remove(c)
	default:
		c.refused++
		if c.refused >= maxRefusedCalls {
			c.abort(errRefusedCalls)
		}
	}
}

// AuthType implements credentials.AuthInfo.
func (c *serverConn) AuthType() string { return "fleet token" }

// connOf returns the connection of a call.
func connOf(ctx context.Context) (*serverConn, bool) {
	p, ok := grpcpeer.FromContext(ctx)
	if !ok {
		return nil, false
	}
	c, ok := p.AuthInfo.(*serverConn)
	return c, ok
}

// prefaceCredentials reads the preface of a connection before gRPC allocates its buffers.
type prefaceCredentials struct {
	credentials.TransportCredentials
}

func newPrefaceCredentials() prefaceCredentials {
	return prefaceCredentials{insecure.NewCredentials()}
}

// ServerHandshake implements credentials.TransportCredentials.
func (prefaceCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	c := conn.(*serverConn) // all connections are those of a handshakeListener
	preface := make([]byte, len(clientPreface))
	_, err := io.ReadFull(c, preface)
	if err == nil && string(preface) != clientPreface {
		err = errPreface
		c.abort(err)
	}
	if err != nil {
		c.Close()
		return nil, nil, err
	}
	c.unread = preface
	return c, c, nil
}
