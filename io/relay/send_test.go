package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// newPipePool returns a ConnPool whose connections are in-memory pipes to serve.
func newPipePool(serve func(c net.Conn, br *bufio.Reader)) *ConnPool {
	return &ConnPool{Addr: "peer", MaxIdle: 4, Dial: func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			serve(server, bufio.NewReader(server))
		}()
		return client, nil
	}}
}

func newCall(h *ConnPool, id string) Call {
	return Call{
		Conns: h, Method: http.MethodGet, URI: "/", Host: "h", Body: NoBody,
		ID: corianderwing.RequestID(id), EchoHeader: "X-Id", FirstByteDeadline: time.Now().Add(time.Second),
	}
}

func writeResponse(w io.Writer, id, more, body string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s", id, len(body), more, body)
}

func readResult(t *testing.T, resp *Response, callErr *corianderwing.Error) string {
	t.Helper()
	if callErr != nil {
		return fmt.Sprint(uint16(callErr.Code))
	}
	b, err := io.ReadAll(resp)
	if err != nil {
		resp.Discard()
		return "cut"
	}
	return string(b)
}

// Guards against a second response to an earlier request, which arrives where the
// next response is expected. It must not reach the caller, and must not fail the
// request.
func TestForeignResponseIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newPipePool(func(c net.Conn, br *bufio.Reader) {
			for {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				writeResponse(c, "old", "", "foreign")
				writeResponse(c, "new", "", "own")
			}
		})
		c := newCall(h, "new")
		a, e := Send(t.Context(), c)
		is.Equal(readResult(t, a, e), "504") // crossed
		c.MaxForeignResponses = 1
		a, e = Send(t.Context(), c)
		is.Equal(readResult(t, a, e), "own")
		h.Reset()
	})
}

// Guards against an error that depends on which of two timers fires first: the
// deadline of an order is that of its first byte as well, and a silent upstream
// must be named either way.
func TestSilentPeerIsNamed(t *testing.T) {
	late := corianderwing.Errorf(corianderwing.DeadlineExceeded, "request deadline exceeded")
	for _, after := range []time.Duration{-time.Millisecond, 0, time.Millisecond} {
		for range 50 {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newPipePool(func(c net.Conn, br *bufio.Reader) { io.Copy(io.Discard, br) })
				ctx, cancel := context.WithCancelCause(t.Context())
				defer cancel(nil)
				c := newCall(h, "q")
				time.AfterFunc(time.Until(c.FirstByteDeadline)+after, func() { cancel(late) })
				_, err := Send(ctx, c)
				is.Equal(err.Code, corianderwing.FirstByteTimeout)
				is.Equal(err.Detail, "no answer from peer")
				is.Equal(err.Execution, corianderwing.ExecutionUnknown)
			})
		}
	}
}

// Guards against taking a response without a length for complete although a
// connection reset truncated it, and against refusing one that ended properly.
func TestCloseDelimitedResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is := is.New(t)
	is.NoErr(err)
	defer l.Close()
	var reset atomic.Bool
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			http.ReadRequest(bufio.NewReader(c))
			io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nbytes")
			if reset.Load() {
				c.(*net.TCPConn).SetLinger(0)
			}
			c.Close()
		}
	}()
	h := &ConnPool{Addr: l.Addr().String(), Dial: TCPDialer(nil), MaxIdle: 1}
	c := newCall(h, "a")
	a, e := Send(t.Context(), c)
	is.Equal(readResult(t, a, e), "503") // refused unless allowed
	c.AllowCloseDelimited, c.FirstByteDeadline = true, time.Now().Add(time.Minute)
	a, e = Send(t.Context(), c)
	is.Equal(readResult(t, a, e), "bytes")
	reset.Store(true)
	c.FirstByteDeadline = time.Now().Add(time.Minute)
	a, e = Send(t.Context(), c)
	got := readResult(t, a, e)
	is.True(got == "cut" || got == "501") // the reset may arrive before the data is read
}

// Guards against reusing connections that the peer is about to close.
func TestIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		dials := 0
		h := newPipePool(func(c net.Conn, br *bufio.Reader) {
			dials++
			for {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				writeResponse(c, "a", "Keep-Alive: timeout=5\r\n", "")
			}
		})
		get := func(recent time.Duration) int {
			c := newCall(h, "a")
			if recent > 0 {
				c.MinIdleSince = time.Now().Add(-recent)
			}
			a, e := Send(t.Context(), c)
			is.Equal(readResult(t, a, e), "")
			return dials
		}
		is.Equal(get(0), 1)
		time.Sleep(3 * time.Second)
		is.Equal(get(0), 1)
		is.Equal(get(time.Second), 1)
		time.Sleep(2 * time.Second)
		is.Equal(get(time.Second), 2) // idle longer than allowed
		h.CloseIdle(0)
		is.Equal(get(0), 3)
		time.Sleep(4100 * time.Millisecond)
		is.Equal(get(0), 4) // the peer announced to close it after 5 s
		h.Reset()
	})
}

// Guards against losing a request that the upstream is processing because its
// first-byte deadline was set before the instance began to stop.
func TestFirstByteDeadlineExtended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newPipePool(func(c net.Conn, br *bufio.Reader) {
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				time.Sleep(3 * time.Second)
				writeResponse(c, r.Header.Get("X-Id"), "", "done")
			}
		})
		send := func(id string, longer func() time.Time) string {
			c := newCall(h, id)
			c.AttemptHeader = []HeaderField{{"X-Id", id}}
			c.ExtendDeadline = longer
			a, err := Send(context.Background(), c)
			return readResult(t, a, err)
		}
		is.Equal(send("a", nil), "502")
		is.Equal(send("b", func() time.Time { return time.Time{} }), "502")
		start := time.Now()
		is.Equal(send("c", func() time.Time { return start.Add(4 * time.Second) }), "done")
		h.Reset()
		time.Sleep(3 * time.Second) // until the peer has sent all responses
	})
}
