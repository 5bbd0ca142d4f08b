// Package report sends usage reports to their receiver while this instance holds the
// duty to do so. Package outbox decides; this package proposes, calls and logs.
package report

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/duty"
	"corianderwing/core/outbox"
	"corianderwing/core/usage"
	"corianderwing/io/clock"
	"corianderwing/io/meter"
)

// Duty is the name of the duty to report usage.
const Duty duty.Name = "usage"

const (
	// pollInterval is the interval of steps. A candidate notices the end of a lease
	// that much later.
	pollInterval = 100 * time.Millisecond
	// proposeTimeout bounds one change of the duty.
	proposeTimeout = time.Second
	// callTimeout bounds one call to the receiver.
	callTimeout = time.Second
	// settleFraction is the part of the time until a report is due that is left for
	// late counts. The rest is for another holder and for retries.
	settleFraction = 3
	// maxSettleWindows is the number of windows after which counts are recorded at the
	// latest. After outbox.MaxPending, a window is given up.
	maxSettleWindows = outbox.MaxPending / 2
)

// Group is the part of the control plane that a Reporter needs.
type Group interface {
	// Leading returns the term in which this instance leads the group, or 0.
	Leading() corianderwing.Term
	// Duty returns the state of a duty as applied by this instance.
	Duty(duty.Name) duty.State
	// ChangeDuty commits a change, unless another term has begun.
	ChangeDuty(context.Context, corianderwing.Term, *duty.Change) error
	// Usage returns the counts that were reported to this instance.
	Usage() *usage.Ledger
	// WallTime returns the time to which the numbers of windows refer.
	WallTime() time.Time
}

// Config configures a Reporter.
type Config struct {
	Addr      string // of the receiver, see SetAddr
	SourceIP  net.IP // of the connections to it; nil to let the operating system choose
	Self      duty.Holder
	Lease     time.Duration // of the duty
	Window    time.Duration // length of a window
	Late      time.Duration // after the end of a window, when its report is late
	PerSecond float64       // calls that the receiver accepts; 0 for no limit
	Dialect   corianderwing.UsageDialect
	Log       *log.Logger
	Meter     *meter.Meter
}

// Reporter takes the duty to report usage whenever its instance leads the group.
type Reporter struct {
	cfg    Config
	addr   atomic.Pointer[string]
	group  Group
	boot   func() time.Time // a clock that advances while the machine is suspended
	sender outbox.Sender
	log    reportLog

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Start starts a Reporter.
func Start(cfg Config, g Group) *Reporter {
	r := newReporter(cfg, g, clock.Boot)
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.wg.Go(func() { r.loop(ctx) })
	return r
}

func newReporter(cfg Config, g Group, boot func() time.Time) *Reporter {
	var interval time.Duration
	if cfg.PerSecond > 0 {
		interval = time.Duration(float64(time.Second) / cfg.PerSecond)
	}
	member := duty.NewMember(cfg.Self, corianderwing.Millis(cfg.Lease.Milliseconds()))
	schedule := outbox.Schedule{Length: cfg.Window, Settle: min(cfg.Late/settleFraction, maxSettleWindows*cfg.Window)}
	r := &Reporter{
		cfg: cfg, group: g, boot: boot,
		sender: outbox.NewSender(Duty, member, schedule, outbox.Pacer{Interval: interval}),
		log:    newReportLog(cfg),
	}
	r.SetAddr(cfg.Addr)
	return r
}

// SetAddr replaces the address of the receiver.
func (r *Reporter) SetAddr(addr string) { r.addr.Store(&addr) }

// Close stops the Reporter. A call that is under way ends.
func (r *Reporter) Close() {
	r.cancel()
	r.wg.Wait()
}

func (r *Reporter) loop(ctx context.Context) {
	for clock.Sleep(ctx, pollInterval) {
		for r.step(ctx) && ctx.Err() == nil {
			// Work that is due follows at once.
		}
	}
}

// step does what is due now and reports whether that succeeded.
func (r *Reporter) step(ctx context.Context) bool {
	in := outbox.Input{
		State:   r.group.Duty(Duty),
		Term:    r.group.Leading(),
		Boot:    r.boot(),
		Now:     r.group.WallTime(),
		Totals:  r.group.Usage().Totals,
		Windows: r.group.Usage().Windows,
	}
	next, action, err := r.sender.Step(in)
	r.sender = next
	r.log.observe(next.Member(), in, err)
	switch {
	case action.Propose != nil:
		return r.propose(ctx, in, action)
	case action.Send != nil:
		return r.send(ctx, action.Send)
	}
	return false
}

func (r *Reporter) propose(ctx context.Context, in outbox.Input, a outbox.Action) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := r.group.ChangeDuty(ctx, in.Term, a.Propose)
	r.log.proposed(a.Outcome, err)
	return err == nil
}

// send reports one window and returns whether the receiver accepted it.
func (r *Reporter) send(ctx context.Context, c *outbox.Call) bool {
	began := r.boot()
	result, status, err := r.call(ctx, c)
	r.sender = r.sender.Answered(c.Report.Window, result, r.boot())
	late := r.group.WallTime().Sub(c.Report.Window.End(r.cfg.Window)) > r.cfg.Late
	r.log.sent(c, result, sendInfo{status: status, late: late, took: r.boot().Sub(began)}, err)
	return result.Accepted
}
