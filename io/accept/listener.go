package accept

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"corianderwing/core/budget"
)

const (
	// maxCloseTime bounds a graceful close while connections continue to arrive.
	maxCloseTime = 200 * time.Millisecond
	// pendingTimeout bounds the accept of a connection that the kernel holds: its
	// caller may have reset it meanwhile.
	pendingTimeout = 20 * time.Millisecond
)

// Listener is a listener whose connections read ahead.
//
// The kernel completes connections before the process accepts them, and a caller may
// have sent its request by then. When the listener is closed, the kernel resets the
// connections that were not accepted, and such a request gets no response.
type Listener struct {
	net.Listener
	guard    *Guard // nil without a budget
	class    budget.Class
	graceful atomic.Bool
	closeBy  atomic.Pointer[time.Time] // end of a graceful close; nil before it
}

// Serve serves the connections with s, and returns once l is closed. If s was shut down
// before, nothing calls Accept, which ends a graceful close.
func (l *Listener) Serve(s *http.Server) error {
	defer l.Listener.Close() // an error means that it is closed already
	return s.Serve(l)
}

// CloseGracefully makes Close accept the connections that the kernel holds first.
// Close then returns at once, and Accept, which must be called until it fails, closes
// the listener.
func (l *Listener) CloseGracefully() { l.graceful.Store(true) }

// Close implements net.Listener.
func (l *Listener) Close() error {
	t, ok := l.Listener.(*net.TCPListener)
	if !ok || !l.graceful.Load() {
		return l.Listener.Close()
	}
	now := time.Now()
	end := now.Add(maxCloseTime)
	l.closeBy.Store(&end)
	return t.SetDeadline(now) // ends a call of Accept that waits
}

// Accept implements net.Listener. A connection for which the budget has no room is
// closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if end := l.closeBy.Load(); err != nil && end != nil {
			c, err = l.acceptPending(*end)
		}
		if err != nil {
			return nil, err
		}
		if l.guard == nil {
			return newConn(c), nil
		}
		if x := l.guard.open(c, l.class); x != nil {
			return x, nil
		}
		c.Close()
	}
}

// acceptPending accepts a connection that the kernel holds. If there is none, it
// closes the listener.
func (l *Listener) acceptPending(end time.Time) (net.Conn, error) {
	t := l.Listener.(*net.TCPListener)
	for hasPending(t) && time.Now().Before(end) {
		// Setting a deadline fails only if the listener is closed, which Accept
		// reports.
		t.SetDeadline(time.Now().Add(pendingTimeout))
		c, err := t.Accept()
		t.SetDeadline(time.Now())
		if err == nil {
			return c, nil
		}
	}
	t.Close()
	return nil, net.ErrClosed
}
