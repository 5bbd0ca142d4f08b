// Package pipes has connections in memory for tests in virtual time, in which the
// sockets of the system cannot be used.
package pipes

import (
	"context"
	"net"
	"sync"
)

// Listener is a net.Listener for connections in memory.
type Listener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

// Listen returns a new Listener.
func Listen() *Listener { return &Listener{conns: make(chan net.Conn), done: make(chan struct{})} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// Dial returns the client's end of a connection once the Listener has accepted it. The
// error is that of ctx, or net.ErrClosed.
func (l *Listener) Dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
