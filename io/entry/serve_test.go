package entry

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against a request path that does not bring a request and its answer
// through, alone and over a hand-over.
func TestServes(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, b := w.instance("a", "d1"), w.instance("b", "d1")
		w.upstream("u1", "d1", 2, func(rw http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			io.WriteString(rw, r.Method+" "+r.RequestURI+" "+string(body))
		})
		for _, addr := range []string{"a:public", "b:public"} {
			g := w.ask(addr, "POST /ws/svc/x%20y?q=1 HTTP/1.1\nHost: h\nX-Api-Key: good-key\nContent-Length: 2\n\nhi")
			is.NoErr(g.err)
			is.Equal(g.body, "POST /x%20y?q=1 hi")
			is.Equal(g.code, "100")
			is.Equal(g.run, "yes")
		}
		w.close(a, b)
	})
}
