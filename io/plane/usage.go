package plane

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/usage"
	"corianderwing/core/wall"
	"corianderwing/io/clock"
)

// usageForwardInterval is the minimum time between two reports with usage. Counts
// grow all the time, and each report holds those that have changed.
const usageForwardInterval = time.Second

// usageState holds the counted requests of workspaces, and the wall-clock time to
// which their windows refer. The zero value counts nothing.
type usageState struct {
	window      time.Duration // length; 0 if nothing is counted
	log         *log.Logger
	incarnation corianderwing.Incarnation
	ledger      *usage.Ledger

	mu        sync.Mutex
	clock     wall.Clock
	votes     wall.Votes
	sender    *usage.Sender // to the leader
	forwarded time.Time     // boot time of the last report with usage
	wrong     bool          // the wall clock differs from the estimated time
}

// init prepares the state for windows of the given length.
func (u *usageState) init(window time.Duration, i corianderwing.Incarnation, l *log.Logger) {
	u.window, u.incarnation, u.log = window, i, l
	u.ledger = usage.NewLedger()
	u.sender = usage.NewSender(u.ledger)
}

// Usage returns the counted requests of workspaces. They are complete at the leader,
// as far as entry instances have reported them.
func (p *Plane) Usage() *usage.Ledger { return p.usage.ledger }

// WallTime returns the estimated wall-clock time, which does not follow the jumps of
// the wall clock of a single instance.
func (p *Plane) WallTime() time.Time { return p.usage.wallTime(time.Now(), clock.Boot()) }

func (u *usageState) wallTime(now, boot time.Time) time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.clock.Observe(now.Round(0), boot)
	own := u.clock.Offset()
	estimate := wall.Correct(own, u.votes.Median(own, boot))
	c := u.clock.Correction(estimate)
	if wrong := c != 0; u.log != nil && wrong != u.wrong {
		u.wrong = wrong
		u.log.Warn().Bool("wrong", wrong).Int64("correction_ms", c.Milliseconds()).Msg("wall clock wrong or right again")
	}
	return estimate.At(boot)
}

// handleHeartbeat merges the usage in a heartbeat and adds to the response what the
// entry instance needs in order to count. It returns the number of windows that were
// ignored.
func (u *usageState) handleHeartbeat(q *HeartbeatRequest, r *HeartbeatResponse, now, boot time.Time) (ignored int) {
	if u.window <= 0 {
		return 0
	}
	if q.Wall != 0 {
		u.mu.Lock()
		u.votes.Add(string(q.Entry.ID), wall.OffsetOf(time.UnixMicro(q.Wall), boot), boot)
		u.mu.Unlock()
	}
	wallTime := u.wallTime(now, boot)
	if len(q.Usage) > 0 {
		source := usage.Source{Instance: q.Entry.ID, Incarnation: q.Entry.Incarnation}
		ignored = u.ledger.Merge(usage.Report{Source: source, Windows: q.Usage}, usage.At(wallTime, u.window))
	}
	r.UsageWindow = corianderwing.Millis(u.window.Milliseconds())
	r.Wall, r.Incarnation = wallTime.UnixMicro(), u.incarnation
	return ignored
}

// report returns the usage that a leader has not acknowledged, or nil if it is too
// early for a report.
func (u *usageState) report(leader string, boot time.Time) []usage.Report {
	if u.window <= 0 {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if boot.Sub(u.forwarded) < usageForwardInterval {
		return nil
	}
	u.forwarded = boot
	return u.sender.Next(leader)
}

// handleResponse records that the leader responded to a message, which may have held
// the last report.
func (u *usageState) handleResponse(from usage.Receiver, reported bool) {
	if u.window <= 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if !reported {
		u.sender.Observe(from)
		return
	}
	u.sender.Acknowledge(from)
}

// merge adds the reports of another control instance.
func (u *usageState) merge(list []usage.Report, now, boot time.Time) {
	if u.window <= 0 || len(list) == 0 {
		return
	}
	current := usage.At(u.wallTime(now, boot), u.window)
	for _, r := range list {
		u.ledger.Merge(r, current)
	}
}
