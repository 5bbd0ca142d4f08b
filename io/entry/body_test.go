package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/io/relay"
)

// chunked encodes n bytes in chunks, with or without the last chunk.
func chunked(n int, whole bool) string {
	s := fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n))
	if whole {
		s += "0\r\n\r\n"
	}
	return s
}

// Guards against request bodies that are changed in transit, both buffered ones
// and streamed ones.
func TestRequestBodies(t *testing.T) {
	bubble(t, func(w *fixture) {
		is := is.New(w.t)
		a, b := w.instance("a", "d1"), w.instance("b", "d1")
		w.upstream("u1", "d1", 2, func(rw http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			is.NoErr(err)
			is.Equal(strings.Trim(string(body), "x"), "")
			fmt.Fprint(rw, len(body))
		})
		for _, n := range []int{1, 1000, relay.PrefixSize, relay.PrefixSize + 1, 5 * relay.PrefixSize} {
			for _, addr := range []string{"a:public", "b:public"} {
				const head = "POST /ws/svc/x HTTP/1.1\nHost: h\nX-Api-Key: good-key\n"
				g := w.send(addr, head+fmt.Sprintf("Content-Length: %d\n\n", n)+strings.Repeat("x", n))
				is.Equal(g.body, fmt.Sprint(n))
				g = w.send(addr, head+"Transfer-Encoding: chunked\n\n"+chunked(n, true))
				is.Equal(g.body, fmt.Sprint(n))
			}
		}
		w.close(a, b)
	})
}

// Guards against upstreams that accept a truncated or oversize body as
// complete, and against "not executed" for a request that an upstream received.
func TestTruncatedAndOversizeBodies(t *testing.T) {
	const head = "POST /ws/svc/x HTTP/1.1\r\nHost: h\r\nX-Api-Key: good-key\r\n"
	big := relay.PrefixSize + 1000
	cases := []struct {
		name, raw string
		code      corianderwing.Code
		run       corianderwing.Execution
	}{
		{"short", head + "Content-Length: 10\r\n\r\nabc", corianderwing.BodyTruncated, corianderwing.NotExecuted},
		{"short chunk", head + "Transfer-Encoding: chunked\r\n\r\na\r\nabc", corianderwing.BodyTruncated, corianderwing.NotExecuted},
		{"no last chunk", head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(10, false), corianderwing.BodyTruncated, corianderwing.NotExecuted},
		{"big short", head + fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*big) + strings.Repeat("x", big), corianderwing.BodyTruncated, corianderwing.ExecutionUnknown},
		{"big no last chunk", head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(big, false), corianderwing.BodyTruncated, corianderwing.ExecutionUnknown},
		{"oversize", head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(4*relay.PrefixSize, true), corianderwing.BodyTooLarge, corianderwing.ExecutionUnknown},
	}
	for _, c := range cases {
		bubble(t, func(w *fixture) {
			a := w.instance("a", "d1")
			w.route("ws", "svc", func(e *corianderwing.EffectiveSettings) { e.Body = 3 * relay.PrefixSize })
			var whole, seen atomic.Int32
			w.upstream("u1", "d1", 1, func(_ http.ResponseWriter, r *http.Request) {
				seen.Add(1)
				if _, err := io.Copy(io.Discard, r.Body); err == nil {
					whole.Add(1)
				}
			})
			conn, err := w.dial(context.Background(), "a:public")
			if err != nil {
				t.Fatal(err)
			}
			go io.Copy(io.Discard, conn)
			go func() {
				io.WriteString(conn, c.raw)
				conn.Close()
			}()
			time.Sleep(5 * time.Second)
			if whole.Load() != 0 || (seen.Load() > 0) != (c.run == corianderwing.ExecutionUnknown) {
				t.Errorf("%s: upstream received %d requests, %d of them complete", c.name, seen.Load(), whole.Load())
			}
			w.mu.Lock()
			defer w.close(a)
			defer w.mu.Unlock()
			if len(w.records) != 1 || w.records[0].Execution != c.run || w.records[0].Code != c.code && w.records[0].Code != corianderwing.CallerDisconnected {
				t.Errorf("%s: got records %+v, want code %d, run %s", c.name, w.records, c.code, c.run)
			}
		})
	}
}

// Guards against a response that is delayed until the request body has been
// read, when the upstream responds early and stops reading.
func TestEarlyResponse(t *testing.T) {
	bubble(t, func(w *fixture) {
		is := is.New(w.t)
		a := w.instance("a", "d1")
		stop := make(chan struct{})
		w.rawUpstream("u1", "d1", 1, func(c net.Conn, br *bufio.Reader) {
			if r, err := http.ReadRequest(br); err == nil {
				respond(c, r, "Content-Length: 2\r\n\r\nno")
				io.Copy(io.Discard, io.LimitReader(br, 10))
				<-stop // stops reading
			}
		})
		start := time.Now()
		g := w.send("a:public", fmt.Sprintf("POST /ws/svc/x HTTP/1.1\nHost: h\nX-Api-Key: good-key\nContent-Length: %d\n\n", 4*relay.PrefixSize)+strings.Repeat("x", 4*relay.PrefixSize))
		is.Equal(g.body, "no")
		is.Equal(time.Since(start), time.Duration(0))
		close(stop)
		w.close(a)
	})
}
