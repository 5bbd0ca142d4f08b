package wall

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start = time.Unix(1_800_000_000, 0)
	boot  = time.Unix(1000, 0)
)

// observe lets a clock observe every 400 ms for d, with its wall clock off by the
// given error, and returns the time after.
func observe(c *Clock, now, d, off time.Duration) time.Duration {
	for end := now + d; now < end; now += 400 * time.Millisecond {
		c.Observe(start.Add(now+off), boot.Add(now))
	}
	return now
}

// Guards against windows that follow a jump of the wall clock, forward or back.
func TestJumpIsIgnored(t *testing.T) {
	for _, jump := range []time.Duration{7 * time.Second, -7 * time.Second, time.Hour} {
		is := is.New(t)
		var c Clock
		now := observe(&c, 0, 10*time.Second, 0)
		now = observe(&c, now, 30*time.Second, jump)
		is.Equal(c.Offset().At(boot.Add(now)), start.Add(now))
		is.Equal(c.Correction(c.Offset()), -jump)
		now = observe(&c, now, 10*time.Second, 0)
		is.Equal(c.Offset().At(boot.Add(now)), start.Add(now))
		is.Equal(c.Correction(c.Offset()), time.Duration(0))
	}
}

// Guards against a clock that was corrected after the start and stays wrong for good.
func TestCorrectionIsAdopted(t *testing.T) {
	is := is.New(t)
	var c Clock
	now := observe(&c, 0, 10*time.Second, time.Hour)
	now = observe(&c, now, settleTime+time.Second, 0)
	is.Equal(c.Offset().At(boot.Add(now)), start.Add(now))
}

// Guards against a frozen instance that takes the missing time for a jump, also if it
// freezes between the reading of its two clocks.
func TestFreeze(t *testing.T) {
	is := is.New(t)
	var c Clock
	now := observe(&c, 0, 10*time.Second, 0)
	c.Observe(start.Add(now), boot.Add(now+8*time.Second))
	now = observe(&c, now+8*time.Second, time.Second, 0)
	is.Equal(c.Offset().At(boot.Add(now)), start.Add(now))
}

// Guards against an instance that counts in wrong windows because its clock was
// wrong when it started, and against a control instance that leads others astray.
func TestMedianCorrectsWrongClock(t *testing.T) {
	is := is.New(t)
	truth := OffsetOf(start, boot)
	wrong := truth + Offset(20*time.Second)
	var votes Votes
	is.Equal(votes.Median(wrong, boot), wrong)
	for i := range 5 {
		o := truth - Offset(i)*Offset(time.Millisecond) // sent earlier than received
		if i == 0 {
			o = wrong
		}
		votes.Add(fmt.Sprint("entry-", i), o, boot)
	}
	is.Equal(votes.Median(wrong, boot), truth-Offset(time.Millisecond))
	is.Equal(Correct(wrong, truth), truth)
	is.Equal(Correct(truth+1, truth), truth+1)
	is.Equal(votes.Median(wrong, boot.Add(voteTTL+1)), wrong) // nobody was heard of late
}

// Guards against an instance that was suspended for 8 s and reads the times that waited
// for it: its clock would be 8 s behind until the other instances call it again.
func TestDelayedTimesDoNotCount(t *testing.T) {
	is := is.New(t)
	const truth = Offset(1000 * time.Second)
	var v Votes
	add := func(o Offset, boot time.Time) {
		for _, id := range []string{"a", "b", "c"} {
			v.Add(id, o, boot)
		}
	}
	boot := time.Unix(5000, 0)
	add(truth, boot)
	boot = boot.Add(8 * time.Second)
	add(truth-Offset(8*time.Second), boot)
	is.Equal(v.Median(truth, boot), truth)
	// Clocks that were set back count once the earlier times have expired.
	boot = boot.Add(3 * time.Second)
	add(truth-Offset(8*time.Second), boot)
	is.Equal(v.Median(truth, boot), truth-Offset(8*time.Second))
}
