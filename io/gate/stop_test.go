package gate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"corianderwing"
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
