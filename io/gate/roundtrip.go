package gate

import (
	"context"
	"net/http"
	"time"

	"corianderwing"
	"corianderwing/core/place"
	"corianderwing/io/relay"
)

const (
	// onceMaxIdle is the longest idle time of a connection that is reused for a
	// request that must not run twice. If the upstream closes the connection
	// meanwhile, it is unknown whether the request ran.
	onceMaxIdle = 3 * time.Second
	// maxForeignResponses is how many responses to other requests are skipped on a
	// connection. An upstream sends at most one extra response to a request.
	maxForeignResponses = 2
	// maxUpstreamsTried bounds the upstreams tried per request, including those
	// whose connection failed.
	maxUpstreamsTried = 4
	// The first-byte timeout, after which another upstream is tried, is the largest
	// of three: firstByteFactor times the expected time, firstByteLongestFactor
	// times the expected time at an upstream that does not know the object, and
	// minFirstByteTimeout.
	firstByteFactor        = 6
	firstByteLongestFactor = 2.5
	minFirstByteTimeout    = 700 * time.Millisecond
	// While the instance stops, a request is sent only if this many times its expected
	// time is left. One that must not run twice cannot be sent again after a cut.
	stopFactor     = 1.5
	onceStopFactor = 2.0
)

// roundTrip sends the request to an upstream and retries at others.
func (x *exchange) roundTrip() (*response, *corianderwing.Error) {
	var last *corianderwing.Error
	sent := 0
	spared := false // the last slot was given back unused
	x.pool.earnRetry(x.s.cfg.Boot())
	x.takeProbe()
	defer x.returnProbe()
	if err := x.checkQuarantine(); err != nil {
		return nil, err
	}
	for {
		if !time.Now().Before(x.deadline) {
			return nil, errorUnlessRan(last, corianderwing.DeadlineUnreachable, "request deadline exceeded")
		}
		if sent > 0 && !spared && !x.pool.spendRetry(x.s.cfg.Boot()) {
			return nil, last
		}
		sl, err := x.checkedSlot()
		if err != nil {
			return nil, preferMayHaveRun(last, err)
		}
		resp, err := x.sendTo(sl)
		if spared = err == errSpared; spared {
			if x.sparedSlots > maxSparedSlots {
				return nil, preferMayHaveRun(last, err)
			}
			continue
		}
		if err == nil || err.Code != corianderwing.ConnectFailed {
			x.probeUntil = time.Time{}
		}
		if err == nil && !x.shouldRetryResponse(resp, sent) {
			return resp, nil
		}
		if err == nil {
			err = corianderwing.Errorf(corianderwing.SendFailed, "upstream %s responded with status %d", sl.upstream.ID, resp.StatusCode)
			resp.close()
		}
		x.placement.ExcludedUpstreams = append(x.placement.ExcludedUpstreams, sl.upstream.ID)
		if err.Code != corianderwing.ConnectFailed {
			sent++
		}
		last = preferMayHaveRun(last, err)
		if !x.canRetry(err, sent) {
			return nil, last
		}
	}
}

// checkedSlot gets a slot for an attempt, and checks again what may have changed during
// the wait for it.
func (x *exchange) checkedSlot() (*slot, *corianderwing.Error) {
	now := time.Now()
	sl, no := x.acquireSlot()
	x.slotWait += time.Since(now)
	if no != nil {
		x.retryDelay, x.refusedBy = no.after, &no.source
		return nil, x.slotError(no.err)
	}
	if err := x.recheck(sl); err != nil {
		x.s.release(sl, nil, place.Outcome{Result: place.Canceled})
		return nil, err
	}
	return sl, nil
}

// acquireSlot gets a slot at an upstream that may run the request now, after the wait
// for it.
func (x *exchange) acquireSlot() (*slot, *refusal) {
	for range maxUpstreamsTried {
		if err := x.checkHomes(); err != nil {
			return nil, &refusal{err: err}
		}
		sl, no := x.waitForSlot()
		if no != nil || !x.returnOutsideHomes(sl) {
			return sl, no
		}
	}
	return nil, &refusal{err: errOutsideHomes}
}

// waitForSlot gets a slot for the request. The wait ends early when the instance
// is about to stop.
func (x *exchange) waitForSlot() (*slot, *refusal) {
	if x.s.slotWaits.Err() != nil {
		return nil, &refusal{err: errStopping}
	}
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	defer context.AfterFunc(x.s.slotWaits, cancel)()
	r := x.placement
	spare := x.upstreamsToSpare()
	r.ExcludedUpstreams = spare.exclude(r.ExcludedUpstreams)
	free, err := x.limitPushback(&spare, &r)
	if err != nil {
		return nil, &refusal{err: err, after: free}
	}
	sl, no := x.s.acquire(ctx, x.pool, r, time.Now())
	if no != nil {
		no.after = max(no.after, free)
	}
	return sl, no
}

// slotError returns the error for a request that got no slot. If its context or
// its wait ended, that is the error, and the request has not run.
func (x *exchange) slotError(err *corianderwing.Error) *corianderwing.Error {
	if x.ctx.Err() != nil {
		return relay.ContextError(x.ctx, corianderwing.NotExecuted)
	}
	if x.s.slotWaits.Err() != nil && err.Code == corianderwing.CallerDisconnected {
		return errStopping
	}
	return err
}

// recheck checks again, after the wait for a slot, what may have changed meanwhile.
func (x *exchange) recheck(sl *slot) *corianderwing.Error {
	if x.outlastsStop(sl) {
		return errStopping
	}
	if err := x.recheckKey(); err != nil {
		return err
	}
	return x.checkQuarantine()
}

// outlastsStop reports whether the response to a request that is sent now would
// probably come after this instance has ended.
func (x *exchange) outlastsStop(sl *slot) bool {
	end := x.s.stopEnd.Load()
	if end == nil {
		return false
	}
	factor := stopFactor
	if x.rule.AtMostOnce {
		factor = onceStopFactor
	}
	work := time.Duration(factor * float64(sl.expected))
	return time.Now().Add(work).After(*end)
}

// recheckKey checks that the key is still valid after the wait for a slot.
func (x *exchange) recheckKey() *corianderwing.Error {
	if x.rule.Public || x.policy == nil {
		return nil
	}
	fresh := x.s.cfg.Control.IsFresh() // before the state is read, as in admit
	view, known := x.s.cfg.Control.View()
	if !known || !fresh {
		return corianderwing.Errorf(corianderwing.StaleSettings, "keys cannot be verified because settings are not fresh")
	}
	if t, ok := view.Items().PolicyByKey(x.caller.Key); !ok || t.Name != x.policy.Name {
		return corianderwing.Errorf(corianderwing.InvalidKey, "key was revoked while the request waited")
	}
	return nil
}

// errorUnlessRan returns an error with the given code, or last if that attempt may
// have run.
func errorUnlessRan(last *corianderwing.Error, c corianderwing.Code, text string) *corianderwing.Error {
	if last != nil && last.Execution != corianderwing.NotExecuted {
		return last
	}
	return corianderwing.Errorf(c, "%s", text)
}

// preferMayHaveRun returns err, or last if that attempt may have run and the one
// that failed with err did not.
func preferMayHaveRun(last, err *corianderwing.Error) *corianderwing.Error {
	if last == nil || last.Execution == corianderwing.NotExecuted || err.Execution != corianderwing.NotExecuted {
		return err
	}
	return last
}

// shouldRetryResponse reports whether a response is a server error for which
// another upstream should be tried.
func (x *exchange) shouldRetryResponse(resp *response, sent int) bool {
	return resp.StatusCode >= http.StatusInternalServerError && !x.rule.AtMostOnce && sent+1 < x.maxTries() &&
		x.body.CanReplay() && time.Now().Before(x.placement.Goal)
}

func (x *exchange) maxTries() int { return max(1, x.rule.MaxAttempts) }

// canRetry reports whether the request may be sent to another upstream after err.
func (x *exchange) canRetry(err *corianderwing.Error, sent int) bool {
	if x.ctx.Err() != nil || !x.body.CanReplay() || sent >= x.maxTries() || len(x.placement.ExcludedUpstreams) >= maxUpstreamsTried {
		return false
	}
	if err.Execution != corianderwing.NotExecuted && (x.rule.AtMostOnce || x.mayCrashAnother()) {
		return false
	}
	switch err.Code {
	case corianderwing.ConnectFailed, corianderwing.Shed, corianderwing.SendFailed, corianderwing.FirstByteTimeout,
		corianderwing.ResponseTruncated, corianderwing.ResponseMismatch:
		return true
	}
	return false
}

// sendTo makes one attempt at the upstream of a slot.
func (x *exchange) sendTo(sl *slot) (*response, *corianderwing.Error) {
	now := time.Now()
	conns := sl.pool.connsTo(sl.upstream)
	sl.exchange, sl.notice = x, conns.notice
	if x.judgeSlot(sl).Refused() {
		x.giveBack(sl, nil)
		return nil, errSpared
	}
	tracked := sl.startAttempt(x.rule.Name, now)
	resp, err := relay.Send(x.ctx, x.newCall(sl, conns, now))
	out := &response{Response: resp, exchange: x, slot: sl, tracked: tracked, sentAt: now, ttfb: time.Since(now)}
	if err == errSpared {
		x.giveBack(sl, tracked)
		return nil, err
	}
	if err != nil {
		sl.uncount(err)
		x.s.release(sl, tracked, place.Outcome{Result: resultForError(err), Latency: out.ttfb})
		if err.Code == corianderwing.FirstByteTimeout || err.Code == corianderwing.SendFailed {
			// After a timeout or a broken connection, the other connections to the
			// same upstream are suspect too.
			conns.Reset()
		}
		x.logAttempt(sl, err, out.ttfb)
		x.checkCrash(sl, err)
		return nil, err
	}
	verdict := sl.info
	out.load = place.LoadReport{
		Valid:    verdict.LoadKnown,
		Running:  verdict.Load.Running,
		Waiting:  verdict.Load.Waiting,
		WorkTime: verdict.Load.WorkTime,
	}
	if verdict.NotExecuted {
		resp.Drain()
		out.end(resultForRejection(verdict))
		err = corianderwing.Errorf(corianderwing.Shed, "upstream %s responded with status %d", sl.upstream.ID, resp.StatusCode)
		sl.uncount(err)
	}
	x.logAttempt(sl, err, out.ttfb)
	if err != nil {
		return nil, err
	}
	return out, nil
}

func resultForRejection(v corianderwing.ResponseInfo) place.Result {
	if v.AddressReassigned {
		return place.AddressReused
	}
	return place.Overloaded
}

// newCall builds the relay call of an attempt.
func (x *exchange) newCall(sl *slot, conns *upstreamConns, now time.Time) relay.Call {
	d := x.s.cfg.Dialect
	c := relay.Call{
		Conns:               &conns.ConnPool,
		Method:              x.r.Method,
		URI:                 x.r.RequestURI,
		Host:                x.r.Host,
		Header:              x.header,
		Body:                x.body,
		ID:                  x.caller.ID,
		EchoHeader:          d.RequestIDHeader(),
		FirstByteDeadline:   x.firstByteDeadline(sl, now),
		ExtendDeadline:      x.extendFirstByteDeadline,
		MaxForeignResponses: maxForeignResponses,
		AllowCloseDelimited: true,
		Hooks:               sl,
	}
	if x.rule.AtMostOnce {
		c.MinIdleSince = now.Add(-onceMaxIdle)
	}
	o := corianderwing.UpstreamRequest{Request: x.caller, Upstream: sl.upstream.ID, Deadline: x.deadline}
	if x.policy != nil {
		o.Workspace = x.policy.Name
	}
	d.AddRequestHeaders(o, now, func(name, value string) {
		c.AttemptHeader = append(c.AttemptHeader, relay.HeaderField{Name: name, Value: value})
	})
	return c
}

// firstByteDeadline returns the deadline for the first byte of the response. A
// request that may be sent again abandons an upstream that is silent for far
// longer than expected, because the connection may be broken. The request's own
// deadline applies if no retry is possible, if no expected time is known, and
// while this instance is stopping.
func (x *exchange) firstByteDeadline(sl *slot, now time.Time) time.Time {
	if x.rule.AtMostOnce || !x.body.CanReplay() || len(x.placement.ExcludedUpstreams)+1 >= x.maxTries() {
		return x.deadline
	}
	if sl.longest == 0 || x.s.stopping.Load() || !sl.pool.hasRetry(x.s.cfg.Boot()) {
		return x.deadline
	}
	d := max(firstByteFactor*sl.expected, time.Duration(firstByteLongestFactor*float64(sl.longest)), minFirstByteTimeout)
	if sl.coldStart {
		d *= 2
	}
	if first := now.Add(d); first.Before(x.deadline) {
		return first
	}
	return x.deadline
}

// extendFirstByteDeadline returns the request's deadline if this instance began to
// stop after the attempt was sent, because another attempt could not complete
// before the instance ends. Otherwise it returns the zero time.
func (x *exchange) extendFirstByteDeadline() time.Time {
	if x.s.stopping.Load() {
		return x.deadline
	}
	return time.Time{}
}

// resultForError classifies a failed attempt for the health of the upstream.
func resultForError(e *corianderwing.Error) place.Result {
	switch e.Code {
	case corianderwing.FirstByteTimeout:
		return place.TimedOut
	case corianderwing.ConnectFailed:
		return place.ConnectFailed
	case corianderwing.DeadlineExceeded, corianderwing.CallerDisconnected, corianderwing.Stopping,
		corianderwing.BodyTruncated, corianderwing.BodyTooLarge, corianderwing.StaleSettings, corianderwing.NoUpstream:
		return place.Canceled
	}
	return place.ConnectionLost
}
