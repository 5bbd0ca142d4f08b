package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/io/relay"
)

// maxOrderKey is the longest Idempotency-Key, in bytes.
const maxOrderKey = 255

// resolveInterval is the time between attempts to store an order's outcome.
const resolveInterval = 200 * time.Millisecond

// runOrder runs a request of a non-idempotent route that carries an
// Idempotency-Key. The workspace's home group decides which of several
// requests with the same key runs.
func (s *Server) runOrder(x *exchange, keys []string) {
	if len(keys) != 1 || keys[0] == "" || len(keys[0]) > maxOrderKey {
		s.reject(x, corianderwing.Errorf(corianderwing.InvalidInput, "Idempotency-Key must come once and have 1 to %d bytes", maxOrderKey))
		return
	}
	o := corianderwing.Order{
		Workspace:   x.workspace,
		Key:         keys[0],
		Fingerprint: fingerprint(x),
		Holder:      x.id,
		State:       corianderwing.OrderOpen,
		Since:       x.start,
	}
	first, e := s.claim(x, o)
	if e != nil {
		s.reject(x, e)
		return
	}
	if first != nil {
		s.replayResponse(x, first)
		return
	}
	rep, e := s.forward(x.ctx, &x.job)
	if e != nil {
		if e.Execution == corianderwing.NotExecuted {
			o.State = corianderwing.OrderFree
			s.resolveOrder(x, o)
		}
		s.reject(x, e)
		return
	}
	s.finishOrder(x, o, rep)
}

// fingerprint tells apart different requests under one Idempotency-Key.
func fingerprint(x *exchange) uint64 {
	d := xxhash.New()
	for _, part := range []string{x.method, string(x.service), x.uri} {
		d.WriteString(part)
		d.Write([]byte{0})
	}
	d.Write(x.body.Prefix)
	return d.Sum64()
}

// claim asks the home group for the order. It returns the first answer if the
// order has run, and nothing if this request may run it. While another request
// runs the order, it waits for the outcome until the deadline.
func (s *Server) claim(x *exchange, o corianderwing.Order) (*corianderwing.StoredResponse, *corianderwing.Error) {
	for n, wait := 1, minClaimWait; ; n, wait = n+1, min(2*wait, maxClaimWait) {
		answer, e := s.claimOnce(x, o, n)
		if e == nil || e.Code != corianderwing.ClaimPending || e.Execution == corianderwing.Executed {
			return answer, e
		}
		if time.Now().Add(wait).After(x.deadline) || pause(x.ctx, wait) != nil {
			return nil, e
		}
	}
}

// claimOnce proposes the claim under a request id of its own, because a
// repeated id gets its first result.
func (s *Server) claimOnce(x *exchange, o corianderwing.Order, n int) (*corianderwing.StoredResponse, *corianderwing.Error) {
	cmd := corianderwing.Command{
		Request: x.id + "-claim" + corianderwing.RequestID(strconv.Itoa(n)),
		Kind:    corianderwing.ClaimOrder,
		Now:     time.Now(),
		Order:   &o,
	}
	res, err := s.propose(x.ctx, x.workspace, cmd)
	if err != nil {
		// The claim may still be committed: free it, as nothing has run.
		o.State = corianderwing.OrderFree
		s.resolveInBackground(o, cmd)
		return nil, corianderwing.Errorf(corianderwing.ClaimUndecided, "%v", err)
	}
	if res.Error != nil {
		return nil, res.Error
	}
	return claimResult(x, o, res.Order)
}

// claimResult reads what the group says about a claim.
func claimResult(x *exchange, o corianderwing.Order, got *corianderwing.Order) (*corianderwing.StoredResponse, *corianderwing.Error) {
	switch {
	case got == nil:
		return nil, corianderwing.Errorf(corianderwing.ClaimUndecided, "the group returned no claim")
	case got.Fingerprint != o.Fingerprint:
		return nil, corianderwing.Errorf(corianderwing.ClaimMismatch, "Idempotency-Key %q", o.Key)
	case got.State == corianderwing.OrderDone && got.Response != nil:
		return got.Response, nil
	case got.State == corianderwing.OrderDone:
		return nil, &corianderwing.Error{
			Code:      corianderwing.ClaimPending,
			Execution: corianderwing.Executed,
			Detail:    "the order ran, and its answer was too large to be kept",
		}
	case got.State == corianderwing.OrderOpen && got.Holder == x.id:
		return nil, nil
	}
	return nil, corianderwing.Errorf(corianderwing.ClaimPending, "first request %s", got.Holder)
}

// The times between two looks at an order that another request runs. Each look
// is an entry of the group's log, so they grow.
const (
	minClaimWait = 25 * time.Millisecond
	maxClaimWait = 400 * time.Millisecond
)

// proposeInterval is the time between attempts to propose a claim.
const proposeInterval = 50 * time.Millisecond

// propose proposes a command until it has a result or ctx ends. The same
// Request makes the repetition safe.
func (s *Server) propose(ctx context.Context, w corianderwing.WorkspaceID, cmd corianderwing.Command) (corianderwing.Result, error) {
	for {
		res, err := undecidedAsError(s.cfg.Control.Propose(ctx, s.cfg.HomeGroup(w), cmd))
		if err == nil {
			return res, nil
		}
		if ctx.Err() != nil || pause(ctx, proposeInterval) != nil {
			return res, err
		}
	}
}

// undecidedAsError turns results that leave a command undecided into errors.
func undecidedAsError(res corianderwing.Result, err error) (corianderwing.Result, error) {
	if err == nil && res.Error != nil &&
		(res.Error.Code == corianderwing.NoLeader || res.Error.Code == corianderwing.NoQuorum) {
		return res, res.Error
	}
	return res, err
}

// replayResponse answers with the stored first answer.
func (s *Server) replayResponse(x *exchange, a *corianderwing.StoredResponse) {
	x.code, x.execution, x.status = corianderwing.ReplayedResponse, corianderwing.Executed, a.Status
	x.headerWritten = true
	h := x.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set(hCode, "101")
	h[hExecution] = executedHeader
	h[hRequest] = []string{string(x.id)}
	x.w.WriteHeader(a.Status)
	x.w.Write(a.Body)
}

// finishOrder stores an order's answer and sends it to the caller: after the
// first successful attempt to store it, or at the deadline.
func (s *Server) finishOrder(x *exchange, o corianderwing.Order, rep *response) {
	defer rep.close()
	header := make(http.Header)
	relay.CopyEndToEnd(header, rep.Header, isInternalHeader)
	kept, err := io.ReadAll(io.LimitReader(rep, int64(s.opt.maxStoredResponse)+1))
	if err != nil {
		e := s.responseError(x, err)
		e.Execution = corianderwing.Executed
		s.reject(x, e)
		return // the order stays open: it ran, and its answer is not known
	}
	o.State = corianderwing.OrderDone
	complete := len(kept) <= s.opt.maxStoredResponse
	if complete {
		o.Response = &corianderwing.StoredResponse{Status: rep.StatusCode, Header: header, Body: kept}
	}
	s.resolveOrder(x, o)
	x.code, x.execution, x.status = corianderwing.OK, corianderwing.Executed, rep.StatusCode
	setResponseHeader(x.w.Header(), rep, x.id)
	x.headerWritten = true
	x.w.WriteHeader(rep.StatusCode)
	body := io.Reader(bytes.NewReader(kept))
	if !complete {
		body = io.MultiReader(body, rep)
	}
	if _, err := io.Copy(x.w, body); err != nil {
		x.code, x.reason = corianderwing.CallerDisconnected, err.Error()
		if !complete {
			x.code = s.responseError(x, err).Code
		}
		panic(http.ErrAbortHandler)
	}
}

// resolveOrder stores an order's outcome. It returns once that is done or the
// request's time is up; the attempts go on in the background.
func (s *Server) resolveOrder(x *exchange, o corianderwing.Order) {
	select {
	case <-s.resolveInBackground(o, corianderwing.Command{}):
	case <-x.ctx.Done():
	}
}

// resolveInBackground stores an order's outcome and repeats that until it is done. If
// claim is set, that command comes first: it may have been committed without
// our knowledge. The returned channel is closed at the end.
func (s *Server) resolveInBackground(o corianderwing.Order, claim corianderwing.Command) <-chan struct{} {
	done := make(chan struct{})
	s.pendingOutcomes.Add(1)
	go func() {
		defer s.pendingOutcomes.Add(-1)
		defer close(done)
		if claim.Kind != "" {
			res, err := s.proposeUntilDecided(o, claim)
			if err != nil || res.Order == nil || res.Order.Holder != o.Holder {
				return
			}
		}
		cmd := corianderwing.Command{
			Request: o.Holder + "-settle",
			Kind:    corianderwing.ResolveOrder,
			Now:     time.Now(),
			Order:   &o,
		}
		res, err := s.proposeUntilDecided(o, cmd)
		if err != nil || res.Error != nil {
			log.Error().Str("workspace", string(o.Workspace)).Str("request", string(o.Holder)).
				Err(errors.Join(err, errorOrNil(res.Error))).Msg("order not settled")
		}
	}()
	return done
}

// proposeUntilDecided proposes a command until it has a result or the instance stops.
func (s *Server) proposeUntilDecided(o corianderwing.Order, cmd corianderwing.Command) (corianderwing.Result, error) {
	for {
		ctx, cancel := context.WithTimeout(s.ctx, 2*time.Second)
		res, err := undecidedAsError(s.cfg.Control.Propose(ctx, s.cfg.HomeGroup(o.Workspace), cmd))
		cancel()
		if err == nil {
			return res, nil
		}
		if err := pause(s.ctx, resolveInterval); err != nil {
			return res, err
		}
	}
}

// errorOrNil avoids a non-nil error that holds a nil pointer.
func errorOrNil(e *corianderwing.Error) error {
	if e == nil {
		return nil
	}
	return e
}
