package gate

import (
	"net/http"
	"time"

	"corianderwing"
	"corianderwing/core/place"
	"corianderwing/io/relay"
)

// refuse answers in the system's own name.
func (v *visit) refuse(err *corianderwing.Error) {
	v.err = err
	if v.begun {
		return
	}
	v.begun = true
	if v.counted && err.Run == corianderwing.RanNo {
		v.giveToken()
	}
	v.status = v.s.cfg.Dialect.Refuse(v.w, v.ask.ID, err, v.retryAfter(err))
}

// retryAfter returns when the caller should come back, 0 to say nothing.
func (v *visit) retryAfter(err *corianderwing.Error) time.Duration {
	if err.Run != corianderwing.RanNo {
		return 0
	}
	if v.comeBack > 0 {
		return v.comeBack
	}
	switch err.Code {
	case corianderwing.NoCapacity, corianderwing.TooLate, corianderwing.NoUpstream, corianderwing.Shed,
		corianderwing.ConnFail, corianderwing.NotFresh, corianderwing.OverRate, corianderwing.NoShare:
		return usualAfter
	}
	return 0
}

// usualAfter is when a caller should come back where nothing better is known:
// most troubles that refuse a request are over within moments, and the time of
// the caller runs.
const usualAfter = 100 * time.Millisecond

// reply is an upstream's answer on its way to the caller.
type reply struct {
	*relay.Response
	v     *visit
	slot  *slot
	trial *attempt
	load  place.Report
	took  time.Duration // until the first byte
	over  bool
}

// end gives the upstream's place back once.
func (r *reply) end(result place.Result) {
	if r.over {
		return
	}
	r.over = true
	r.v.s.release(r.slot, r.trial, place.Outcome{Result: result, Took: r.took - r.DialTime, Dial: r.DialTime, Bytes: r.size(), Load: r.load})
}

// headBytes is what the headers of a request and of its answer have together,
// about.
const headBytes = 700

// size returns the bytes of the request and of its answer, 0 if the length of
// the answer is not known.
func (r *reply) size() int {
	if r.ContentLength < 0 {
		return 0
	}
	return headBytes + int(r.ContentLength) + int(max(0, r.v.body.ContentLength))
}

// close ends a reply that is not passed on.
func (r *reply) close() {
	r.Drain()
	r.end(r.result())
}

// result returns what a complete answer says about the upstream.
func (r *reply) result() place.Result {
	if r.StatusCode >= http.StatusInternalServerError {
		return place.Faulty
	}
	return place.Good
}

// pass sends an upstream's answer to the caller. An answer that ends early ends
// the caller's connection, so that it cannot be taken for complete.
func (v *visit) pass(rep *reply) {
	v.begun, v.status = true, rep.StatusCode
	out := v.w.Header()
	relay.CopyEndToEnd(out, rep.Header, nil)
	if n := rep.Header["Content-Length"]; len(n) == 1 {
		out["Content-Length"] = n
	}
	if _, ok := out["Content-Type"]; !ok {
		out["Content-Type"] = nil // keep net/http from guessing one
	}
	v.w.WriteHeader(rep.StatusCode)
	rc := http.NewResponseController(v.w)
	var flush func() error
	if rep.ContentLength < 0 {
		flush = rc.Flush
	}
	readErr, writeErr := relay.Copy(v.w, rep, flush)
	switch {
	case writeErr != nil:
		rep.Discard()
		rep.end(place.Dropped)
		v.err = corianderwing.Errorf(corianderwing.CallerGone, "%v", writeErr)
	case readErr != nil:
		rep.Discard()
		rep.end(place.Broken)
		v.err = corianderwing.Errorf(corianderwing.ShortBody, "%v", readErr)
		if v.ctx.Err() != nil {
			v.err = relay.ContextError(v.ctx, corianderwing.RanYes)
		}
	default:
		rep.end(rep.result())
		return
	}
	panic(http.ErrAbortHandler)
}

// finish logs and counts the request, also one that was cut off.
func (v *visit) finish() {
	failure := recover()
	if failure != nil && failure != http.ErrAbortHandler {
		v.s.log.Error().Str("request", string(v.ask.ID)).Any("panic", failure).Msg("panic while a request was served")
		if !v.begun {
			v.refuse(corianderwing.Errorf(corianderwing.Internal, "the request met a fault"))
			failure = nil
		}
	}
	v.record()
	if failure != nil {
		panic(http.ErrAbortHandler)
	}
}
