package gate

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
)

// Guards against sending a request to an upstream that has left or drains: a control
// instance that was paused, or that lags behind, grants a slot there, or the state
// changed while the request waited. The slot must be free again.
func TestStaleGrantIsNotUsed(t *testing.T) {
	drain := func(u corianderwing.Upstream) *model.Command {
		u.Phase = corianderwing.Draining
		return &model.Command{Announce: []model.Announcement{{Upstream: u}}}
	}
	leave := func(u corianderwing.Upstream) *model.Command {
		return &model.Command{Remove: []model.UpstreamRef{{ID: u.ID, Incarnation: u.Incarnation}}}
	}
	restart := func(u corianderwing.Upstream) *model.Command {
		u.Incarnation++
		u.Addr = "127.0.0.1:1"
		return &model.Command{Announce: []model.Announcement{{Upstream: u, WarmupRemaining: 60_000}}}
	}
	evacuate := func(u corianderwing.Upstream) *model.Command {
		return &model.Command{Evacuate: &model.Evacuation{Domain: u.Domain, On: true}}
	}
	for _, c := range []struct {
		name   string
		change func(corianderwing.Upstream) *model.Command
	}{{"drains", drain}, {"has left", leave}, {"has restarted", restart}, {"is evacuated", evacuate}} {
		for _, when := range []string{"before the request", "during the wait"} {
			t.Run(c.name+" "+when, func(t *testing.T) {
				is := is.New(t)
				ran, addr := startCountingUpstream(t)
				grants := newGrantingControl(t, addr)
				change := func() {
					next, err := grants.view.Apply(c.change(grants.upstream.Upstream), time.Now())
					is.NoErr(err)
					grants.view = next
				}
				if when == "before the request" {
					change()
				}
				control := &pausingControl{grantingControl: grants, pause: func(*pausingControl) {
					if when == "during the wait" {
						change()
					}
				}}
				s := newTestServer(control, quiet)
				defer s.Close()
				s.mu.Lock()
				s.pools["files"] = newPool("files", s.cfg.Dial, 0.2)
				s.mu.Unlock()
				w := send(s, 1)
				is.Equal(ran.Load(), int32(0))
				is.Equal(w.Code, http.StatusServiceUnavailable) // not executed: there is no other upstream
				is.Equal(control.released.Load(), int32(1))
			})
		}
	}
}

// startCountingUpstream starts an upstream that answers every request, and returns the
// number of those that it ran and its address.
func startCountingUpstream(t *testing.T) (ran *atomic.Int32, addr string) {
	ran = new(atomic.Int32)
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	}))
	t.Cleanup(up.Close)
	return ran, strings.TrimPrefix(up.URL, "http://")
}
