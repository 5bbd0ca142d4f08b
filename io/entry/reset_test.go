package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// Guards against a client that speaks HTTP/1.0 and takes a response that broke off
// for complete: it sees the end of a response without a length only by a close.
func TestCutResponseResetsOldClient(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	w.route("ws", "svc", func(e *corianderwing.EffectiveSettings) { e.Timeout, e.Wait = 60_000, 60_000 })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n", hRequest, r.Header.Get(hRequest))
			}
			c.Close()
		}
	}()
	w.announce(l.Addr().String(), "d1", 4)
	public := httptest.NewUnstartedServer(nil)
	self := corianderwing.Instance{ID: "a", Domain: "d1", Phase: corianderwing.Ready, PublicAddr: public.Listener.Addr().String()}
	w.instances, w.owners["d1"] = []corianderwing.Instance{self}, self
	s, err := New(Config{
		Settings: w, Limiter: w, Control: w, Fleet: &fleet{fixture: w, self: self}, Recorder: w, Secret: []byte(secret),
		HomeGroup: func(corianderwing.WorkspaceID) corianderwing.GroupID { return "g" },
	}, WithLookupTTL(0), WithPropagationDelay(0))
	is.NoErr(err)
	public.Config.Handler = s.Public()
	public.Start()
	defer public.Close()

	c, err := net.Dial("tcp", self.PublicAddr)
	is.NoErr(err)
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Minute))
	io.WriteString(c, "GET /ws/svc/x HTTP/1.0\r\nHost: h\r\nX-Api-Key: good-key\r\n\r\n")
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
		body, err := io.ReadAll(resp.Body)
		if err == nil && resp.StatusCode == http.StatusOK {
			t.Errorf("complete response with body %q", body)
		}
	}
	is.NoErr(s.Close(context.Background()))
}
