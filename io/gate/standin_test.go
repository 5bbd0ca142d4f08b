package gate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/io/accept"
	"corianderwing/io/follow"
	"corianderwing/io/plane"
)

// standIn is an upstream that answers as a test tells it to, byte by byte.
type standIn struct {
	net.Listener
	mu    sync.Mutex
	runs  map[string]int // by request ID
	conns int
}

// standInConn is one connection to a standIn.
type standInConn struct {
	*net.TCPConn
	standIn *standIn
	first   string // ID of the first request on the connection
	n       int    // requests read from the connection
}

// newStandIn starts an upstream. The serve function is called for each request that
// is read; the connection is closed once it returns false.
func newStandIn(t *testing.T, serve func(c *standInConn, r *http.Request) bool) *standIn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &standIn{Listener: l, runs: map[string]int{}}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			go s.serve(&standInConn{TCPConn: c.(*net.TCPConn), standIn: s}, serve)
		}
	}()
	return s
}

func (s *standIn) serve(c *standInConn, serve func(c *standInConn, r *http.Request) bool) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if c.n++; c.n == 1 {
			c.first = r.Header.Get("X-Request-Id")
		}
		if !serve(c, r) {
			return
		}
		io.Copy(io.Discard, r.Body)
	}
}

// listControl grants slots of its upstreams in order, as long as a request has not
// tried them.
type listControl struct {
	*grantingControl
	upstreams []*model.Upstream
}

func (c *listControl) Acquire(_ context.Context, q *plane.AcquireRequest) (*plane.AcquireResponse, follow.SlotSource, bool) {
	source := follow.SlotSource{Peer: "control", Domain: "a"}
	for _, u := range c.upstreams {
		if !slices.Contains(q.ExcludedUpstreams, u.ID) {
			return &plane.AcquireResponse{ID: 1, Upstream: u.ID, Incarnation: u.Incarnation, ExpectedLatency: 1000, MissLatency: 3000}, source, true
		}
	}
	return &plane.AcquireResponse{Error: corianderwing.Errorf(corianderwing.NoUpstream, "all upstreams were tried")}, source, true
}

// newStandInGate starts an entry instance in front of upstreams and returns the base
// URL of its public listener. Requests under /once/ must not run twice.
func newStandInGate(t *testing.T, upstreams ...*standIn) string {
	t.Helper()
	target := []corianderwing.Target{{Pool: "files", Weight: 1}}
	rule := func(name corianderwing.RouteID, prefix string, once bool) corianderwing.Rule {
		return corianderwing.Rule{Name: name, Version: 2, Host: "shop.example", Prefix: prefix, AtMostOnce: once, Timeout: 10_000, TargetLatency: 9000, MaxAttempts: 3, Public: true, Targets: target}
	}
	commands := []*model.Command{{Edit: &corianderwing.Edit{Rules: []corianderwing.Rule{rule("r-1", "/files/", false), rule("r-2", "/once/", true)}}}}
	for i, u := range upstreams {
		commands = append(commands, &model.Command{Announce: []model.Announcement{{Upstream: corianderwing.Upstream{
			ID: corianderwing.UpstreamID(fmt.Sprint("i-", i+1)), Incarnation: 1, Pool: "files", Version: "v1", Domain: "a",
			Addr: u.Addr().String(), Slots: 100, Phase: corianderwing.Ready,
		}}}})
	}
	c := &listControl{grantingControl: newGrantingControl(t, "127.0.0.1:1")}
	view := c.view
	for _, x := range commands {
		next, err := view.Apply(x, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		view = next
	}
	c.view = view
	for i := range upstreams {
		u, _ := view.Upstream(corianderwing.UpstreamID(fmt.Sprint("i-", i+1)))
		c.upstreams = append(c.upstreams, u)
	}
	s := newTestServer(c, quiet)
	s.NotifyChange()
	front := httptest.NewUnstartedServer(s)
	front.Listener, front.Config.ConnContext = accept.Wrap(front.Listener), accept.ConnContext
	front.Start()
	t.Cleanup(func() {
		front.Close()
		s.Close()
	})
	deadline := time.Now().Add(30 * time.Second)
	for s.pool("files") == nil {
		if time.Now().After(deadline) {
			t.Fatal("the pool is not known")
		}
		runtime.Gosched()
	}
	return front.URL
}
