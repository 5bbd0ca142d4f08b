package gate

import (
	"io"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/platform"
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
		s := New(Config{
			Domain: "a", RegionOf: func(corianderwing.DomainID) corianderwing.RegionID { return "r" },
			Control: restartedControl{newGrantingControl(t, "127.0.0.1:1"), leaderMissing}, Limits: NewLimits(time.Second),
			Dialect: &platform.Adapter{}, Log: &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}, RetryRatio: 0.2,
		})
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
