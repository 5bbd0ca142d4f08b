package node

import (
	"io"
	"net/http"
	"time"

	"corianderwing/core/budget"
	"corianderwing/io/clock"
)

// serveMetrics serves the counters and latency histograms of the instance, if the
// settings give an address for them.
func (n *Node) serveMetrics() error {
	if n.cfg.Listen.Metrics == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.updateGauges()
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = io.WriteString(w, n.meter.Report().Text()) // fails only if the client disconnected
	})
	_, err := n.serve(n.cfg.Listen.Metrics, mux, budget.Status, callTimeout)
	return err
}

// measurer reports gauges.
type measurer interface {
	Measure(gauge func(name string, v int64))
}

// updateGauges updates the gauges that are computed only when metrics are
// requested.
func (n *Node) updateGauges() {
	gauge := func(name string, v int64) { n.meter.Gauge(name).Update(v) }
	gauge("log.dropped", n.logWriter.Dropped())
	gauge("late.ms", time.Duration(n.lateness.last.Load()).Milliseconds())
	gauge("late.worst.ms", time.Duration(n.lateness.worst.Load()).Milliseconds())
	u := n.guard.Usage()
	gauge("clients.conns", int64(u.Conns))
	gauge("clients.memory", int64(u.Memory))
	gauge("clients.held", int64(u.Held))
	gauge("peers.closed", n.peerServer.NumClosed())
	if n.adminMeasurer != nil {
		n.adminMeasurer.Measure(gauge)
	}
	if n.plane != nil {
		n.plane.Measure(gauge)
	}
	if g := n.gate.Load(); g != nil {
		view, _ := n.follow.View()
		gauge("revision", int64(view.Revision()))
		gauge("lease.ms", max(0, n.follow.FreshUntil().Sub(clock.Boot()).Milliseconds()))
		gauge("shares.returns", n.follow.Returns())
		lent, borrowed := n.follow.LendStats()
		gauge("shares.lent", lent)
		gauge("shares.borrowed", borrowed)
		gauge("requests", g.Active())
		gauge("upstreams", int64(view.NumUpstreams()))
	}
}
