package entry

import (
	"crypto/subtle"
	"net/http"
	"strconv"
	"time"

	"corianderwing"
	"corianderwing/io/relay"
)

// internal serves a request that another entry instance forwards to this one as
// the pool owner. The sender has checked the key, the rate and the limits.
func (s *Server) internal(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	start := time.Now()
	if s.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(hToken)), []byte(s.fleetToken)) != 1 {
		writeError(w, corianderwing.Errorf(corianderwing.InvalidInput, "forwarded request has an invalid fleet token"))
		return
	}
	j, e := parseForwarded(r, start)
	if e != nil {
		writeError(w, e)
		return
	}
	pace, stopPacing := s.responsePacer(r, j)
	defer stopPacing()
	w = pace.responseWriter(w)
	w.Header()[hRequest] = []string{string(j.id)}
	if e := s.reserveResponse(pace, j); e != nil {
		writeError(w, e)
		return
	}
	ctx, cancel, stop := withDeadline(r.Context(), j.deadline)
	defer stop()
	var active activeRequest
	s.registry.add(&active, false, corianderwing.KeyHash{byte(s.active.Load())}, j.workspace, cancel)
	defer s.registry.remove(&active)
	rc := http.NewResponseController(w)
	if j.body, e = relay.ReadBody(r, maxForwardedBody, false, nil); e != nil {
		writeError(w, e)
		return
	}
	resp, e := s.runLocal(ctx, j)
	w.Header()[hAttempts] = []string{formatAttempts(j.attempts)}
	w.Header()[hElapsed] = []string{strconv.FormatInt(time.Since(start).Microseconds(), 10)}
	if e != nil {
		stopBodyRead(j.body, rc)
		writeError(w, e)
		return
	}
	defer resp.close()
	setResponseHeader(w.Header(), resp, j.id)
	w.WriteHeader(resp.StatusCode)
	err := copyBody(w, resp, rc)
	stopBodyRead(j.body, rc)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.observeSize(pace, j)
}

// maxForwardedBody limits the body of a forwarded request. The first entry
// instance applies the route's limit; this only protects against a faulty
// sender.
const maxForwardedBody = 1 << 30

// parseForwarded parses the headers of a forwarded request.
func parseForwarded(r *http.Request, now time.Time) (*job, *corianderwing.Error) {
	h := r.Header
	deadline, ok := parseTimeLeft(h.Get(hTimeLeft), now)
	tries, err := strconv.Atoi(h.Get(hAttemptsLeft))
	wait, err2 := strconv.ParseInt(h.Get(hMaxWait), 10, 64)
	hops, err3 := strconv.Atoi(h.Get(hHops))
	if !ok || err != nil || err2 != nil || err3 != nil || h.Get(hRequest) == "" || h.Get(hPool) == "" {
		return nil, corianderwing.Errorf(corianderwing.InvalidInput, "forwarded request lacks a required header or has an invalid one")
	}
	if hops > maxHops {
		return nil, corianderwing.Errorf(corianderwing.NotOwner, "request was already forwarded %d times", hops)
	}
	j := &job{
		id:           corianderwing.RequestID(h.Get(hRequest)),
		workspace:    corianderwing.WorkspaceID(h.Get(hWorkspace)),
		service:      corianderwing.ServiceID(h.Get(hService)),
		route:        corianderwing.RouteID(h.Get(hRoute)),
		pool:         corianderwing.PoolID(h.Get(hPool)),
		class:        corianderwing.Class(h.Get(hClass)),
		atMostOnce:   h.Get(hAtMostOnce) != "",
		attemptsLeft: tries,
		hops:         hops,
		deadline:     deadline,
		maxWait:      corianderwing.Millis(wait),
		method:       r.Method,
		uri:          r.RequestURI,
		host:         r.Host,
	}
	j.header, _ = relay.EndToEndFields(h, isInternalHeader)
	return j, nil
}
