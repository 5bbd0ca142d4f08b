package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a caller that gets no response and holds its connection for as long
// as it likes: it announces a body that does not arrive, and the request is rejected
// before the body is read.
func TestRejectionDoesNotWaitForBody(t *testing.T) {
	bubble(t, func(w *fixture) {
		is := is.New(w.t)
		a := w.instance("a", "d1")
		for _, body := range []string{"Content-Length: 1000\r\n\r\nbegin", "Transfer-Encoding: chunked\r\n\r\n5\r\nbegin\r\n"} {
			for _, path := range []string{"/ws/svc/x", "/unknown/"} {
				start := time.Now()
				c, err := w.dial(context.Background(), "a:public")
				is.NoErr(err)
				c.SetDeadline(start.Add(time.Minute))
				go io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: h\r\n"+body) // no key, or no route
				g := readResponse(c)
				c.Close()
				is.NoErr(g.err)
				is.True(g.status >= 400)
				is.True(g.close)
				is.True(time.Since(start) <= time.Second)
			}
		}
		w.close(a)
	})
}

// Guards against a caller that does not read its response and thereby holds the
// request and its slot after its deadline has passed.
func TestCallerThatDoesNotRead(t *testing.T) {
	bubble(t, func(w *fixture) {
		is := is.New(w.t)
		a := w.instance("a", "d1")
		ended := make(chan struct{})
		w.upstream("u1", "d1", 1, func(rw http.ResponseWriter, r *http.Request) {
			defer close(ended)
			for r.Context().Err() == nil {
				if _, err := io.WriteString(rw, strings.Repeat("x", 1<<10)); err != nil {
					return
				}
			}
		})
		c, err := w.dial(context.Background(), "a:public")
		is.NoErr(err)
		defer c.Close()
		_, err = io.WriteString(c, "GET /ws/svc/x HTTP/1.1\r\nHost: h\r\nX-Api-Key: good-key\r\n\r\n")
		is.NoErr(err)
		<-ended
		time.Sleep(time.Minute)
		_, err = io.WriteString(c, "x")
		is.Equal(err, io.ErrClosedPipe)
		w.close(a)
	})
}
