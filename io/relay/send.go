// Package relay makes single attempts of HTTP/1.1 requests over connections that it
// manages itself. It never repeats a request, reports whether the peer may have run
// it, and accepts only a response that echoes the request ID.
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

var errHeaderTooLarge = errors.New("response header exceeds the limit")

// HeaderField is one header line. Slices of fields are cheaper to build and to write
// than maps.
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
	AttemptHeader     []HeaderField // header lines specific to this attempt
	Body              *Body
	ID                corianderwing.RequestID
	EchoHeader        string    // canonical name of the header in which the peer echoes ID
	NewConn           bool      // do not reuse a connection
	MinIdleSince      time.Time // do not reuse a connection that became idle earlier; zero for any
	FirstByteDeadline time.Time // deadline for the first byte of the response
	// ExtendDeadline is called when FirstByteDeadline has passed without a byte. It
	// returns a later deadline, or the zero time to abandon the attempt. Optional.
	ExtendDeadline func() time.Time

	// MaxForeignResponses is the number of responses to other requests that are
	// skipped before the one to this request. A peer that responds to a request twice
	// sends the second response where the next one is expected.
	MaxForeignResponses int
	// AllowCloseDelimited accepts a response without a length, which is delimited by
	// the close of its connection. A connection reset still fails it.
	AllowCloseDelimited bool
	// Hooks are called during the attempt. Optional.
	Hooks Hooks
	// WrapWriter wraps the connection for writing, for example to pace it. Optional.
	WrapWriter func(io.Writer) io.Writer
}

// Hooks are called during an attempt.
type Hooks interface {
	// CheckSend is called when a connection is open, immediately before the first
	// byte of the request is sent. An error abandons the attempt.
	CheckSend() *corianderwing.Error
	// ReceivedHeader is called with the header of the response, before its body is
	// read.
	ReceivedHeader(status int, h http.Header)
}

// Response is the response to a Call. Its body must be read to the end with Read, or
// closed with Discard.
type Response struct {
	*http.Response
	DialTime time.Duration // time taken to open the connection; 0 if one was reused

	ctx       context.Context
	conn      *conn
	stop      func() bool
	writeDone chan error                          // receives the result of writing a large body; nil for others
	bodyErr   atomic.Pointer[corianderwing.Error] // error of the caller's side while the body was sent
	writeErr  error                               // of a body that was written before the response was read
	done      bool
}

// Send makes one attempt. The connection is not used for anything else until the
// response is complete, and the request is never repeated. The returned error tells
// whether the request may have reached the peer.
func Send(ctx context.Context, c Call) (*Response, *corianderwing.Error) {
	cn, dial, err := c.Conns.get(ctx, c)
	if err != nil {
		return nil, unsentError(ctx, err)
	}
	if c.Hooks != nil {
		if e := c.Hooks.CheckSend(); e != nil {
			c.Conns.putUnused(cn)
			return nil, e
		}
	}
	// Closing the connection on cancellation unblocks every read and write on it, and
	// signals the peer to stop.
	r := &Response{ctx: ctx, conn: cn, DialTime: dial}
	r.stop = context.AfterFunc(ctx, func() { cn.Close() })
	// Setting a deadline fails only on a closed connection, which the next read or
	// write reports. Data received before can still be read.
	cn.SetReadDeadline(c.FirstByteDeadline)
	if r.writeErr = r.writeRequest(c); r.writeErr != nil && !hasResponse(cn) {
		return nil, r.fail(r.writeErr)
	}
	if err := r.awaitFirstByte(c); err != nil {
		return nil, r.fail(err)
	}
	if e := r.readMatching(c); e != nil {
		return nil, e
	}
	if c.Hooks != nil {
		c.Hooks.ReceivedHeader(r.StatusCode, r.Header)
	}
	cn.SetReadDeadline(time.Time{})
	if e := r.bufferSmallBody(); e != nil {
		return nil, e
	}
	return r, nil
}

// lateReadTimeout bounds the read of a response that the kernel has received.
const lateReadTimeout = 5 * time.Millisecond

// awaitFirstByte waits for the first byte of the response. A response that has arrived
// is read even if its deadline has passed: the process did not run meanwhile, and the
// upstream is not at fault.
func (r *Response) awaitFirstByte(c Call) error {
	r.conn.readLimit = maxResponseHeader
	for {
		_, err := r.conn.br.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if c.ExtendDeadline != nil {
			if later := c.ExtendDeadline(); later.After(time.Now()) {
				r.conn.SetReadDeadline(later)
				continue
			}
		}
		if r.conn.isAlive() {
			return err // nothing has arrived
		}
		r.conn.SetReadDeadline(time.Now().Add(lateReadTimeout))
		_, err = r.conn.br.Peek(1)
		return err
	}
}

// bufferSmallBody waits until the whole body of a small response is buffered. If the
// body is truncated, nothing has been forwarded yet, and the request may be retried.
func (r *Response) bufferSmallBody() *corianderwing.Error {
	n := r.ContentLength
	if n <= 0 || n > int64(r.conn.br.Size()) || r.Body == http.NoBody {
		return nil
	}
	_, err := r.conn.br.Peek(int(n))
	if err == nil {
		return nil
	}
	r.Discard()
	if r.ctx.Err() != nil {
		return ContextError(r.ctx, corianderwing.ExecutionUnknown)
	}
	return corianderwing.Errorf(corianderwing.ResponseTruncated, "reading response of %d bytes from %s: %v", n, r.conn.pool.Addr, err)
}

// hasResponse reports whether the peer sent a response although it did not read the
// whole request.
func hasResponse(cn *conn) bool {
	cn.readLimit = maxResponseHeader
	_, err := cn.br.Peek(1)
	return err == nil
}

// maxInlineBody is the size of the largest body that is written before the response
// is read. A larger one is written by a goroutine, because the peer may respond early
// and stop reading.
const maxInlineBody = 32 << 10

func (r *Response) writeRequest(c Call) error {
	bw := r.conn.bw
	var out io.Writer = r.conn
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
	// Names and values come from a parsed header, so they contain no line breaks.
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
	r.writeDone = make(chan error, 1)
	go func() { r.writeDone <- r.writeLargeBody(c.Body, size) }()
	return nil
}

func (r *Response) writeLargeBody(b *Body, size int64) error {
	bw := r.conn.bw
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
		// Closing the connection keeps the peer from taking the truncated body for
		// complete.
		r.bodyErr.Store(e)
		r.conn.Close()
	}
	return err
}

// fail closes the connection and returns the error of the request for err.
func (r *Response) fail(err error) *corianderwing.Error {
	r.Discard() // first, so that nothing is sent after the check below
	if e := r.bodyErr.Load(); e != nil {
		return e
	}
	if !r.conn.mayHaveSent() {
		return unsentError(r.ctx, err)
	}
	late := errors.Is(err, os.ErrDeadlineExceeded)
	if r.ctx.Err() != nil {
		e := ContextError(r.ctx, corianderwing.ExecutionUnknown)
		late = e.Code == corianderwing.DeadlineExceeded
		if !late {
			return e
		}
	}
	if late {
		return corianderwing.Errorf(corianderwing.FirstByteTimeout, "no answer from %s", r.conn.pool.Addr)
	}
	return corianderwing.Errorf(corianderwing.SendFailed, "connection to %s: %v", r.conn.pool.Addr, err)
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
	code, text := corianderwing.CallerDisconnected, "caller closed the connection"
	var e *corianderwing.Error
	if errors.As(context.Cause(ctx), &e) {
		code, text = e.Code, e.Detail
	}
	return &corianderwing.Error{Code: code, Execution: run, Detail: text}
}

// Read reads the response body. At its end the connection returns to the pool.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.Body.Read(b)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF) && r.isCloseDelimited() && r.wasReset():
		r.Discard()
		err = errReset
	case errors.Is(err, io.EOF) && hasMalformedName(r.Trailer):
		r.Discard()
		err = errMalformedName
	case errors.Is(err, io.EOF):
		r.finish()
	default:
		r.Discard()
	}
	return n, err
}

var errReset = errors.New("connection reset by peer before the end of the response")

// wasReset reports whether the end of the connection was, or may have been, a reset. The
// error of a reset is reported once, to a read or to a write: if the request was being
// written, the read sees only the end of the connection.
func (r *Response) wasReset() bool {
	if reset, known := r.conn.isReset(); known {
		return reset
	}
	if r.writeDone == nil {
		return r.writeErr != nil
	}
	select {
	case err := <-r.writeDone:
		r.writeDone <- err
		return err != nil
	default:
		return true // a write may get the error at any moment
	}
}

// finish returns the connection to the pool after a complete exchange, or closes it if
// it cannot be reused.
func (r *Response) finish() {
	if r.done {
		return
	}
	r.done = true
	clean := !r.Close && r.conn.br.Buffered() == 0
	if r.writeDone != nil {
		select {
		case err := <-r.writeDone:
			clean = clean && err == nil
			r.writeDone <- err
		default:
			clean = false // the peer responded before it read the whole request
		}
	}
	// If stop returns false, its function has started and closes the connection.
	if !r.stop() || !clean {
		r.conn.Close()
		return
	}
	r.conn.pool.put(r.conn, r.Header.Get("Keep-Alive"))
}

// Discard closes the connection unless the exchange is complete.
func (r *Response) Discard() {
	if r.done {
		return
	}
	r.done = true
	r.stop()
	r.conn.Close()
}

// Drain reads a small response to its end, so that the connection can be reused, and
// discards any other.
func (r *Response) Drain() {
	if r.ContentLength >= 0 && r.ContentLength <= int64(r.conn.br.Size()) {
		io.Copy(io.Discard, r)
	}
	r.Discard()
}
