package gate

import (
	"net/http"
	"time"

	"corianderwing"
	"corianderwing/core/place"
	"corianderwing/io/relay"
)

// refuse answers in the system's own name.
func (x *exchange) refuse(err *corianderwing.Error) {
	x.err = err
	if x.wroteHeader {
		return
	}
	x.wroteHeader = true
	if x.tokenTaken && err.Run == corianderwing.RanNo {
		x.returnToken()
	}
	x.status = x.s.cfg.Dialect.Refuse(x.w, x.ask.ID, err, x.retryAfter(err))
}

// retryAfter returns when the caller should come back, 0 to say nothing.
func (x *exchange) retryAfter(err *corianderwing.Error) time.Duration {
	if err.Run != corianderwing.RanNo {
		return 0
	}
	if x.retryDelay > 0 {
		return x.retryDelay
	}
	switch err.Code {
	case corianderwing.NoCapacity, corianderwing.TooLate, corianderwing.NoUpstream, corianderwing.Shed,
		corianderwing.ConnFail, corianderwing.NotFresh, corianderwing.OverRate, corianderwing.NoShare:
		return defaultRetryAfter
	}
	return 0
}

// defaultRetryAfter is when a caller should come back where nothing better is known:
// most troubles that refuse a request are over within moments, and the time of
// the caller runs.
const defaultRetryAfter = 100 * time.Millisecond

// response is an upstream's answer on its way to the caller.
type response struct {
	*relay.Response
	exchange *exchange
	slot     *slot
	tracked  *trackedAttempt
	load     place.Report
	ttfb     time.Duration // until the first byte
	done     bool
}

// end gives the upstream's place back once.
func (r *response) end(result place.Result) {
	if r.done {
		return
	}
	r.done = true
	r.exchange.s.release(r.slot, r.tracked, place.Outcome{Result: result, Took: r.ttfb - r.DialTime, Dial: r.DialTime, Bytes: r.size(), Load: r.load})
}

// headerBytesEstimate is what the headers of a request and of its answer have together,
// about.
const headerBytesEstimate = 700

// size returns the bytes of the request and of its answer, 0 if the length of
// the answer is not known.
func (r *response) size() int {
	if r.ContentLength < 0 {
		return 0
	}
	return headerBytesEstimate + int(r.ContentLength) + int(max(0, r.exchange.body.ContentLength))
}

// close ends a reply that is not passed on.
func (r *response) close() {
	r.Drain()
	r.end(r.result())
}

// result returns what a complete answer says about the upstream.
func (r *response) result() place.Result {
	if r.StatusCode >= http.StatusInternalServerError {
		return place.Faulty
	}
	return place.Good
}

// forward sends an upstream's answer to the caller. An answer that ends early ends
// the caller's connection, so that it cannot be taken for complete.
func (x *exchange) forward(rep *response) {
	x.wroteHeader, x.status = true, rep.StatusCode
	out := x.w.Header()
	relay.CopyEndToEnd(out, rep.Header, nil)
	if n := rep.Header["Content-Length"]; len(n) == 1 {
		out["Content-Length"] = n
	}
	if _, ok := out["Content-Type"]; !ok {
		out["Content-Type"] = nil // keep net/http from guessing one
	}
	x.w.WriteHeader(rep.StatusCode)
	rc := http.NewResponseController(x.w)
	var flush func() error
	if rep.ContentLength < 0 {
		flush = rc.Flush
	}
	readErr, writeErr := relay.Copy(x.w, rep, flush)
	switch {
	case writeErr != nil:
		rep.Discard()
		rep.end(place.Dropped)
		x.err = corianderwing.Errorf(corianderwing.CallerGone, "%v", writeErr)
	case readErr != nil:
		rep.Discard()
		rep.end(place.Broken)
		x.err = corianderwing.Errorf(corianderwing.ShortBody, "%v", readErr)
		if x.ctx.Err() != nil {
			x.err = relay.ContextError(x.ctx, corianderwing.RanYes)
		}
	default:
		rep.end(rep.result())
		return
	}
	panic(http.ErrAbortHandler)
}

// finish logs and counts the request, also one that was cut off.
func (x *exchange) finish() {
	failure := recover()
	if failure != nil && failure != http.ErrAbortHandler {
		x.s.log.Error().Str("request", string(x.ask.ID)).Any("panic", failure).Msg("panic while a request was served")
		if !x.wroteHeader {
			x.refuse(corianderwing.Errorf(corianderwing.Internal, "the request met a fault"))
			failure = nil
		}
	}
	x.logRequest()
	if failure != nil {
		panic(http.ErrAbortHandler)
	}
}
