package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a second copy of an earlier response that a caller gets as its own:
// where the next response is expected, something else comes first. The caller gets
// its own response or an error, never the other one, and after an error the
// connection is not used again.
func TestCopyBeforeResponse(t *testing.T) {
	const own = "HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 3\r\n\r\nown"
	for name, c := range map[string]struct {
		copy, id string
		want     string
	}{
		"other id":         {"HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 5\r\n\r\nother", "new", "own"},
		"no id":            {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", "new", "own"},
		"empty id":         {"HTTP/1.1 200 OK\r\nX-Id:\r\nContent-Length: 5\r\n\r\nother", "new", "own"},
		"two ids":          {"HTTP/1.1 200 OK\r\nX-Id: new\r\nX-Id: old\r\nContent-Length: 5\r\n\r\nother", "new", "own"},
		"joined ids":       {"HTTP/1.1 200 OK\r\nX-Id: new, old\r\nContent-Length: 5\r\n\r\nother", "new", "own"},
		"id in a trailer":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Id\r\n\r\n5\r\nother\r\n0\r\nX-Id: new\r\n\r\n", "new", "own"},
		"interim":          {"HTTP/1.1 103 Early Hints\r\nX-Id: new\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 5\r\n\r\nother", "new", "own"},
		"no content":       {"HTTP/1.1 204 No Content\r\nX-Id: old\r\n\r\n", "new", "own"},
		"of HEAD":          {"HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 500\r\n\r\n", "new", "504"},
		"without a length": {"HTTP/1.1 200 OK\r\nX-Id: old\r\n\r\nother", "new", "504"},
		"request has none": {"HTTP/1.1 200 OK\r\nX-Id:\r\nContent-Length: 5\r\n\r\nother", "", "502"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newPipePool(func(conn net.Conn, br *bufio.Reader) {
					for {
						if _, err := http.ReadRequest(br); err != nil {
							return
						}
						io.WriteString(conn, c.copy+own)
					}
				})
				call := newCall(h, c.id)
				call.MaxForeignResponses, call.AllowCloseDelimited = 2, true
				resp, err := Send(t.Context(), call)
				is.Equal(readResult(t, resp, err), c.want)
				is.Equal(h.Idle() == 1, c.want == "own")
				h.Reset()
			})
		})
	}
}

// Guards against a copy that arrives between the check of an idle connection and the
// next request on it.
func TestCopyAfterIdleCheck(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	answer := func(w io.Writer, r *http.Request) {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nContent-Length: 1\r\n\r\n%[1]s", r.Header.Get("X-Id"))
	}
	again := make(chan struct{}) // receives a value when the first response is to be sent again
	sent := make(chan struct{})  // receives a value when it was
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		br := bufio.NewReader(conn)
		first, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		answer(conn, first)
		<-again
		answer(conn, first)
		sent <- struct{}{}
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			answer(conn, r)
		}
	}()
	h := &ConnPool{Addr: l.Addr().String(), Dial: TCPDialer(nil), MaxIdle: 1}
	send := func(id string) string {
		c := newCall(h, id)
		c.AttemptHeader = []HeaderField{{"X-Id", id}}
		c.MaxForeignResponses, c.FirstByteDeadline = 2, time.Now().Add(time.Minute)
		resp, err := Send(t.Context(), c)
		return readResult(t, resp, err)
	}
	is.Equal(send("1"), "1")
	check := h.idle[0].isAlive
	h.idle[0].isAlive = func() bool {
		alive := check()
		again <- struct{}{}
		<-sent
		return alive
	}
	is.Equal(send("2"), "2")
	is.Equal(h.Idle(), 1) // the same connection
	h.idle[0].isAlive = check
	is.Equal(send("3"), "3")
	h.Reset()
}
