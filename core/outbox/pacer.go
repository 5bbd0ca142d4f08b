package outbox

import "time"

const (
	firstRetryDelay = 200 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
)

// Pacer decides when the next call to the receiver may begin. The zero value allows
// one at once. Times are those of a clock that is never stepped.
type Pacer struct {
	Interval time.Duration // between the beginnings of two calls
	next     time.Time
	delay    time.Duration // after the last failure
}

// Next returns when the next call may begin.
func (p Pacer) Next() time.Time { return p.next }

// Begin returns the pacer after a call has begun.
func (p Pacer) Begin(now time.Time) Pacer {
	p.next = now.Add(p.Interval)
	return p
}

// Succeed returns the pacer after the receiver has accepted a call.
func (p Pacer) Succeed() Pacer {
	p.delay = 0
	return p
}

// Fail returns the pacer after a failed call. The receiver may have asked for a longer
// delay, which is limited too, because a report is due soon.
func (p Pacer) Fail(now time.Time, asked time.Duration) Pacer {
	p.delay = min(max(firstRetryDelay, 2*p.delay), maxRetryDelay)
	if at := now.Add(min(max(p.delay, asked), maxRetryDelay)); at.After(p.next) {
		p.next = at
	}
	return p
}
