package gate

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
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

// Guards against a caller that does not read its response and thereby holds the
// request, its connection and its slot after its deadline has passed.
func TestCallerThatDoesNotRead(t *testing.T) {
	for name, size := range map[string]int{"length": 64 << 20, "chunked": -1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				if size > 0 {
					w.Header().Set("Content-Length", strconv.Itoa(size))
				}
				for text := make([]byte, 32<<10); r.Context().Err() == nil; {
					w.Write(text)
				}
			}))
			defer up.Close()
			control := &pausingControl{grantingControl: newGrantingControl(t, strings.TrimPrefix(up.URL, "http://")), pause: func(*pausingControl) {}}
			s := newTestServer(control, quiet)
			defer s.Close()
			s.mu.Lock()
			s.pools["files"] = newPool("files", s.cfg.Dial, 0.2)
			s.mu.Unlock()
			entry := httptest.NewServer(s)
			defer entry.CloseClientConnections()
			c, err := net.Dial("tcp", entry.Listener.Addr().String())
			is.NoErr(err)
			defer c.Close()
			_, err = io.WriteString(c, "GET /files/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: 1\r\nX-Key: k-1\r\nX-Deadline-Ms: 300\r\n\r\n")
			is.NoErr(err)
			give := time.Now().Add(20 * time.Second)
			for control.released.Load() == 0 && time.Now().Before(give) {
				time.Sleep(10 * time.Millisecond)
			}
			is.Equal(control.released.Load(), int32(1)) // given up by the caller, not a fault of the upstream
			for s.Active() > 0 && time.Now().Before(give) {
				time.Sleep(10 * time.Millisecond)
			}
			is.Equal(s.Active(), int64(0))
		})
	}
}
