package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"corianderwing"
)

// Result is the outcome of a run. Only requests that were planned after the
// warm-up are counted, and times are in microseconds from the planned time of
// a request to the last byte of its answer.
type Result struct {
	Scenario   string         `json:"scenario"`
	Seed       uint64         `json:"seed"`
	Start      time.Time      `json:"start"`
	Seconds    float64        `json:"seconds"` // measured
	Planned    int            `json:"planned"` // with the warm-up
	Sent       int            `json:"sent"`    // with the warm-up
	Lag        int64          `json:"lag"`     // 99th percentile of how late requests were sent; part of their times
	Total      Row            `json:"total"`
	Workspaces []Row          `json:"workspaces"`
	Kinds      []Row          `json:"kinds"`
	Codes      map[string]int `json:"codes"` // by name of the result code or failure
	Worst      float64        `json:"worst"` // lowest Served of a workspace
	Best       float64        `json:"best"`  // highest
	Orders     Orders         `json:"orders"`
	Upstreams  Upstreams      `json:"upstreams"`
}

// Row counts the requests of one workspace or of one kind. Second copies of
// orders are not in it.
type Row struct {
	Name     string  `json:"name"`
	Rate     float64 `json:"rate,omitempty"`  // agreed
	Burst    float64 `json:"burst,omitempty"` // agreed
	Sent     int     `json:"sent"`
	Good     int     `json:"good"`     // served with the right answer
	Refused  int     `json:"refused"`  // not run
	Failed   int     `json:"failed"`   // no answer, a wrong one, or one that may have run
	Wrongful int     `json:"wrongful"` // refused for rate although inside it
	Turned   int     `json:"turned"`   // refused for another reason although inside the rate
	Over     float64 `json:"over"`     // least possible number of requests admitted beyond rate and burst
	Served   float64 `json:"served"`   // good ones of those that should have been served
	P50      int64   `json:"p50"`      // of the good ones, as are the next
	P90      int64   `json:"p90"`
	P99      int64   `json:"p99"`
	P999     int64   `json:"p999"`
	Max      int64   `json:"max"`
}

// tally collects a Row.
type tally struct {
	row  Row
	hist *hdrhistogram.Histogram
}

// maxTime is the longest time that a histogram holds, in microseconds.
const maxTime = 600_000_000

func newTally(name string) *tally {
	return &tally{row: Row{Name: name}, hist: hdrhistogram.New(1, maxTime, 3)}
}

func (t *tally) add(event Event, s seen, v verdict) {
	t.row.Sent++
	switch {
	case s.first.code == corianderwing.ClaimPending && s.twice && s.again.good():
		t.row.Good++ // the overlapping second copy got the answer
	case s.first.good():
		t.row.Good++
		_ = t.hist.RecordValue(min(max((s.done-event.At).Microseconds(), 1), maxTime)) // in range
	case s.first.failure == answered && s.first.run == corianderwing.NotExecuted:
		t.row.Refused++
	default:
		t.row.Failed++
	}
	switch v {
	case wrongful:
		t.row.Wrongful++
	case turned:
		t.row.Turned++
	}
}

// good reports whether the request was served with its own answer.
func (o outcome) good() bool {
	return o.failure == answered && (o.code == corianderwing.OK || o.code == corianderwing.ReplayedResponse)
}

func (t *tally) finish() Row {
	r := t.row
	q := t.hist.ValueAtPercentiles([]float64{50, 90, 99, 99.9})
	r.P50, r.P90, r.P99, r.P999 = q[50], q[90], q[99], q[99.9]
	r.Max = t.hist.Max()
	if due := r.Good + r.Failed + r.Wrongful + r.Turned; due > 0 {
		r.Served = float64(r.Good) / float64(due)
	}
	return r
}

// result judges the requests in the order in which they were sent.
func (e *engine) result(sent int) *Result {
	s := e.scenario
	r := &Result{
		Scenario: s.Name,
		Seed:     s.Seed,
		Start:    e.start.UTC(),
		Seconds:  s.Time,
		Planned:  len(e.plan),
		Sent:     sent,
		Codes:    map[string]int{},
	}
	r.Lag = e.lag(sent)
	total := newTally("total")
	kinds := map[string]*tally{}
	for i := range s.Loads {
		w := newTally(string(s.Loads[i].Name))
		e.tallyLoad(i, sent, func(event Event, one seen, v verdict) {
			kind := s.Loads[i].Mix[event.Kind].Name
			if kinds[kind] == nil {
				kinds[kind] = newTally(kind)
			}
			for _, t := range []*tally{w, total, kinds[kind]} {
				t.add(event, one, v)
			}
			r.Codes[one.first.String()]++
		}, &w.row)
		r.Workspaces = append(r.Workspaces, w.finish())
	}
	for _, t := range kinds {
		r.Kinds = append(r.Kinds, t.finish())
	}
	slices.SortFunc(r.Kinds, func(a, b Row) int { return cmp.Compare(a.Name, b.Name) })
	r.Total = total.finish()
	r.spread()
	r.Orders = e.orders(sent)
	return r
}

// lag returns how late the load command itself was, so that its own delay is
// not taken for that of the system.
func (e *engine) lag(sent int) int64 {
	h := hdrhistogram.New(1, maxTime, 3)
	for i, event := range e.plan[:sent] {
		_ = h.RecordValue(min(max((e.seen[i].sent-event.At).Microseconds(), 1), maxTime)) // in range
	}
	return h.ValueAtPercentile(99)
}

// spread finds the worst-served and the best-served workspace.
func (r *Result) spread() {
	first := true
	for _, w := range r.Workspaces {
		if w.Sent == 0 {
			continue
		}
		if first || w.Served < r.Worst {
			r.Worst = w.Served
		}
		if first || w.Served > r.Best {
			r.Best = w.Served
		}
		first = false
	}
}

// sending is one request or second copy, for the judge.
type sending struct {
	span
	index int
	o     outcome
	copy  bool
}

// tallyLoad judges all requests of one workspace and calls add for those that
// are counted.
func (e *engine) tallyLoad(load, sent int, add func(Event, seen, verdict), row *Row) {
	row.Rate, row.Burst, _ = agreed(e.cfg, e.scenario.Loads[load].Name)
	var all []sending
	for i, event := range e.plan[:sent] {
		if event.Load != load {
			continue
		}
		all = append(all, sending{e.seen[i].span, i, e.seen[i].first, false})
		if e.seen[i].twice {
			all = append(all, sending{e.seen[i].second, i, e.seen[i].again, true})
		}
	}
	slices.SortStableFunc(all, func(a, b sending) int { return cmp.Compare(a.sent, b.sent) })
	b := newBucket(row.Rate, row.Burst)
	warm := seconds(e.scenario.Warm)
	var admitted []span
	for _, x := range all {
		v := b.judge(x.sent, x.o)
		if x.o.admitted() {
			admitted = append(admitted, x.span)
		}
		if !x.copy && e.plan[x.index].At >= warm {
			add(e.plan[x.index], e.seen[x.index], v)
		}
	}
	row.Over = excess(row.Rate, row.Burst, admitted)
}
