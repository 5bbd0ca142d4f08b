package share

import (
	"math"
	"sync/atomic"
	"time"

	"corianderwing"
)

// closed is the value of Bucket.empty after Close. No time reaches it.
const closed = math.MaxInt64

// maxFill bounds fill times, 36 years, so that sums of them do not overflow
// for limits of few tokens in a long time.
const maxFill = 1 << 60

// Bucket is a token bucket that many goroutines may take from without a lock.
// It stores the time at which it was last empty, counted at its present rate,
// so that level and fill time are one word. Costs in time are rounded up and
// credits are rounded down: rounding never creates tokens.
type Bucket struct {
	origin time.Time
	per    float64      // nanoseconds that fill one token, drift margin included
	one    int64        // per, rounded up
	empty  atomic.Int64 // nanoseconds after origin at which the level was zero
	depth  atomic.Int64 // nanoseconds that fill the bucket
}

// NewBucket returns an empty bucket. With a rate of zero it never fills.
func NewBucket(l Limit, now time.Time) *Bucket {
	b := &Bucket{origin: now, per: math.Inf(1)}
	if l.Rate > 0 {
		b.per = 1e9 * (1 + corianderwing.MaxClockDrift) / float64(l.Rate)
		b.one = b.cost(1)
		b.depth.Store(int64(min(l.Burst*b.per, maxFill)))
	}
	return b
}

func (b *Bucket) at(now time.Time) int64 { return int64(now.Sub(b.origin)) }

// cost returns the time that fills n tokens, rounded up.
func (b *Bucket) cost(n corianderwing.Tokens) int64 {
	if n == 1 && b.one > 0 {
		return b.one
	}
	return int64(min(math.Ceil(float64(n)*b.per), 2*maxFill))
}

// Take takes n tokens, or none if there are fewer. It is safe for concurrent
// use and does not allocate.
func (b *Bucket) Take(now time.Time, n corianderwing.Tokens) bool {
	return b.one > 0 && b.take(b.at(now), b.cost(n), -1)
}

// take moves empty forward by cost. A negative depth stands for the stored
// depth, which must be read after empty: setDepth writes them in this order.
func (b *Bucket) take(t, cost, depth int64) bool {
	for {
		e := b.empty.Load()
		d := depth
		if d < 0 {
			d = b.depth.Load()
		}
		if e == closed {
			return false
		}
		next := max(e, t-d) + cost
		if next > t {
			return false
		}
		if b.empty.CompareAndSwap(e, next) {
			return true
		}
	}
}

// Level returns the number of whole tokens.
func (b *Bucket) Level(now time.Time) corianderwing.Tokens {
	if b.one == 0 {
		return 0
	}
	return corianderwing.Tokens(float64(b.fill(now)) / b.per)
}

// fill returns the level as fill time.
func (b *Bucket) fill(now time.Time) int64 {
	e := b.empty.Load()
	if e == closed {
		return 0
	}
	return max(0, min(b.at(now)-e, b.depth.Load()))
}

// add credits n tokens. What exceeds the depth is lost.
func (b *Bucket) add(now time.Time, n corianderwing.Tokens) {
	if b.one == 0 || n <= 0 {
		return
	}
	t := b.at(now)
	credit := int64(min(float64(n)*b.per, maxFill))
	for {
		e := b.empty.Load()
		if e == closed {
			return
		}
		next := max(e, t-b.depth.Load()) - credit
		if b.empty.CompareAndSwap(e, max(next, t-b.depth.Load())) {
			return
		}
	}
}

// setDepth limits the level to what depth nanoseconds fill. Takers may run at
// the same time; callers of setDepth, reserve and add exclude each other.
func (b *Bucket) setDepth(now time.Time, depth int64) {
	depth = max(0, depth)
	old := b.depth.Load()
	if depth <= old {
		b.depth.Store(depth)
		return
	}
	// Without this, an idle bucket would count the time before the change
	// towards the new depth.
	t := b.at(now)
	for {
		e := b.empty.Load()
		if e == closed || b.empty.CompareAndSwap(e, max(e, t-old)) {
			break
		}
	}
	b.depth.Store(depth)
}

// reserve takes n tokens, or none, and reduces the depth by as much, so that
// the tokens still count against the burst.
func (b *Bucket) reserve(now time.Time, n corianderwing.Tokens) bool {
	if b.one == 0 || n <= 0 {
		return false
	}
	cost, old := b.cost(n), b.depth.Load()
	if cost > old {
		return false
	}
	b.depth.Store(old - cost)
	if !b.take(b.at(now), cost, old) {
		b.depth.Store(old)
		return false
	}
	return true
}

// replace closes b and returns a bucket with another limit and at most the
// tokens of b.
func (b *Bucket) replace(l Limit, now time.Time) *Bucket {
	next := NewBucket(l, now)
	e := b.empty.Swap(closed)
	if next.one == 0 || b.one == 0 || e == closed {
		return next
	}
	had := max(0, min(b.at(now)-e, b.depth.Load()))
	next.empty.Store(-int64(min(float64(had)/b.per*next.per, float64(next.depth.Load()))))
	return next
}
