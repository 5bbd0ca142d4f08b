package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// Guards against a planned stop that interrupts a request, or that completes
// while callers still use cached lookup responses that list the instance.
func TestCloseCompletesRequests(t *testing.T) {
	bubble(t, func(w *fixture) {
		is := is.New(w.t)
		a, b := w.instance("a", "d1"), w.instance("b", "d1")
		w.upstream("u1", "d1", 4, func(rw http.ResponseWriter, _ *http.Request) {
			time.Sleep(time.Second)
			io.WriteString(rw, "done")
		})
		w.route("ws", "long", func(e *corianderwing.EffectiveSettings) { e.Timeout = 60_000 })
		slow := make(chan struct{})
		w.upstream("u2", "d2", 4, func(rw http.ResponseWriter, _ *http.Request) {
			<-slow
			io.WriteString(rw, "slow")
		})
		c := w.instance("c", "d2")
		is.True(strings.Contains(w.send("a:public", "GET /-/lookup HTTP/1.1\nHost: h\n\n").body, `"a"`))
		results := make(chan result)
		go func() {
			results <- w.send("c:public", "GET /ws/long/x HTTP/1.1\nHost: h\nX-Api-Key: good-key\n\n")
		}()
		synctest.Wait()
		start := time.Now()
		stopped := make(chan time.Duration, 2)
		go func() { a.Close(context.Background()); stopped <- time.Since(start) }()
		go func() { c.Close(context.Background()); stopped <- time.Since(start) }()
		synctest.Wait()
		is.True(!strings.Contains(w.send("a:public", "GET /-/lookup HTTP/1.1\nHost: h\n\n").body, `"a"`))
		for time.Since(start) < 5*time.Second {
			g := w.get("/ws/svc/x") // from callers with cached lookup responses
			is.Equal(g.code+g.body, "100done")
			is.True(!g.close)
		}
		time.Sleep(1500 * time.Millisecond)
		is.Equal(<-stopped, 6*time.Second) // a: lookup TTL plus propagation delay
		is.Equal(len(stopped), 0)          // c still has a request in progress
		is.True(w.send("c:public", "GET /-/health HTTP/1.1\nHost: h\n\n").close)
		close(slow)
		is.Equal((<-results).body, "slow")
		is.True(<-stopped >= 6*time.Second)
		w.close(b)
	})
}

// Guards against lookup responses that may be cached for longer than a stopping
// instance serves, and that prefer a remote or draining instance.
func TestLookup(t *testing.T) {
	bubble(t, func(w *fixture) {
		is := is.New(w.t)
		time.Sleep(300 * time.Millisecond) // not on a whole second
		a, b := w.instance("a", "d1"), w.instance("b", "d2")
		w.instances = append(w.instances, corianderwing.Instance{ID: "z", Domain: "d1", Phase: corianderwing.Draining})
		g := w.send("a:public", "GET /-/lookup?workspace=ws HTTP/1.1\nHost: h\n\n")
		var ad LookupResponse
		is.NoErr(json.Unmarshal([]byte(g.body), &ad))
		is.Equal(ad.Preferred, []Address{{ID: "a", Addr: "a:public", Domain: "d1"}})
		is.Equal(ad.Alternates, []Address{{ID: "b", Addr: "b:public", Domain: "d2"}})
		until, err := time.Parse(time.RFC3339, ad.ExpiresAt)
		is.NoErr(err)
		is.True(until.After(time.Now()) && !until.After(time.Now().Add(5*time.Second)))
		is.Equal(g.header.Get("Cache-Control"), "max-age=4")
		is.Equal(w.send("a:public", "GET /-/lookup?workspace=none HTTP/1.1\nHost: h\n\n").code, "201")
		w.close(a, b)
	})
}

// Guards against announcements that would send requests to an address that is
// not an upstream of this failure domain.
func TestAnnounce(t *testing.T) {
	bubble(t, func(w *fixture) {
		is := is.New(w.t)
		a := w.instance("a", "d1")
		const good = `{"id":"u1","pool":"pool","version":"v1","addr":"10.0.0.1:80","slots":2,"phase":"ready"}`
		for change, status := range map[string]int{
			"":                              http.StatusNoContent,
			`"u1"→"U 1"`:                    http.StatusBadRequest,
			`"pool":"pool"→"pool":""`:       http.StatusBadRequest,
			`10.0.0.1:80→evil.example:80`:   http.StatusBadRequest,
			`"slots":2→"slots":0`:           http.StatusBadRequest,
			`"slots":2→"domain":"d2"`:       http.StatusBadRequest,
			`"phase":"ready"→"phase":"any"`: http.StatusBadRequest,
			`}→`:                            http.StatusBadRequest,
		} {
			body := good
			if from, to, ok := strings.Cut(change, "→"); ok {
				body = strings.Replace(good, from, to, 1)
			}
			g := w.send("a:public", fmt.Sprintf("POST /-/announce HTTP/1.1\nHost: h\nContent-Length: %d\n\n%s", len(body), body))
			is.Equal(g.status, status)
		}
		is.Equal(len(w.upstreams["d1"]), 1)
		is.Equal(w.send("a:public", "GET /-/announce HTTP/1.1\nHost: h\n\n").code, "208")
		w.close(a)
	})
}

// Guards against requests that fail with an owner that is gone or frozen
// although another failure domain could serve them.
func TestOwnerFailure(t *testing.T) {
	bubble(t, func(w *fixture) {
		is := is.New(w.t)
		a, b := w.instance("a", "d1"), w.instance("b", "d2")
		good := func(http.ResponseWriter, *http.Request) {}
		w.route("ws", "order", atMostOnce)
		w.upstream("u1", "d1", 2, good)
		w.upstream("u2", "d2", 2, good)
		is.Equal(w.get("/ws/svc/x").code, "100")
		w.mu.Lock()
		w.owners["d1"] = corianderwing.Instance{ID: "x", Domain: "d1", InternalAddr: "x:inner"}
		w.mu.Unlock()
		time.Sleep(time.Second)
		g := w.send("a:public", post("/ws/order/x", "")) // connection refused: not executed
		is.Equal(g.code, "100")
		frozen := w.listen("x:inner")
		time.Sleep(2 * time.Second) // until the owner is no longer suspect
		dialled := time.Now()
		g = w.send("a:public", post("/ws/order/x", "")) // the dial gets no response: not executed
		is.Equal(g.code, "100")
		is.Equal(time.Since(dialled), time.Second)
		time.Sleep(2 * time.Second)
		conns := make(chan io.Closer, 9)
		go func() {
			for {
				c, err := frozen.Accept()
				if err != nil {
					return
				}
				conns <- c
				go io.Copy(io.Discard, c)
			}
		}()
		start := time.Now()
		is.Equal(w.get("/ws/svc/x").code, "100")
		is.Equal(time.Since(start), 1500*time.Millisecond)
		is.Equal(w.get("/ws/svc/x").code, "100") // the owner is avoided while suspect
		is.Equal(time.Since(start), 1500*time.Millisecond)
		time.Sleep(2 * time.Second)
		g = w.send("a:public", post("/ws/order/x", ""))
		is.Equal(g.code+g.run, "502unknown")
		frozen.Close()
		for len(conns) > 0 {
			(<-conns).Close()
		}
		w.close(a, b)
	})
}

// Guards against forwarded requests from outside the fleet, and against
// forwarding loops.
func TestInternalRejectsInvalidRequests(t *testing.T) {
	bubble(t, func(w *fixture) {
		is := is.New(w.t)
		a := w.instance("a", "d1")
		head := "GET /x HTTP/1.1\nHost: h\nCw-Left: 1000\nCw-Tries: 2\nCw-Wait: 100\nCw-Pool: pool\nCw-Request: r\nCw-Hops: %d\nCw-Token: %s\n\n"
		is.Equal(w.send("a:inner", fmt.Sprintf(head, 1, "wrong")).code, "209")
		is.Equal(w.send("a:inner", fmt.Sprintf(head, 2, a.fleetToken)).code, "405")
		is.Equal(w.send("a:inner", fmt.Sprintf(head, 1, a.fleetToken)).code, "402") // no upstream
		w.mu.Lock()
		w.owners["d1"] = corianderwing.Instance{ID: "b"}
		w.mu.Unlock()
		is.Equal(w.send("a:inner", fmt.Sprintf(head, 1, a.fleetToken)).code, "405")
		w.close(a)
	})
}
