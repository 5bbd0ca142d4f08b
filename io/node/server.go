package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"corianderwing/core/budget"
	"corianderwing/io/accept"
)

// serve serves h on addr in the background until the instance is closed. Its connections
// belong to a class of the budget. A request and its response may take the given time
// each; 0 for no limit.
func (n *Node) serve(addr string, h http.Handler, class budget.Class, timeout time.Duration) (*server, error) {
	l, err := net.Listen("tcp", n.cfg.listenAddr(addr))
	if err != nil {
		return nil, eris.Wrap(err, "listening")
	}
	s := newServer(n.guard.Wrap(l, class), n.guard.Handler(h), timeout, n.log)
	n.servers = append(n.servers, s)
	n.wg.Go(func() {
		if err := s.listener.Serve(&s.Server); !errors.Is(err, http.ErrServerClosed) {
			n.fail(eris.Wrapf(err, "serving on %s", addr))
		}
	})
	return s, nil
}

// server is an HTTP server with its listener.
type server struct {
	http.Server
	listener *accept.Listener
}

func newServer(l *accept.Listener, h http.Handler, timeout time.Duration, lg *log.Logger) *server {
	return &server{listener: l, Server: http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       timeout,
		WriteTimeout:      timeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          lg.Std("", 0),
		ConnContext:       accept.ConnContext,
		ConnState:         accept.ConnState,
	}}
}

// shutdown stops the server. Connections that have been made are served, until ctx
// ends.
func (s *server) shutdown(ctx context.Context) error {
	s.listener.CloseGracefully()
	return s.Shutdown(ctx)
}

// Limits of every HTTP connection. The limits in the shared settings are stricter
// or about the same.
const (
	readHeaderTimeout = 5 * time.Second
	// callTimeout bounds the time in which a call of an upstream or an operator is
	// read, and its response written. The largest take seconds on a slow link.
	// Requests of callers have deadlines of their own.
	callTimeout    = 30 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 64 << 10
)
