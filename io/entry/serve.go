package entry

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"corianderwing"
	"corianderwing/io/relay"
)

// exchange is a caller's request at its first entry instance.
type exchange struct {
	job
	w             http.ResponseWriter
	r             *http.Request
	ctx           context.Context
	cancel        context.CancelCauseFunc
	stopTimer     func() // releases ctx
	hasOrder      bool   // the order is claimed in the home group
	target        target
	eff           *corianderwing.EffectiveSettings
	view          corianderwing.SettingsView
	keys          requestKeys
	cookies       []string
	query         string
	key           corianderwing.Key
	start         time.Time
	headerWritten bool // the answer's header has been written
	status        int
	code          corianderwing.Code
	execution     corianderwing.Execution
	reason        string
	active        activeRequest
}

func (s *Server) public(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	if s.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/-" || strings.HasPrefix(r.URL.Path, "/-/") {
		s.serveSystem(w, r)
		return
	}
	x := &exchange{w: w, r: r, ctx: r.Context(), start: time.Now()}
	x.id = s.nextID()
	defer s.finish(x)
	if e := s.admit(x); e != nil {
		s.reject(x, e)
		return
	}
	s.serve(x)
}

// finish ends a visit: it forgets it, counts it, and leaves a record if the
// answer was refused or slow. It runs also when the answer was cut off.
func (s *Server) finish(x *exchange) {
	failure := recover()
	if failure != nil && failure != http.ErrAbortHandler {
		s.meter.recordViolation("panic while a request was served")
		if !x.headerWritten {
			s.reject(x, corianderwing.Errorf(corianderwing.Internal, "the request met a fault"))
		}
	}
	if x.stopTimer != nil {
		x.stopTimer()
	}
	s.registry.remove(&x.active)
	total := time.Since(x.start)
	s.meter.recordResponse(x, total)
	refused := x.code != corianderwing.OK && x.code != corianderwing.ReplayedResponse
	slow := x.eff != nil && total > time.Duration(x.eff.Slow)*time.Millisecond
	if refused || slow {
		s.cfg.Recorder.Record(newRecord(s.self.ID, x, total))
	}
	if failure != nil {
		panic(failure)
	}
}

// admit decides whether a request may run. It sends nothing.
func (s *Server) admit(x *exchange) *corianderwing.Error {
	if e := s.resolveRoute(x); e != nil {
		return e
	}
	x.hasOrder = x.atMostOnce && len(x.r.Header["Idempotency-Key"]) > 0
	if x.hasOrder {
		// The outcome of an order must be stored even if its caller leaves.
		x.ctx = context.WithoutCancel(x.ctx)
	}
	x.ctx, x.cancel, x.stopTimer = withDeadline(x.ctx, x.deadline)
	return s.checkRequest(x)
}

// deadlineContext is a context with a deadline that is ended by a timer of its own. It
// does with fewer allocations what context.WithDeadlineCause around
// context.WithCancelCause does.
type deadlineContext struct {
	context.Context
	deadline time.Time
}

// Deadline implements context.Context.
func (b *deadlineContext) Deadline() (time.Time, bool) { return b.deadline, true }

// withDeadline returns a context that ends at the deadline with errDeadline, or with
// the cause that is given to cancel. Stop releases it.
func withDeadline(ctx context.Context, deadline time.Time) (_ context.Context, cancel context.CancelCauseFunc, stop func()) {
	ctx, cancel = context.WithCancelCause(ctx)
	t := time.AfterFunc(time.Until(deadline), func() { cancel(errDeadline) })
	return &deadlineContext{ctx, deadline}, cancel, func() {
		t.Stop()
		cancel(nil)
	}
}

// checkRequest checks key, freshness, method, size of the body and rate, in this
// order. The size of the header is found when the header is copied.
func (s *Server) checkRequest(x *exchange) *corianderwing.Error {
	if e := s.checkKey(x); e != nil {
		return e
	}
	if m := x.eff.Methods; len(m) > 0 && !slices.Contains(m, x.r.Method) {
		return corianderwing.Errorf(corianderwing.MethodNotAllowed, "%s", x.r.Method)
	}
	if n := x.r.ContentLength; n > int64(x.eff.Body) {
		return corianderwing.Errorf(corianderwing.BodyTooLarge, "body has %d bytes, limit %d", n, x.eff.Body)
	}
	return asError(s.cfg.Limiter.Take(x.ctx, x.eff))
}

// resolveRoute looks up the route and takes its settings over.
func (s *Server) resolveRoute(x *exchange) *corianderwing.Error {
	var e *corianderwing.Error
	if x.target, e = splitPath(x.r); e != nil {
		return e
	}
	x.workspace, x.service = x.target.workspace, x.target.service
	view, fresh, ok := s.cfg.Settings.View(x.workspace)
	if !ok && !fresh {
		return corianderwing.Errorf(corianderwing.StaleSettings, "workspace %s", x.workspace)
	}
	if !ok {
		return corianderwing.Errorf(corianderwing.NoRoute, "workspace %s", x.workspace)
	}
	x.view = view
	x.eff, ok = view.Route(x.workspace, x.service, x.target.path)
	if !ok && !fresh {
		return corianderwing.Errorf(corianderwing.StaleSettings, "service %s", x.service)
	}
	if !ok {
		return corianderwing.Errorf(corianderwing.NoRoute, "service %s", x.service)
	}
	x.route = x.eff.Path.Route
	x.pool, x.class, x.atMostOnce = x.eff.Pool, x.eff.Class, x.eff.AtMostOnce
	x.attemptsLeft, x.maxWait = max(1, x.eff.MaxAttempts), x.eff.Wait
	x.deadline = x.eff.Timeout.After(x.start)
	if left := x.r.Header[hTimeLeft]; len(left) == 1 {
		if d, ok := parseTimeLeft(left[0], x.start); ok && d.Before(x.deadline) {
			x.deadline = d
		}
	}
	return nil
}

// checkKey takes the key out of the request and checks it. The request is
// registered before the check, so that a revocation either fails the check or
// finds the request among the running ones.
func (s *Server) checkKey(x *exchange) *corianderwing.Error {
	var e *corianderwing.Error
	if x.keys, x.cookies, x.query, e = extractKey(x.r); e != nil {
		return e
	}
	if x.eff.Public {
		s.registry.add(&x.active, false, corianderwing.KeyHash{byte(s.requestSeq.Load())}, x.workspace, x.cancel)
		return nil
	}
	if x.keys.count == 0 || x.keys.key == "" {
		return corianderwing.Errorf(corianderwing.MissingKey, "workspace %s", x.workspace)
	}
	hash := s.hasher.hash(x.keys.key)
	s.registry.add(&x.active, true, hash, x.workspace, x.cancel)
	view, fresh, ok := s.cfg.Settings.View(x.workspace)
	if !ok || !fresh {
		return corianderwing.Errorf(corianderwing.StaleSettings, "workspace %s", x.workspace)
	}
	x.view = view
	key, ok := view.Key(hash)
	if !ok || key.Revoked || key.Workspace != x.workspace {
		return corianderwing.Errorf(corianderwing.InvalidKey, "workspace %s", x.workspace)
	}
	x.key = key
	return nil
}

// errDeadline is the cause of contexts that end at the request's deadline.
var errDeadline = corianderwing.Errorf(corianderwing.DeadlineExceeded, "the request's time was up")

// asError converts a port's error.
func asError(err error) *corianderwing.Error {
	if err == nil {
		return nil
	}
	if e, ok := err.(*corianderwing.Error); ok {
		return e
	}
	return corianderwing.Errorf(corianderwing.CodeOf(err), "%v", err)
}

// serve brings an admitted request to an upstream and answers the caller.
func (s *Server) serve(x *exchange) {
	x.method, x.host = x.r.Method, x.r.Host
	x.uri = x.target.raw
	if x.query != "" {
		x.uri += "?" + x.query
	}
	var size int
	if x.header, size = upstreamHeader(x.r, x.cookies, x.keys.key); size > s.opt.headerLimit {
		s.reject(x, corianderwing.Errorf(corianderwing.HeaderTooLarge, "header has %d bytes, limit %d", size, s.opt.headerLimit))
		return
	}
	rc := http.NewResponseController(x.w)
	if x.r.Body != http.NoBody && x.r.ContentLength != 0 {
		// A second later than the request's own deadline, which has a code.
		rc.SetReadDeadline(x.deadline.Add(time.Second))
	}
	var e *corianderwing.Error
	if x.body, e = relay.ReadBody(x.r, int64(x.eff.Body), x.hasOrder); e != nil {
		s.reject(x, e)
		return
	}
	if x.body.Rest == nil && x.body != relay.NoBody {
		// From here on the server reads ahead, to notice a caller that leaves.
		rc.SetReadDeadline(time.Time{})
	}
	if x.hasOrder {
		s.runOrder(x, x.r.Header["Idempotency-Key"])
		return
	}
	rep, e := s.forward(x.ctx, &x.job)
	if e != nil {
		stopBodyRead(x.body, rc)
		s.reject(x, e)
		return
	}
	s.writeResponse(x, rep, rc)
}

// stopBodyRead ends reads of the caller's body that are still going on.
func stopBodyRead(b *relay.Body, rc *http.ResponseController) {
	if b.Rest != nil && b.RestSent && !b.RestAtEOF.Load() {
		rc.SetReadDeadline(time.Unix(1, 0))
	}
}
