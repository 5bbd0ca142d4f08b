package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine started as a time.Time without a
// monotonic reading. Unlike Go's monotonic clock, it advances while the machine
// is suspended, so that a lease compared with it expires in real time.
func Boot() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME exists on every Linux version that Go supports.
		panic(err)
	}
	return time.Unix(ts.Unix())
}
