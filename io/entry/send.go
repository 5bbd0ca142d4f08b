package entry

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

var errBigAnswer = errors.New("answer header is over its limit")

// call is one attempt of a request over one connection.
type call struct {
	host   *host
	method string
	uri    string
	name   string // Host header
	header []field
	extra  []field // headers of this attempt
	body   *body
	id     corianderwing.RequestID
	fresh  bool      // use a new connection
	first  time.Time // deadline of the first byte of the answer
	pace   *pacer    // pays for what is sent; nil within a region
}

// answer is the answer to a call. Its reader must be read to the end, or
// closed.
type answer struct {
	*http.Response
	ctx     context.Context
	conn    *conn
	stop    func() bool
	written chan error                          // result of writing a large body; nil if all is written
	caller  atomic.Pointer[corianderwing.Error] // fault of the caller's body
	over    bool
}

// send makes one attempt. It uses the connection for nothing else until the
// answer is complete, and never repeats the request. The returned error tells
// whether the request may have reached the peer.
func send(ctx context.Context, c call) (*answer, *corianderwing.Error) {
	cn, err := c.host.get(ctx, c.fresh, c.first)
	if err != nil {
		return nil, unsent(ctx, err)
	}
	// Closing the connection on cancellation ends every read and write on it,
	// and tells the peer to stop.
	a := &answer{ctx: ctx, conn: cn}
	a.stop = context.AfterFunc(ctx, func() { cn.Close() })
	// Setting a deadline fails only on a closed connection, which the next
	// read or write reports; what was received before can still be read.
	cn.SetReadDeadline(c.first)
	if err := a.write(c); err != nil && !answered(cn) {
		return nil, a.fail(err)
	}
	if err := a.readHeader(c); err != nil {
		return nil, a.fail(err)
	}
	if e := a.check(c); e != nil {
		a.discard()
		return nil, e
	}
	cn.SetReadDeadline(time.Time{})
	if e := a.small(); e != nil {
		return nil, e
	}
	return a, nil
}

// small waits for the whole body of a small answer. If it ends early, nothing
// has been passed on yet, and the request may be tried again.
func (a *answer) small() *corianderwing.Error {
	n := a.ContentLength
	if n <= 0 || n > int64(a.conn.br.Size()) || a.Body == http.NoBody {
		return nil
	}
	_, err := a.conn.br.Peek(int(n))
	if err == nil {
		return nil
	}
	a.discard()
	if a.ctx.Err() != nil {
		return ended(a.ctx, corianderwing.RanUnknown)
	}
	return corianderwing.Errorf(corianderwing.ShortBody, "answer of %d bytes from %s: %v", n, a.conn.host.addr, err)
}

// answered reports whether the peer sent an answer although it did not read
// the whole request.
func answered(cn *conn) bool {
	cn.limit = answerHeaderLimit
	_, err := cn.br.Peek(1)
	return err == nil
}

// inlineBody is the largest body that is written before the answer is read.
// A larger one is written by a goroutine, because the peer may answer early
// and stop reading.
const inlineBody = 32 << 10

func (a *answer) write(c call) error {
	bw := a.conn.bw
	bw.Reset(c.pace.out(a.conn))
	bw.WriteString(c.method)
	bw.WriteByte(' ')
	bw.WriteString(c.uri)
	bw.WriteString(" HTTP/1.1\r\nHost: ")
	bw.WriteString(c.name)
	bw.WriteString("\r\n")
	// Names and values come from a parsed header, so they hold no line ends.
	for _, list := range [2][]field{c.header, c.extra} {
		for _, f := range list {
			bw.WriteString(f.name)
			bw.WriteString(": ")
			bw.WriteString(f.value)
			bw.WriteString("\r\n")
		}
	}
	size := c.body.size()
	switch {
	case size < 0:
		bw.WriteString("Transfer-Encoding: chunked\r\n")
	case size > 0 || c.method != http.MethodGet && c.method != http.MethodHead:
		bw.WriteString("Content-Length: ")
		bw.WriteString(strconv.FormatInt(size, 10))
		bw.WriteString("\r\n")
	}
	if _, err := bw.WriteString("\r\n"); err != nil {
		return err
	}
	if size >= 0 && size <= inlineBody && c.body.rest == nil {
		bw.Write(c.body.head)
		return bw.Flush()
	}
	c.body.used = c.body.rest != nil
	a.written = make(chan error, 1)
	go func() { a.written <- a.writeBody(c.body, size) }()
	return nil
}

func (a *answer) writeBody(b *body, size int64) error {
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
		a.caller.Store(e)
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
func (a *answer) readHeader(c call) error {
	req := &getRequest
	if c.method == http.MethodHead {
		req = &headRequest
	}
	for {
		a.conn.limit = answerHeaderLimit
		resp, err := http.ReadResponse(a.conn.br, req)
		if err != nil {
			return err
		}
		if resp.StatusCode >= 200 {
			a.conn.limit = -1
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
func (a *answer) check(c call) *corianderwing.Error {
	if ids := a.Header["Cw-Request"]; len(ids) != 1 || ids[0] != string(c.id) {
		return corianderwing.Errorf(corianderwing.Crossed, "answer has request id %q, not %q", ids, c.id)
	}
	if a.ContentLength < 0 && len(a.TransferEncoding) == 0 && a.Body != http.NoBody {
		return corianderwing.Errorf(corianderwing.ShortBody, "answer has neither length nor chunks, so its end cannot be recognised")
	}
	return nil
}

// fail ends the connection and returns what err means for the request.
func (a *answer) fail(err error) *corianderwing.Error {
	sent := a.conn.sent.Load() > 0
	a.discard()
	if e := a.caller.Load(); e != nil {
		return e
	}
	if !sent {
		return unsent(a.ctx, err)
	}
	late := errors.Is(err, os.ErrDeadlineExceeded)
	if a.ctx.Err() != nil {
		e := ended(a.ctx, corianderwing.RanUnknown)
		late = e.Code == corianderwing.Deadline
		if !late {
			return e
		}
	}
	if late {
		return corianderwing.Errorf(corianderwing.FirstByte, "no answer from %s", a.conn.host.addr)
	}
	return corianderwing.Errorf(corianderwing.SendFail, "connection to %s: %v", a.conn.host.addr, err)
}

// unsent returns the error for a request of which nothing was sent.
func unsent(ctx context.Context, err error) *corianderwing.Error {
	if ctx.Err() != nil {
		return ended(ctx, corianderwing.RanNo)
	}
	var e *corianderwing.Error
	if errors.As(err, &e) {
		return e
	}
	return corianderwing.Errorf(corianderwing.ConnFail, "%v", err)
}

// ended returns the error for a request whose context ended.
func ended(ctx context.Context, run corianderwing.Ran) *corianderwing.Error {
	code, text := corianderwing.CallerGone, "the caller closed the connection"
	var e *corianderwing.Error
	if errors.As(context.Cause(ctx), &e) {
		code, text = e.Code, e.Detail
	}
	return &corianderwing.Error{Code: code, Run: run, Detail: text}
}

// Read reads the answer's body. At its end the connection is free again.
func (a *answer) Read(b []byte) (int, error) {
	n, err := a.Body.Read(b)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		a.finish()
	default:
		a.discard()
	}
	return n, err
}

// finish gives the connection back after a complete exchange.
func (a *answer) finish() {
	if a.over {
		return
	}
	a.over = true
	clean := !a.Close && a.conn.br.Buffered() == 0
	if a.written != nil {
		select {
		case err := <-a.written:
			clean = clean && err == nil
			a.written <- err
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
	a.conn.host.put(a.conn)
}

// discard closes the connection if the exchange is not over.
func (a *answer) discard() {
	if a.over {
		return
	}
	a.over = true
	a.stop()
	a.conn.Close()
}

// drain reads a small answer to its end, so that the connection can be used
// again, and discards any other.
func (a *answer) drain() {
	if a.ContentLength >= 0 && a.ContentLength <= int64(a.conn.br.Size()) {
		io.Copy(io.Discard, a)
	}
	a.discard()
}
