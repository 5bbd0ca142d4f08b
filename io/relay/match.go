package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"corianderwing"
)

// readMatching reads the header of the response to c, skipping responses to other
// requests.
func (r *Response) readMatching(c Call) *corianderwing.Error {
	for skipped := 0; ; skipped++ {
		if err := r.readHeader(c); err != nil {
			return r.fail(err)
		}
		e := r.check(c)
		if e == nil {
			return nil
		}
		if e.Code != corianderwing.ResponseMismatch || skipped >= c.MaxForeignResponses || !r.skipForeign() {
			r.Discard()
			return e
		}
	}
}

// skipForeign reads a response to another request to its end. It reports whether
// another response can follow.
func (r *Response) skipForeign() bool {
	if r.Close || r.isCloseDelimited() {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxForeignBody))
	return err == nil && n < maxForeignBody && !hasMalformedName(r.Trailer)
}

// http.ReadResponse uses the request only to determine whether a body follows.
var (
	getRequest  = http.Request{Method: http.MethodGet}
	headRequest = http.Request{Method: http.MethodHead}
)

const (
	// maxInterimResponses is the maximum number of 1xx responses before the final
	// one.
	maxInterimResponses = 8
	// maxForeignBody is the size of the largest body of a response to another
	// request that is read to reach the response behind it. A faulty peer may send
	// a body without end.
	maxForeignBody = 256 << 10
)

// readHeader reads the header of the final response, skipping 1xx responses.
func (r *Response) readHeader(c Call) error {
	req := &getRequest
	if c.Method == http.MethodHead {
		req = &headRequest
	}
	for interim := 0; ; interim++ {
		r.conn.readLimit = maxResponseHeader
		if hasFoldedLine(r.conn.br) {
			return errFoldedLine
		}
		resp, err := http.ReadResponse(r.conn.br, req)
		switch {
		case err != nil:
			return err
		case resp.StatusCode < http.StatusContinue:
			return fmt.Errorf("peer sent the invalid status %q", resp.Status)
		case hasMalformedName(resp.Header):
			return errMalformedName
		}
		if interim == maxInterimResponses {
			return errors.New("peer does not stop sending interim responses")
		}
		if resp.StatusCode >= 200 {
			r.conn.readLimit = -1
			r.Response = resp
			return nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return errors.New("peer switched protocols without being asked to")
		}
	}
}

// check rejects a response that may belong to another request or whose end cannot be
// detected. An empty ID identifies no request.
func (r *Response) check(c Call) *corianderwing.Error {
	if hasSecondStatusLine(r.Response) {
		return corianderwing.Errorf(corianderwing.ResponseTruncated, "a response broke off in its header, and another one follows")
	}
	if ids := r.Header[c.EchoHeader]; len(ids) != 1 || ids[0] != string(c.ID) || c.ID == "" {
		return corianderwing.Errorf(corianderwing.ResponseMismatch, "response has request ID %q, want %q", ids, c.ID)
	}
	if r.isCloseDelimited() && !c.AllowCloseDelimited {
		return corianderwing.Errorf(corianderwing.ResponseTruncated, "response has neither a Content-Length nor chunked encoding, so its end cannot be detected")
	}
	return nil
}

var (
	errFoldedLine    = errors.New("peer sent a header with a line that begins with a blank")
	errMalformedName = errors.New("peer sent a field with a blank in its name")
)

// hasMalformedName reports whether the name of a field holds a blank: net/http accepts
// "Content-Length : 4", and takes it for another field, so that the end of the response
// is in doubt. It refuses all other malformed names itself.
func hasMalformedName(h http.Header) bool {
	for name := range h {
		if strings.Contains(name, " ") {
			return true
		}
	}
	return false
}

// hasFoldedLine reports whether a line of the next header begins with a blank or a tab,
// as far as the header fits into the buffer. net/http takes it for the rest of the line
// before; it may as well be a field whose name is damaged.
func hasFoldedLine(br *bufio.Reader) bool {
	for scanned := 0; ; {
		head, _ := br.Peek(br.Buffered())
		for line := range bytes.Lines(head[scanned:]) {
			if line[len(line)-1] != '\n' {
				break
			}
			if scanned > 0 && (line[0] == ' ' || line[0] == '\t') {
				return true
			}
			if line[0] == '\n' || line[0] == '\r' {
				return false // the end of the header
			}
			scanned += len(line)
		}
		if len(head) == br.Size() {
			return false
		}
		if _, err := br.Peek(len(head) + 1); err != nil {
			return false // http.ReadResponse gets it as well
		}
	}
}

// hasSecondStatusLine reports whether the status line or a header value contains
// another status line: a response that broke off in its header was followed by the
// next one, and the two were read as one. The ID is then that of the second one, and
// the status that of the first one.
func hasSecondStatusLine(resp *http.Response) bool {
	if containsStatusLine(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		for _, v := range values {
			if containsStatusLine(v) {
				return true
			}
		}
	}
	return false
}

// containsStatusLine reports whether s contains the beginning of a status line.
func containsStatusLine(s string) bool {
	const version, code = "HTTP/1.", len("1 200")
	for {
		_, rest, ok := strings.Cut(s, version)
		if !ok || len(rest) < code {
			return false
		}
		if isDigit(rest[0]) && rest[1] == ' ' && isDigit(rest[2]) && isDigit(rest[3]) && isDigit(rest[4]) {
			return true
		}
		s = rest
	}
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isCloseDelimited reports whether the response is delimited only by the close of
// the connection.
func (r *Response) isCloseDelimited() bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}
