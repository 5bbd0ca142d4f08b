package gate

import (
	"net/http"
	"time"

	"corianderwing"
	"corianderwing/core/place"
	"corianderwing/io/relay"
)

const (
	// onceMaxIdle is how long a connection may have been idle when a request that
	// must not run twice is sent on it: if the upstream closes it meanwhile,
	// nobody knows whether the request ran.
	onceMaxIdle = 3 * time.Second
	// maxForeignResponses is how many answers to other requests are skipped on a
	// connection: an upstream sends at most one extra answer to a request.
	maxForeignResponses = 2
	// maxUpstreamsTried is the number of upstreams to which a connection is tried.
	maxUpstreamsTried = 4
	// firstByteFactor is how many times longer than expected an upstream may be
	// silent before another one is tried, longestFactor how many times longer than
	// where the object is unknown, and silentLeast the shortest such time.
	firstByteFactor        = 6
	firstByteLongestFactor = 2.5
	minFirstByteTimeout    = 700 * time.Millisecond
)

// roundTrip brings the request to an upstream, with retries at others.
func (x *exchange) roundTrip() (*response, *corianderwing.Error) {
	var last *corianderwing.Error
	sent := 0
	x.pool.earnRetry()
	for {
		now := time.Now()
		if !now.Before(x.deadline) {
			return nil, errorUnlessRan(last, corianderwing.TooLate, "the request's time was up")
		}
		if sent > 0 && !x.pool.spendRetry() {
			return nil, last
		}
		sl, wait, err := x.s.acquire(x.ctx, x.pool, x.placement, x.view, now)
		x.slotWait += time.Since(now)
		if err != nil {
			x.retryDelay = wait
			return nil, preferMayHaveRun(last, x.slotError(err))
		}
		if err := x.recheckKey(); err != nil {
			x.s.release(sl, nil, place.Outcome{Result: place.Dropped})
			return nil, preferMayHaveRun(last, err)
		}
		rep, err := x.sendTo(sl)
		if err == nil && !x.shouldRetryResponse(rep, sent) {
			return rep, nil
		}
		if err == nil {
			err = corianderwing.Errorf(corianderwing.SendFail, "upstream %s answered %d", sl.upstream.ID, rep.StatusCode)
			rep.close()
		}
		x.placement.Tried = append(x.placement.Tried, sl.upstream.ID)
		if err.Code != corianderwing.ConnFail {
			sent++
		}
		last = preferMayHaveRun(last, err)
		if !x.canRetry(err, sent) {
			return nil, last
		}
	}
}

// slotError returns the reason for which no slot was found, as it concerns the
// caller: a request whose time ended while it waited has not run.
func (x *exchange) slotError(err *corianderwing.Error) *corianderwing.Error {
	if x.ctx.Err() == nil {
		return err
	}
	return relay.ContextError(x.ctx, corianderwing.RanNo)
}

// recheckKey checks after a wait that the key may still be used.
func (x *exchange) recheckKey() *corianderwing.Error {
	if x.rule.Open || x.tenure == nil {
		return nil
	}
	view, known := x.s.cfg.Control.View()
	if !known || !x.s.cfg.Control.IsFresh() {
		return corianderwing.Errorf(corianderwing.NotFresh, "keys cannot be confirmed")
	}
	if t, ok := view.Items().Owner(x.ask.Key); !ok || t.Name != x.tenure.Name {
		return corianderwing.Errorf(corianderwing.BadKey, "the key was withdrawn")
	}
	return nil
}

// errorUnlessRan returns the refusal with the given code, unless an earlier attempt may
// have run.
func errorUnlessRan(last *corianderwing.Error, c corianderwing.Code, text string) *corianderwing.Error {
	if last != nil && last.Run != corianderwing.RanNo {
		return last
	}
	return corianderwing.Errorf(c, "%s", text)
}

// preferMayHaveRun returns err, unless an earlier attempt may have run and this one has
// not.
func preferMayHaveRun(last, err *corianderwing.Error) *corianderwing.Error {
	if last == nil || last.Run == corianderwing.RanNo || err.Run != corianderwing.RanNo {
		return err
	}
	return last
}

// shouldRetryResponse reports whether another upstream should be tried because of a server
// error.
func (x *exchange) shouldRetryResponse(rep *response, sent int) bool {
	return rep.StatusCode >= http.StatusInternalServerError && !x.rule.Once && sent+1 < x.maxTries() &&
		x.body.CanReplay() && time.Now().Before(x.placement.Goal)
}

func (x *exchange) maxTries() int { return max(1, x.rule.Tries) }

// canRetry reports whether the request may be tried at another upstream.
func (x *exchange) canRetry(err *corianderwing.Error, sent int) bool {
	if x.ctx.Err() != nil || !x.body.CanReplay() || sent >= x.maxTries() || len(x.placement.Tried) >= maxUpstreamsTried {
		return false
	}
	if err.Run != corianderwing.RanNo && x.rule.Once {
		return false
	}
	switch err.Code {
	case corianderwing.ConnFail, corianderwing.Shed, corianderwing.SendFail, corianderwing.FirstByte,
		corianderwing.ShortBody, corianderwing.Crossed:
		return true
	}
	return false
}

// sendTo sends the request to the upstream of a slot.
func (x *exchange) sendTo(sl *slot) (*response, *corianderwing.Error) {
	now := time.Now()
	tracked := sl.startAttempt(x.rule.Name, now)
	conns := sl.pool.connsTo(sl.upstream)
	resp, err := relay.Send(x.ctx, x.newCall(sl, conns, now))
	rep := &response{Response: resp, exchange: x, slot: sl, tracked: tracked, ttfb: time.Since(now)}
	if err != nil {
		x.s.release(sl, tracked, place.Outcome{Result: resultForError(err), Took: rep.ttfb})
		if err.Code == corianderwing.FirstByte || err.Code == corianderwing.SendFail {
			// After one silent or broken connection the older ones to the same
			// upstream are suspect too.
			conns.Reset()
		}
		x.logAttempt(sl, err, rep.ttfb)
		return nil, err
	}
	verdict := x.s.cfg.Dialect.Verdict(resp.StatusCode, resp.Header)
	rep.load = place.Report{Known: verdict.Load, Running: verdict.Running, Waiting: verdict.Waiting}
	if verdict.NotRun {
		resp.Drain()
		rep.end(resultForRejection(verdict))
		err = corianderwing.Errorf(corianderwing.Shed, "upstream %s answered %d", sl.upstream.ID, resp.StatusCode)
	}
	x.logAttempt(sl, err, rep.ttfb)
	if err != nil {
		return nil, err
	}
	return rep, nil
}

func resultForRejection(v corianderwing.Verdict) place.Result {
	if v.Moved {
		return place.Moved
	}
	return place.Shed
}

// newCall describes an attempt.
func (x *exchange) newCall(sl *slot, conns *upstreamConns, now time.Time) relay.Call {
	d := x.s.cfg.Dialect
	c := relay.Call{
		Conns:               &conns.ConnPool,
		Method:              x.r.Method,
		URI:                 x.r.RequestURI,
		Host:                x.r.Host,
		Header:              x.header,
		Body:                x.body,
		ID:                  x.ask.ID,
		EchoHeader:          d.Echo(),
		FirstByteDeadline:   x.firstByteDeadline(sl, now),
		ExtendDeadline:      x.extendFirstByteDeadline,
		MaxForeignResponses: maxForeignResponses,
		AllowCloseDelimited: true,
	}
	if x.rule.Once {
		c.MinIdleSince = now.Add(-onceMaxIdle)
	}
	o := corianderwing.Outgoing{Ask: x.ask, Upstream: sl.upstream.ID, Deadline: x.deadline}
	if x.tenure != nil {
		o.Workspace = x.tenure.Name
	}
	d.Outgoing(o, now, func(name, value string) {
		c.AttemptHeader = append(c.AttemptHeader, relay.HeaderField{Name: name, Value: value})
	})
	return c
}

// firstByteDeadline returns until when the upstream's answer must begin. A request that
// may run again leaves an upstream that is silent for far longer than expected:
// its connection may have lost its way. It stays where it could not be sent
// again, where nobody knows how long it takes, and while this instance stops.
func (x *exchange) firstByteDeadline(sl *slot, now time.Time) time.Time {
	if x.rule.Once || !x.body.CanReplay() || len(x.placement.Tried)+1 >= x.maxTries() {
		return x.deadline
	}
	if sl.longest == 0 || x.s.stopping.Load() || !sl.pool.hasRetry() {
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

// extendFirstByteDeadline returns until when an upstream that is silent for extendFirstByteDeadline than expected
// may go on, if this instance began to stop meanwhile: another attempt could not
// be made before its end.
func (x *exchange) extendFirstByteDeadline() time.Time {
	if x.s.stopping.Load() {
		return x.deadline
	}
	return time.Time{}
}

// resultForError returns what a failed attempt says about the upstream.
func resultForError(e *corianderwing.Error) place.Result {
	switch e.Code {
	case corianderwing.FirstByte:
		return place.Silent
	case corianderwing.ConnFail:
		return place.Closed
	case corianderwing.Deadline, corianderwing.CallerGone, corianderwing.Stopping,
		corianderwing.CutBody, corianderwing.BigBody:
		return place.Dropped
	}
	return place.Broken
}
