package shift

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// recordedEvidence is the value of a test from which a Record holds it.
	recordedEvidence = 2

	// maxRecordedRoutes is the maximum number of routes in a Record.
	maxRecordedRoutes = 16
)

// Record is what the owner of a Rollout replicates, so that a successor goes on with
// it: how far the new version has come, and what speaks against it. Latency is not
// included; a successor compares it anew.
type Record struct {
	Share  float64                `json:"share"`
	Trips  uint64                 `json:"trips,omitempty"`
	Total  float64                `json:"total,omitempty"`  // requests to both versions
	Routes map[string]RouteRecord `json:"routes,omitempty"` // those on which a test has evidence of a fault
}

// RouteRecord holds the comparison of one route.
type RouteRecord struct {
	Compared time.Duration `json:"compared"` // since the new version was first compared
	Requests [2]Tally      `json:"requests"` // of the old and the new version since the start of the move
	Baseline Tally         `json:"baseline"` // decayed counts of the old version
	Errors   Evidence      `json:"errors"`
	Late     Evidence      `json:"late"`
}

// Tally counts requests of one version.
type Tally struct {
	Count  float64 `json:"count,omitempty"`
	Errors float64 `json:"errors,omitempty"`
	Late   float64 `json:"late,omitempty"`
}

// Evidence is the state of one sequential test.
type Evidence struct {
	Starts float64                   `json:"starts,omitempty"`
	Sums   [len(effectSizes)]float64 `json:"sums"`
	Value  float64                   `json:"value,omitempty"`
	Max    float64                   `json:"max,omitempty"`
}

// Record returns what a successor needs to go on with the Rollout at now.
func (r *Rollout) Record(now time.Time) Record {
	rec := Record{Share: r.share, Trips: r.trips, Total: r.total}
	for _, name := range r.routesWithEvidence() {
		if rec.Routes == nil {
			rec.Routes = map[string]RouteRecord{}
		}
		rec.Routes[name] = r.routes[name].record(now)
	}
	return rec
}

// routesWithEvidence returns the routes on which a test has evidence of a fault; if
// there are too many, those with the most.
func (r *Rollout) routesWithEvidence() []string {
	names := slices.DeleteFunc(slices.Collect(maps.Keys(r.routes)), func(name string) bool {
		return r.routes[name].evidence() < recordedEvidence
	})
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(r.routes[b].evidence(), r.routes[a].evidence()), cmp.Compare(a, b))
	})
	return names[:min(len(names), maxRecordedRoutes)]
}

// evidence returns the largest value of the recorded tests.
func (r *routeComparison) evidence() float64 { return max(r.errors.value, r.late.value) }

func (r *routeComparison) record(now time.Time) RouteRecord {
	return RouteRecord{
		Compared: now.Sub(r.firstTested),
		Requests: [2]Tally{r.totals[0].record(), r.totals[1].record()},
		Baseline: r.baseline.record(),
		Errors:   r.errors.record(),
		Late:     r.late.record(),
	}
}

func (t *tally) record() Tally { return Tally{t.count, t.errors, t.late} }

func (p *eProcess) record() Evidence { return Evidence{p.starts, p.sums, p.value, p.maxValue} }

// WithRecord makes a Rollout go on at now from the Record of a predecessor. The share
// rises again only once samples have arrived.
func WithRecord(rec Record, now time.Time) Option {
	return func(r *Rollout) {
		r.share, r.trips, r.total, r.shareAt = rec.Share, rec.Trips, rec.Total, now
		for name, rr := range rec.Routes {
			r.routes[name] = rr.comparison(now)
		}
	}
}

func (rr RouteRecord) comparison(now time.Time) *routeComparison {
	c := newRouteComparison()
	c.firstTested = now.Add(-rr.Compared)
	for i, t := range rr.Requests {
		c.totals[i] = t.tally()
	}
	c.count = rr.Requests[0].Count + rr.Requests[1].Count
	c.compared = rr.Requests[1].Count
	c.baseline = rr.Baseline.tally()
	c.errors.resume(rr.Errors)
	c.late.resume(rr.Late)
	return c
}

func (t Tally) tally() tally { return tally{count: t.Count, errors: t.Errors, late: t.Late} }

func (p *eProcess) resume(e Evidence) {
	p.starts, p.sums, p.value, p.maxValue = e.Starts, e.Sums, e.Value, e.Max
}
