package shift

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"corianderwing"
)

// Buckets is the number of latency buckets of a Sample.
const Buckets = 32

// Bucket returns the index of the latency bucket of d. Bounds grow by a factor
// of the square root of 2 from 1 ms; the last bucket has no bound.
func Bucket(d time.Duration) int {
	if d <= time.Millisecond {
		return 0
	}
	i := math.Ceil(2 * math.Log2(float64(d)/float64(time.Millisecond)))
	return min(int(i), Buckets-1)
}

// BucketBound returns the upper bound of a latency bucket.
func BucketBound(i int) time.Duration {
	return time.Duration(float64(time.Millisecond) * math.Pow(2, float64(i)/2))
}

// Sample is what one instance counted on one route for one version since its
// last report. Errors are answers that count against a version: 5xx, failed
// connections and passed deadlines.
type Sample struct {
	Route   string                  `json:"route"` // corianderwing.Path.String of the route
	Version corianderwing.VersionID `json:"version"`
	Count   uint64                  `json:"count"`
	Errors  uint64                  `json:"errors,omitempty"`
	Late    uint64                  `json:"late,omitempty"`   // that took much longer than the instance expected
	Trips   uint64                  `json:"trips,omitempty"`  // of the instance's Guard
	Latency [Buckets]uint64         `json:"latency,omitzero"` // to the first byte
}

// Add adds what another instance counted on the same route for the same
// version.
func (s *Sample) Add(o Sample) {
	s.Count += o.Count
	s.Errors += o.Errors
	s.Late += o.Late
	s.Trips += o.Trips
	for i, n := range o.Latency {
		s.Latency[i] += n
	}
}

// minSlowExcess is by how much the fraction of slow requests must recently be
// higher for a fault. The test takes the requests of a block as independent,
// but a busy machine delays them together: a run rolled back a version with
// 57% slow requests beside 60% of the old one.
const minSlowExcess = 0.1

// baselineDecay is the factor by which the counts of the old version decay with each
// block, so that they follow a changing load.
const baselineDecay = 0.98

// tally counts the requests of one version.
type tally struct {
	count, errors float64
	late          float64
	latency       [Buckets]float64
}

func (t *tally) add(s Sample) {
	t.count += float64(s.Count)
	t.errors += float64(s.Errors)
	t.late += float64(s.Late)
	for i, n := range s.Latency {
		t.latency[i] += float64(n)
	}
}

// countAbove returns the requests in the buckets after i.
func (t *tally) countAbove(i int) (n float64) {
	for _, c := range t.latency[i+1:] {
		n += c
	}
	return n
}

// quantile returns the bucket that holds the quantile q.
func (t *tally) quantile(q float64) int {
	var sum, all float64
	for _, c := range t.latency {
		all += c
	}
	for i, c := range t.latency {
		if sum += c; sum >= q*all {
			return i
		}
	}
	return Buckets - 1
}

// routeComparison compares the versions on one routeComparison.
type routeComparison struct {
	count       float64   // requests to both versions
	firstTested time.Time // when the new version was first compared
	compared    float64   // requests to the new version in finished blocks
	baseline    tally     // the old version in earlier blocks
	block       [2]tally  // the old and new version in the present block
	totals      [2]tally  // the same, since the start
	errors      eProcess
	late        eProcess
	median      eProcess
	tail        eProcess
}

func newRouteComparison() *routeComparison {
	return &routeComparison{
		errors: newEProcess(errorMargin),
		late:   newEProcess(lateMargin),
		median: newEProcess(medianMargin),
		tail:   newEProcess(tailMargin),
	}
}

func (r *routeComparison) add(s Sample, isNew bool) {
	i := 0
	if isNew {
		i = 1
	}
	r.count += float64(s.Count)
	r.block[i].add(s)
	r.totals[i].add(s)
}

// test ends the block if it has requests to both versions, and reports the
// evidence of a fault. It compares latency once the time warm has passed.
func (r *routeComparison) test(now time.Time, warm time.Duration, pace *Pace) (string, bool) {
	from, to := &r.block[0], &r.block[1]
	if to.count == 0 || from.count == 0 && (!pace.CompareWithoutOld || r.baseline.count < minBaseline) {
		return "", false
	}
	rate := (r.baseline.errors + 0.5) / (r.baseline.count + 50) // about 1% before there are counts
	r.errors.update(rate, binomial{from.count, from.errors}, binomial{to.count, to.errors})
	fault := ""
	if r.errors.significant(pace.FalsePositiveRate) {
		fault = fmt.Sprintf("errors: new version %.0f of %.0f requests, old %.0f of %.0f",
			r.totals[1].errors, r.totals[1].count, r.totals[0].errors, r.totals[0].count)
	}
	lateRate := (r.baseline.late + 0.5) / (r.baseline.count + 20)
	if r.firstTested.IsZero() {
		r.firstTested = now
	}
	if now.Sub(r.firstTested) >= warm {
		r.late.update(lateRate, binomial{from.count, from.late}, binomial{to.count, to.late})
	}
	if r.late.significant(pace.FalsePositiveRate) {
		fault = cmp.Or(fault, fmt.Sprintf("late: new version %.0f of %.0f requests, old %.0f of %.0f",
			r.totals[1].late, r.totals[1].count, r.totals[0].late, r.totals[0].count))
	}
	if now.Sub(r.firstTested) >= warm && r.baseline.count >= minBaseline {
		fault = cmp.Or(fault, r.testLatency(&r.median, 0.5, pace.FalsePositiveRate), r.testLatency(&r.tail, 0.95, pace.FalsePositiveRate))
	}
	r.endBlock()
	if fault == "" {
		return "", false
	}
	return fmt.Sprintf("%s; probability under equal versions at most %.0e", fault, pace.FalsePositiveRate), true
}

// testLatency compares the requests that are slower than a quantile of the old
// version by a bucket, a factor of 1.4, and returns the evidence of a fault or
// nothing. A new version takes over the load while the old one loses it, so
// that a smaller difference shows the load and not the version.
func (r *routeComparison) testLatency(p *eProcess, quantile, alpha float64) string {
	from, to := &r.block[0], &r.block[1]
	i := min(r.baseline.quantile(quantile)+1, Buckets-1)
	rate := (r.baseline.countAbove(i) + 0.5) / (r.baseline.count + 1)
	p.update(rate, binomial{from.count, from.countAbove(i)}, binomial{to.count, to.countAbove(i)})
	if !p.significant(alpha) || !p.exceeds(minSlowExcess) {
		return ""
	}
	return fmt.Sprintf("latency: new version %.0f%% of %.0f requests over %v, old %.0f%% of %.0f",
		100*r.totals[1].countAbove(i)/r.totals[1].count, r.totals[1].count, BucketBound(i).Round(time.Millisecond),
		100*r.totals[0].countAbove(i)/r.totals[0].count, r.totals[0].count)
}

func (r *routeComparison) endBlock() {
	r.compared += r.block[1].count
	if r.block[0].count == 0 {
		r.block = [2]tally{} // the old version's counts stay as they were
		return
	}
	r.baseline.count = r.baseline.count*baselineDecay + r.block[0].count
	r.baseline.errors = r.baseline.errors*baselineDecay + r.block[0].errors
	r.baseline.late = r.baseline.late*baselineDecay + r.block[0].late
	for i := range r.baseline.latency {
		r.baseline.latency[i] = r.baseline.latency[i]*baselineDecay + r.block[0].latency[i]
	}
	r.block = [2]tally{}
}
