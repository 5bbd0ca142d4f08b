package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine started as a time.Time without a
// monotonic reading. Unlike Go's monotonic clock it goes on while the machine
// is suspended, so that a lease that is compared with it ends in real time.
func Boot() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every Linux that Go supports.
		panic(err)
	}
	return time.Unix(ts.Unix())
}
