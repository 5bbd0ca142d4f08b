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

// minSlower is by how much the fraction of slow requests must recently be
// higher for a fault. The test takes the requests of a block as independent,
// but a busy machine delays them together: a run rolled back a version with
// 57% slow requests beside 60% of the old one.
const minSlower = 0.1

// memory is the factor by which the counts of the old version decay with each
// block, so that they follow a changing load.
const memory = 0.98

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

// above returns the requests in the buckets after i.
func (t *tally) above(i int) (n float64) {
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

// route compares the versions on one route.
type route struct {
	count    float64   // requests to both versions
	first    time.Time // when the new version was first compared
	compared float64   // requests to the new version in finished blocks
	past     tally     // the old version in earlier blocks
	block    [2]tally  // the old and new version in the present block
	whole    [2]tally  // the same, since the start
	errors   process
	late     process
	median   process
	tail     process
}

func newRoute() *route {
	return &route{
		errors: newProcess(errorMargin),
		late:   newProcess(lateMargin),
		median: newProcess(medianMargin),
		tail:   newProcess(tailMargin),
	}
}

func (r *route) add(s Sample, next bool) {
	i := 0
	if next {
		i = 1
	}
	r.count += float64(s.Count)
	r.block[i].add(s)
	r.whole[i].add(s)
}

// test ends the block if it has requests to both versions, and reports the
// evidence of a fault. It compares latency once the time warm has passed.
func (r *route) test(now time.Time, warm time.Duration, pace *Pace) (string, bool) {
	from, to := &r.block[0], &r.block[1]
	if to.count == 0 || from.count == 0 && (!pace.CompareWithoutOld || r.past.count < minPast) {
		return "", false
	}
	rate := (r.past.errors + 0.5) / (r.past.count + 50) // about 1% before there are counts
	r.errors.update(rate, pair{from.count, from.errors}, pair{to.count, to.errors})
	fault := ""
	if r.errors.shown(pace.FalsePositiveRate) {
		fault = fmt.Sprintf("errors: new version %.0f of %.0f requests, old %.0f of %.0f",
			r.whole[1].errors, r.whole[1].count, r.whole[0].errors, r.whole[0].count)
	}
	lateRate := (r.past.late + 0.5) / (r.past.count + 20)
	if r.first.IsZero() {
		r.first = now
	}
	if now.Sub(r.first) >= warm {
		r.late.update(lateRate, pair{from.count, from.late}, pair{to.count, to.late})
	}
	if r.late.shown(pace.FalsePositiveRate) {
		fault = cmp.Or(fault, fmt.Sprintf("late: new version %.0f of %.0f requests, old %.0f of %.0f",
			r.whole[1].late, r.whole[1].count, r.whole[0].late, r.whole[0].count))
	}
	if now.Sub(r.first) >= warm && r.past.count >= minPast {
		fault = cmp.Or(fault, r.slow(&r.median, 0.5, pace.FalsePositiveRate), r.slow(&r.tail, 0.95, pace.FalsePositiveRate))
	}
	r.endBlock()
	if fault == "" {
		return "", false
	}
	return fmt.Sprintf("%s; probability under equal versions at most %.0e", fault, pace.FalsePositiveRate), true
}

// slow compares the requests that are slower than a quantile of the old
// version by a bucket, a factor of 1.4, and returns the evidence of a fault or
// nothing. A new version takes over the load while the old one loses it, so
// that a smaller difference shows the load and not the version.
func (r *route) slow(p *process, quantile, alarm float64) string {
	from, to := &r.block[0], &r.block[1]
	i := min(r.past.quantile(quantile)+1, Buckets-1)
	rate := (r.past.above(i) + 0.5) / (r.past.count + 1)
	p.update(rate, pair{from.count, from.above(i)}, pair{to.count, to.above(i)})
	if !p.shown(alarm) || !p.exceeds(minSlower) {
		return ""
	}
	return fmt.Sprintf("latency: new version %.0f%% of %.0f requests over %v, old %.0f%% of %.0f",
		100*r.whole[1].above(i)/r.whole[1].count, r.whole[1].count, BucketBound(i).Round(time.Millisecond),
		100*r.whole[0].above(i)/r.whole[0].count, r.whole[0].count)
}

func (r *route) endBlock() {
	r.compared += r.block[1].count
	if r.block[0].count == 0 {
		r.block = [2]tally{} // the old version's counts stay as they were
		return
	}
	r.past.count = r.past.count*memory + r.block[0].count
	r.past.errors = r.past.errors*memory + r.block[0].errors
	r.past.late = r.past.late*memory + r.block[0].late
	for i := range r.past.latency {
		r.past.latency[i] = r.past.latency[i]*memory + r.block[0].latency[i]
	}
	r.block = [2]tally{}
}
