package plane

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against waiting requests whose repeated calls take the processor time of
// the control instance: with a call each 100 ms, 130 waiting requests are 1,300
// calls a second, three times as many as the requests themselves.
func TestWaitingCallsAreFew(t *testing.T) {
	is := is.New(t)
	calls, wait := 1, LeastWait
	for total := wait; total < 2*time.Second; total += wait {
		wait = NextWait(wait)
		calls++
		is.True(wait <= MostWait) // a control instance that is gone is noticed
	}
	is.True(calls <= 8)
}
