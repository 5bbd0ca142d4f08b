package follow

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"corianderwing/core/model"
	"corianderwing/io/plane"
)

// Guards against refusing the requests of workspaces with a rate for a whole
// heartbeat interval after a restart: the control instance had no shares to give
// when this instance first asked.
func TestHeartbeatsFasterWithoutShares(t *testing.T) {
	is := is.New(t)
	f := &Follower{cfg: Config{Log: &log.Logger{Level: log.PanicLevel}}}
	f.state.Store(&state{view: model.New(), known: true})
	f.info.Store(&plane.HeartbeatResponse{LeaseDuration: 4000})
	is.Equal(f.heartbeatDelay(9), 400*time.Millisecond)
	f.recordShares("c", 3, 0)
	is.Equal(f.heartbeatDelay(9), 160*time.Millisecond)
	f.recordShares("c", 3, 3)
	is.Equal(f.heartbeatDelay(9), 400*time.Millisecond)
	f.recordShares("c", 0, 0) // nothing was asked for
	is.Equal(f.heartbeatDelay(9), 400*time.Millisecond)
}
