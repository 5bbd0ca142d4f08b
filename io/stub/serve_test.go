package stub

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"

	"github.com/matryer/is"
)

// start serves s on a loopback address and returns it.
func start(t *testing.T, s *Server) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: s.Handler(), ConnContext: ConnContext}
	go func() { _ = srv.Serve(&limitListener{Listener: ln, server: s}) }()
	t.Cleanup(func() { _ = srv.Close() })
	return "http://" + ln.Addr().String() + "/x"
}

func get(ctx context.Context, c *http.Client, url string) error {
	r, err := http.NewRequestWithContext(ctx, "GET", url, nil)
	if err != nil {
		return err
	}
	resp, err := c.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body) // lets the connection be used again
	return err
}

func inside(s *Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inside > 0
}

func client() *http.Client { return &http.Client{Transport: &http.Transport{}} }

// Guards against a stand-in on which no connection goes silent, or on which
// new connections go silent too.
func TestOldConnectionsFallSilent(t *testing.T) {
	is := is.New(t)
	s := New(Config{Slots: 4})
	url := start(t, s)
	old, fresh := client(), client()
	is.NoErr(get(t.Context(), old, url))
	s.SetFault(Fault{Old: true})
	ctx, cancel := context.WithCancel(t.Context())
	silent := make(chan error)
	go func() { silent <- get(ctx, old, url) }()
	for !inside(s) {
		select {
		case err := <-silent:
			t.Fatal("the old connection was answered", err)
		default:
			runtime.Gosched()
		}
	}
	is.NoErr(get(t.Context(), fresh, url))
	is.NoErr(get(t.Context(), fresh, url))
	cancel()
	is.True(<-silent != nil)
	is.Equal(s.Ran(0).Done, uint64(3))
	old.CloseIdleConnections()
	fresh.CloseIdleConnections()
}

// Guards against a stand-in that accepts any number of connections.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	s := New(Config{Conns: 1})
	url := start(t, s)
	first, second := client(), client()
	is.NoErr(get(t.Context(), first, url))
	is.True(get(t.Context(), second, url) != nil)
	is.True(s.Ran(0).Refused > 0)
	is.NoErr(get(t.Context(), first, url))
	first.CloseIdleConnections()
}
