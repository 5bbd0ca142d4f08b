package gate

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// Guards against requests without an ID that run, although no response can be told to
// be theirs: the caller got an error, and other upstreams ran the request as well.
func TestRequestWithoutID(t *testing.T) {
	is := is.New(t)
	ran := 0
	s, _ := newOutcomeServer(t, func(w http.ResponseWriter, r *http.Request) {
		ran++
		w.Header()["X-Request-Id"] = r.Header["X-Request-Id"]
		io.WriteString(w, "done")
	})
	for _, id := range [][]string{nil, {""}} {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodGet, "/files/1", nil)
		r.Host = "shop.example"
		r.Header["X-Request-Id"] = id
		r.Header.Set("X-Key", "k-1")
		s.ServeHTTP(w, r)
		is.Equal(w.Code, http.StatusBadRequest)
	}
	is.Equal(ran, 0)
}
