package gate

import (
	"net/http"
	"time"

	"corianderwing"
	"corianderwing/core/place"
	"corianderwing/io/relay"
)

const (
	// freshFor is how long a connection may have been idle when a request that
	// must not run twice is sent on it: if the upstream closes it meanwhile,
	// nobody knows whether the request ran.
	freshFor = 3 * time.Second
	// foreignAnswers is how many answers to other requests are skipped on a
	// connection: an upstream sends at most one extra answer to a request.
	foreignAnswers = 2
	// mostDials is the number of upstreams to which a connection is tried.
	mostDials = 4
	// silentFactor is how many times longer than expected an upstream may be
	// silent before another one is tried, longestFactor how many times longer than
	// where the object is unknown, and silentLeast the shortest such time.
	silentFactor  = 6
	longestFactor = 2.5
	silentLeast   = 700 * time.Millisecond
)

// run brings the request to an upstream, with retries at others.
func (v *visit) run() (*reply, *corianderwing.Error) {
	var last *corianderwing.Error
	sent := 0
	v.pool.first()
	for {
		now := time.Now()
		if !now.Before(v.deadline) {
			return nil, after(last, corianderwing.DeadlineUnreachable, "the request's time was up")
		}
		if sent > 0 && !v.pool.again() {
			return nil, last
		}
		t, wait, err := v.s.acquire(v.ctx, v.pool, v.request, v.view, now)
		v.waited += time.Since(now)
		if err != nil {
			v.comeBack = wait
			return nil, worst(last, v.notRun(err))
		}
		if err := v.confirm(); err != nil {
			v.s.release(t, nil, place.Outcome{Result: place.Dropped})
			return nil, worst(last, err)
		}
		rep, err := v.attempt(t)
		if err == nil && !v.worse(rep, sent) {
			return rep, nil
		}
		if err == nil {
			err = corianderwing.Errorf(corianderwing.SendFailed, "upstream %s answered %d", t.upstream.ID, rep.StatusCode)
			rep.close()
		}
		v.request.Tried = append(v.request.Tried, t.upstream.ID)
		if err.Code != corianderwing.ConnectFailed {
			sent++
		}
		last = worst(last, err)
		if !v.mayRetry(err, sent) {
			return nil, last
		}
	}
}

// notRun returns the reason for which no slot was found, as it concerns the
// caller: a request whose time ended while it waited has not run.
func (v *visit) notRun(err *corianderwing.Error) *corianderwing.Error {
	if v.ctx.Err() == nil {
		return err
	}
	return relay.Ended(v.ctx, corianderwing.NotExecuted)
}

// confirm checks after a wait that the key may still be used.
func (v *visit) confirm() *corianderwing.Error {
	if v.rule.Public || v.tenure == nil {
		return nil
	}
	view, known := v.s.cfg.Control.View()
	if !known || !v.s.cfg.Control.IsFresh() {
		return corianderwing.Errorf(corianderwing.StaleSettings, "keys cannot be confirmed")
	}
	if t, ok := view.Items().Owner(v.ask.Key); !ok || t.Name != v.tenure.Name {
		return corianderwing.Errorf(corianderwing.InvalidKey, "the key was withdrawn")
	}
	return nil
}

// after returns the refusal with the given code, unless an earlier attempt may
// have run.
func after(last *corianderwing.Error, c corianderwing.Code, text string) *corianderwing.Error {
	if last != nil && last.Execution != corianderwing.NotExecuted {
		return last
	}
	return corianderwing.Errorf(c, "%s", text)
}

// worst returns err, unless an earlier attempt may have run and this one has
// not.
func worst(last, err *corianderwing.Error) *corianderwing.Error {
	if last == nil || last.Execution == corianderwing.NotExecuted || err.Execution != corianderwing.NotExecuted {
		return err
	}
	return last
}

// worse reports whether another upstream should be tried because of a server
// error.
func (v *visit) worse(rep *reply, sent int) bool {
	return rep.StatusCode >= http.StatusInternalServerError && !v.rule.AtMostOnce && sent+1 < v.tries() &&
		v.body.Replay() && time.Now().Before(v.request.Goal)
}

func (v *visit) tries() int { return max(1, v.rule.MaxAttempts) }

// mayRetry reports whether the request may be tried at another upstream.
func (v *visit) mayRetry(err *corianderwing.Error, sent int) bool {
	if v.ctx.Err() != nil || !v.body.Replay() || sent >= v.tries() || len(v.request.Tried) >= mostDials {
		return false
	}
	if err.Execution != corianderwing.NotExecuted && v.rule.AtMostOnce {
		return false
	}
	switch err.Code {
	case corianderwing.ConnectFailed, corianderwing.Shed, corianderwing.SendFailed, corianderwing.FirstByteTimeout,
		corianderwing.ResponseTruncated, corianderwing.ResponseMismatch:
		return true
	}
	return false
}

// attempt sends the request to the upstream of a slot.
func (v *visit) attempt(t *slot) (*reply, *corianderwing.Error) {
	now := time.Now()
	trial := t.begin(v.rule.Name, now)
	h := t.pool.host(t.upstream)
	ans, err := relay.Send(v.ctx, v.call(t, h, now))
	rep := &reply{Answer: ans, v: v, slot: t, trial: trial, took: time.Since(now)}
	if err != nil {
		v.s.release(t, trial, place.Outcome{Result: resultOf(err), Took: rep.took})
		if err.Code == corianderwing.FirstByteTimeout || err.Code == corianderwing.SendFailed {
			// After one silent or broken connection the older ones to the same
			// upstream are suspect too.
			h.Reset()
		}
		v.note(t, err, rep.took)
		return nil, err
	}
	verdict := v.s.cfg.Dialect.ParseResponse(ans.StatusCode, ans.Header)
	rep.load = place.Report{Known: verdict.LoadKnown, Running: verdict.Running, Waiting: verdict.Waiting}
	if verdict.NotExecuted {
		ans.Drain()
		rep.end(shedResult(verdict))
		err = corianderwing.Errorf(corianderwing.Shed, "upstream %s answered %d", t.upstream.ID, ans.StatusCode)
	}
	v.note(t, err, rep.took)
	if err != nil {
		return nil, err
	}
	return rep, nil
}

func shedResult(v corianderwing.ResponseInfo) place.Result {
	if v.AddressReassigned {
		return place.Moved
	}
	return place.Shed
}

// call describes an attempt.
func (v *visit) call(t *slot, h *host, now time.Time) relay.Call {
	d := v.s.cfg.Dialect
	c := relay.Call{
		Host:     &h.Host,
		Method:   v.r.Method,
		URI:      v.r.RequestURI,
		Name:     v.r.Host,
		Header:   v.header,
		Body:     v.body,
		ID:       v.ask.ID,
		Echo:     d.RequestIDHeader(),
		First:    v.firstByte(t, now),
		Longer:   v.longer,
		Foreign:  foreignAnswers,
		Unframed: true,
	}
	if v.rule.AtMostOnce {
		c.Recent = now.Add(-freshFor)
	}
	o := corianderwing.UpstreamRequest{Request: v.ask, Upstream: t.upstream.ID, Deadline: v.deadline}
	if v.tenure != nil {
		o.Workspace = v.tenure.Name
	}
	d.AddRequestHeaders(o, now, func(name, value string) {
		c.Extra = append(c.Extra, relay.Field{Name: name, Value: value})
	})
	return c
}

// firstByte returns until when the upstream's answer must begin. A request that
// may run again leaves an upstream that is silent for far longer than expected:
// its connection may have lost its way. It stays where it could not be sent
// again, where nobody knows how long it takes, and while this instance stops.
func (v *visit) firstByte(t *slot, now time.Time) time.Time {
	if v.rule.AtMostOnce || !v.body.Replay() || len(v.request.Tried)+1 >= v.tries() {
		return v.deadline
	}
	if t.longest == 0 || v.s.leaving.Load() || !t.pool.mayRetry() {
		return v.deadline
	}
	d := max(silentFactor*t.work, time.Duration(longestFactor*float64(t.longest)), silentLeast)
	if t.cold {
		d *= 2
	}
	if first := now.Add(d); first.Before(v.deadline) {
		return first
	}
	return v.deadline
}

// longer returns until when an upstream that is silent for longer than expected
// may go on, if this instance began to stop meanwhile: another attempt could not
// be made before its end.
func (v *visit) longer() time.Time {
	if v.s.leaving.Load() {
		return v.deadline
	}
	return time.Time{}
}

// resultOf returns what a failed attempt says about the upstream.
func resultOf(e *corianderwing.Error) place.Result {
	switch e.Code {
	case corianderwing.FirstByteTimeout:
		return place.Silent
	case corianderwing.ConnectFailed:
		return place.Closed
	case corianderwing.DeadlineExceeded, corianderwing.CallerDisconnected, corianderwing.Stopping,
		corianderwing.BodyTruncated, corianderwing.BodyTooLarge:
		return place.Dropped
	}
	return place.Broken
}
