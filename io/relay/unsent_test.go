package relay

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// lateConn is a connection whose Write delivers all bytes at once and returns when
// the connection is closed, as if its goroutine were not scheduled. The peer ends
// the connection once it has bytes.
type lateConn struct {
	net.Conn  // nil: other methods are not used
	delivered chan struct{}
	closed    chan struct{}
}

func (c *lateConn) Write(b []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	close(c.delivered)
	<-c.closed
	return len(b), nil
}

func (c *lateConn) Read([]byte) (int, error) {
	select {
	case <-c.delivered:
		return 0, io.EOF
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *lateConn) Close() error                    { close(c.closed); return nil }
func (c *lateConn) SetReadDeadline(time.Time) error { return nil }

// Guards against calling a request not run whose bytes have reached the peer while
// the write that sent them has not returned yet: a large body is written while the
// response is awaited.
func TestWriteInProgressMayHaveSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pool := &ConnPool{Addr: "peer", Dial: func(context.Context, string) (net.Conn, error) {
			return &lateConn{delivered: make(chan struct{}), closed: make(chan struct{})}, nil
		}}
		c := newCall(pool, "a")
		c.Method, c.Body = "POST", &Body{Prefix: make([]byte, maxInlineBody+1), ContentLength: maxInlineBody + 1}
		_, err := Send(t.Context(), c)
		is.Equal(err.Execution, corianderwing.ExecutionUnknown)
	})
}
