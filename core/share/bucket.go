package share

import (
	"math"
	"sync/atomic"
	"time"

	"corianderwing"
)

// closedBucket is the value of Bucket.emptyAt after the bucket was replaced. It
// is later than any time.
const closedBucket = math.MaxInt64

// maxFillTime limits fill times to 36 years, so that sums of them do not
// overflow for limits of few tokens in a long time.
const maxFillTime = 1 << 60

// Bucket is a token bucket that many goroutines may take from without a lock.
// It stores the time at which it was last empty, computed at its present rate,
// so that the level and the fill time are one atomic word. Costs in time are
// rounded up and credits are rounded down, so that rounding never creates
// tokens.
type Bucket struct {
	origin     time.Time
	nsPerToken float64      // nanoseconds to fill one token, including the drift margin
	tokenCost  int64        // per, rounded up
	emptyAt    atomic.Int64 // nanoseconds after origin when the level was zero
	depth      atomic.Int64 // nanoseconds to fill the bucket
}

// NewBucket returns an empty bucket. With a rate of zero it never fills.
func NewBucket(l Limit, now time.Time) *Bucket {
	b := &Bucket{origin: now, nsPerToken: math.Inf(1)}
	if l.Rate > 0 {
		b.nsPerToken = 1e9 * (1 + corianderwing.MaxClockDrift) / float64(l.Rate)
		b.tokenCost = b.cost(1)
		b.depth.Store(int64(min(l.Burst*b.nsPerToken, maxFillTime)))
	}
	return b
}

func (b *Bucket) elapsed(now time.Time) int64 { return int64(now.Sub(b.origin)) }

// cost returns the time to fill n tokens, rounded up.
func (b *Bucket) cost(n corianderwing.Tokens) int64 {
	if n == 1 && b.tokenCost > 0 {
		return b.tokenCost
	}
	return int64(min(math.Ceil(float64(n)*b.nsPerToken), 2*maxFillTime))
}

// Take takes n tokens, or none if the bucket has fewer. It is safe for
// concurrent use and does not allocate.
func (b *Bucket) Take(now time.Time, n corianderwing.Tokens) bool {
	return b.tokenCost > 0 && b.take(b.elapsed(now), b.cost(n), -1)
}

// take advances emptyAt by cost. A negative depth stands for the stored depth,
// which must be loaded after emptyAt: setDepth stores them in this order.
func (b *Bucket) take(t, cost, depth int64) bool {
	for {
		e := b.emptyAt.Load()
		d := depth
		if d < 0 {
			d = b.depth.Load()
		}
		if e == closedBucket {
			return false
		}
		next := max(e, t-d) + cost
		if next > t {
			return false
		}
		if b.emptyAt.CompareAndSwap(e, next) {
			return true
		}
	}
}

// Level returns the number of whole tokens.
func (b *Bucket) Level(now time.Time) corianderwing.Tokens {
	if b.tokenCost == 0 {
		return 0
	}
	return corianderwing.Tokens(float64(b.levelTime(now)) / b.nsPerToken)
}

// levelTime returns the time in which the present level fills.
func (b *Bucket) levelTime(now time.Time) int64 {
	e := b.emptyAt.Load()
	if e == closedBucket {
		return 0
	}
	return max(0, min(b.elapsed(now)-e, b.depth.Load()))
}

// add credits n tokens. Tokens beyond the depth are lost.
func (b *Bucket) add(now time.Time, n corianderwing.Tokens) {
	if b.tokenCost == 0 || n <= 0 {
		return
	}
	t := b.elapsed(now)
	credit := int64(min(float64(n)*b.nsPerToken, maxFillTime))
	for {
		e := b.emptyAt.Load()
		if e == closedBucket {
			return
		}
		next := max(e, t-b.depth.Load()) - credit
		if b.emptyAt.CompareAndSwap(e, max(next, t-b.depth.Load())) {
			return
		}
	}
}

// setDepth limits the level to what fills in depth nanoseconds. Takers may run
// concurrently; callers of setDepth, reserve and add must exclude each other.
func (b *Bucket) setDepth(now time.Time, depth int64) {
	depth = max(0, depth)
	old := b.depth.Load()
	if depth <= old {
		b.depth.Store(depth)
		return
	}
	// Without this, an idle bucket would count the time before the change
	// towards the new depth.
	t := b.elapsed(now)
	for {
		e := b.emptyAt.Load()
		if e == closedBucket || b.emptyAt.CompareAndSwap(e, max(e, t-old)) {
			break
		}
	}
	b.depth.Store(depth)
}

// reserve takes n tokens, or none, and reduces the depth by as many, so that
// the tokens still count against the burst.
func (b *Bucket) reserve(now time.Time, n corianderwing.Tokens) bool {
	if b.tokenCost == 0 || n <= 0 {
		return false
	}
	cost, old := b.cost(n), b.depth.Load()
	if cost > old {
		return false
	}
	b.depth.Store(old - cost)
	if !b.take(b.elapsed(now), cost, old) {
		b.depth.Store(old)
		return false
	}
	return true
}

// replace closes b and returns a bucket with another limit and no more tokens
// than b had.
func (b *Bucket) replace(l Limit, now time.Time) *Bucket {
	next := NewBucket(l, now)
	e := b.emptyAt.Swap(closedBucket)
	if next.tokenCost == 0 || b.tokenCost == 0 || e == closedBucket {
		return next
	}
	level := max(0, min(b.elapsed(now)-e, b.depth.Load()))
	next.emptyAt.Store(-int64(min(float64(level)/b.nsPerToken*next.nsPerToken, float64(next.depth.Load()))))
	return next
}
