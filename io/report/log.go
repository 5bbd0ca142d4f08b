package report

import (
	"time"

	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/duty"
	"corianderwing/core/outbox"
	"corianderwing/core/usage"
	"corianderwing/io/meter"
)

// Names of counters and gauges.
const (
	countAccepted = "usage.accepted" // reports that the receiver accepted
	countFailed   = "usage.failed"   // calls that failed or were refused
	countRepeated = "usage.repeated" // calls for a window that was sent before
	countLate     = "usage.late"     // reports that were accepted late
	countGivenUp  = "usage.givenup"  // windows that were given up
	countLost     = "usage.lost"     // times that the duty was lost
	gaugePending  = "usage.pending"  // reports that were recorded and not acknowledged
	gaugeToken    = "usage.token"    // the fencing token
)

// reportLog writes what happens to the duty and to reports, and counts it.
type reportLog struct {
	log    *log.Logger
	meter  *meter.Meter
	window time.Duration

	state    duty.State // last seen
	keptBack duty.Seq   // change after which another holder was waited for
	failed   string     // last error of the recorded state
	ahead    usage.Window
	newest   usage.Window // newest window that was sent
}

func newReportLog(cfg Config) reportLog {
	return reportLog{log: cfg.Log, meter: cfg.Meter, window: cfg.Window}
}

// observe logs changes of the duty.
func (l *reportLog) observe(m duty.Member, in outbox.Input, err error) {
	if err != nil && err.Error() != l.failed {
		l.failed = err.Error()
		l.log.Error().Err(err).Msg("usage reports cannot be read; none is sent")
	}
	l.observeHolder(m, in)
	s := m.State()
	if s.Seq == l.state.Seq {
		return
	}
	l.state = s
	l.meter.Gauge(gaugeToken).Update(int64(s.Token))
	if box, err := outbox.Decode(s.Data); err == nil {
		l.meter.Gauge(gaugePending).Update(int64(len(box.Pending)))
		l.observeNext(box.Next, usage.At(in.Now, l.window))
	}
}

// observeHolder logs that the duty was taken, is kept back, or was lost.
func (l *reportLog) observeHolder(m duty.Member, in outbox.Input) {
	s := m.State()
	if free := m.FreeAt(); in.Term != 0 && in.Boot.Before(free) && l.keptBack != s.Seq {
		l.keptBack = s.Seq
		l.log.Info().Str("duty", string(Duty)).Str("holder", string(s.Holder.Instance)).Uint64("token", uint64(s.Token)).
			Int64("wait", free.Sub(in.Boot).Milliseconds()).Msg("duty kept back until the lease of its holder ends")
	}
	if s.Token == l.state.Token {
		return
	}
	msg := "duty changed its holder"
	switch {
	case m.Holds():
		msg = "duty taken"
	case l.state.Seq > 0 && l.state.Holder == m.Self():
		msg = "duty lost"
		l.meter.Counter(countLost).Inc(1)
	}
	l.log.Info().Str("duty", string(Duty)).Str("holder", string(s.Holder.Instance)).Uint64("token", uint64(s.Token)).Msg(msg)
}

// observeNext logs that the next window lies in the future: clocks were wrong when the
// ones before it were recorded.
func (l *reportLog) observeNext(next, current usage.Window) {
	if next > current+1 && next != l.ahead {
		l.ahead = next
		l.log.Error().Int64("window", int64(next)).Int64("current", int64(current)).
			Msg("next usage window is in the future; windows until then are not reported")
	}
}

// proposed logs what a change of the duty recorded besides counts.
func (l *reportLog) proposed(out outbox.Outcome, err error) {
	if err != nil {
		l.log.Warn().Str("duty", string(Duty)).Err(err).Msg("duty not renewed")
		return
	}
	for _, s := range out.GivenUp {
		l.meter.Counter(countGivenUp).Inc(int64(s.Len()))
		l.log.Error().Int64("first", int64(s.First)).Int64("last", int64(s.Last)).Msg("usage windows given up")
	}
	for id, w := range out.Clamped {
		l.log.Error().Int64("window", int64(w)).Str("workspace", string(id)).Msg("usage count is too large and was reduced")
	}
}

// sendInfo is how a call went.
type sendInfo struct {
	status int
	late   bool
	took   time.Duration
}

// sent logs a call.
func (l *reportLog) sent(c *outbox.Call, result corianderwing.UsageResult, info sendInfo, err error) {
	w := c.Report.Window
	repeated := w <= l.newest
	l.newest = max(l.newest, w)
	if repeated {
		l.meter.Counter(countRepeated).Inc(1)
	}
	level := log.InfoLevel
	if result.Accepted {
		l.meter.Counter(countAccepted).Inc(1)
	} else {
		l.meter.Counter(countFailed).Inc(1)
		level = log.WarnLevel
	}
	if result.Accepted && info.late {
		l.meter.Counter(countLate).Inc(1)
	}
	l.log.WithLevel(level).Int64("window", int64(w)).Uint64("sum", c.Report.Sum()).Int("workspaces", len(c.Report.Counts)).
		Uint64("token", uint64(c.Token)).Bool("accepted", result.Accepted).Int("status", info.status).
		Bool("repeated", repeated).Bool("late", info.late).Int64("ms", info.took.Milliseconds()).Err(err).Msg("usage report sent")
}
