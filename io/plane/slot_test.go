package plane

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against waiting requests exhausting the CPU of the control instance
// with repeated calls: at one call per 100 ms, 130 waiting requests make 1,300
// calls a second, three times the rate of the requests themselves.
func TestWaitIntervalsBackOff(t *testing.T) {
	is := is.New(t)
	calls, wait := 1, MinWait
	for total := wait; total < 2*time.Second; total += wait {
		wait = NextWait(wait)
		calls++
		is.True(wait <= MaxWait) // a control instance that has stopped responding must be detected soon
	}
	is.True(calls <= 8)
}

// Guards against a failure domain with few upstreams that learns of free slots
// in other domains only a second after its first requests, and against
// reporting at the fast interval forever.
func TestRecentArrivalsWindow(t *testing.T) {
	is := is.New(t)
	var o onsetDetector
	now := time.Unix(1000, 0)
	is.True(!o.update(false, now))
	is.True(o.update(true, now))
	is.True(o.update(true, now.Add(onsetDuration/2)))
	is.True(!o.update(true, now.Add(onsetDuration)))
	is.True(!o.update(false, now.Add(2*onsetDuration)))
	is.True(o.update(true, now.Add(3*onsetDuration)))
}
