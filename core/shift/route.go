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

// Bucket returns the index of the latency bucket of d. Bucket bounds start at
// 1 ms and grow by a factor of the square root of 2; the last bucket is
// unbounded.
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

// Sample holds the counts of one instance for one route and version since its
// last report. Errors are outcomes that count against a version: 5xx responses,
// failed connections and exceeded deadlines.
type Sample struct {
	Route   string                  `json:"route"` // corianderwing.Path.String of the route
	Version corianderwing.VersionID `json:"version"`
	Count   uint64                  `json:"count"`
	Errors  uint64                  `json:"errors,omitempty"`
	Late    uint64                  `json:"late,omitempty"`   // requests that took much longer than the instance expected
	Trips   uint64                  `json:"trips,omitempty"`  // trips of the instance's Breaker
	Latency [Buckets]uint64         `json:"latency,omitzero"` // histogram of the time to the first byte
}

// Add adds the counts of another instance for the same route and version.
func (s *Sample) Add(o Sample) {
	s.Count += o.Count
	s.Errors += o.Errors
	s.Late += o.Late
	s.Trips += o.Trips
	for i, n := range o.Latency {
		s.Latency[i] += n
	}
}

// minSlowExcess is the minimum difference between the recent fractions of slow
// requests for a latency fault. The test treats the requests of a block as
// independent, but a busy machine delays them together: without this minimum, a
// version with 57% slow requests was rolled back although the old one had 60%.
const minSlowExcess = 0.1

// baselineDecay is the factor by which earlier counts decay with each block, so
// that they follow a changing load.
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

// countAbove returns the number of requests in the buckets after i.
func (t *tally) countAbove(i int) (n float64) {
	for _, c := range t.latency[i+1:] {
		n += c
	}
	return n
}

// quantile returns the bucket that contains the quantile q.
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

// routeComparison compares the versions on one route.
type routeComparison struct {
	count       float64   // requests to both versions
	firstTested time.Time // when the new version was first compared
	compared    float64   // requests to the new version in completed blocks
	baseline    tally     // decayed counts of the old version in earlier blocks
	block       [2]tally  // old and new version in the current block
	totals      [2]tally  // old and new version since the start of the move
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

// test ends the block if it has requests to both versions, or to the new one
// only if the pace allows that, and returns the evidence of a fault. It compares
// latency and late requests once the route has been compared for the duration
// warm.
func (r *routeComparison) test(now time.Time, warm time.Duration, pace *Pace) (string, bool) {
	from, to := &r.block[0], &r.block[1]
	if to.count == 0 || from.count == 0 && (!pace.CompareWithoutOld || r.baseline.count < minBaseline) {
		return "", false
	}
	rate := (r.baseline.errors + 0.5) / (r.baseline.count + 50) // prior of about 1%
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

// testLatency compares the fractions of requests that exceed a latency quantile
// of the old version by at least one bucket, a factor of 1.4. It returns the
// evidence of a fault, or an empty string. Smaller differences are ignored: the
// new version takes over load from the old one, so they reflect the load and
// not the version.
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
		r.block = [2]tally{} // the baseline of the old version stays unchanged
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
