package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

func post(path, more string) string {
	return "POST " + path + " HTTP/1.1\nHost: h\nX-Api-Key: good-key\n" + more + "Content-Length: 0\n\n"
}

func once(e *corianderwing.EffectiveSettings) { e.AtMostOnce = true }

// reply writes an answer with the request's id.
func respond(c net.Conn, r *http.Request, rest string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCw-Request: %s\r\n%s", r.Header.Get(hRequest), rest)
}

// Guards against callers that wait for a silent upstream until their deadline
// although another one is free, against orders that run twice there, and
// against a "not run" for requests that the silent upstream may have run.
func TestSilentUpstream(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a := w.instance("a", "d1")
		w.route("ws", "order", once)
		var runs atomic.Int32
		w.raw("u1", "d1", 4, func(c net.Conn, br *bufio.Reader) {
			http.ReadRequest(br)
			runs.Add(1)
			io.Copy(io.Discard, br)
		})
		start := time.Now()
		g := w.ask("a:public", post("/ws/order/x", ""))
		is.Equal(g.code+g.run, "502unknown")
		is.Equal(time.Since(start), 2*time.Second)
		is.Equal(runs.Load(), int32(1))
		w.upstream("u2", "d1", 1, func(http.ResponseWriter, *http.Request) {})
		for w.get("/ws/svc/x").code != "100" {
			is.True(time.Since(start) < 5*time.Second) // at most one more until the route's usual time is known
		}
		start = time.Now()
		for range 20 {
			is.Equal(w.get("/ws/svc/x").code, "100")
		}
		is.True(time.Since(start) <= 2*time.Second) // u1 is ejected after its third failure
		w.close(a)
	})
}

// Guards against open connections that go silent for good while new ones work:
// after one first-byte timeout no other old connection may be used.
func TestSilentConnections(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a := w.instance("a", "d1")
		var mute sync.Map // connections that were open when the fault began
		var open sync.Map
		w.raw("u1", "d1", 4, func(c net.Conn, br *bufio.Reader) {
			open.Store(c, true)
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				if _, ok := mute.Load(c); ok {
					continue
				}
				time.Sleep(10 * time.Millisecond)
				respond(c, r, "Content-Length: 0\r\n\r\n")
			}
		})
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() { is.Equal(w.get("/ws/svc/x").code, "100") })
		}
		wg.Wait()
		open.Range(func(c, _ any) bool { mute.Store(c, true); return true })
		start := time.Now()
		is.Equal(w.get("/ws/svc/x").code, "100")           // one timeout, then a new connection
		is.Equal(time.Since(start), 1010*time.Millisecond) // half of the route's time
		start = time.Now()
		for range 4 {
			is.Equal(w.get("/ws/svc/x").code, "100")
		}
		is.Equal(time.Since(start), 40*time.Millisecond)
		w.close(a)
	})
}

// Guards against an answer to another request that reaches the caller, and
// against further use of the connection that it came over.
func TestCrossedAnswer(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, b := w.instance("a", "d1"), w.instance("b", "d1")
		w.route("ws", "order", once)
		var closed atomic.Int32
		w.raw("u1", "d1", 1, func(c net.Conn, br *bufio.Reader) {
			http.ReadRequest(br)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nCw-Request: another\r\nContent-Length: 6\r\n\r\nsecret")
			br.ReadByte()
			closed.Add(1)
		})
		for i, addr := range []string{"a:public", "b:public"} {
			g := w.ask(addr, post("/ws/order/x", ""))
			is.Equal(g.code+g.run, "504unknown")
			is.True(!strings.Contains(g.body, "secret"))
			synctest.Wait()
			is.Equal(closed.Load(), int32(i+1))
		}
		w.close(a, b)
	})
}

// Guards against an incomplete answer that looks complete to the caller, alone
// and over a hand-over.
func TestShortAnswer(t *testing.T) {
	for name, rest := range map[string]string{
		"length":  "Content-Length: 10\r\n\r\nhello",
		"chunks":  "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"neither": "\r\nhello",
	} {
		bubble(t, func(w *world) {
			is := is.New(w.t)
			a, b := w.instance("a", "d1"), w.instance("b", "d1")
			w.raw("u1", "d1", 1, func(c net.Conn, br *bufio.Reader) {
				r, _ := http.ReadRequest(br)
				respond(c, r, rest)
			})
			for _, addr := range []string{"a:public", "b:public"} {
				g := w.ask(addr, "GET /ws/svc/x HTTP/1.1\nHost: h\nX-Api-Key: good-key\n\n")
				if g.err == nil && g.code+g.run != "503unknown" {
					t.Errorf("%s: incomplete answer was passed on as %+v", name, g)
				}
			}
			w.close(a, b)
			is.Equal(len(w.records), 2)
			for _, r := range w.records {
				is.Equal(r.Code, corianderwing.ResponseTruncated)
			}
		})
	}
}

// closer is an upstream that answers the first request of a connection, reads
// the second one, runs it, and closes without an answer.
func closer(runs *atomic.Int32) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		runs.Add(1)
		respond(c, r, "Content-Length: 0\r\n\r\n")
		if _, err := http.ReadRequest(br); err == nil {
			runs.Add(1)
		}
	}
}

// Guards against orders that run twice or have an unknown outcome because a
// connection ends between two requests. net/http's own client repeats such a
// request by itself; the forwarder never does, and uses a new connection for
// each order.
func TestOrderIsNotReplayed(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		w.route("ws", "order", once)
		a := w.instance("a", "d1")
		reusing := w.instance("b", "d2", func(o *options) { o.reuse = true })
		var runs [3]atomic.Int32
		w.raw("u1", "d1", 1, closer(&runs[0]))
		w.raw("u2", "d2", 1, closer(&runs[1]))
		w.raw("u3", "d3", 1, closer(&runs[2]))
		for range 4 {
			is.Equal(w.ask("a:public", post("/ws/order/x", "Idempotency-Key: "+fmt.Sprint(time.Now())+"\n")).code, "100")
			time.Sleep(time.Second)
		}
		is.Equal(runs[0].Load(), int32(4))
		is.Equal(w.ask("b:public", post("/ws/order/x", "")).code, "100")
		is.Equal(w.ask("b:public", post("/ws/order/x", "")).code, "501") // the mechanism is off
		is.Equal(runs[1].Load(), int32(2))
		tr := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return w.dial(ctx, "u3") }}
		for range 2 {
			r, _ := http.NewRequest(http.MethodPost, "http://u3/", nil)
			r.Header.Set("Idempotency-Key", "k")
			resp, err := tr.RoundTrip(r)
			is.NoErr(err)
			resp.Body.Close()
			synctest.Wait()
		}
		is.Equal(runs[2].Load(), int32(3)) // net/http ran two orders three times
		tr.CloseIdleConnections()
		w.close(a, reusing)
	})
}

// Guards against wrong "not run" and against retries of orders that may have
// run. Each case lists what the upstreams do, and the answer for an order.
func TestRetries(t *testing.T) {
	shed := func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(hRun, "no")
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
	fails := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	busy := func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusServiceUnavailable) }
	good := func(http.ResponseWriter, *http.Request) {}
	cases := []struct {
		name        string
		first       http.HandlerFunc // nil: no listener
		second      http.HandlerFunc
		order, read string
		runs        int32 // at both upstreams, for the order
	}{
		{"shed, good", shed, good, "100yes", "100yes", 2},
		{"gone, good", nil, good, "100yes", "100yes", 1},
		{"fails, good", fails, good, "501unknown", "100yes", 1},
		{"busy, good", busy, good, "100yes", "100yes", 1}, // the upstream's own answer
		{"shed, shed", shed, shed, "505no", "505no", 2},
		{"gone, gone", nil, nil, "500no", "500no", 0},
		{"shed, fails", shed, fails, "501unknown", "501unknown", 2},
	}
	for _, c := range cases {
		bubble(t, func(w *world) {
			is := is.New(w.t)
			w.route("ws", "order", once)
			a := w.instance("a", "d1")
			var runs atomic.Int32
			for i, h := range []http.HandlerFunc{c.first, c.second} {
				id := fmt.Sprint("u", i)
				if h == nil {
					w.announce(id, "d1", 1+4*(1-i)).Load = float64(i)
					continue
				}
				up := w.upstream(id, "d1", 1+4*(1-i), func(rw http.ResponseWriter, r *http.Request) {
					runs.Add(1)
					h(rw, r)
				})
				up.Load = float64(i) // the first one is chosen first
			}
			g := w.ask("a:public", post("/ws/order/x", ""))
			if g.code+g.run != c.order || runs.Load() != c.runs {
				t.Errorf("%s: order got %s%s after %d runs, want %s after %d", c.name, g.code, g.run, runs.Load(), c.order, c.runs)
			}
			time.Sleep(time.Minute) // observations decay
			g = w.get("/ws/svc/x")
			is.Equal(g.code+g.run, c.read)
			w.close(a)
		})
	}
}
