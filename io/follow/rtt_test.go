package follow

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"
)

// Guards against control instances that are taken for dead because the link of
// the entry instance is slow, and against calls to a dead one that wait for long.
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
		w.observe(time.Duration(10+i%2*150)*time.Millisecond, now) // now and then behind a large answer
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

// Guards against a desk that no request is sent to for a while, because one of
// many calls was lost.
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
