package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sys/unix"

	"corianderwing/io/clock"
)

const (
	// lateInterval is the interval of the timer whose delay is measured.
	lateInterval = 250 * time.Millisecond
	// minLate is the delay of a timer from which on a line is logged, and
	// minLateLogInterval the minimum time between two lines.
	minLate            = 50 * time.Millisecond
	minLateLogInterval = time.Second
)

// lateness measures how late the timers of the process are. They are late while it is
// short of processor time, or was stopped.
type lateness struct {
	last  atomic.Int64 // delay of the last timer, in ns
	worst atomic.Int64 // largest delay since the start, in ns
}

// run measures until ctx ends.
func (l *lateness) run(ctx context.Context, logger *log.Logger) {
	var worst time.Duration // since the last line
	loggedAt, cpu := time.Now(), processorTime()
	for {
		due := time.Now().Add(lateInterval)
		if !clock.Sleep(ctx, lateInterval) {
			return
		}
		now := time.Now()
		late := now.Sub(due)
		l.last.Store(int64(late))
		l.worst.Store(max(l.worst.Load(), int64(late)))
		worst = max(worst, late)
		if worst < minLate || now.Sub(loggedAt) < minLateLogInterval {
			continue
		}
		used := processorTime()
		logger.Warn().Int64("late", worst.Milliseconds()).Int64("cpu", (used-cpu).Milliseconds()).
			Int64("of", now.Sub(loggedAt).Milliseconds()).Msg("timers are late")
		loggedAt, cpu, worst = now, used, 0
	}
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
