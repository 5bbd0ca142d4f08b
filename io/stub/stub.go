// Package stub is a stand-in upstream: a back end for trials and tests. It
// runs requests in a limited number of slots, announces itself, and can be
// told to fail, slow down, fall silent, or cross its answers. It logs what it
// ran, so that tests can judge the system from the upstream's side.
package stub

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/io/clock"
)

// Config describes one stand-in upstream. Zero fields take the defaults that
// New fills in.
type Config struct {
	ID      corianderwing.UpstreamID
	Pool    corianderwing.PoolID
	Domain  corianderwing.DomainID
	Version corianderwing.VersionID // default v1
	Addr    string                  // announced host:port
	Entries []string                // public addresses of the entry instances to announce to
	Slots   corianderwing.Slots     // default 1
	Conns   corianderwing.Conns     // default 300
	Queue   int                     // requests that wait when all slots are busy; 0: as many as slots, -1: none

	Time    time.Duration // mean service time
	Spread  float64       // part of the service time that is exponentially distributed, 0 to 1
	Cold    time.Duration // length of the cold start
	Factor  float64       // service time at the start of the cold start, relative to Time; default 3
	Connect time.Duration // cost of a new connection
	Probe   time.Duration // slot time that a health probe costs
	Lag     time.Duration // age that the answers of /load and /health may reach
	Size    int           // smallest size of an answer's body, in bytes
	Grace   time.Duration // least time between drain and leaving; default 4 s
	Runs    int           // runs kept in the log; default 200,000
	Seed    uint64        // of service times and faults

	Incarnation corianderwing.Incarnation // default: the time of New
	Client      *http.Client              // for announcements
	Log         *log.Logger
}

// Server is a stand-in upstream. It owns its run log.
type Server struct {
	cfg   Config
	start time.Time
	slots chan struct{}
	runs  *runLog
	left  chan struct{} // closed when the upstream has left

	mu      sync.Mutex
	rand    *rand.Rand
	phase   corianderwing.Phase
	drained time.Time
	seq     uint64
	inside  int // requests in the handler: waiting, running or answering
	peak    int
	waiting int
	faults  []Fault
	last    string // id of the latest request, for crossed answers
	sample  sample
}

// sample is what /load and /health answer until it is older than Config.Lag.
type sample struct {
	at    time.Time
	busy  int
	phase corianderwing.Phase
}

// New returns an upstream that is ready to serve.
func New(cfg Config) *Server {
	if cfg.Version == "" {
		cfg.Version = "v1"
	}
	cfg.Slots = max(cfg.Slots, 1)
	if cfg.Conns == 0 {
		cfg.Conns = 300
	}
	if cfg.Queue == 0 {
		cfg.Queue = int(cfg.Slots)
	}
	if cfg.Factor == 0 {
		cfg.Factor = 3
	}
	if cfg.Grace == 0 {
		cfg.Grace = 4 * time.Second // the fleet may need 3 s to stop sending
	}
	if cfg.Runs == 0 {
		cfg.Runs = 200_000
	}
	if cfg.Incarnation == 0 {
		cfg.Incarnation = corianderwing.Incarnation(time.Now().UnixNano())
	}
	if cfg.Client == nil {
		cfg.Client = &http.Client{Timeout: time.Second}
	}
	if cfg.Log == nil {
		cfg.Log = &log.Logger{Level: log.ErrorLevel}
	}
	return &Server{
		cfg:   cfg,
		start: time.Now(),
		slots: make(chan struct{}, cfg.Slots),
		runs:  newRunLog(cfg.Runs),
		left:  make(chan struct{}),
		rand:  rand.New(rand.NewPCG(cfg.Seed, 1)),
		phase: corianderwing.Ready,
	}
}

// Handler returns the upstream's HTTP handler. Its own endpoints besides
// /load and /health are reached only by requests without Cw-Request, so that
// no caller reaches them through the system.
func (s *Server) Handler() http.Handler {
	own := http.NewServeMux()
	own.HandleFunc("GET /ran", s.serveRan)
	own.HandleFunc("POST /fault", s.setFault)
	own.HandleFunc("DELETE /fault", s.clearFaults)
	own.HandleFunc("POST /drain", s.serveDrain)
	own.HandleFunc("POST /leave", s.serveLeave)
	own.HandleFunc("/", s.work)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("GET /health", s.serveHealth)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Cw-Request") != "" {
			s.work(w, r)
			return
		}
		own.ServeHTTP(w, r)
	})
	return mux
}

// Drain makes the upstream announce that it takes no new work.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == corianderwing.Ready {
		s.phase = corianderwing.Draining
		s.drained = time.Now()
	}
}

// Leave drains, waits for the grace time and for the work at hand, and then
// leaves. It returns early when ctx ends.
func (s *Server) Leave(ctx context.Context) error {
	s.Drain()
	s.mu.Lock()
	end := s.drained.Add(s.cfg.Grace)
	s.mu.Unlock()
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		if time.Now().After(end) && s.depart() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// depart leaves if nothing is in the handler.
func (s *Server) depart() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == corianderwing.Left {
		return true
	}
	if s.inside > 0 {
		return false
	}
	s.phase = corianderwing.Left
	close(s.left)
	return true
}

// Left is closed when the upstream has left and its work is finished.
func (s *Server) Left() <-chan struct{} { return s.left }

func (s *Server) serveDrain(w http.ResponseWriter, _ *http.Request) {
	s.Drain()
	w.WriteHeader(http.StatusAccepted)
}

func (s *Server) serveLeave(w http.ResponseWriter, _ *http.Request) {
	go func() { _ = s.Leave(context.Background()) }() // ends with the work at hand
	w.WriteHeader(http.StatusAccepted)
}

// Load is the answer of /load.
type Load struct {
	Load  float64             `json:"load"` // 0 to 1
	Busy  int                 `json:"busy"`
	Slots corianderwing.Slots `json:"slots"`
	Phase corianderwing.Phase `json:"phase"`
}

// reported returns the load and phase that the upstream tells others, which
// may be old or wrong.
func (s *Server) reported() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.sample.at.IsZero() || now.Sub(s.sample.at) >= s.cfg.Lag {
		s.sample = sample{at: now, busy: len(s.slots), phase: s.phase}
	}
	l := Load{Busy: s.sample.busy, Slots: s.cfg.Slots, Phase: s.sample.phase}
	l.Load = float64(l.Busy) / float64(l.Slots)
	for _, f := range s.faults {
		if f.Load != nil {
			l.Load = *f.Load
			l.Busy = int(l.Load * float64(l.Slots))
		}
	}
	return l
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.reported())
}

func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	if s.cfg.Probe > 0 && !s.probe(r.Context()) {
		return
	}
	health, status := "ok", http.StatusOK
	if s.reported().Phase != corianderwing.Ready {
		health = "drain"
	}
	s.mu.Lock()
	for _, f := range s.faults {
		if f.Health != "" {
			health = f.Health
		}
	}
	s.mu.Unlock()
	if health != "ok" {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, map[string]string{"health": health})
}

// probe takes the slot time that a probe costs.
func (s *Server) probe(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-s.slots }()
	return pause(ctx, s.cfg.Probe)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the reader is gone
}

// pause waits for d and reports whether ctx lasted as long.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	return clock.Sleep(ctx, d)
}
