package follow

import (
	"context"
	"time"

	"corianderwing/core/usage"
	"corianderwing/io/plane"
)

// addUsage adds to a heartbeat the counted requests that the followed control instance
// has not acknowledged.
func (f *Follower) addUsage(q *plane.HeartbeatRequest, addr string, boot time.Time) {
	own := f.cfg.Usage.Observe(time.Now().Round(0), boot)
	if !f.cfg.Usage.Enabled() {
		return
	}
	q.Wall = own.UnixMicro()
	q.Usage = f.cfg.Usage.Report(addr)
}

// acknowledgeUsage records that the followed control instance has received a
// heartbeat that was sent at the given boot time.
func (f *Follower) acknowledgeUsage(q *plane.HeartbeatRequest, addr string, r *plane.HeartbeatResponse, sent time.Time) {
	f.cfg.Usage.Acknowledge(usage.Receiver{Addr: addr, Incarnation: r.Incarnation}, q.Usage)
	f.cfg.Usage.Configure(time.Duration(r.UsageWindow)*time.Millisecond, usage.Sample{
		Wall:     time.UnixMicro(r.Wall),
		Sent:     sent,
		Received: f.cfg.Now(),
	})
	c := f.cfg.Usage.Correction()
	if wrong := f.cfg.Usage.Enabled() && c != 0; f.clockWrong.Swap(wrong) != wrong {
		f.cfg.Log.Warn().Str("control", addr).Bool("wrong", wrong).Int64("correction_ms", c.Milliseconds()).Msg("wall clock wrong or right again")
	}
}

// ReportUsage sends a heartbeat if there are counted requests that the followed control
// instance has not acknowledged, for example at the end of a planned stop.
func (f *Follower) ReportUsage(ctx context.Context) {
	if f.cfg.Usage.Pending() > 0 {
		f.heartbeat(ctx)
	}
}
