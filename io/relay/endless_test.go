package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// flood writes a prefix and then a text until the connection is closed. It returns
// the number of bytes that the caller took.
func flood(c net.Conn, prefix, text string) (n int) {
	n, err := io.WriteString(c, prefix)
	for err == nil {
		var k int
		k, err = io.WriteString(c, text)
		n += k
	}
	return n
}

// callFlooding returns a call to an upstream that floods its caller, and the channel
// that receives the number of bytes that the caller took.
func callFlooding(prefix, text string) (call Call, taken chan int) {
	taken = make(chan int, 1)
	call = newCall(newPipePool(func(conn net.Conn, br *bufio.Reader) {
		http.ReadRequest(br)
		taken <- flood(conn, prefix, text)
	}), "1")
	call.EchoHeader = "Echo"
	return call, taken
}

// Guards against an upstream that sends bytes without end, in a header, in interim
// responses, or in the body of a response to another request: the attempt must end
// with an error after a bounded number of bytes, and the connection must be closed.
func TestEndlessHead(t *testing.T) {
	for name, c := range map[string]struct{ prefix, text string }{
		"garbage":          {"", strings.Repeat("x", 1000)},
		"header line":      {"HTTP/1.1 200 OK\r\nX-A: ", strings.Repeat("x", 1000)},
		"header lines":     {"HTTP/1.1 200 OK\r\n", "X-A: " + strings.Repeat("x", 1000) + "\r\n"},
		"short lines":      {"HTTP/1.1 200 OK\r\n", "a:\n"},
		"interim":          {"", "HTTP/1.1 100 Continue\r\nX-A: " + strings.Repeat("x", 1000) + "\r\n\r\n"},
		"foreign body":     {"HTTP/1.1 200 OK\r\nEcho: other\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + strings.Repeat("x", 1000) + "\r\n"},
		"foreign trailers": {"HTTP/1.1 200 OK\r\nEcho: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: " + strings.Repeat("x", 1000) + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				call, taken := callFlooding(c.prefix, c.text)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				_, err := Send(ctx, call)
				is.True(err != nil)
				is.Equal(err.Execution, corianderwing.ExecutionUnknown)
				is.True(<-taken <= maxForeignBody+2*maxResponseHeader)
				is.Equal(call.Conns.Idle(), 0)
			})
		})
	}
}

// Guards against a response body without end: it is forwarded while it arrives, and
// ends with the request, with an error, so that it does not look complete.
func TestEndlessBody(t *testing.T) {
	for _, framing := range []string{"", "Transfer-Encoding: chunked\r\n"} {
		t.Run(framing, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				closed := make(chan struct{}) // the peer has noticed the end of the connection
				h := newPipePool(func(conn net.Conn, br *bufio.Reader) {
					defer close(closed)
					http.ReadRequest(br)
					text := strings.Repeat("x", 1000)
					if framing != "" {
						text = "3e8\r\n" + text + "\r\n"
					}
					io.WriteString(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nEcho: 1\r\n%s\r\n", framing))
					for {
						time.Sleep(time.Millisecond)
						if _, err := io.WriteString(conn, text); err != nil {
							return
						}
					}
				})
				call := newCall(h, "1")
				call.EchoHeader, call.AllowCloseDelimited = "Echo", true
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				start := time.Now()
				resp, e := Send(ctx, call)
				is.True(e == nil)
				n, err := io.Copy(io.Discard, resp)
				is.True(n > 1000)
				is.True(err != nil)
				is.Equal(time.Since(start), 2*time.Second)
				<-closed
				is.Equal(call.Conns.Idle(), 0)
			})
		})
	}
}

// Guards against an upstream whose response to this request never gets to its end, in
// a part that is no body: the response must end with an error after a bounded number
// of bytes beside those of the body.
func TestEndlessFraming(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nEcho: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ prefix, text string }{
		"chunk size":       {chunked, "0"},
		"chunk extension":  {chunked + "3;", strings.Repeat("x", 1000)},
		"chunk extensions": {chunked, "1;" + strings.Repeat("x", 100) + "\r\nx\r\n"},
		"garbage":          {chunked, strings.Repeat("x", 1000)},
		"trailer line":     {chunked + "0\r\nX-A: ", strings.Repeat("x", 1000)},
		"trailer lines":    {chunked + "0\r\n", "X-A: " + strings.Repeat("x", 1000) + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				call, taken := callFlooding(c.prefix, c.text)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				resp, e := Send(ctx, call)
				is.True(e == nil)
				n, err := io.Copy(io.Discard, resp)
				is.True(err != nil)
				is.True(<-taken-int(n) <= maxResponseHeader)
				is.Equal(call.Conns.Idle(), 0)
			})
		})
	}
}

// Guards against bytes without end after a complete response: they belong to no
// request, so the connection is closed in place of being used again.
func TestEndlessBytesAfterResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		taken := make(chan int, 2)
		h := newPipePool(func(conn net.Conn, br *bufio.Reader) {
			http.ReadRequest(br)
			taken <- flood(conn, "HTTP/1.1 200 OK\r\nEcho: 1\r\nContent-Length: 2\r\n\r\nok", strings.Repeat("x", 1000))
		})
		call := newCall(h, "1")
		call.EchoHeader = "Echo"
		resp, e := Send(t.Context(), call)
		is.True(e == nil)
		body, err := io.ReadAll(resp)
		is.NoErr(err)
		is.Equal(string(body), "ok")
		h.Close() // the connection may not have been found out yet
		is.True(<-taken <= 2*4096)
	})
}
