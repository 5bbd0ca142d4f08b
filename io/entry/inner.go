package entry

import (
	"crypto/subtle"
	"net/http"
	"strconv"
	"time"

	"corianderwing"
	"corianderwing/io/relay"
)

// inner serves a request that another entry instance hands over, because this
// one owns the pool. The other one has checked key, rate and limits.
func (s *Server) inner(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	start := time.Now()
	if s.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(hToken)), []byte(s.token)) != 1 {
		writeError(w, corianderwing.Errorf(corianderwing.InvalidInput, "hand-over without the fleet's token"))
		return
	}
	j, e := handed(r, start)
	if e != nil {
		writeError(w, e)
		return
	}
	pace, stop := s.paceAnswer(r, j)
	defer stop()
	w = pace.writer(w)
	w.Header()[hRequest] = []string{string(j.id)}
	if e := s.bookAnswer(pace, j); e != nil {
		writeError(w, e)
		return
	}
	ctx, cut, done := bound(r.Context(), j.deadline)
	defer done()
	var run runner
	s.running.add(&run, false, corianderwing.KeyHash{byte(s.active.Load())}, j.workspace, cut)
	defer s.running.remove(&run)
	rc := http.NewResponseController(w)
	if j.body, e = relay.ReadBody(r, maxInner, false); e != nil {
		writeError(w, e)
		return
	}
	rep, e := s.local(ctx, j)
	w.Header()[hTried] = []string{formatTried(j.attempts)}
	w.Header()[hTook] = []string{strconv.FormatInt(time.Since(start).Microseconds(), 10)}
	if e != nil {
		release(j.body, rc)
		writeError(w, e)
		return
	}
	defer rep.close()
	answerHeader(w.Header(), rep, j.id)
	w.WriteHeader(rep.StatusCode)
	err := stream(w, rep, rc)
	release(j.body, rc)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.learn(pace, j)
}

// maxInner bounds the body of a handed-over request. The first entry instance
// applies the route's limit; this only guards against a broken sender.
const maxInner = 1 << 30

// handed reads the headers of a hand-over.
func handed(r *http.Request, now time.Time) (*job, *corianderwing.Error) {
	h := r.Header
	deadline, ok := parseLeft(h.Get(hLeft), now)
	tries, err := strconv.Atoi(h.Get(hTries))
	wait, err2 := strconv.ParseInt(h.Get(hWait), 10, 64)
	hops, err3 := strconv.Atoi(h.Get(hHops))
	if !ok || err != nil || err2 != nil || err3 != nil || h.Get(hRequest) == "" || h.Get(hPool) == "" {
		return nil, corianderwing.Errorf(corianderwing.InvalidInput, "hand-over lacks a header")
	}
	if hops > maxHops {
		return nil, corianderwing.Errorf(corianderwing.NotOwner, "request was handed over %d times", hops)
	}
	j := &job{
		id:        corianderwing.RequestID(h.Get(hRequest)),
		workspace: corianderwing.WorkspaceID(h.Get(hWorkspace)),
		service:   corianderwing.ServiceID(h.Get(hService)),
		route:     corianderwing.RouteID(h.Get(hRoute)),
		pool:      corianderwing.PoolID(h.Get(hPool)),
		class:     corianderwing.Class(h.Get(hClass)),
		once:      h.Get(hOnce) != "",
		tries:     tries,
		hops:      hops,
		deadline:  deadline,
		wait:      corianderwing.Millis(wait),
		method:    r.Method,
		uri:       r.RequestURI,
		host:      r.Host,
	}
	j.header, _ = relay.EndToEndFields(h, ours)
	return j, nil
}
