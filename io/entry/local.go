package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"corianderwing"
	"corianderwing/core/retry"
	"corianderwing/core/route"
	"corianderwing/io/relay"
)

func isEOF(err error) bool { return errors.Is(err, io.EOF) }

// local runs a request at an upstream of a pool that this instance owns, with
// retries at other upstreams.
func (s *Server) local(ctx context.Context, j *job) (*reply, *corianderwing.Error) {
	p := s.pool(j.pool)
	start := time.Now()
	sl, e := p.acquire(ctx, j, start)
	if e != nil {
		return nil, e
	}
	return s.at(ctx, j, p, sl, start)
}

// at runs a request in a slot that it holds since it began to wait at start,
// with retries at other upstreams.
func (s *Server) at(ctx context.Context, j *job, p *pool, sl slot, start time.Time) (*reply, *corianderwing.Error) {
	for {
		rep, e := s.attempt(ctx, p, sl, j, start)
		if e == nil {
			return rep, nil
		}
		start = time.Now()
		if s.again(j, e) != retry.OtherUpstream || !p.spend(j, start) {
			return nil, e
		}
		last := e
		if sl, e = p.acquire(ctx, j, start); e != nil {
			return nil, sinceLast(last, e)
		}
	}
}

// again classifies a failure of j.
func (s *Server) again(j *job, e *corianderwing.Error) retry.Scope {
	return retry.Classify(retry.Attempt{
		Code:          e.Code,
		Execution:     e.Execution,
		NonIdempotent: j.once,
		AttemptsLeft:  j.tries,
		Deadline:      j.deadline,
		Replayable:    j.body.CanReplay(),
	}, time.Now())
}

// attempt makes one try at an upstream whose slot the request holds.
func (s *Server) attempt(ctx context.Context, p *pool, sl slot, j *job, asked time.Time) (*reply, *corianderwing.Error) {
	start := time.Now()
	wait := start.Sub(asked)
	up := sl.up
	if !start.Before(j.deadline) {
		// The timer of the deadline may be late after a pause of the process.
		p.release(up.ID, j.workspace, route.Unused, 0, 0)
		return nil, &corianderwing.Error{Code: corianderwing.DeadlineExceeded, Execution: corianderwing.NotExecuted, Detail: "before anything was sent"}
	}
	j.tries--
	j.tried = append(j.tried, up.ID)
	a, e := relay.Send(ctx, relay.Call{
		Conns:             sl.host,
		Method:            j.method,
		URI:               j.uri,
		Host:              j.host,
		Header:            j.header,
		AttemptHeader:     attemptHeader(j, j.deadline, start, 0),
		Body:              j.body,
		ID:                j.id,
		NewConn:           j.once && !s.opt.reuse,
		FirstByteDeadline: s.firstByte(j, start),
		EchoHeader:        hRequest,
	})
	first := time.Since(start)
	if e == nil && a.StatusCode == http.StatusServiceUnavailable && a.Header.Get(hRun) == string(corianderwing.NotExecuted) {
		a.Drain()
		e = corianderwing.Errorf(corianderwing.Shed, "upstream %s", up.ID)
	}
	s.note(j, up, e, a, wait, first)
	if e != nil {
		if e.Code == corianderwing.FirstByteTimeout {
			sl.host.Reset()
		}
		p.release(up.ID, j.workspace, resultOf(e), first, first)
		return nil, e
	}
	smooth(s.typical(j), first)
	rep := &reply{Response: a}
	rep.onEnd = func(complete bool) {
		p.release(up.ID, j.workspace, rep.result(ctx, complete), first, time.Since(start))
	}
	return rep, nil
}

// result returns what a reply says about the upstream.
func (r *reply) result(ctx context.Context, complete bool) route.Result {
	switch {
	case complete && r.StatusCode >= http.StatusInternalServerError:
		return route.ServerError
	case complete:
		return route.Success
	case ctx.Err() != nil || r.left:
		return route.Canceled
	}
	return route.Failure
}

// note keeps the attempt for the record and for the comparison of versions.
func (s *Server) note(j *job, up corianderwing.Upstream, e *corianderwing.Error, a *relay.Response, wait, first time.Duration) {
	code, status := corianderwing.OK, 0
	if e != nil {
		code = e.Code
	} else {
		status = a.StatusCode
	}
	j.attempts = append(j.attempts, corianderwing.Attempt{
		Upstream:  up.ID,
		Version:   up.Version,
		Owner:     s.self.ID,
		Code:      code,
		Wait:      corianderwing.Millis(wait.Milliseconds()),
		FirstByte: corianderwing.Millis(first.Milliseconds()),
	})
	if s.cfg.Observe == nil {
		return
	}
	s.cfg.Observe(Sample{
		At:        time.Now(),
		Pool:      j.pool,
		Upstream:  up.ID,
		Version:   up.Version,
		Workspace: j.workspace,
		Service:   j.service,
		Route:     j.route,
		Code:      code,
		Status:    status,
		FirstByte: first,
	})
}

// resultOf returns what a failed attempt says about the upstream.
func resultOf(e *corianderwing.Error) route.Result {
	switch e.Code {
	case corianderwing.Shed:
		return route.Overloaded
	case corianderwing.NoCapacity:
		return route.Unused // no connection was left in the budget
	case corianderwing.FirstByteTimeout:
		return route.FirstByteTimeout
	case corianderwing.DeadlineExceeded, corianderwing.CallerDisconnected, corianderwing.KeyRevoked, corianderwing.Stopping,
		corianderwing.BodyTruncated, corianderwing.BodyTooLarge:
		return route.Canceled
	}
	return route.Failure
}

// firstByte returns the deadline of the first byte of an attempt. While the
// request may be tried again, an attempt gets an equal part of the time left.
func (s *Server) firstByte(j *job, now time.Time) time.Time {
	if j.once || j.tries <= 0 || !j.body.CanReplay() || j.body.Rest != nil {
		return j.deadline
	}
	return s.part(j, now, j.deadline.Sub(now)/time.Duration(j.tries+1))
}

// part cuts an attempt short after d, if the route is known to be much faster:
// a route that needs most of its time would otherwise fail on every attempt.
func (s *Server) part(j *job, now time.Time, d time.Duration) time.Time {
	usual := time.Duration(s.typical(j).Load())
	if usual == 0 || 4*usual > d {
		return j.deadline
	}
	return now.Add(d)
}

// routeID identifies a route of the settings.
type routeID struct {
	workspace corianderwing.WorkspaceID
	service   corianderwing.ServiceID
	route     corianderwing.RouteID
}

// typical returns the smoothed time to the first byte of a route's answers, in
// ns. It is 0 until the first answer.
func (s *Server) typical(j *job) *atomic.Int64 {
	id := routeID{j.workspace, j.service, j.route}
	if t, ok := s.times.Load(id); ok {
		return t.(*atomic.Int64)
	}
	t, _ := s.times.LoadOrStore(id, new(atomic.Int64))
	return t.(*atomic.Int64)
}

// attemptHeader returns the headers of one attempt, with room for more.
func attemptHeader(j *job, deadline, now time.Time, more int) []relay.HeaderField {
	return append(make([]relay.HeaderField, 0, 6+more),
		relay.HeaderField{Name: hLeft, Value: leftHeader(deadline, now)},
		relay.HeaderField{Name: hRequest, Value: string(j.id)},
		relay.HeaderField{Name: hWorkspace, Value: string(j.workspace)},
		relay.HeaderField{Name: hService, Value: string(j.service)},
		relay.HeaderField{Name: hRoute, Value: string(j.route)},
		relay.HeaderField{Name: hClass, Value: string(j.class)},
	)
}
