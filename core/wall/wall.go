// Package wall estimates the wall-clock time of a deployment. The wall clock of a
// single instance may be set wrong or jump. Its boot clock never jumps, so an
// instance keeps the offset between the two and compares it with other instances.
package wall

import (
	"slices"
	"time"
)

// Offset is the difference between a wall clock and a boot clock.
type Offset time.Duration

// OffsetOf returns the offset of a wall-clock time that was read at a time on the
// boot clock.
func OffsetOf(wall, boot time.Time) Offset { return Offset(wall.Sub(boot)) }

// At returns the wall-clock time at a time on the boot clock.
func (o Offset) At(boot time.Time) time.Time { return boot.Add(time.Duration(o)) }

const (
	// maxSlew is the largest change of the offset between two observations that is
	// not a jump. Time synchronization corrects small errors gradually.
	maxSlew = 100 * time.Millisecond
	// settleTime is how long a clock must run on after a jump until the jump is taken
	// for a correction.
	settleTime = time.Minute
	// tolerance is the largest difference from the other instances at which an
	// instance relies on its own clock.
	tolerance = 300 * time.Millisecond
	// voteTTL is how long the offset of an instance counts after it was heard.
	voteTTL = 10 * time.Second
	// minVotes is the number of offsets of which the median shows a wrong clock.
	minVotes = 3
)

// Clock is the wall clock of an instance without its jumps. The zero value has
// observed nothing.
type Clock struct {
	offset   Offset
	known    bool
	jumped   Offset    // offset after a jump that is ignored so far
	jumpedAt time.Time // on the boot clock; zero if there is none
	latest   Offset    // as observed, with jumps
}

// Observe records the time on the instance's wall clock and boot clock.
func (c *Clock) Observe(wall, boot time.Time) {
	now := OffsetOf(wall, boot)
	c.latest = now
	switch {
	case !c.known:
		c.offset, c.known = now, true
	case near(now, c.offset, maxSlew):
		c.offset, c.jumpedAt = now, time.Time{}
	case c.jumpedAt.IsZero() || !near(now, c.jumped, maxSlew):
		c.jumped, c.jumpedAt = now, boot
	case boot.Sub(c.jumpedAt) >= settleTime:
		c.offset, c.jumpedAt = now, time.Time{}
	default:
		c.jumped = now
	}
}

// Offset returns the offset of the clock without jumps.
func (c *Clock) Offset() Offset { return c.offset }

// Correction returns the difference between an estimated offset and that of the
// latest observation, or 0 if it is small: what the clock is wrong by.
func (c *Clock) Correction(estimate Offset) time.Duration {
	if near(estimate, c.latest, tolerance) {
		return 0
	}
	return time.Duration(estimate - c.latest)
}

// Correct returns the instance's own offset, or the reference if the two differ too
// much.
func Correct(own, reference Offset) Offset {
	if near(own, reference, tolerance) {
		return own
	}
	return reference
}

// Votes holds the offsets of other instances. The zero value is empty.
type Votes struct {
	byInstance map[string]vote
}

type vote struct {
	offset Offset
	at     time.Time // on the boot clock
}

// Add records the offset of an instance, relative to the boot clock of this one. A time
// that was delayed on its way gives a smaller offset. So a much smaller one is ignored
// until the one before has expired: after a suspension, all times that waited for this
// instance are late, and would outvote its own clock.
func (v *Votes) Add(instance string, o Offset, boot time.Time) {
	if v.byInstance == nil {
		v.byInstance = map[string]vote{}
	}
	if last, ok := v.byInstance[instance]; ok && boot.Sub(last.at) <= voteTTL && time.Duration(last.offset-o) > tolerance {
		return
	}
	v.byInstance[instance] = vote{o, boot}
}

// Median returns the median of the instance's own offset and those that were heard
// recently. It returns the own offset if there are too few to tell which are wrong.
func (v *Votes) Median(own Offset, boot time.Time) Offset {
	list := []Offset{own}
	for id, o := range v.byInstance {
		if boot.Sub(o.at) > voteTTL {
			delete(v.byInstance, id)
			continue
		}
		list = append(list, o.offset)
	}
	if len(list) < minVotes {
		return own
	}
	slices.Sort(list)
	return list[len(list)/2]
}

func near(a, b Offset, d time.Duration) bool { return time.Duration(a-b).Abs() <= d }
