package gate

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/io/clock"
	"corianderwing/io/follow"
)

// outcomeControl is a Control that passes on the outcomes of attempts.
type outcomeControl struct {
	*grantingControl
	outcomes chan place.Outcome
}

func (c outcomeControl) Release(_ follow.SlotSource, _ corianderwing.PoolID, o place.Outcome) {
	c.outcomes <- o
}

// newOutcomeServer returns an entry instance with one upstream that runs h.
func newOutcomeServer(t *testing.T, h http.HandlerFunc) (*Server, outcomeControl) {
	t.Helper()
	up := httptest.NewServer(h)
	t.Cleanup(up.Close)
	c := outcomeControl{newGrantingControl(t, strings.TrimPrefix(up.URL, "http://")), make(chan place.Outcome, 8)}
	s := newTestServer(c, quiet)
	t.Cleanup(s.Close)
	s.mu.Lock()
	s.pools["files"] = newPool("files", s.cfg.Dial, 0.2)
	s.mu.Unlock()
	return s, c
}

// startCall sends a request for /files/1 to an entry instance.
func startCall(ctx context.Context, t *testing.T, entry string) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, entry+"/files/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "shop.example"
	r.Header.Set("X-Request-Id", "1")
	r.Header.Set("X-Key", "k-1")
	return (&http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext}}).Do(r)
}

// Guards against upstreams that get no requests for a while because callers left
// while their responses arrived: two in a row counted as two lost connections.
func TestDisconnectIsNoFaultOfUpstream(t *testing.T) {
	is := is.New(t)
	s, c := newOutcomeServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		for r.Context().Err() == nil { // a stream of events
			io.WriteString(w, "event\n")
			http.NewResponseController(w).Flush()
			time.Sleep(time.Millisecond)
		}
	})
	entry := httptest.NewServer(s)
	defer entry.Close()
	for range 5 {
		ctx, cancel := context.WithCancel(t.Context())
		resp, err := startCall(ctx, t, entry.URL)
		is.NoErr(err)
		_, err = io.ReadFull(resp.Body, make([]byte, 10))
		is.NoErr(err)
		cancel()
		is.Equal((<-c.outcomes).Result, place.Canceled)
	}
}

// Guards against requests that are cut off, or sent to another upstream, because
// their upstream was silent for a while and was removed from the state.
func TestRemovedUpstreamFinishesRequests(t *testing.T) {
	for name, change := range map[string]func(*model.Upstream) *model.Command{
		"silent": func(u *model.Upstream) *model.Command {
			return &model.Command{Expire: []model.UpstreamRef{{ID: u.ID, Incarnation: u.Incarnation}}}
		},
		"left": func(u *model.Upstream) *model.Command {
			return &model.Command{Remove: []model.UpstreamRef{{ID: u.ID, Incarnation: u.Incarnation}}}
		},
		"evacuated": func(u *model.Upstream) *model.Command {
			return &model.Command{Evacuate: &model.Evacuation{Domain: u.Domain, On: true}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			started, release := make(chan struct{}, 8), make(chan struct{})
			s, c := newOutcomeServer(t, func(w http.ResponseWriter, r *http.Request) {
				started <- struct{}{}
				<-release
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				io.WriteString(w, "done")
			})
			entry := httptest.NewServer(s)
			defer entry.Close()
			body := make(chan string)
			go func() {
				defer close(body)
				resp, err := startCall(t.Context(), t, entry.URL)
				if err == nil {
					b, _ := io.ReadAll(resp.Body)
					body <- string(b)
				}
			}()
			<-started
			next, err := c.view.Apply(change(c.upstream), time.Now())
			is.NoErr(err)
			for _, p := range s.pools {
				p.sync(next, time.Now(), clock.Boot())
			}
			close(release)
			is.Equal(<-body, "done")
			is.Equal((<-c.outcomes).Result, place.Succeeded)
			is.Equal(len(started), 0) // not sent again
		})
	}
}
