package entry

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// Guards against requests and responses that are not forwarded correctly, both
// direct and through another instance.
func TestForwardsRequestAndResponse(t *testing.T) {
	bubble(t, func(w *fixture) {
		is := is.New(w.t)
		a, b := w.instance("a", "d1"), w.instance("b", "d1")
		w.upstream("u1", "d1", 2, func(rw http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			io.WriteString(rw, r.Method+" "+r.RequestURI+" "+string(body))
		})
		for _, addr := range []string{"a:public", "b:public"} {
			g := w.send(addr, "POST /ws/svc/x%20y?q=1 HTTP/1.1\nHost: h\nX-Api-Key: good-key\nContent-Length: 2\n\nhi")
			is.NoErr(g.err)
			is.Equal(g.body, "POST /x%20y?q=1 hi")
			is.Equal(g.code, "100")
			is.Equal(g.run, "yes")
		}
		g := w.send("a:public", "GET /-/metrics HTTP/1.1\nHost: h\n\n")
		is.True(strings.Contains(g.body, "counter code.ok\n  count:               1\n"))
		is.True(strings.Contains(g.body, "histogram latency.ws.normal\n"))
		w.close(a, b)
	})
}

// Guards against a slow response without a record, or with a record that does
// not show where the time was spent.
func TestSlowResponseIsRecorded(t *testing.T) {
	bubble(t, func(w *fixture) {
		is := is.New(w.t)
		a, b := w.instance("a", "d1"), w.instance("b", "d1")
		w.upstream("u1", "d1", 1, func(http.ResponseWriter, *http.Request) { time.Sleep(400 * time.Millisecond) })
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() { is.Equal(w.get("/ws/svc/x").code, "100") })
		}
		wg.Wait()
		w.close(a, b)
		is.Equal(len(w.records), 1) // the request that waited for the other one
		r := w.records[0]
		is.Equal(r.Instance, corianderwing.InstanceID("a"))
		is.Equal(r.Total, corianderwing.Millis(800))
		is.Equal(r.Revision, corianderwing.Revision(7))
		is.Equal(r.Attempts, []corianderwing.Attempt{{
			Upstream: "u1", Version: "v1", Owner: "b", Code: corianderwing.OK, Wait: 400, FirstByte: 400,
		}})
	})
}
