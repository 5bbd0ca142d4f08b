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
func TestTimeoutFollowsTheWay(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var w way
	is.Equal(w.timeout(), leastWay)
	for range 20 {
		w.answer(2*time.Millisecond, now)
	}
	is.Equal(w.timeout(), leastWay)
	for i := range 40 {
		w.answer(time.Duration(10+i%2*150)*time.Millisecond, now) // now and then behind a large answer
	}
	is.True(w.timeout() > 160*time.Millisecond)
	for range 100 {
		w.lose(time.Second)
	}
	is.Equal(w.timeout(), mostWay)
	for range 100 {
		w.answer(2*time.Millisecond, now)
	}
	is.Equal(w.timeout(), leastWay)
}

// Guards against a desk that no request is sent to for a while, because one of
// many calls was lost.
func TestMutedOnlyWithoutAnswers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := &Follower{
		cfg:  Config{Now: func() time.Time { return now }, Log: &log.Logger{Level: log.PanicLevel}},
		mute: map[string]time.Time{}, ways: map[string]way{},
	}
	sent := now
	now = now.Add(100 * time.Millisecond)
	f.answer("c1", time.Millisecond)
	now = now.Add(100 * time.Millisecond)
	f.unanswered("c1", sent, errors.New("deadline"))
	is.True(f.mute["c1"].IsZero())
	sent = now
	now = now.Add(200 * time.Millisecond)
	f.unanswered("c1", sent, errors.New("deadline"))
	is.Equal(f.mute["c1"], now.Add(muteFor))
}
