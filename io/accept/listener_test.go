package accept

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// dialPending opens connections that the kernel holds because nobody accepts them,
// and sends a request on each.
func dialPending(t *testing.T, l net.Listener, n int) []net.Conn {
	t.Helper()
	var list []net.Conn
	for i := range n {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(time.Minute))
		if _, err := io.WriteString(c, request(i)); err != nil {
			t.Fatal(err)
		}
		list = append(list, c)
	}
	return list
}

func listen(t *testing.T) *Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return Wrap(l)
}

// Guards against requests that are cut off without a response by a planned stop under
// load: the kernel had accepted their connections, the process had not.
func TestStopServesPendingConnections(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	conns := dialPending(t, l, 5)
	s := &http.Server{ConnContext: ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, r.URL.Path)
	})}
	l.CloseGracefully()
	is.NoErr(l.Close()) // the stop begins before the server has accepted any of them
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	for i, c := range conns {
		path, _ := readPath(t, bufio.NewReader(c))
		is.Equal(path, "/"+string(rune('0'+i)))
	}
	is.True(errors.Is(<-served, net.ErrClosed))
	_, err := net.Dial("tcp", l.Addr().String())
	is.True(err != nil) // closed
}

// Guards against a stop that waits for its listener, and against a listener that
// stays open.
func TestShutdownClosesIdleListener(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	s := &http.Server{ConnContext: ConnContext}
	served := make(chan error, 1)
	go func() { served <- l.Serve(s) }()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	is.NoErr(c.Close())
	l.CloseGracefully()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	is.NoErr(s.Shutdown(ctx))
	is.True(errors.Is(<-served, http.ErrServerClosed))
	_, err = net.Dial("tcp", l.Addr().String())
	is.True(err != nil)
}

// Guards against a listener that stays open because the stop came before the server
// began to accept: callers then connect to a server that never reads.
func TestShutdownBeforeServeClosesListener(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	s := &http.Server{ConnContext: ConnContext}
	l.CloseGracefully()
	is.NoErr(s.Shutdown(t.Context()))
	is.True(errors.Is(l.Serve(s), http.ErrServerClosed))
	_, err := net.Dial("tcp", l.Addr().String())
	is.True(err != nil)
}
