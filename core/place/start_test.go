package place_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a region with few upstreams whose requests run at home when the
// traffic starts and in other regions two seconds later, because its first loads
// reached the leader late and it got its loans only then.
func TestReplayedStart(t *testing.T) {
	const maxMoved = 0.15 // of the requests of a region, from one window of 2 s to the next
	for _, late := range []time.Duration{0, 1300 * time.Millisecond} {
		is := is.New(t)
		w := newSimulation(unequal(330), 1)
		d := newAllocators(w)
		w.placer = d
		d.silent = late
		d.sync(w.clock()) // upstreams and loans are known before the traffic
		d.plan(w.clock())
		d.sync(w.clock())
		w.length = 6 * time.Second
		w.run()
		list := w.regions["a"]
		for i := range 2 {
			before := float64(list[i].elsewhere) / float64(list[i].granted)
			after := float64(list[i+1].elsewhere) / float64(list[i+1].granted)
			t.Logf("loads reported after %v: %.2f of the requests run elsewhere from %d s on, then %.2f", late, before, 2*i, after)
			is.True(after-before <= maxMoved && before-after <= maxMoved)
		}
	}
}

// Guards against a region with few upstreams that starves after the start of the
// traffic, because its entry instances rejected most of the first requests, and its
// loans ended with the loads of the others.
func TestReplayedStartWithRejections(t *testing.T) {
	const (
		rejected  = 0.9 // of the requests of the region, for rejectFor seconds
		rejectFor = 1.2
		length    = 8.0 // of the traffic, in seconds
		// minValue is the least ratio of the worst failure domain's value to that of
		// all: that of TestReplayedUnequalDomains, less what the rejections take.
		minValue = 0.92 * (1 - rejected*rejectFor/length)
	)
	is := is.New(t)
	w := newSimulation(unequal(330), 1)
	d := newAllocators(w)
	w.placer = d
	rng := rand.New(rand.NewPCG(1, 1))
	d.rejects = func(q *request) bool {
		return q.domain.region == "a" && w.now.Seconds() < rejectFor && rng.Float64() < rejected
	}
	d.sync(w.clock()) // upstreams and loans are known before the traffic
	d.plan(w.clock())
	d.sync(w.clock())
	w.shifts = nil
	w.length = time.Duration(length * float64(time.Second))
	w.run()
	value := w.total.value / w.total.maxValue
	t.Logf("value %.3f, worst domain %.3f", value, lowest(w.domain))
	is.True(lowest(w.domain) >= minValue*value)
}
