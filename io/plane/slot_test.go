package plane

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against waiting requests whose repeated calls take the processor time of
// the control instance: with a call each 100 ms, 130 waiting requests are 1,300
// calls a second, three times as many as the requests themselves.
func TestWaitIntervalsBackOff(t *testing.T) {
	is := is.New(t)
	calls, wait := 1, MinWait
	for total := wait; total < 2*time.Second; total += wait {
		wait = NextWait(wait)
		calls++
		is.True(wait <= MaxWait) // a control instance that is gone is noticed
	}
	is.True(calls <= 8)
}

// Guards against a failure domain with few upstreams that hears of slots
// elsewhere only a second after its first requests, and reports often for ever.
func TestRecentArrivalsWindow(t *testing.T) {
	is := is.New(t)
	var o onset
	now := time.Unix(1000, 0)
	is.True(!o.update(false, now))
	is.True(o.update(true, now))
	is.True(o.update(true, now.Add(onsetDuration/2)))
	is.True(!o.update(true, now.Add(onsetDuration)))
	is.True(!o.update(false, now.Add(2*onsetDuration)))
	is.True(o.update(true, now.Add(3*onsetDuration)))
}
