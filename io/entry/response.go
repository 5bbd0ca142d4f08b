package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"corianderwing"
	"corianderwing/io/relay"
)

// reject responds to the caller with a result code of the system.
func (s *Server) reject(x *exchange, e *corianderwing.Error) {
	x.code, x.execution, x.reason = e.Code, e.Execution, e.Detail
	x.status = e.Code.Status()
	if x.headerWritten {
		return
	}
	x.headerWritten = true
	x.w.Header().Set(hRequest, string(x.id))
	if e.Code != corianderwing.BodyTruncated { // the body's own deadline has passed
		x.limitBodyWait()
	}
	writeError(x.w, e)
}

const (
	// bodyWait is how long a rejection waits for the rest of the request's body. The
	// HTTP server reads up to 256 KB of it before it responds, and a caller may send
	// it as late as it likes.
	bodyWait = 500 * time.Millisecond
	// writeSlack is how long after the request's deadline a caller that does not read
	// its response is given up.
	writeSlack = 500 * time.Millisecond
)

// limitBodyWait limits the time for which the rejection waits for a body of which
// nothing has been read.
func (x *exchange) limitBodyWait() {
	if x.body == nil && x.r.Body != nil && x.r.Body != http.NoBody && x.r.ContentLength != 0 {
		http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(bodyWait))
	}
}

// writeError writes an error response with its headers and JSON body.
func writeError(w http.ResponseWriter, e *corianderwing.Error) {
	h := w.Header()
	h.Set(hCode, strconv.Itoa(int(e.Code)))
	h.Set(hExecution, string(e.Execution))
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	if e.Code == corianderwing.RateExceeded || e.Code == corianderwing.QueueFull || e.Code == corianderwing.NoCapacity {
		h.Set("Retry-After", "1")
	}
	raw, err := json.Marshal(e)
	if err != nil {
		raw = []byte("{}")
	}
	h.Set("Content-Length", strconv.Itoa(len(raw)+1))
	w.WriteHeader(e.Code.Status())
	w.Write(append(raw, '\n'))
}

// writeResponse forwards an upstream's response to the caller. If the response
// is truncated, it aborts the caller's connection, so that the response does
// not appear complete.
func (s *Server) writeResponse(x *exchange, resp *response, rc *http.ResponseController) {
	defer resp.close()
	x.code, x.execution, x.status = corianderwing.OK, corianderwing.Executed, resp.StatusCode
	setResponseHeader(x.w.Header(), resp, x.id)
	x.headerWritten = true
	rc.SetWriteDeadline(x.deadline.Add(writeSlack)) // net/http resets it after the response
	x.w.WriteHeader(resp.StatusCode)
	err := copyBody(x.w, resp, rc)
	stopBodyRead(x.body, rc)
	if err == nil {
		return
	}
	e := s.responseError(x, err)
	x.code, x.execution, x.reason = e.Code, corianderwing.Executed, e.Detail
	panic(http.ErrAbortHandler)
}

// responseError returns the reason why a response did not reach the caller
// completely.
func (s *Server) responseError(x *exchange, err error) *corianderwing.Error {
	var e *corianderwing.Error
	switch {
	case x.ctx.Err() != nil:
		return relay.ContextError(x.ctx, corianderwing.Executed)
	case errors.As(err, &e):
		return e
	}
	return corianderwing.Errorf(corianderwing.ResponseTruncated, "%v", err)
}

// setResponseHeader sets the header of a response that comes from an upstream.
func setResponseHeader(out http.Header, resp *response, id corianderwing.RequestID) {
	relay.CopyEndToEnd(out, resp.Header, isInternalHeader)
	if n := resp.Header["Content-Length"]; len(n) == 1 {
		out["Content-Length"] = n
	}
	out[hCode] = okHeader
	out[hExecution] = executedHeader
	out[hRequest] = []string{string(id)}
}

var (
	okHeader       = []string{strconv.Itoa(int(corianderwing.OK))}
	executedHeader = []string{string(corianderwing.Executed)}
)

// copyBody copies a response body. Responses of unknown length may be event
// streams, so each part is flushed immediately.
func copyBody(w io.Writer, resp *response, rc *http.ResponseController) error {
	var flush func() error
	if resp.ContentLength < 0 {
		flush = rc.Flush
	}
	readErr, writeErr := relay.Copy(w, resp, flush)
	if writeErr != nil {
		return resp.abandon(writeErr)
	}
	return readErr
}

// newRecord returns the record of a rejected or slow response.
func newRecord(self corianderwing.InstanceID, x *exchange, total time.Duration) corianderwing.Record {
	r := corianderwing.Record{
		Request:   x.id,
		At:        x.start,
		Instance:  self,
		Workspace: x.workspace,
		Service:   x.service,
		Route:     x.route,
		Class:     x.class,
		Key:       x.key.ID,
		Code:      x.code,
		Execution: x.execution,
		Status:    x.status,
		Reason:    strings.TrimSpace(x.reason),
		Total:     corianderwing.Millis(total.Milliseconds()),
		Attempts:  x.attempts,
	}
	if x.view != nil {
		r.Revision = x.view.Revision()
	}
	for i := range x.attempts {
		r.Wait += x.attempts[i].Wait
	}
	if n := len(x.attempts); n > 0 {
		a := &x.attempts[n-1]
		a.Body = max(0, r.Total-r.Wait-a.FirstByte)
	}
	if r.Reason == "" {
		r.Reason = "slow answer"
	}
	return r
}
