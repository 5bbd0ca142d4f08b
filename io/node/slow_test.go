package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"corianderwing/internal/pipes"
	"corianderwing/io/accept"
)

// Guards against upstreams and operators that hold connections of a control instance
// for as long as they like: they do not send the rest of a call, or do not read its
// response.
func TestSlowCallsEnd(t *testing.T) {
	for name, request := range map[string]string{
		"body of a heartbeat": "POST /read HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n{",
		"unread body":         "POST /other HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n{",
		"unread response":     "GET /long HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				mux := http.NewServeMux()
				mux.HandleFunc("/read", func(_ http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) })
				mux.HandleFunc("/long", func(w http.ResponseWriter, _ *http.Request) { w.Write(make([]byte, 1<<20)) })
				l := pipes.Listen()
				s := newServer(accept.Wrap(l), mux, callTimeout, &log.Logger{Level: log.PanicLevel})
				closed := make(chan struct{})
				s.ConnState = func(_ net.Conn, state http.ConnState) {
					if state == http.StateClosed {
						close(closed)
					}
				}
				go s.Serve(s.listener)
				client, err := l.Dial(t.Context())
				is.NoErr(err)
				defer client.Close()
				start := time.Now()
				go io.WriteString(client, request)
				if name != "unread response" {
					go io.Copy(io.Discard, bufio.NewReader(client))
				}
				select {
				case <-closed:
				case <-time.After(time.Hour):
				}
				is.True(time.Since(start) <= callTimeout+time.Second)
				s.Close()
			})
		})
	}
}
