// Package meter keeps the metrics of a process: response times per workspace and
// class, response counts per result code, and named counters and gauges. It is a
// thin layer over go-metrics.
package meter

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"corianderwing"
)

const (
	// sampleSize and alpha are the usual values for an exponentially decaying
	// sample: 99.9% confidence with a 5% margin of error, weighted to the last
	// 5 minutes.
	sampleSize = 1028
	alpha      = 0.015
	// maxSeries limits the number of histograms, each of which takes up to
	// 25 KB. Further workspaces share the series of the workspace "other".
	maxSeries = 1000
	// Other is the workspace of the series that workspaces beyond maxSeries
	// share.
	Other corianderwing.WorkspaceID = "other"
)

// series identifies a histogram.
type series struct {
	workspace corianderwing.WorkspaceID
	class     corianderwing.Class
}

// tables hold the metrics by key. They are immutable and replaced on each
// addition, so that RecordResponse reads them without a lock.
type tables struct {
	times map[series]metrics.Histogram
	codes map[corianderwing.Code]metrics.Counter
}

// Meter owns the metrics of one process.
type Meter struct {
	registry   metrics.Registry
	violations metrics.Registry // counters of invariant violations
	tables     atomic.Pointer[tables]
	mu         sync.Mutex // serialises replacements of tables
}

// New returns an empty Meter.
func New() *Meter {
	m := &Meter{registry: metrics.NewRegistry(), violations: metrics.NewRegistry()}
	m.tables.Store(&tables{})
	return m
}

// RecordResponse counts a response by result code and records d, the time from
// the arrival of the request to the last byte of the response.
func (m *Meter) RecordResponse(w corianderwing.WorkspaceID, c corianderwing.Class, code corianderwing.Code, d time.Duration) {
	t := m.tables.Load()
	h, ok := t.times[series{w, c}]
	if !ok {
		h = m.addHistogram(series{w, c})
	}
	h.Update(d.Microseconds())
	n, ok := t.codes[code]
	if !ok {
		n = m.addCodeCounter(code)
	}
	n.Inc(1)
}

func (m *Meter) addHistogram(s series) metrics.Histogram {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.tables.Load()
	if h, ok := old.times[s]; ok {
		return h
	}
	if len(old.times) >= maxSeries {
		s.workspace = Other
		if h, ok := old.times[s]; ok {
			return h
		}
	}
	h := metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, alpha))
	next := &tables{times: map[series]metrics.Histogram{s: h}, codes: old.codes}
	maps.Copy(next.times, old.times)
	m.tables.Store(next)
	return h
}

func (m *Meter) addCodeCounter(code corianderwing.Code) metrics.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.tables.Load()
	if n, ok := old.codes[code]; ok {
		return n
	}
	n := metrics.NewCounter()
	next := &tables{times: old.times, codes: map[corianderwing.Code]metrics.Counter{code: n}}
	maps.Copy(next.codes, old.codes)
	m.tables.Store(next)
	return n
}

// Counter returns the counter with the given one-word name. Callers on the
// request path should keep it, because the lookup takes a lock.
func (m *Meter) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, m.registry)
}

// Gauge returns the gauge with the given one-word name, which must not be the
// name of a counter.
func (m *Meter) Gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, m.registry)
}

// RecordViolation counts a violation of an invariant, such as "i3".
func (m *Meter) RecordViolation(invariant string) {
	metrics.GetOrRegisterCounter(invariant, m.violations).Inc(1)
}
