package gate

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a caller that holds its connection for as long as it likes, and gets
// no response: it announces a body that does not arrive, and the request is refused
// before the body is read. The server waits for the rest of a short body before it
// responds.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	for name, head := range map[string]string{
		"length":    "Content-Length: 1000\r\n\r\nbegin",
		"chunked":   "Transfer-Encoding: chunked\r\n\r\n5\r\nbegin\r\n",
		"too large": "Content-Length: 100000000\r\n\r\nbegin",
	} {
		for _, path := range []string{"/files/1", "/unknown"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := newTestServer(newGrantingControl(t, "127.0.0.1:1"), quiet)
				defer s.Close()
				entry := httptest.NewServer(s)
				defer entry.Close()
				c, err := net.Dial("tcp", entry.Listener.Addr().String())
				is.NoErr(err)
				defer c.Close()
				c.SetDeadline(time.Now().Add(20 * time.Second))
				_, err = io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: 1\r\n"+head)
				is.NoErr(err)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				is.NoErr(err)
				is.True(resp.StatusCode >= 400) // no key, or no route
				is.True(resp.Close)             // the rest of the body must not be taken for a request
			})
		}
	}
}
