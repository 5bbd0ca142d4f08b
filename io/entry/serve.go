package entry

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"corianderwing"
	"corianderwing/io/accept"
	"corianderwing/io/relay"
)

// exchange is a caller's request and its response at the first entry instance.
type exchange struct {
	job
	w             http.ResponseWriter
	r             *http.Request
	ctx           context.Context
	cancel        context.CancelCauseFunc
	stopTimer     func() // releases the resources of ctx
	hasOrder      bool   // the request claims an order in the home group
	target        target
	eff           *corianderwing.EffectiveSettings
	view          corianderwing.SettingsView
	keys          requestKeys
	cookies       []string
	query         string
	key           corianderwing.Key
	start         time.Time
	headerWritten bool // the response header has been written
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

// finish completes an exchange: it unregisters and counts the request, and
// records it if it was rejected or slow. It also runs when the response was
// aborted.
func (s *Server) finish(x *exchange) {
	failure := recover()
	if failure != nil && failure != http.ErrAbortHandler {
		s.meter.recordViolation("panic while serving a request")
		if !x.headerWritten {
			s.reject(x, corianderwing.Errorf(corianderwing.Internal, "internal error while serving the request"))
		}
	}
	if x.stopTimer != nil {
		x.stopTimer()
	}
	s.registry.remove(&x.active)
	total := time.Since(x.start)
	s.meter.recordResponse(x, total)
	rejected := x.code != corianderwing.OK && x.code != corianderwing.ReplayedResponse
	slow := x.eff != nil && total > time.Duration(x.eff.Slow)*time.Millisecond
	if rejected || slow {
		s.cfg.Recorder.Record(newRecord(s.self.ID, x, total))
	}
	if failure == nil {
		return
	}
	if !x.r.ProtoAtLeast(1, 1) {
		accept.Reset(x.w)
	}
	panic(failure)
}

// admit decides whether a request may be forwarded. It sends nothing itself.
func (s *Server) admit(x *exchange) *corianderwing.Error {
	if e := s.resolveRoute(x); e != nil {
		return e
	}
	x.hasOrder = x.atMostOnce && len(x.r.Header["Idempotency-Key"]) > 0
	if x.hasOrder {
		// The outcome of an order must be stored even if the caller
		// disconnects.
		x.ctx = context.WithoutCancel(x.ctx)
	}
	x.ctx, x.cancel, x.stopTimer = withDeadline(x.ctx, x.deadline)
	return s.checkRequest(x)
}

// deadlineContext is a context with a deadline that is enforced by a separate
// timer. It needs fewer allocations than context.WithDeadlineCause around
// context.WithCancelCause.
type deadlineContext struct {
	context.Context
	deadline time.Time
}

// Deadline implements context.Context.
func (b *deadlineContext) Deadline() (time.Time, bool) { return b.deadline, true }

// withDeadline returns a context that ends at the deadline with errDeadline, or
// with the cause passed to cancel. stop releases its resources.
func withDeadline(ctx context.Context, deadline time.Time) (_ context.Context, cancel context.CancelCauseFunc, stop func()) {
	ctx, cancel = context.WithCancelCause(ctx)
	t := time.AfterFunc(time.Until(deadline), func() { cancel(errDeadline) })
	return &deadlineContext{ctx, deadline}, cancel, func() {
		t.Stop()
		cancel(nil)
	}
}

// checkRequest checks the key, the freshness of the settings, the method, the
// body size and the rate, in this order. The header size is checked later, when
// the header is copied.
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

// resolveRoute finds the route of a request and applies its settings.
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

// checkKey extracts the key from the request and checks it. The request is
// registered before the check, so that a concurrent revocation either fails the
// check or cancels the registered request.
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
var errDeadline = corianderwing.Errorf(corianderwing.DeadlineExceeded, "request deadline exceeded")

// asError converts an error returned by a port.
func asError(err error) *corianderwing.Error {
	if err == nil {
		return nil
	}
	if e, ok := err.(*corianderwing.Error); ok {
		return e
	}
	return corianderwing.Errorf(corianderwing.CodeOf(err), "%v", err)
}

// serve forwards an admitted request to an upstream and responds to the caller.
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
		// A second after the request's own deadline, which reports a result
		// code.
		rc.SetReadDeadline(x.deadline.Add(time.Second))
	}
	var e *corianderwing.Error
	if x.body, e = relay.ReadBody(x.r, int64(x.eff.Body), x.hasOrder, nil); e != nil {
		s.reject(x, e)
		return
	}
	if x.body.Rest == nil && x.body != relay.NoBody {
		// From here on the server reads in the background to detect that the
		// caller disconnects.
		rc.SetReadDeadline(time.Time{})
	}
	if x.hasOrder {
		s.runOrder(x, x.r.Header["Idempotency-Key"])
		return
	}
	resp, e := s.forward(x.ctx, &x.job)
	if e != nil {
		stopBodyRead(x.body, rc)
		s.reject(x, e)
		return
	}
	s.writeResponse(x, resp, rc)
}

// stopBodyRead aborts a read of the caller's body that is still in progress.
func stopBodyRead(b *relay.Body, rc *http.ResponseController) {
	if b.Rest != nil && b.RestSent && !b.RestAtEOF.Load() {
		rc.SetReadDeadline(time.Unix(1, 0))
	}
}
