package follow

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/quota"
	"corianderwing/core/usage"
	"corianderwing/io/peer"
	"corianderwing/io/plane"
)

// fakeControl is a control instance that grants one token, or does not answer.
type fakeControl struct {
	addr string
	lost atomic.Bool
	age  atomic.Int64 // of its confirmation, in ms

	heartbeats atomic.Int64 // received
}

func newFakeControl(t *testing.T) *fakeControl {
	c := &fakeControl{}
	c.addr = servePeer(t, func(s *peer.Server) {
		peer.Handle(s, plane.HeartbeatMethod, func(context.Context, *plane.HeartbeatRequest) (*plane.HeartbeatResponse, error) {
			c.heartbeats.Add(1)
			if c.lost.Load() {
				return nil, errors.New("lost")
			}
			return &plane.HeartbeatResponse{
				Confirmed: true, Age: corianderwing.Millis(c.age.Load()), LeaseDuration: 4000,
				Shares: []quota.Share{{Workspace: "w", Tokens: 1}},
			}, nil
		})
	}).PeerAddr
	return c
}

// newGranted returns a follower that has shares from the second of two control
// instances, has lost contact with it, and follows the first. Its time stands still.
func newGranted(t *testing.T, now *time.Time) (f *Follower, first, grantor *fakeControl) {
	is := is.New(t)
	first, grantor = newFakeControl(t), newFakeControl(t)
	client := peer.NewClient([]byte("secret"))
	t.Cleanup(client.Close)
	f = &Follower{
		cfg: Config{
			Self:       func() corianderwing.Instance { return corianderwing.Instance{ID: "e", Domain: "a", Region: "r"} },
			Lease:      testLease,
			Now:        func() time.Time { return *now },
			Log:        &log.Logger{Level: log.PanicLevel},
			Limits:     &limiter{l: quota.NewLimiter(5 * time.Second)},
			Usage:      &usage.Recorder{},
			TakeTrials: func() []plane.Trial { return nil },
			SetShares:  func([]plane.MoveShare) {},
		},
		peer:          client,
		controls:      []plane.ControlInstance{{PeerAddr: first.addr}, {PeerAddr: grantor.addr}},
		current:       grantor.addr,
		lastProbe:     *now,
		switched:      make(chan struct{}),
		noBorrowUntil: map[string]time.Time{},
	}
	f.state.Store(&state{view: model.New(), known: true})
	f.heartbeatBoth(t.Context())
	grantor.lost.Store(true)
	for range maxMisses {
		f.heartbeatBoth(t.Context())
	}
	is.Equal(f.current, first.addr)
	f.heartbeatBoth(t.Context())
	is.Equal(f.current, first.addr)
	return f, first, grantor
}

// Guards against the loss of all shares after a restart of all control instances: entry
// instances that moved on meanwhile followed other ones than those that had granted
// their shares, for 1.2 s and until the shares had expired.
func TestReturnsToGrantorOfShares(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f, _, grantor := newGranted(t, &now)
	grantor.lost.Store(false)
	f.heartbeatBoth(t.Context())
	is.Equal(f.current, grantor.addr)
	is.Equal(f.returns, int64(1))
	f.heartbeatBoth(t.Context())
	is.Equal(f.current, grantor.addr)
}

// Guards against following a control instance that is cut off from the leader, and
// against going back to one whose shares have expired.
func TestStaysAwayFromGrantor(t *testing.T) {
	t.Run("old confirmation", func(t *testing.T) {
		is := is.New(t)
		now := time.Unix(1000, 0)
		f, first, grantor := newGranted(t, &now)
		grantor.age.Store(3000)
		grantor.lost.Store(false)
		f.heartbeatBoth(t.Context())
		is.Equal(f.current, first.addr)
	})
	t.Run("expired shares", func(t *testing.T) {
		is := is.New(t)
		now := time.Unix(1000, 0)
		f, first, grantor := newGranted(t, &now)
		grantor.lost.Store(false)
		now = now.Add(quota.LeaseDuration)
		f.heartbeatBoth(t.Context())
		is.Equal(f.current, first.addr)
	})
}

// Guards against two probes of the same silent control instance between two heartbeats:
// each takes heartbeatTimeout, and the followed one takes this instance for lost.
func TestLostGrantorIsProbedOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f, first, grantor := newGranted(t, &now)
	f.controls = []plane.ControlInstance{{PeerAddr: grantor.addr}, {PeerAddr: first.addr}}
	now = now.Add(nearestProbeInterval)
	before := grantor.heartbeats.Load()
	f.heartbeatBoth(t.Context())
	f.probeAlternative(t.Context())
	is.Equal(grantor.heartbeats.Load()-before, int64(1))
}
