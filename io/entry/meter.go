package entry

import (
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"corianderwing"
)

// meter holds the metrics of the request path.
type meter struct {
	registry   metrics.Registry
	violations metrics.Counter
	codes      sync.Map // corianderwing.Code → metrics.Counter
	latency    sync.Map // latencyKey → metrics.Histogram
}

type latencyKey struct {
	workspace corianderwing.WorkspaceID
	class     corianderwing.Class
}

func newMeter(r metrics.Registry) *meter {
	return &meter{registry: r, violations: metrics.GetOrRegisterCounter("broken", r)}
}

// recordViolation counts and logs a violated invariant.
func (m *meter) recordViolation(what string) {
	m.violations.Inc(1)
	log.Error().Str("what", what).Msg("invariant violated")
}

// recordResponse counts a response. Only requests whose route is in the
// settings get a histogram, so that callers cannot create metrics.
func (m *meter) recordResponse(x *exchange, total time.Duration) {
	c, ok := m.codes.Load(x.code)
	if !ok {
		c, _ = m.codes.LoadOrStore(x.code, metrics.GetOrRegisterCounter("code."+x.code.String(), m.registry))
	}
	c.(metrics.Counter).Inc(1)
	if x.eff == nil {
		return
	}
	id := latencyKey{x.workspace, x.class}
	h, ok := m.latency.Load(id)
	if !ok {
		name := "latency." + string(id.workspace) + "." + string(id.class)
		fresh := metrics.GetOrRegisterHistogram(name, m.registry, metrics.NewExpDecaySample(1028, 0.015))
		h, _ = m.latency.LoadOrStore(id, fresh)
	}
	h.(metrics.Histogram).Update(total.Microseconds())
}
