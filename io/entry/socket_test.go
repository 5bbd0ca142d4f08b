//go:build linux

package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/io/relay"
)

// Guards against differences between the pipes of the other tests and real
// sockets. Sends requests of all kinds through two instances over reused
// connections.
func TestRealSockets(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	longTimeouts := func(e *corianderwing.EffectiveSettings) { e.Timeout, e.Wait = 60_000, 60_000 }
	w.route("ws", "svc", longTimeouts)
	w.route("ws", "order", func(e *corianderwing.EffectiveSettings) { longTimeouts(e); atMostOnce(e) })
	up := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(hRequest, r.Header.Get(hRequest))
		body, _ := io.ReadAll(r.Body) // net/http closes the request body at the first write
		rw.Write(body)
	}))
	defer up.Close()
	w.announce(up.Listener.Addr().String(), "d1", 4)
	var servers []*Server
	var urls []string
	for _, id := range []string{"a", "b"} {
		public, inner := httptest.NewUnstartedServer(nil), httptest.NewUnstartedServer(nil)
		self := corianderwing.Instance{
			ID: corianderwing.InstanceID(id), Domain: "d1", Phase: corianderwing.Ready,
			PublicAddr: public.Listener.Addr().String(), InternalAddr: inner.Listener.Addr().String(),
		}
		w.instances = append(w.instances, self)
		w.owners["d1"] = self // b becomes the owner
		s, err := New(Config{
			Settings: w, Limiter: w, Control: w, Fleet: &fleet{fixture: w, self: self}, Recorder: w, Secret: []byte(secret),
			HomeGroup: func(corianderwing.WorkspaceID) corianderwing.GroupID { return "g" },
		}, WithLookupTTL(0), WithPropagationDelay(0))
		is.NoErr(err)
		public.Config.Handler, inner.Config.Handler = s.Public(), s.Internal()
		public.Start()
		inner.Start()
		defer public.Close()
		defer inner.Close()
		servers, urls = append(servers, s), append(urls, public.URL)
	}
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for n := range 25 {
				size := []int{0, 1, 5000, relay.PrefixSize + 1, 3 * relay.PrefixSize}[n%5]
				path := []string{"/ws/svc/x", "/ws/order/x"}[n%2]
				body := strings.Repeat("x", size)
				req, _ := http.NewRequest(http.MethodPost, urls[i%2]+path, strings.NewReader(body))
				req.Header.Set("X-Api-Key", "good-key")
				req.Header.Set("Idempotency-Key", fmt.Sprint(i, "-", n))
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					t.Error(err)
					return
				}
				got, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || string(got) != body || resp.Header.Get(hCode) != "100" {
					t.Errorf("%s with %d bytes: code %s, %d bytes, %v", path, size, resp.Header.Get(hCode), len(got), err)
				}
			}
		})
	}
	wg.Wait()
	for _, s := range servers {
		is.NoErr(s.Close(context.Background()))
		is.Equal(s.meter.violations.Count(), int64(0))
	}
}
