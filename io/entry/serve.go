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

// visit is a caller's request at its first entry instance.
type visit struct {
	job
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	cancel  context.CancelCauseFunc
	stop    func() // releases ctx
	order   bool   // the order is claimed in the home group
	target  target
	eff     *corianderwing.EffectiveSettings
	view    corianderwing.SettingsView
	found   found
	cookies []string
	query   string
	key     corianderwing.Key
	start   time.Time
	begun   bool // the answer's header has been written
	status  int
	code    corianderwing.Code
	run     corianderwing.Execution
	reason  string
	runner  runner
}

func (s *Server) public(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	if s.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/-" || strings.HasPrefix(r.URL.Path, "/-/") {
		s.system(w, r)
		return
	}
	v := &visit{w: w, r: r, ctx: r.Context(), start: time.Now()}
	v.id = s.nextID()
	defer s.finish(v)
	if e := s.admit(v); e != nil {
		s.refuse(v, e)
		return
	}
	s.serve(v)
}

// finish ends a visit: it forgets it, counts it, and leaves a record if the
// answer was refused or slow. It runs also when the answer was cut off.
func (s *Server) finish(v *visit) {
	failure := recover()
	if failure != nil && failure != http.ErrAbortHandler {
		s.meter.broken("panic while a request was served")
		if !v.begun {
			s.refuse(v, corianderwing.Errorf(corianderwing.Internal, "the request met a fault"))
		}
	}
	if v.stop != nil {
		v.stop()
	}
	s.running.remove(&v.runner)
	total := time.Since(v.start)
	s.meter.answer(v, total)
	refused := v.code != corianderwing.OK && v.code != corianderwing.ReplayedResponse
	slow := v.eff != nil && total > time.Duration(v.eff.Slow)*time.Millisecond
	if refused || slow {
		s.cfg.Recorder.Record(record(s.self.ID, v, total))
	}
	if failure != nil {
		panic(failure)
	}
}

// admit decides whether a request may run. It sends nothing.
func (s *Server) admit(v *visit) *corianderwing.Error {
	if e := s.find(v); e != nil {
		return e
	}
	v.order = v.once && len(v.r.Header["Idempotency-Key"]) > 0
	if v.order {
		// The outcome of an order must be stored even if its caller leaves.
		v.ctx = context.WithoutCancel(v.ctx)
	}
	v.ctx, v.cancel, v.stop = bound(v.ctx, v.deadline)
	return s.allow(v)
}

// bounded is a context with a deadline that is ended by a timer of its own. It
// does with fewer allocations what context.WithDeadlineCause around
// context.WithCancelCause does.
type bounded struct {
	context.Context
	deadline time.Time
}

// Deadline implements context.Context.
func (b *bounded) Deadline() (time.Time, bool) { return b.deadline, true }

// bound returns a context that ends at the deadline with errDeadline, or with
// the cause that is given to cancel. Stop releases it.
func bound(ctx context.Context, deadline time.Time) (_ context.Context, cancel context.CancelCauseFunc, stop func()) {
	ctx, cancel = context.WithCancelCause(ctx)
	t := time.AfterFunc(time.Until(deadline), func() { cancel(errDeadline) })
	return &bounded{ctx, deadline}, cancel, func() {
		t.Stop()
		cancel(nil)
	}
}

// allow checks key, freshness, method, size of the body and rate, in this
// order. The size of the header is found when the header is copied.
func (s *Server) allow(v *visit) *corianderwing.Error {
	if e := s.checkKey(v); e != nil {
		return e
	}
	if m := v.eff.Methods; len(m) > 0 && !slices.Contains(m, v.r.Method) {
		return corianderwing.Errorf(corianderwing.MethodNotAllowed, "%s", v.r.Method)
	}
	if n := v.r.ContentLength; n > int64(v.eff.Body) {
		return corianderwing.Errorf(corianderwing.BodyTooLarge, "body has %d bytes, limit %d", n, v.eff.Body)
	}
	return asError(s.cfg.Limiter.Take(v.ctx, v.eff))
}

// find looks up the route and takes its settings over.
func (s *Server) find(v *visit) *corianderwing.Error {
	var e *corianderwing.Error
	if v.target, e = splitPath(v.r); e != nil {
		return e
	}
	v.workspace, v.service = v.target.workspace, v.target.service
	view, fresh, ok := s.cfg.Guide.View(v.workspace)
	if !ok && !fresh {
		return corianderwing.Errorf(corianderwing.StaleSettings, "workspace %s", v.workspace)
	}
	if !ok {
		return corianderwing.Errorf(corianderwing.NoRoute, "workspace %s", v.workspace)
	}
	v.view = view
	v.eff, ok = view.Route(v.workspace, v.service, v.target.path)
	if !ok && !fresh {
		return corianderwing.Errorf(corianderwing.StaleSettings, "service %s", v.service)
	}
	if !ok {
		return corianderwing.Errorf(corianderwing.NoRoute, "service %s", v.service)
	}
	v.route = v.eff.Path.Route
	v.pool, v.class, v.once = v.eff.Pool, v.eff.Class, v.eff.AtMostOnce
	v.tries, v.wait = max(1, v.eff.MaxAttempts), v.eff.Wait
	v.deadline = v.eff.Timeout.After(v.start)
	if left := v.r.Header[hLeft]; len(left) == 1 {
		if d, ok := parseLeft(left[0], v.start); ok && d.Before(v.deadline) {
			v.deadline = d
		}
	}
	return nil
}

// checkKey takes the key out of the request and checks it. The request is
// registered before the check, so that a revocation either fails the check or
// finds the request among the running ones.
func (s *Server) checkKey(v *visit) *corianderwing.Error {
	var e *corianderwing.Error
	if v.found, v.cookies, v.query, e = takeKey(v.r); e != nil {
		return e
	}
	if v.eff.Public {
		s.running.add(&v.runner, false, corianderwing.KeyHash{byte(s.counter.Load())}, v.workspace, v.cancel)
		return nil
	}
	if v.found.count == 0 || v.found.key == "" {
		return corianderwing.Errorf(corianderwing.MissingKey, "workspace %s", v.workspace)
	}
	hash := s.hasher.hash(v.found.key)
	s.running.add(&v.runner, true, hash, v.workspace, v.cancel)
	view, fresh, ok := s.cfg.Guide.View(v.workspace)
	if !ok || !fresh {
		return corianderwing.Errorf(corianderwing.StaleSettings, "workspace %s", v.workspace)
	}
	v.view = view
	key, ok := view.Key(hash)
	if !ok || key.Revoked || key.Workspace != v.workspace {
		return corianderwing.Errorf(corianderwing.InvalidKey, "workspace %s", v.workspace)
	}
	v.key = key
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
func (s *Server) serve(v *visit) {
	v.method, v.host = v.r.Method, v.r.Host
	v.uri = v.target.raw
	if v.query != "" {
		v.uri += "?" + v.query
	}
	var size int
	if v.header, size = forwarded(v.r, v.cookies, v.found.key); size > s.opt.header {
		s.refuse(v, corianderwing.Errorf(corianderwing.HeaderTooLarge, "header has %d bytes, limit %d", size, s.opt.header))
		return
	}
	rc := http.NewResponseController(v.w)
	if v.r.Body != http.NoBody && v.r.ContentLength != 0 {
		// A second later than the request's own deadline, which has a code.
		rc.SetReadDeadline(v.deadline.Add(time.Second))
	}
	var e *corianderwing.Error
	if v.body, e = relay.ReadBody(v.r, int64(v.eff.Body), v.order); e != nil {
		s.refuse(v, e)
		return
	}
	if v.body.Rest == nil && v.body != relay.NoBody {
		// From here on the server reads ahead, to notice a caller that leaves.
		rc.SetReadDeadline(time.Time{})
	}
	if v.order {
		s.runOrder(v, v.r.Header["Idempotency-Key"])
		return
	}
	rep, e := s.steer(v.ctx, &v.job)
	if e != nil {
		release(v.body, rc)
		s.refuse(v, e)
		return
	}
	s.pass(v, rep, rc)
}

// release ends reads of the caller's body that are still going on.
func release(b *relay.Body, rc *http.ResponseController) {
	if b.Rest != nil && b.RestSent && !b.RestAtEOF.Load() {
		rc.SetReadDeadline(time.Unix(1, 0))
	}
}
