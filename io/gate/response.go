package gate

import (
	"net/http"
	"time"

	"corianderwing"
	"corianderwing/core/budget"
	"corianderwing/core/place"
	"corianderwing/io/accept"
	"corianderwing/io/relay"
)

// refuse records err and writes it as the response, unless a response has begun.
func (x *exchange) refuse(err *corianderwing.Error) {
	x.err = err
	if x.wroteHeader {
		return
	}
	x.wroteHeader = true
	if x.tokenTaken && err.Execution == corianderwing.NotExecuted {
		x.returnToken()
	}
	if err.Code != corianderwing.BodyTruncated { // the body's own deadline has passed
		x.limitBodyWait(err.Code)
	}
	x.status = x.s.cfg.Dialect.WriteError(x.w, x.caller.ID, err, x.retryAfter(err))
}

// bodyWait is how long a refusal waits for the rest of the request's body. The HTTP
// server reads up to 256 KB of it before it responds, so that the connection can be
// kept, and a caller may send it as late as it likes.
const bodyWait = 500 * time.Millisecond

// maxUnreadBody is the size of an unread body, in bytes, for which the connection of a
// caller at fault is kept.
const maxUnreadBody = 4 << 10

// limitBodyWait limits the time for which the refusal waits for a body that has not
// been read to its end. A caller at fault with a large body gets the response at once,
// and its connection is closed.
func (x *exchange) limitBodyWait(code corianderwing.Code) {
	if x.r.Body == nil || x.r.Body == http.NoBody || x.r.ContentLength == 0 {
		return
	}
	if b := x.body; b != nil && (b.Rest == nil || b.RestAtEOF.Load()) {
		return
	}
	if n := x.r.ContentLength; closesBody(code) && (n < 0 || n > maxUnreadBody) {
		x.w.Header().Set("Connection", "close")
	}
	http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(bodyWait))
}

// closesBody reports whether a refusal closes the connection rather than read a large
// body.
func closesBody(code corianderwing.Code) bool {
	switch code {
	case corianderwing.NoRoute, corianderwing.MissingKey, corianderwing.InvalidKey, corianderwing.InvalidInput,
		corianderwing.HeaderTooLarge, corianderwing.BodyTooLarge, corianderwing.MemoryShort:
		return true
	}
	return false
}

// retryAfter returns the delay for the Retry-After header, or 0 for no header.
func (x *exchange) retryAfter(err *corianderwing.Error) time.Duration {
	if err.Execution != corianderwing.NotExecuted {
		return 0
	}
	if x.retryDelay > 0 {
		return x.retryDelay
	}
	switch err.Code {
	case corianderwing.StaleSettings, corianderwing.NoShare:
		if x.s.cfg.Control.LeaderMissing() {
			return electionRetryAfter
		}
		return defaultRetryAfter
	case corianderwing.MemoryShort:
		return memoryRetryAfter
	case corianderwing.NoCapacity, corianderwing.DeadlineUnreachable, corianderwing.NoUpstream, corianderwing.Shed,
		corianderwing.ConnectFailed, corianderwing.RateExceeded:
		return defaultRetryAfter
	}
	return 0
}

// defaultRetryAfter is the retry delay sent when no better estimate is known. It
// is short because most causes of a refusal are transient and the caller's
// deadline keeps running.
const defaultRetryAfter = 100 * time.Millisecond

// memoryRetryAfter is the retry delay while the memory of the process is used up. After
// this time, stalled connections that held it have been closed.
const memoryRetryAfter = 2 * budget.Window

// electionRetryAfter is the retry delay while the control role has no leader. After
// the loss of all instances, a leader is elected and shares of rate limits are
// divided anew within about this time. Callers that may retry once only would use
// their retry up before.
const electionRetryAfter = time.Second

// response is an upstream's response that is being forwarded to the caller.
type response struct {
	*relay.Response
	exchange *exchange
	slot     *slot
	tracked  *trackedAttempt
	load     place.LoadReport
	sentAt   time.Time
	ttfb     time.Duration // time to first byte
	done     bool
}

// end releases the slot and reports the outcome. Later calls do nothing.
func (r *response) end(result place.Result) {
	if r.done {
		return
	}
	r.done = true
	if result == place.Succeeded || result == place.ServerError {
		r.exchange.recordAnswer(r.sentAt)
	}
	r.exchange.s.release(r.slot, r.tracked, place.Outcome{Result: result, Latency: r.ttfb - r.DialTime, DialTime: r.DialTime, Bytes: r.size(), Load: r.load})
}

// headerBytesEstimate is the approximate combined size of the headers of a request
// and its response.
const headerBytesEstimate = 700

// size returns the approximate size of the request and its response in bytes, or 0
// if the length of the response is unknown.
func (r *response) size() int {
	if r.ContentLength < 0 {
		return 0
	}
	return headerBytesEstimate + int(r.ContentLength) + int(max(0, r.exchange.body.ContentLength))
}

// close drains and ends a response that is not forwarded.
func (r *response) close() {
	r.Drain()
	r.end(r.result())
}

// result classifies a complete response for the health of the upstream.
func (r *response) result() place.Result {
	if r.StatusCode >= http.StatusInternalServerError {
		return place.ServerError
	}
	return place.Succeeded
}

// writeSlack is how long after the request's deadline a caller that does not read
// its response is given up.
const writeSlack = 500 * time.Millisecond

// forward sends an upstream's response to the caller. If the response is truncated,
// it aborts the caller's connection, so that the caller cannot take the response
// for complete.
func (x *exchange) forward(resp *response) {
	x.wroteHeader, x.status = true, resp.StatusCode
	header := x.w.Header()
	relay.CopyEndToEnd(header, resp.Header, nil)
	if n := resp.Header["Content-Length"]; len(n) == 1 {
		header["Content-Length"] = n
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // disables content sniffing by net/http
	}
	rc := http.NewResponseController(x.w)
	rc.SetWriteDeadline(x.deadline.Add(writeSlack)) // net/http resets it after the response
	x.w.WriteHeader(resp.StatusCode)
	var flush func() error
	if resp.ContentLength < 0 {
		flush = rc.Flush
	}
	readErr, writeErr := relay.Copy(x.w, resp, flush)
	switch {
	case writeErr != nil:
		resp.Discard()
		resp.end(place.Canceled)
		x.err = corianderwing.Errorf(corianderwing.CallerDisconnected, "%v", writeErr)
	case readErr != nil:
		resp.Discard()
		x.err = corianderwing.Errorf(corianderwing.ResponseTruncated, "%v", readErr)
		if x.ctx.Err() != nil {
			x.err = relay.ContextError(x.ctx, corianderwing.Executed)
		}
		if x.err.Code == corianderwing.CallerDisconnected {
			resp.end(place.Canceled) // the connection was closed because of the caller
		} else {
			resp.end(place.ConnectionLost)
		}
		x.checkCrash(resp.slot, x.err)
	default:
		resp.end(resp.result())
		return
	}
	panic(http.ErrAbortHandler)
}

// finish logs and counts the request, including one whose connection was aborted.
func (x *exchange) finish() {
	panicked := recover()
	if panicked != nil && panicked != http.ErrAbortHandler {
		x.s.log.Error().Str("request", string(x.caller.ID)).Any("panic", panicked).Msg("panic while serving a request")
		if !x.wroteHeader {
			x.refuse(corianderwing.Errorf(corianderwing.Internal, "internal error while serving the request"))
			panicked = nil
		}
	}
	x.logRequest()
	if panicked == nil {
		return
	}
	if !x.r.ProtoAtLeast(1, 1) {
		accept.Reset(x.w)
	}
	panic(http.ErrAbortHandler)
}
