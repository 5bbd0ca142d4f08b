package meter

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"

	"corianderwing"
)

// ResponseTimes summarizes the response times of one workspace and class, in
// microseconds.
type ResponseTimes struct {
	Workspace corianderwing.WorkspaceID `json:"workspace"`
	Class     corianderwing.Class       `json:"class"`
	Count     int64                     `json:"count"`
	Mean      int64                     `json:"mean"`
	P50       int64                     `json:"p50"`
	P90       int64                     `json:"p90"`
	P99       int64                     `json:"p99"`
	P999      int64                     `json:"p999"`
	Max       int64                     `json:"max"`
}

// CodeCount is the number of responses with one result code.
type CodeCount struct {
	Code  corianderwing.Code `json:"code"`
	Name  string             `json:"name"`
	Count int64              `json:"count"`
}

// Report is a snapshot of a Meter.
type Report struct {
	Times      []ResponseTimes  `json:"times"`
	Codes      []CodeCount      `json:"codes"`
	Counts     map[string]int64 `json:"counts,omitempty"` // counters and gauges
	Violations map[string]int64 `json:"broken,omitempty"` // counts of invariant violations by name
}

// percentiles are the quantiles of ResponseTimes, in the order of its fields.
var percentiles = []float64{0.5, 0.9, 0.99, 0.999}

// Report returns a snapshot, sorted by workspace, class and code.
func (m *Meter) Report() Report {
	t := m.tables.Load()
	r := Report{Counts: values(m.registry), Violations: values(m.violations)}
	for s, h := range t.times {
		r.Times = append(r.Times, summarize(s, h))
	}
	for code, n := range t.codes {
		r.Codes = append(r.Codes, CodeCount{Code: code, Name: code.String(), Count: n.Count()})
	}
	slices.SortFunc(r.Times, func(a, b ResponseTimes) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Class, b.Class))
	})
	slices.SortFunc(r.Codes, func(a, b CodeCount) int { return cmp.Compare(a.Code, b.Code) })
	return r
}

// values returns the counters and gauges of a registry, or nil if it has none.
func values(registry metrics.Registry) map[string]int64 {
	var all map[string]int64
	set := func(name string, v int64) {
		if all == nil {
			all = map[string]int64{}
		}
		all[name] = v
	}
	registry.Each(func(name string, metric any) {
		switch v := metric.(type) {
		case metrics.Counter:
			set(name, v.Count())
		case metrics.Gauge:
			set(name, v.Value())
		}
	})
	return all
}

func summarize(s series, h metrics.Histogram) ResponseTimes {
	snap := h.Snapshot()
	p := snap.Percentiles(percentiles)
	return ResponseTimes{
		Workspace: s.workspace,
		Class:     s.class,
		Count:     snap.Count(),
		Mean:      int64(snap.Mean()),
		P50:       int64(p[0]),
		P90:       int64(p[1]),
		P99:       int64(p[2]),
		P999:      int64(p[3]),
		Max:       snap.Max(),
	}
}

// Text returns the report as text, with one metric per line.
func (r Report) Text() string {
	var b strings.Builder
	for _, t := range r.Times {
		fmt.Fprintf(&b, "times workspace=%s class=%s count=%d mean=%d p50=%d p90=%d p99=%d p999=%d max=%d\n",
			t.Workspace, t.Class, t.Count, t.Mean, t.P50, t.P90, t.P99, t.P999, t.Max)
	}
	for _, c := range r.Codes {
		fmt.Fprintf(&b, "codes code=%d name=%s count=%d\n", uint16(c.Code), c.Name, c.Count)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Fprintf(&b, "counts name=%s value=%d\n", name, r.Counts[name])
	}
	for _, name := range slices.Sorted(maps.Keys(r.Violations)) {
		fmt.Fprintf(&b, "broken name=%s value=%d\n", name, r.Violations[name])
	}
	return b.String()
}

// ServeHTTP writes the report as JSON, or as text with ?format=text.
func (m *Meter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	report := m.Report()
	if r.URL.Query().Get("format") == "text" {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = io.WriteString(w, report.Text()) // fails only if the client has disconnected
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}
