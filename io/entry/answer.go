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

// refuse answers with a result code of the system.
func (s *Server) refuse(v *visit, e *corianderwing.Error) {
	v.code, v.run, v.reason = e.Code, e.Execution, e.Detail
	v.status = e.Code.Status()
	if v.begun {
		return
	}
	v.begun = true
	v.w.Header().Set(hRequest, string(v.id))
	writeError(v.w, e)
}

// writeError writes a refusal with its headers and JSON body.
func writeError(w http.ResponseWriter, e *corianderwing.Error) {
	h := w.Header()
	h.Set(hCode, strconv.Itoa(int(e.Code)))
	h.Set(hRun, string(e.Execution))
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

// pass sends an upstream's answer to the caller. An answer that ends early
// ends the caller's connection, so that it cannot be taken for complete.
func (s *Server) pass(v *visit, rep *reply, rc *http.ResponseController) {
	defer rep.close()
	v.code, v.run, v.status = corianderwing.OK, corianderwing.Executed, rep.StatusCode
	answerHeader(v.w.Header(), rep, v.id)
	v.begun = true
	v.w.WriteHeader(rep.StatusCode)
	err := stream(v.w, rep, rc)
	release(v.body, rc)
	if err == nil {
		return
	}
	e := s.cutAnswer(v, err)
	v.code, v.run, v.reason = e.Code, corianderwing.Executed, e.Detail
	panic(http.ErrAbortHandler)
}

// cutAnswer tells why an answer did not reach the caller as a whole.
func (s *Server) cutAnswer(v *visit, err error) *corianderwing.Error {
	var e *corianderwing.Error
	switch {
	case v.ctx.Err() != nil:
		return relay.ContextError(v.ctx, corianderwing.Executed)
	case errors.As(err, &e):
		return e
	}
	return corianderwing.Errorf(corianderwing.ResponseTruncated, "%v", err)
}

// answerHeader sets the header of an answer that comes from an upstream.
func answerHeader(out http.Header, rep *reply, id corianderwing.RequestID) {
	relay.CopyEndToEnd(out, rep.Header, ours)
	if n := rep.Header["Content-Length"]; len(n) == 1 {
		out["Content-Length"] = n
	}
	out[hCode] = headerOK
	out[hRun] = headerYes
	out[hRequest] = []string{string(id)}
}

var (
	headerOK  = []string{strconv.Itoa(int(corianderwing.OK))}
	headerYes = []string{string(corianderwing.Executed)}
)

// stream copies an answer's body. Answers of unknown length may be streams of
// events, so each part is sent on at once.
func stream(w io.Writer, rep *reply, rc *http.ResponseController) error {
	var flush func() error
	if rep.ContentLength < 0 {
		flush = rc.Flush
	}
	readErr, writeErr := relay.Copy(w, rep, flush)
	if writeErr != nil {
		return rep.unread(writeErr)
	}
	return readErr
}

// record returns the evidence of a refused or slow answer.
func record(self corianderwing.InstanceID, v *visit, total time.Duration) corianderwing.Record {
	r := corianderwing.Record{
		Request:   v.id,
		At:        v.start,
		Instance:  self,
		Workspace: v.workspace,
		Service:   v.service,
		Route:     v.route,
		Class:     v.class,
		Key:       v.key.ID,
		Code:      v.code,
		Execution: v.run,
		Status:    v.status,
		Reason:    strings.TrimSpace(v.reason),
		Total:     corianderwing.Millis(total.Milliseconds()),
		Attempts:  v.attempts,
	}
	if v.view != nil {
		r.Revision = v.view.Revision()
	}
	for i := range v.attempts {
		r.Wait += v.attempts[i].Wait
	}
	if n := len(v.attempts); n > 0 {
		a := &v.attempts[n-1]
		a.Body = max(0, r.Total-r.Wait-a.FirstByte)
	}
	if r.Reason == "" {
		r.Reason = "slow answer"
	}
	return r
}
