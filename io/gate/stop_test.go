package gate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/io/follow"
	"corianderwing/io/plane"
)

// queuingControl is a Control at which every request waits for a slot until its
// caller gives up.
type queuingControl struct{ *grantingControl }

func (queuingControl) Acquire(ctx context.Context, _ *plane.AcquireRequest) (*plane.AcquireResponse, follow.SlotSource, bool) {
	<-ctx.Done()
	return &plane.AcquireResponse{Error: corianderwing.Errorf(corianderwing.CallerDisconnected, "canceled")}, follow.SlotSource{}, true
}

// Guards against requests that are cut off without a response at the end of a
// planned stop: a request with a timeout beyond the end of the stop waited for a
// slot until the process ended. It must be told in time that it has not run.
func TestStopRejectsWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestServer(queuingControl{newGrantingControl(t, "127.0.0.1:1")}, quiet)
		defer s.Close()
		s.NotifyChange()
		synctest.Wait()
		send := func(id string) (status int, after time.Duration) {
			start := time.Now()
			w := httptest.NewRecorder()
			r := httptest.NewRequest(http.MethodGet, "/files/1", nil)
			r.Host = "shop.example"
			r.Header.Set("X-Request-Id", id)
			r.Header.Set("X-Key", "k-1")
			s.ServeHTTP(w, r)
			return w.Code, time.Since(start)
		}
		done := make(chan struct{})
		var status int
		var took time.Duration
		go func() {
			defer close(done)
			status, took = send("0000000000000001")
		}()
		time.Sleep(100 * time.Millisecond)
		end := time.Now().Add(3500 * time.Millisecond) // before the request's timeout of 4 s
		s.Drain(end)
		<-done
		is.Equal(status, http.StatusServiceUnavailable) // not executed, so that the caller may retry elsewhere
		is.True(took <= 1700*time.Millisecond)
		status, took = send("0000000000000002") // on a connection that was kept open
		is.Equal(status, http.StatusServiceUnavailable)
		is.True(took < 10*time.Millisecond)
	})
}

// expectingControl is a Control that grants slots with an expected time.
type expectingControl struct {
	*grantingControl
	expected corianderwing.Millis
	released atomic.Int32
}

func (c *expectingControl) Acquire(context.Context, *plane.AcquireRequest) (*plane.AcquireResponse, follow.SlotSource, bool) {
	return &plane.AcquireResponse{ID: 1, Upstream: c.upstream.ID, Incarnation: c.upstream.Incarnation, ExpectedLatency: c.expected, MissLatency: 2 * c.expected},
		follow.SlotSource{Peer: "control", Domain: "a"}, true
}

func (c *expectingControl) Release(follow.SlotSource, corianderwing.PoolID, place.Outcome) {
	c.released.Add(1)
}

// Guards against requests that are taken late in a planned stop, passed on, and cut
// off without a response at its end, because their upstream takes longer than the
// time that is left: they must be told at once that they have not run.
func TestStopRejectsRequestsThatOutlastIt(t *testing.T) {
	for _, c := range []struct {
		name     string
		once     bool
		expected corianderwing.Millis
		left     time.Duration // from the request to the end of the stop; 0 for no stop
		status   int
	}{
		{"no stop", false, 9000, 0, http.StatusOK},
		{"enough time", false, 1000, time.Minute, http.StatusOK},
		{"longer than the stop", false, 4000, 3500 * time.Millisecond, http.StatusServiceUnavailable},
		{"probably longer", false, 2500, 3500 * time.Millisecond, http.StatusServiceUnavailable},
		{"idempotent, shorter", false, 1900, 3500 * time.Millisecond, http.StatusOK},
		{"at most once, shorter", true, 1900, 3500 * time.Millisecond, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ran, addr := startCountingUpstream(t)
			control := &expectingControl{grantingControl: newGrantingControl(t, addr), expected: c.expected}
			rule, ok := control.view.Items().MatchRule("shop.example", "/files/1")
			is.True(ok)
			next := *rule
			next.Version, next.AtMostOnce = 2, c.once
			view, err := control.view.Apply(&model.Command{Edit: &corianderwing.Edit{Rules: []corianderwing.Rule{next}}}, time.Now())
			is.NoErr(err)
			control.view = view
			s := startTestServer(t, control)
			if c.left > 0 {
				s.Drain(time.Now().Add(c.left))
			}
			is.Equal(send(s, 1).Code, c.status)
			is.Equal(ran.Load() == 1, c.status == http.StatusOK)
			is.Equal(control.released.Load(), int32(1)) // the slot is free again
		})
	}
}
