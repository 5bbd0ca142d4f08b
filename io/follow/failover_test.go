package follow

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"corianderwing/core/model"
	"corianderwing/io/plane"
)

// Guards against old settings on an instance that reaches most of the control role: it
// stayed 2 s with each lost control instance in turn, 4 s if both of its region were
// lost, while changes come into force within 2.5 s.
func TestTwoControlInstancesLost(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := &Follower{
		cfg:      Config{Now: func() time.Time { return now }, Log: &log.Logger{Level: log.PanicLevel}},
		controls: []plane.ControlInstance{{PeerAddr: "near"}, {PeerAddr: "region"}, {PeerAddr: "far"}},
		current:  "near",
		switched: make(chan struct{}),
	}
	f.state.Store(&state{view: model.New(), known: true})
	f.info.Store(&plane.HeartbeatResponse{LeaseDuration: 4000})
	f.recordReply("near", 100*time.Millisecond)
	lost := now
	now = now.Add(f.heartbeatDelay(9)) // lost just after the reply
	for f.current != "far" {
		now = now.Add(heartbeatTimeout)
		f.recordMiss(f.current, "deadline exceeded")
		if f.current != "far" {
			now = now.Add(f.heartbeatDelay(9))
		}
	}
	is.True(now.Sub(lost) <= 2500*time.Millisecond)
}

// Guards against leaving a control instance that is only late once: all entry
// instances of its failure domain would wander off and back.
func TestOneLateReplyKeepsControlInstance(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := &Follower{
		cfg:      Config{Now: func() time.Time { return now }, Log: &log.Logger{Level: log.PanicLevel}},
		controls: []plane.ControlInstance{{PeerAddr: "near"}, {PeerAddr: "region"}},
		current:  "near",
		switched: make(chan struct{}),
	}
	f.state.Store(&state{view: model.New(), known: true})
	f.info.Store(&plane.HeartbeatResponse{LeaseDuration: 4000})
	for range 3 {
		f.recordReply("near", 100*time.Millisecond)
		is.Equal(f.heartbeatDelay(9), heartbeatInterval)
		f.recordMiss("near", "deadline exceeded")
		is.Equal(f.current, "near")
	}
}
