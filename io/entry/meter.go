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
	invariants metrics.Counter
	codes      sync.Map // corianderwing.Code → metrics.Counter
	latency    sync.Map // series → metrics.Histogram
}

type series struct {
	workspace corianderwing.WorkspaceID
	class     corianderwing.Class
}

func newMeter(r metrics.Registry) *meter {
	return &meter{registry: r, invariants: metrics.GetOrRegisterCounter("broken", r)}
}

// broken counts a broken invariant.
func (m *meter) broken(what string) {
	m.invariants.Inc(1)
	log.Error().Str("what", what).Msg("invariant broken")
}

// answer counts an answer. Only workspaces that the settings know get a
// histogram, so callers cannot create any.
func (m *meter) answer(v *visit, total time.Duration) {
	c, ok := m.codes.Load(v.code)
	if !ok {
		c, _ = m.codes.LoadOrStore(v.code, metrics.GetOrRegisterCounter("code."+v.code.String(), m.registry))
	}
	c.(metrics.Counter).Inc(1)
	if v.eff == nil {
		return
	}
	id := series{v.workspace, v.class}
	h, ok := m.latency.Load(id)
	if !ok {
		name := "latency." + string(id.workspace) + "." + string(id.class)
		fresh := metrics.GetOrRegisterHistogram(name, m.registry, metrics.NewExpDecaySample(1028, 0.015))
		h, _ = m.latency.LoadOrStore(id, fresh)
	}
	h.(metrics.Histogram).Update(total.Microseconds())
}
