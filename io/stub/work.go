package stub

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"corianderwing"
)

// maxBody bounds the request bodies that the stand-in reads.
const maxBody = 64 << 20

// Answer is the body of an answer. Path lets a caller check that the answer
// is to its own request.
type Answer struct {
	Request  string                   `json:"request"`
	Path     string                   `json:"path"`
	Order    string                   `json:"order,omitempty"`
	Upstream corianderwing.UpstreamID `json:"upstream"`
	Version  corianderwing.VersionID  `json:"version"`
	Bytes    int64                    `json:"bytes"` // size of the request's body
	Fill     string                   `json:"fill,omitempty"`
}

// work runs one request: it waits for a slot, runs, and answers.
func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := s.deadline(r)
	defer cancel()
	s.runs.sawKeys(keysIn(r))
	id := r.Header.Get("Cw-Request")
	before, gone := s.enter(id)
	defer s.leaveHandler()
	if gone {
		s.shed(w, r)
		return
	}
	c := s.chance(r)
	if c.silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if c.shed || ctx.Err() != nil || !s.slot(ctx) {
		s.shed(w, r)
		return
	}
	defer func() { <-s.slots }()
	body, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBody))
	run := s.runs.begin(r)
	if err != nil || !s.serve(ctx, r, c) {
		s.runs.end(run, Cut)
		if r.Context().Err() == nil {
			w.Header().Set("Cw-Request", id)
			http.Error(w, "deadline passed or body cut", http.StatusGatewayTimeout)
		}
		return
	}
	s.runs.end(run, Done)
	if c.cross && before != "" {
		id = before
	}
	s.answer(w, r, c, id, body)
}

// deadline returns a context that ends with the caller or after Cw-Left ms.
func (s *Server) deadline(r *http.Request) (context.Context, context.CancelFunc) {
	left, err := strconv.ParseInt(r.Header.Get("Cw-Left"), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithDeadline(r.Context(), corianderwing.Millis(left).After(time.Now()))
}

// enter counts a request in and returns the id of the one before it. Gone
// tells that the upstream has left.
func (s *Server) enter(id string) (before string, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inside++
	s.peak = max(s.peak, s.inside)
	before, s.last = s.last, id
	if before == id {
		before = ""
	}
	if s.phase != corianderwing.Ready {
		s.runs.late(time.Since(s.drained))
	}
	return before, s.phase == corianderwing.Left
}

func (s *Server) leaveHandler() {
	s.mu.Lock()
	s.inside--
	s.mu.Unlock()
}

// slot waits for a slot, in a queue of bounded length.
func (s *Server) slot(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	if s.waiting >= s.cfg.Queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// serve takes the service time and reports whether it was not cut short.
func (s *Server) serve(ctx context.Context, r *http.Request, c chance) bool {
	d := s.serviceTime(c.draw) + s.connectTime(r)
	return pause(ctx, time.Duration(float64(d)*c.slow))
}

// serviceTime returns a service time for an exponentially distributed draw of
// mean 1.
func (s *Server) serviceTime(draw float64) time.Duration {
	d := float64(s.cfg.Time) * (1 - s.cfg.Spread + s.cfg.Spread*min(draw, 10))
	if age := time.Since(s.start); age < s.cfg.Cold {
		warm := float64(age) / float64(s.cfg.Cold)
		d *= s.cfg.Factor + (1-s.cfg.Factor)*warm
	}
	return time.Duration(d)
}

// shed refuses a request that did not run.
func (s *Server) shed(w http.ResponseWriter, r *http.Request) {
	s.runs.refused()
	h := w.Header()
	h.Set("Cw-Run", string(corianderwing.NotExecuted))
	h.Set("Cw-Request", r.Header.Get("Cw-Request"))
	http.Error(w, "not run", http.StatusServiceUnavailable)
}

// answer writes the answer to a request that ran, with the faults of c.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, c chance, id string, body int64) {
	h := w.Header()
	h.Set("Cw-Request", id)
	if c.fail != 0 {
		http.Error(w, "failed on request of a trial", c.fail)
		return
	}
	data, err := json.Marshal(Answer{
		Request:  id,
		Path:     r.URL.RequestURI(),
		Order:    r.Header.Get("Idempotency-Key"),
		Upstream: s.cfg.ID,
		Version:  s.cfg.Version,
		Bytes:    body,
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if fill := s.cfg.Size - len(data) - len(`,"fill":""`); fill > 0 {
		data = append(data[:len(data)-1], `,"fill":"`...)
		data = append(data, bytes.Repeat([]byte("x"), fill)...)
		data = append(data, `"}`...)
	}
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	if c.short {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data) // fails only if the caller is gone
}

// keysIn counts what looks like a caller's key. No upstream may see one.
func keysIn(r *http.Request) int {
	n := 0
	for name := range r.Header {
		if keyName(name) || name == "Authorization" || name == "Proxy-Authorization" {
			n++
		}
	}
	for _, c := range r.Cookies() {
		if keyName(c.Name) {
			n++
		}
	}
	for name := range r.URL.Query() {
		if keyName(name) {
			n++
		}
	}
	return n
}

func keyName(name string) bool {
	name = strings.ReplaceAll(strings.ToLower(name), "-", "_")
	return strings.Contains(name, "api_key") || strings.Contains(name, "apikey")
}
