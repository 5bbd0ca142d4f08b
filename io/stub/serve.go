package stub

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

type connKey struct{}

// connInfo belongs to one connection.
type connInfo struct {
	opened time.Time
	used   atomic.Bool
}

// ConnContext is for http.Server. It lets the upstream charge the cost of a
// new connection and fall silent on old ones.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &connInfo{opened: time.Now()})
}

func opened(r *http.Request) time.Time {
	if info, ok := r.Context().Value(connKey{}).(*connInfo); ok {
		return info.opened
	}
	return time.Now()
}

// connectTime returns the cost of a new connection for its first request.
func (s *Server) connectTime(r *http.Request) time.Duration {
	info, ok := r.Context().Value(connKey{}).(*connInfo)
	if !ok || info.used.Swap(true) {
		return 0
	}
	return s.cfg.Connect
}

// Serve serves ln and announces the upstream until it has left or ctx ends.
// When ctx ends, it leaves gracefully first; stop ends that early.
func (s *Server) Serve(ctx, stop context.Context, ln net.Listener) error {
	if s.cfg.Addr == "" {
		s.cfg.Addr = ln.Addr().String()
	}
	srv := &http.Server{
		Handler:           s.Handler(),
		ConnContext:       ConnContext,
		ReadHeaderTimeout: 10 * time.Second,
	}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(&limitListener{Listener: ln, server: s}) }()
	announced := make(chan error, 1)
	go func() { announced <- s.Announce(stop) }()
	var err error
	select {
	case err = <-failed:
		return err
	case <-s.left:
	case <-ctx.Done():
		err = s.Leave(stop)
	}
	if err == nil && len(s.cfg.Entries) > 0 {
		err = <-announced
	}
	return errors.Join(err, srv.Shutdown(stop))
}

// limitListener closes connections over the upstream's limit, as a server
// with a full connection table does.
type limitListener struct {
	net.Listener
	server *Server
	open   atomic.Int64
}

func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= int64(l.server.cfg.Conns) {
			return &limitConn{Conn: c, open: &l.open}, nil
		}
		l.open.Add(-1)
		l.server.runs.refusedConn()
		_ = c.Close()
	}
}

type limitConn struct {
	net.Conn
	open   *atomic.Int64
	closed atomic.Bool
}

func (c *limitConn) Close() error {
	if !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}
