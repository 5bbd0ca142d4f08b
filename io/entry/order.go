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

// settleEvery is the time between attempts to store an order's outcome.
const settleEvery = 200 * time.Millisecond

// runOrder runs a request of a non-idempotent route that carries an
// Idempotency-Key. The workspace's home group decides which of several
// requests with the same key runs.
func (s *Server) runOrder(v *visit, keys []string) {
	if len(keys) != 1 || keys[0] == "" || len(keys[0]) > maxOrderKey {
		s.refuse(v, corianderwing.Errorf(corianderwing.InvalidInput, "Idempotency-Key must come once and have 1 to %d bytes", maxOrderKey))
		return
	}
	o := corianderwing.Order{
		Workspace:   v.workspace,
		Key:         keys[0],
		Fingerprint: fingerprint(v),
		Holder:      v.id,
		State:       corianderwing.OrderOpen,
		Since:       v.start,
	}
	first, e := s.claim(v, o)
	if e != nil {
		s.refuse(v, e)
		return
	}
	if first != nil {
		s.replay(v, first)
		return
	}
	rep, e := s.steer(v.ctx, &v.job)
	if e != nil {
		if e.Execution == corianderwing.NotExecuted {
			o.State = corianderwing.OrderFree
			s.settle(v, o)
		}
		s.refuse(v, e)
		return
	}
	s.finishOrder(v, o, rep)
}

// fingerprint tells apart different requests under one Idempotency-Key.
func fingerprint(v *visit) uint64 {
	d := xxhash.New()
	for _, part := range []string{v.method, string(v.service), v.uri} {
		d.WriteString(part)
		d.Write([]byte{0})
	}
	d.Write(v.body.Prefix)
	return d.Sum64()
}

// claim asks the home group for the order. It returns the first answer if the
// order has run, and nothing if this request may run it. While another request
// runs the order, it waits for the outcome until the deadline.
func (s *Server) claim(v *visit, o corianderwing.Order) (*corianderwing.StoredResponse, *corianderwing.Error) {
	for n, wait := 1, firstClaimWait; ; n, wait = n+1, min(2*wait, lastClaimWait) {
		answer, e := s.claimOnce(v, o, n)
		if e == nil || e.Code != corianderwing.ClaimPending || e.Execution == corianderwing.Executed {
			return answer, e
		}
		if time.Now().Add(wait).After(v.deadline) || pause(v.ctx, wait) != nil {
			return nil, e
		}
	}
}

// claimOnce proposes the claim under a request id of its own, because a
// repeated id gets its first result.
func (s *Server) claimOnce(v *visit, o corianderwing.Order, n int) (*corianderwing.StoredResponse, *corianderwing.Error) {
	cmd := corianderwing.Command{
		Request: v.id + "-claim" + corianderwing.RequestID(strconv.Itoa(n)),
		Kind:    corianderwing.ClaimOrder,
		Now:     time.Now(),
		Order:   &o,
	}
	res, err := s.propose(v.ctx, v.workspace, cmd)
	if err != nil {
		// The claim may still be committed: free it, as nothing has run.
		o.State = corianderwing.OrderFree
		s.background(o, cmd)
		return nil, corianderwing.Errorf(corianderwing.ClaimUndecided, "%v", err)
	}
	if res.Error != nil {
		return nil, res.Error
	}
	return held(v, o, res.Order)
}

// held reads what the group says about a claim.
func held(v *visit, o corianderwing.Order, got *corianderwing.Order) (*corianderwing.StoredResponse, *corianderwing.Error) {
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
	case got.State == corianderwing.OrderOpen && got.Holder == v.id:
		return nil, nil
	}
	return nil, corianderwing.Errorf(corianderwing.ClaimPending, "first request %s", got.Holder)
}

// The times between two looks at an order that another request runs. Each look
// is an entry of the group's log, so they grow.
const (
	firstClaimWait = 25 * time.Millisecond
	lastClaimWait  = 400 * time.Millisecond
)

// proposeEvery is the time between attempts to propose a claim.
const proposeEvery = 50 * time.Millisecond

// propose proposes a command until it has a result or ctx ends. The same
// Request makes the repetition safe.
func (s *Server) propose(ctx context.Context, w corianderwing.WorkspaceID, cmd corianderwing.Command) (corianderwing.Result, error) {
	for {
		res, err := decided(s.cfg.Control.Propose(ctx, s.cfg.HomeGroup(w), cmd))
		if err == nil {
			return res, nil
		}
		if ctx.Err() != nil || pause(ctx, proposeEvery) != nil {
			return res, err
		}
	}
}

// decided turns results that leave a command undecided into errors.
func decided(res corianderwing.Result, err error) (corianderwing.Result, error) {
	if err == nil && res.Error != nil &&
		(res.Error.Code == corianderwing.NoLeader || res.Error.Code == corianderwing.NoQuorum) {
		return res, res.Error
	}
	return res, err
}

// replay answers with the stored first answer.
func (s *Server) replay(v *visit, a *corianderwing.StoredResponse) {
	v.code, v.run, v.status = corianderwing.ReplayedResponse, corianderwing.Executed, a.Status
	v.begun = true
	h := v.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set(hCode, "101")
	h[hRun] = headerYes
	h[hRequest] = []string{string(v.id)}
	v.w.WriteHeader(a.Status)
	v.w.Write(a.Body)
}

// finishOrder stores an order's answer and sends it to the caller: after the
// first successful attempt to store it, or at the deadline.
func (s *Server) finishOrder(v *visit, o corianderwing.Order, rep *reply) {
	defer rep.close()
	head := make(http.Header)
	relay.CopyEndToEnd(head, rep.Header, ours)
	kept, err := io.ReadAll(io.LimitReader(rep, int64(s.opt.answer)+1))
	if err != nil {
		e := s.cutAnswer(v, err)
		e.Execution = corianderwing.Executed
		s.refuse(v, e)
		return // the order stays open: it ran, and its answer is not known
	}
	o.State = corianderwing.OrderDone
	whole := len(kept) <= s.opt.answer
	if whole {
		o.Response = &corianderwing.StoredResponse{Status: rep.StatusCode, Header: head, Body: kept}
	}
	s.settle(v, o)
	v.code, v.run, v.status = corianderwing.OK, corianderwing.Executed, rep.StatusCode
	answerHeader(v.w.Header(), rep, v.id)
	v.begun = true
	v.w.WriteHeader(rep.StatusCode)
	body := io.Reader(bytes.NewReader(kept))
	if !whole {
		body = io.MultiReader(body, rep)
	}
	if _, err := io.Copy(v.w, body); err != nil {
		v.code, v.reason = corianderwing.CallerDisconnected, err.Error()
		if !whole {
			v.code = s.cutAnswer(v, err).Code
		}
		panic(http.ErrAbortHandler)
	}
}

// settle stores an order's outcome. It returns once that is done or the
// request's time is up; the attempts go on in the background.
func (s *Server) settle(v *visit, o corianderwing.Order) {
	select {
	case <-s.background(o, corianderwing.Command{}):
	case <-v.ctx.Done():
	}
}

// background stores an order's outcome and repeats that until it is done. If
// claim is set, that command comes first: it may have been committed without
// our knowledge. The returned channel is closed at the end.
func (s *Server) background(o corianderwing.Order, claim corianderwing.Command) <-chan struct{} {
	done := make(chan struct{})
	s.settling.Add(1)
	go func() {
		defer s.settling.Add(-1)
		defer close(done)
		if claim.Kind != "" {
			res, err := s.persist(o, claim)
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
		res, err := s.persist(o, cmd)
		if err != nil || res.Error != nil {
			log.Error().Str("workspace", string(o.Workspace)).Str("request", string(o.Holder)).
				Err(errors.Join(err, asPlain(res.Error))).Msg("order not settled")
		}
	}()
	return done
}

// persist proposes a command until it has a result or the instance stops.
func (s *Server) persist(o corianderwing.Order, cmd corianderwing.Command) (corianderwing.Result, error) {
	for {
		ctx, cancel := context.WithTimeout(s.ctx, 2*time.Second)
		res, err := decided(s.cfg.Control.Propose(ctx, s.cfg.HomeGroup(o.Workspace), cmd))
		cancel()
		if err == nil {
			return res, nil
		}
		if err := pause(s.ctx, settleEvery); err != nil {
			return res, err
		}
	}
}

// asPlain avoids a non-nil error that holds a nil pointer.
func asPlain(e *corianderwing.Error) error {
	if e == nil {
		return nil
	}
	return e
}
