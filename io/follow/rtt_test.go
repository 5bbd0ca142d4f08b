package follow

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"
)

// Guards against taking control instances for dead because the link of the entry
// instance is slow, and against long waits for calls to a dead one.
func TestTimeoutFollowsRTT(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var w rttEstimator
	is.Equal(w.timeout(), minRTTTimeout)
	for range 20 {
		w.observe(2*time.Millisecond, now)
	}
	is.Equal(w.timeout(), minRTTTimeout)
	for i := range 40 {
		w.observe(time.Duration(10+i%2*150)*time.Millisecond, now) // every other call waits behind a large response
	}
	is.True(w.timeout() > 160*time.Millisecond)
	for range 100 {
		w.observeLoss(time.Second)
	}
	is.Equal(w.timeout(), maxRTTTimeout)
	for range 100 {
		w.observe(2*time.Millisecond, now)
	}
	is.Equal(w.timeout(), minRTTTimeout)
}

// Guards against avoiding a control instance because one call was lost while others
// got replies.
func TestAvoidedOnlyWithoutReplies(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := &Follower{
		cfg:        Config{Now: func() time.Time { return now }, Log: &log.Logger{Level: log.PanicLevel}},
		avoidUntil: map[string]time.Time{}, rtts: map[string]rttEstimator{},
	}
	sent := now
	now = now.Add(100 * time.Millisecond)
	f.recordSlotReply("c1", time.Millisecond)
	now = now.Add(100 * time.Millisecond)
	f.recordSlotTimeout("c1", sent, errors.New("deadline"))
	is.True(f.avoidUntil["c1"].IsZero())
	sent = now
	now = now.Add(200 * time.Millisecond)
	f.recordSlotTimeout("c1", sent, errors.New("deadline"))
	is.Equal(f.avoidUntil["c1"], now.Add(avoidDuration))
}
