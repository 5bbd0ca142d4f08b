// Package relay makes single attempts of a request over connections of its own:
// it never repeats a request, tells whether the peer may have run it, and
// accepts only the answer that echoes the request's id.
package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"corianderwing"
)

var errHeaderTooLarge = errors.New("answer header is over its limit")

// HeaderField is one line of a header. Lists of fields are cheaper to build and to
// write than maps.
type HeaderField struct {
	Name, Value string
}

// Call is one attempt of a request over one connection.
type Call struct {
	Conns             *ConnPool
	Method            string
	URI               string
	Host              string // Host header
	Header            []HeaderField
	AttemptHeader     []HeaderField // headers of this attempt
	Body              *Body
	ID                corianderwing.RequestID
	EchoHeader        string    // canonical name of the header in which the peer echoes ID
	NewConn           bool      // use a new connection
	MinIdleSince      time.Time // use no connection that has been idle since before; zero for any
	FirstByteDeadline time.Time // deadline of the first byte of the answer
	// ExtendDeadline is called when First has passed without a byte. It returns a later
	// deadline, or the zero time to give the attempt up. Optional.
	ExtendDeadline func() time.Time

	// MaxForeignResponses is the number of answers to other requests that are skipped
	// before the own one. A peer that answers a request twice sends the second
	// answer where the next one is expected.
	MaxForeignResponses int
	// AllowCloseDelimited accepts an answer without a length, which ends with its
	// connection. A reset connection still fails it.
	AllowCloseDelimited bool
	// WrapWriter wraps the connection for writing, for example to pace it. Optional.
	WrapWriter func(io.Writer) io.Writer
}

// Response is the answer to a call. Its reader must be read to the end, or
// closed with Discard.
type Response struct {
	*http.Response
	DialTime time.Duration // to open the connection; 0 if there was one

	ctx       context.Context
	conn      *conn
	stop      func() bool
	writeDone chan error                          // result of writing a large body; nil if all is written
	bodyErr   atomic.Pointer[corianderwing.Error] // fault of the caller's body
	done      bool
}

// Send makes one attempt. It uses the connection for nothing else until the
// answer is complete, and never repeats the request. The returned error tells
// whether the request may have reached the peer.
func Send(ctx context.Context, c Call) (*Response, *corianderwing.Error) {
	cn, dial, err := c.Conns.get(ctx, c)
	if err != nil {
		return nil, unsentError(ctx, err)
	}
	// Closing the connection on cancellation ends every read and write on it,
	// and tells the peer to stop.
	a := &Response{ctx: ctx, conn: cn, DialTime: dial}
	a.stop = context.AfterFunc(ctx, func() { cn.Close() })
	// Setting a deadline fails only on a closed connection, which the next
	// read or write reports; what was received before can still be read.
	cn.SetReadDeadline(c.FirstByteDeadline)
	if err := a.writeRequest(c); err != nil && !hasResponse(cn) {
		return nil, a.fail(err)
	}
	if err := a.awaitFirstByte(c); err != nil {
		return nil, a.fail(err)
	}
	if e := a.readMatching(c); e != nil {
		return nil, e
	}
	cn.SetReadDeadline(time.Time{})
	if e := a.bufferSmallBody(); e != nil {
		return nil, e
	}
	return a, nil
}

// awaitFirstByte waits for the first byte of the answer.
func (a *Response) awaitFirstByte(c Call) error {
	a.conn.readLimit = maxResponseHeader
	for {
		_, err := a.conn.br.Peek(1)
		if err == nil || c.ExtendDeadline == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		later := c.ExtendDeadline()
		if !later.After(time.Now()) {
			return err
		}
		a.conn.SetReadDeadline(later)
	}
}

// readMatching reads the header of the answer to c, past those to other requests.
func (a *Response) readMatching(c Call) *corianderwing.Error {
	for skipped := 0; ; skipped++ {
		if err := a.readHeader(c); err != nil {
			return a.fail(err)
		}
		e := a.check(c)
		if e == nil {
			return nil
		}
		if e.Code != corianderwing.ResponseMismatch || skipped >= c.MaxForeignResponses || !a.skipForeign() {
			a.Discard()
			return e
		}
	}
}

// skipForeign reads an answer to another request to its end. It reports whether
// another answer can follow.
func (a *Response) skipForeign() bool {
	if a.Close || a.isCloseDelimited() {
		return false
	}
	_, err := io.Copy(io.Discard, a.Body)
	return err == nil
}

// bufferSmallBody waits for the whole body of a bufferSmallBody answer. If it ends early, nothing
// has been passed on yet, and the request may be tried again.
func (a *Response) bufferSmallBody() *corianderwing.Error {
	n := a.ContentLength
	if n <= 0 || n > int64(a.conn.br.Size()) || a.Body == http.NoBody {
		return nil
	}
	_, err := a.conn.br.Peek(int(n))
	if err == nil {
		return nil
	}
	a.Discard()
	if a.ctx.Err() != nil {
		return ContextError(a.ctx, corianderwing.ExecutionUnknown)
	}
	return corianderwing.Errorf(corianderwing.ResponseTruncated, "answer of %d bytes from %s: %v", n, a.conn.pool.Addr, err)
}

// hasResponse reports whether the peer sent an answer although it did not read
// the whole request.
func hasResponse(cn *conn) bool {
	cn.readLimit = maxResponseHeader
	_, err := cn.br.Peek(1)
	return err == nil
}

// maxInlineBody is the largest body that is written before the answer is read.
// A larger one is written by a goroutine, because the peer may answer early
// and stop reading.
const maxInlineBody = 32 << 10

func (a *Response) writeRequest(c Call) error {
	bw := a.conn.bw
	var out io.Writer = a.conn
	if c.WrapWriter != nil {
		out = c.WrapWriter(out)
	}
	bw.Reset(out)
	bw.WriteString(c.Method)
	bw.WriteByte(' ')
	bw.WriteString(c.URI)
	bw.WriteString(" HTTP/1.1\r\nHost: ")
	bw.WriteString(c.Host)
	bw.WriteString("\r\n")
	// Names and values come from a parsed header, so they hold no line ends.
	for _, list := range [2][]HeaderField{c.Header, c.AttemptHeader} {
		for _, f := range list {
			bw.WriteString(f.Name)
			bw.WriteString(": ")
			bw.WriteString(f.Value)
			bw.WriteString("\r\n")
		}
	}
	size := c.Body.contentLength()
	switch {
	case size < 0:
		bw.WriteString("Transfer-Encoding: chunked\r\n")
	case size > 0 || c.Method != http.MethodGet && c.Method != http.MethodHead:
		bw.WriteString("Content-Length: ")
		bw.WriteString(strconv.FormatInt(size, 10))
		bw.WriteString("\r\n")
	}
	if _, err := bw.WriteString("\r\n"); err != nil {
		return err
	}
	if size >= 0 && size <= maxInlineBody && c.Body.Rest == nil {
		bw.Write(c.Body.Prefix)
		return bw.Flush()
	}
	c.Body.RestSent = c.Body.Rest != nil
	a.writeDone = make(chan error, 1)
	go func() { a.writeDone <- a.writeLargeBody(c.Body, size) }()
	return nil
}

func (a *Response) writeLargeBody(b *Body, size int64) error {
	bw := a.conn.bw
	var err error
	if size < 0 {
		cw := httputil.NewChunkedWriter(bw)
		if _, err = b.WriteTo(cw); err == nil {
			err = cw.Close()
		}
		if err == nil {
			_, err = bw.WriteString("\r\n") // no trailer
		}
	} else {
		_, err = b.WriteTo(bw)
	}
	if err == nil {
		err = bw.Flush()
	}
	var e *corianderwing.Error
	if errors.As(err, &e) {
		// The peer must not take the part it got for the whole request.
		a.bodyErr.Store(e)
		a.conn.Close()
	}
	return err
}

// The parser of answers needs to know only whether a body follows.
var (
	getRequest  = http.Request{Method: http.MethodGet}
	headRequest = http.Request{Method: http.MethodHead}
)

// readHeader reads the final answer's header, past any 1xx ones.
func (a *Response) readHeader(c Call) error {
	req := &getRequest
	if c.Method == http.MethodHead {
		req = &headRequest
	}
	for {
		a.conn.readLimit = maxResponseHeader
		resp, err := http.ReadResponse(a.conn.br, req)
		if err != nil {
			return err
		}
		if resp.StatusCode >= 200 {
			a.conn.readLimit = -1
			a.Response = resp
			return nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return errors.New("peer switched protocols unasked")
		}
	}
}

// check rejects an answer that may belong to another request or whose end
// could not be recognised.
func (a *Response) check(c Call) *corianderwing.Error {
	if ids := a.Header[c.EchoHeader]; len(ids) != 1 || ids[0] != string(c.ID) {
		return corianderwing.Errorf(corianderwing.ResponseMismatch, "answer has request id %q, not %q", ids, c.ID)
	}
	if a.isCloseDelimited() && !c.AllowCloseDelimited {
		return corianderwing.Errorf(corianderwing.ResponseTruncated, "answer has neither length nor chunks, so its end cannot be recognised")
	}
	return nil
}

// isCloseDelimited reports whether only the end of the connection ends the answer.
func (a *Response) isCloseDelimited() bool {
	return a.ContentLength < 0 && len(a.TransferEncoding) == 0 && a.Body != http.NoBody
}

// fail ends the connection and returns what err means for the request.
func (a *Response) fail(err error) *corianderwing.Error {
	sent := a.conn.sent.Load() > 0
	a.Discard()
	if e := a.bodyErr.Load(); e != nil {
		return e
	}
	if !sent {
		return unsentError(a.ctx, err)
	}
	late := errors.Is(err, os.ErrDeadlineExceeded)
	if a.ctx.Err() != nil {
		e := ContextError(a.ctx, corianderwing.ExecutionUnknown)
		late = e.Code == corianderwing.DeadlineExceeded
		if !late {
			return e
		}
	}
	if late {
		return corianderwing.Errorf(corianderwing.FirstByteTimeout, "no answer from %s", a.conn.pool.Addr)
	}
	return corianderwing.Errorf(corianderwing.SendFailed, "connection to %s: %v", a.conn.pool.Addr, err)
}

// unsentError returns the error for a request of which nothing was sent.
func unsentError(ctx context.Context, err error) *corianderwing.Error {
	if ctx.Err() != nil {
		return ContextError(ctx, corianderwing.NotExecuted)
	}
	var e *corianderwing.Error
	if errors.As(err, &e) {
		return e
	}
	return corianderwing.Errorf(corianderwing.ConnectFailed, "%v", err)
}

// ContextError returns the error for a request whose context ended.
func ContextError(ctx context.Context, run corianderwing.Execution) *corianderwing.Error {
	code, text := corianderwing.CallerDisconnected, "the caller closed the connection"
	var e *corianderwing.Error
	if errors.As(context.Cause(ctx), &e) {
		code, text = e.Code, e.Detail
	}
	return &corianderwing.Error{Code: code, Execution: run, Detail: text}
}

// Read reads the answer's body. At its end the connection is free again.
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.Body.Read(b)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		a.finish()
	default:
		a.Discard()
	}
	return n, err
}

// finish gives the connection back after a complete exchange.
func (a *Response) finish() {
	if a.done {
		return
	}
	a.done = true
	clean := !a.Close && a.conn.br.Buffered() == 0
	if a.writeDone != nil {
		select {
		case err := <-a.writeDone:
			clean = clean && err == nil
			a.writeDone <- err
		default:
			clean = false // the peer answered before it had read the request
		}
	}
	// A cancelled connection is being closed by the function that stop
	// reports as started.
	if !a.stop() || !clean {
		a.conn.Close()
		return
	}
	a.conn.pool.put(a.conn, a.Header.Get("Keep-Alive"))
}

// Discard closes the connection if the exchange is not over.
func (a *Response) Discard() {
	if a.done {
		return
	}
	a.done = true
	a.stop()
	a.conn.Close()
}

// Drain reads a small answer to its end, so that the connection can be used
// again, and discards any other.
func (a *Response) Drain() {
	if a.ContentLength >= 0 && a.ContentLength <= int64(a.conn.br.Size()) {
		io.Copy(io.Discard, a)
	}
	a.Discard()
}
