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

// maxOrderKey is the maximum length of an Idempotency-Key in bytes.
const maxOrderKey = 255

// resolveInterval is the time between attempts to store an order's outcome.
const resolveInterval = 200 * time.Millisecond

// runOrder runs a request to a non-idempotent route that carries an
// Idempotency-Key. The workspace's home group decides which of several requests
// with the same key is executed.
func (s *Server) runOrder(x *exchange, keys []string) {
	if len(keys) != 1 || keys[0] == "" || len(keys[0]) > maxOrderKey {
		s.reject(x, corianderwing.Errorf(corianderwing.InvalidInput, "request must have exactly one Idempotency-Key of 1 to %d bytes", maxOrderKey))
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
	resp, e := s.forward(x.ctx, &x.job)
	if e != nil {
		if e.Execution == corianderwing.NotExecuted {
			o.State = corianderwing.OrderFree
			s.resolveOrder(x, o)
		}
		s.reject(x, e)
		return
	}
	s.finishOrder(x, o, resp)
}

// fingerprint distinguishes different requests with the same Idempotency-Key.
func fingerprint(x *exchange) uint64 {
	d := xxhash.New()
	for _, part := range []string{x.method, string(x.service), x.uri} {
		d.WriteString(part)
		d.Write([]byte{0})
	}
	d.Write(x.body.Prefix)
	return d.Sum64()
}

// claim claims the order in the home group. It returns the stored response if
// the order has been executed, and nil if this request may execute it. While
// another request executes the order, it polls for the outcome until the
// deadline.
func (s *Server) claim(x *exchange, o corianderwing.Order) (*corianderwing.StoredResponse, *corianderwing.Error) {
	for n, wait := 1, minClaimWait; ; n, wait = n+1, min(2*wait, maxClaimWait) {
		resp, e := s.claimOnce(x, o, n)
		if e == nil || e.Code != corianderwing.ClaimPending || e.Execution == corianderwing.Executed {
			return resp, e
		}
		if time.Now().Add(wait).After(x.deadline) || sleep(x.ctx, wait) != nil {
			return nil, e
		}
	}
}

// claimOnce proposes the claim with a request id of its own, because a repeated
// id returns its first result.
func (s *Server) claimOnce(x *exchange, o corianderwing.Order, n int) (*corianderwing.StoredResponse, *corianderwing.Error) {
	cmd := corianderwing.Command{
		Request: x.id + "-claim" + corianderwing.RequestID(strconv.Itoa(n)),
		Kind:    corianderwing.ClaimOrder,
		Now:     time.Now(),
		Order:   &o,
	}
	res, err := s.propose(x.ctx, x.workspace, cmd)
	if err != nil {
		// The claim may still be committed. Release it, because nothing was
		// executed.
		o.State = corianderwing.OrderFree
		s.resolveInBackground(o, cmd)
		return nil, corianderwing.Errorf(corianderwing.ClaimUndecided, "%v", err)
	}
	if res.Error != nil {
		return nil, res.Error
	}
	return claimResult(x, o, res.Order)
}

// claimResult interprets the group's response to a claim.
func claimResult(x *exchange, o corianderwing.Order, got *corianderwing.Order) (*corianderwing.StoredResponse, *corianderwing.Error) {
	switch {
	case got == nil:
		return nil, corianderwing.Errorf(corianderwing.ClaimUndecided, "home group returned no claim")
	case got.Fingerprint != o.Fingerprint:
		return nil, corianderwing.Errorf(corianderwing.ClaimMismatch, "Idempotency-Key %q was used for a different request", o.Key)
	case got.State == corianderwing.OrderDone && got.Response != nil:
		return got.Response, nil
	case got.State == corianderwing.OrderDone:
		return nil, &corianderwing.Error{
			Code:      corianderwing.ClaimPending,
			Execution: corianderwing.Executed,
			Detail:    "order was executed, but its response was too large to store",
		}
	case got.State == corianderwing.OrderOpen && got.Holder == x.id:
		return nil, nil
	}
	return nil, corianderwing.Errorf(corianderwing.ClaimPending, "order is claimed by request %s", got.Holder)
}

// Limits of the interval between claims on an order that another request
// executes. Each claim is an entry in the group's log, so the interval doubles
// each time.
const (
	minClaimWait = 25 * time.Millisecond
	maxClaimWait = 400 * time.Millisecond
)

// proposeInterval is the time between attempts to propose a claim.
const proposeInterval = 50 * time.Millisecond

// propose proposes a command until it has a result or ctx ends. Repeating it is
// safe because the command keeps its request id.
func (s *Server) propose(ctx context.Context, w corianderwing.WorkspaceID, cmd corianderwing.Command) (corianderwing.Result, error) {
	for {
		res, err := undecidedAsError(s.cfg.Control.Propose(ctx, s.cfg.HomeGroup(w), cmd))
		if err == nil {
			return res, nil
		}
		if ctx.Err() != nil || sleep(ctx, proposeInterval) != nil {
			return res, err
		}
	}
}

// undecidedAsError returns an error if the result leaves the command undecided.
func undecidedAsError(res corianderwing.Result, err error) (corianderwing.Result, error) {
	if err == nil && res.Error != nil &&
		(res.Error.Code == corianderwing.NoLeader || res.Error.Code == corianderwing.NoQuorum) {
		return res, res.Error
	}
	return res, err
}

// replayResponse sends the stored first response.
func (s *Server) replayResponse(x *exchange, stored *corianderwing.StoredResponse) {
	x.code, x.execution, x.status = corianderwing.ReplayedResponse, corianderwing.Executed, stored.Status
	x.headerWritten = true
	h := x.w.Header()
	for name, values := range stored.Header {
		h[name] = values
	}
	h.Set(hCode, "101")
	h[hExecution] = executedHeader
	h[hRequest] = []string{string(x.id)}
	x.w.WriteHeader(stored.Status)
	x.w.Write(stored.Body)
}

// finishOrder stores an order's response and sends it to the caller once it is
// stored, or at the deadline.
func (s *Server) finishOrder(x *exchange, o corianderwing.Order, resp *response) {
	defer resp.close()
	header := make(http.Header)
	relay.CopyEndToEnd(header, resp.Header, isInternalHeader)
	buffered, err := io.ReadAll(io.LimitReader(resp, int64(s.opt.maxStoredResponse)+1))
	if err != nil {
		e := s.responseError(x, err)
		e.Execution = corianderwing.Executed
		s.reject(x, e)
		return // the order stays open: it was executed, and its response is unknown
	}
	o.State = corianderwing.OrderDone
	complete := len(buffered) <= s.opt.maxStoredResponse
	if complete {
		o.Response = &corianderwing.StoredResponse{Status: resp.StatusCode, Header: header, Body: buffered}
	}
	s.resolveOrder(x, o)
	x.code, x.execution, x.status = corianderwing.OK, corianderwing.Executed, resp.StatusCode
	setResponseHeader(x.w.Header(), resp, x.id)
	x.headerWritten = true
	x.w.WriteHeader(resp.StatusCode)
	body := io.Reader(bytes.NewReader(buffered))
	if !complete {
		body = io.MultiReader(body, resp)
	}
	if _, err := io.Copy(x.w, body); err != nil {
		x.code, x.reason = corianderwing.CallerDisconnected, err.Error()
		if !complete {
			x.code = s.responseError(x, err).Code
		}
		panic(http.ErrAbortHandler)
	}
}

// resolveOrder stores an order's outcome. It returns once the outcome is stored
// or the request's deadline has passed; attempts continue in the background.
func (s *Server) resolveOrder(x *exchange, o corianderwing.Order) {
	select {
	case <-s.resolveInBackground(o, corianderwing.Command{}):
	case <-x.ctx.Done():
	}
}

// resolveInBackground stores an order's outcome and retries until it succeeds.
// If claim is set, that command is proposed first, because it may have been
// committed although its result was lost. The returned channel is closed at the
// end.
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
				Err(errors.Join(err, errorOrNil(res.Error))).Msg("failed to store the outcome of an order")
		}
	}()
	return done
}

// proposeUntilDecided proposes a command until it has a result or the instance
// stops.
func (s *Server) proposeUntilDecided(o corianderwing.Order, cmd corianderwing.Command) (corianderwing.Result, error) {
	for {
		ctx, cancel := context.WithTimeout(s.ctx, 2*time.Second)
		res, err := undecidedAsError(s.cfg.Control.Propose(ctx, s.cfg.HomeGroup(o.Workspace), cmd))
		cancel()
		if err == nil {
			return res, nil
		}
		if err := sleep(s.ctx, resolveInterval); err != nil {
			return res, err
		}
	}
}

// errorOrNil returns a nil interface for a nil pointer.
func errorOrNil(e *corianderwing.Error) error {
	if e == nil {
		return nil
	}
	return e
}
