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

// runLocal sends a request to an upstream of a pool that this instance owns,
// and retries at other upstreams.
func (s *Server) runLocal(ctx context.Context, j *job) (*response, *corianderwing.Error) {
	p := s.pool(j.pool)
	start := time.Now()
	sl, e := p.acquire(ctx, j, start)
	if e != nil {
		return nil, e
	}
	return s.runInSlot(ctx, j, p, sl, start)
}

// runInSlot sends a request to the upstream of a slot that it holds, and
// retries at other upstreams. start is when the request began to wait for the
// slot.
func (s *Server) runInSlot(ctx context.Context, j *job, p *pool, sl slot, start time.Time) (*response, *corianderwing.Error) {
	for {
		resp, e := s.attempt(ctx, p, sl, j, start)
		if e == nil {
			return resp, nil
		}
		start = time.Now()
		if s.retryScope(j, e) != retry.OtherUpstream || !p.withdrawRetry(j, start) {
			return nil, e
		}
		last := e
		if sl, e = p.acquire(ctx, j, start); e != nil {
			return nil, mergeFailure(last, e)
		}
	}
}

// retryScope returns where a failed request may be retried.
func (s *Server) retryScope(j *job, e *corianderwing.Error) retry.Scope {
	return retry.Classify(retry.Attempt{
		Code:          e.Code,
		Execution:     e.Execution,
		NonIdempotent: j.atMostOnce,
		AttemptsLeft:  j.attemptsLeft,
		Deadline:      j.deadline,
		Replayable:    j.body.CanReplay(),
	}, time.Now())
}

// attempt makes one attempt at the upstream of the slot that the request holds.
func (s *Server) attempt(ctx context.Context, p *pool, sl slot, j *job, queuedAt time.Time) (*response, *corianderwing.Error) {
	start := time.Now()
	wait := start.Sub(queuedAt)
	up := sl.up
	if !start.Before(j.deadline) {
		// The deadline timer may fire late after the process was paused.
		p.release(up.ID, j.workspace, route.Unused, 0, 0)
		return nil, &corianderwing.Error{Code: corianderwing.DeadlineExceeded, Execution: corianderwing.NotExecuted, Detail: "deadline passed before the request was sent"}
	}
	j.attemptsLeft--
	j.excludedUpstreams = append(j.excludedUpstreams, up.ID)
	upstreamResp, e := relay.Send(ctx, relay.Call{
		Conns:             sl.conns,
		Method:            j.method,
		URI:               j.uri,
		Host:              j.host,
		Header:            j.header,
		AttemptHeader:     attemptHeader(j, j.deadline, start, 0),
		Body:              j.body,
		ID:                j.id,
		NewConn:           j.atMostOnce && !s.opt.reuseConns,
		FirstByteDeadline: s.firstByteDeadline(j, start),
		EchoHeader:        hRequest,
	})
	first := time.Since(start)
	if e == nil && upstreamResp.StatusCode == http.StatusServiceUnavailable && upstreamResp.Header.Get(hExecution) == string(corianderwing.NotExecuted) {
		upstreamResp.Drain()
		e = corianderwing.Errorf(corianderwing.Shed, "upstream %s", up.ID)
	}
	s.recordAttempt(j, up, e, upstreamResp, wait, first)
	if e != nil {
		if e.Code == corianderwing.FirstByteTimeout {
			sl.conns.Reset()
		}
		p.release(up.ID, j.workspace, attemptResult(e), first, first)
		return nil, e
	}
	updateAverage(s.firstByteTime(j), first)
	resp := &response{Response: upstreamResp}
	resp.onEnd = func(complete bool) {
		p.release(up.ID, j.workspace, resp.result(ctx, complete), first, time.Since(start))
	}
	return resp, nil
}

// result classifies a response for the health of the upstream.
func (r *response) result(ctx context.Context, complete bool) route.Result {
	switch {
	case complete && r.StatusCode >= http.StatusInternalServerError:
		return route.ServerError
	case complete:
		return route.Success
	case ctx.Err() != nil || r.callerGone:
		return route.Canceled
	}
	return route.Failure
}

// recordAttempt stores an attempt for the record of the request and passes it
// to Config.Observe.
func (s *Server) recordAttempt(j *job, up corianderwing.Upstream, e *corianderwing.Error, resp *relay.Response, wait, first time.Duration) {
	code, status := corianderwing.OK, 0
	if e != nil {
		code = e.Code
	} else {
		status = resp.StatusCode
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

// attemptResult classifies a failed attempt for the health of the upstream.
func attemptResult(e *corianderwing.Error) route.Result {
	switch e.Code {
	case corianderwing.Shed:
		return route.Overloaded
	case corianderwing.NoCapacity:
		return route.Unused // the upstream's connection limit was reached
	case corianderwing.FirstByteTimeout:
		return route.FirstByteTimeout
	case corianderwing.DeadlineExceeded, corianderwing.CallerDisconnected, corianderwing.KeyRevoked, corianderwing.Stopping,
		corianderwing.BodyTruncated, corianderwing.BodyTooLarge:
		return route.Canceled
	}
	return route.Failure
}

// firstByteDeadline returns the first-byte deadline of an attempt. While the
// request may be retried, the remaining time is divided equally among the
// attempts.
func (s *Server) firstByteDeadline(j *job, now time.Time) time.Time {
	if j.atMostOnce || j.attemptsLeft <= 0 || !j.body.CanReplay() || j.body.Rest != nil {
		return j.deadline
	}
	return s.shortenDeadline(j, now, j.deadline.Sub(now)/time.Duration(j.attemptsLeft+1))
}

// shortenDeadline limits an attempt to d if the route usually responds in a
// quarter of that. Otherwise a route that needs most of its time would fail on
// every attempt.
func (s *Server) shortenDeadline(j *job, now time.Time, d time.Duration) time.Time {
	typical := time.Duration(s.firstByteTime(j).Load())
	if typical == 0 || 4*typical > d {
		return j.deadline
	}
	return now.Add(d)
}

// routeID identifies a route in the settings.
type routeID struct {
	workspace corianderwing.WorkspaceID
	service   corianderwing.ServiceID
	route     corianderwing.RouteID
}

// firstByteTime returns the smoothed time to first byte of a route in ns. It is
// 0 until the first response.
func (s *Server) firstByteTime(j *job) *atomic.Int64 {
	id := routeID{j.workspace, j.service, j.route}
	if t, ok := s.firstByteTimes.Load(id); ok {
		return t.(*atomic.Int64)
	}
	t, _ := s.firstByteTimes.LoadOrStore(id, new(atomic.Int64))
	return t.(*atomic.Int64)
}

// attemptHeader returns the headers of one attempt, with capacity for extra more.
func attemptHeader(j *job, deadline, now time.Time, extra int) []relay.HeaderField {
	return append(make([]relay.HeaderField, 0, 6+extra),
		relay.HeaderField{Name: hTimeLeft, Value: formatTimeLeft(deadline, now)},
		relay.HeaderField{Name: hRequest, Value: string(j.id)},
		relay.HeaderField{Name: hWorkspace, Value: string(j.workspace)},
		relay.HeaderField{Name: hService, Value: string(j.service)},
		relay.HeaderField{Name: hRoute, Value: string(j.route)},
		relay.HeaderField{Name: hClass, Value: string(j.class)},
	)
}
