package gate

import (
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing/core/model"
)

// restartedControl has received no state since its start.
type restartedControl struct {
	*grantingControl
	leaderMissing bool
}

func (c restartedControl) View() (*model.View, bool) { return model.New(), false }
func (c restartedControl) LeaderMissing() bool       { return c.leaderMissing }

// Guards against callers that use up their only retry 100 ms after the loss of all
// instances, long before a leader is elected.
func TestRetryAfterWithoutLeader(t *testing.T) {
	is := is.New(t)
	after := func(leaderMissing bool) time.Duration {
		s := newTestServer(restartedControl{newGrantingControl(t, "127.0.0.1:1"), leaderMissing}, quiet)
		defer s.Close()
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest("GET", "/", nil))
		is.Equal(w.Code, 503)
		sec, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		is.NoErr(err)
		return time.Duration(sec * float64(time.Second))
	}
	is.Equal(after(false), 100*time.Millisecond)
	is.Equal(after(true), time.Second)
}
