package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in of a server, as PROTOCOL.md describes a sound one.
type server struct {
	f       *fleet
	id      string
	service string
	zone    string
	ip      string
	slots   int
	work    func(r *http.Request) time.Duration
	born    int64

	seq     atomic.Int64
	running atomic.Int64
	slot    chan struct{}
	http    *http.Server
	stop    context.CancelFunc
	mu      sync.Mutex
	state   string
}

// startServer starts a server that sends heartbeats.
func startServer(f *fleet, n int, service, zone string, slots int, work func(*http.Request) time.Duration) (*server, error) {
	s := &server{
		f: f, id: fmt.Sprintf("i-%08x", 0x1a2b3c00+n), service: service, zone: zone, ip: fmt.Sprintf("127.61.3.%d", n+1),
		slots: slots, work: work, born: time.Now().UnixMilli(), slot: make(chan struct{}, slots), state: "ready",
	}
	l, err := net.Listen("tcp", f.addr(s.ip, portServer))
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: s}
	go s.http.Serve(l)
	var ctx context.Context
	ctx, s.stop = context.WithCancel(context.Background())
	go s.beat(ctx)
	return s, nil
}

func (s *server) beat(ctx context.Context) {
	for {
		s.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

func (s *server) announce(ctx context.Context) {
	s.mu.Lock()
	state := s.state
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 1400*time.Millisecond)
	defer cancel()
	s.f.call(ctx, http.MethodPost, "/Instances.Heartbeat/"+s.id, map[string]any{
		"address": s.f.addr(s.ip, portServer), "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
		"status": map[string]any{"state": state, "callSeq": s.seq.Add(1), "coldLeft": "0ms"},
	})
}

// ServeHTTP runs a request, if a slot is free within a moment.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Instance-Id", s.id)
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", s.running.Load(), s.slots))
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	left := 10 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	wait := time.NewTimer(min(left, time.Second))
	defer wait.Stop()
	select {
	case s.slot <- struct{}{}:
	case <-wait.C:
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slot }()
	s.running.Add(1)
	defer s.running.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.f.rec.ran(id, s, r, body)
	select {
	case <-time.After(s.work(r)):
	case <-r.Context().Done():
		s.f.rec.note("%s: the connection of %s closed while it ran", s.id, id)
		return
	}
	h.Set("X-Server-Stamp", "stamp."+id)
	fmt.Fprintf(w, "answer to %s\n", id)
}

func (s *server) close() {
	s.stop()
	s.http.Close()
}
