package link

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/internal/runs"
)

// Guards against any way to send more than the cap over a link direction:
// long answers, wrong estimates, skewed load and lost renewals.
func TestBandwidthNeverExceedsCap(t *testing.T) {
	sum := 0.0
	for seed := uint64(1); seed <= 20; seed++ {
		s := newSim(seed, "")
		s.run()
		sum += s.utilization()
	}
	t.Logf("seeds 1 to 20 use %.0f%% of the rate on average", 100*sum/20)
	is.New(t).True(sum/20 > 0.4) // the runs load the link, or they would show nothing
	seed, err := runs.FirstFailure(1, 50, func(seed uint64) error {
		s := newSim(seed, "")
		s.run()
		return s.failure
	})
	if err != nil {
		t.Fatalf("CORIANDER_SEED=%d: %v", seed, err)
	}
}

// Guards against a run that finds nothing: it must fail without each of the
// mechanisms.
func TestCapNeedsEachMechanism(t *testing.T) {
	for _, off := range []string{"pace long answers", "correct the estimate", "pay when sending", "limit of the rest"} {
		t.Run(off, func(t *testing.T) {
			seed, err := runs.FirstFailure(1, 200, func(seed uint64) error {
				s := newSim(seed, off)
				s.run()
				return s.failure
			})
			t.Logf("without %q seed %d: %v", off, seed, err)
			is.New(t).True(err != nil)
		})
	}
}

// Guards against bookings that outlive their requests, which would leave the
// link closed, and against a request that a full bucket could never admit.
func TestReservationsAreReleased(t *testing.T) {
	is := is.New(t)
	s := newSim(1, "")
	s.run()
	for _, n := range s.nodes {
		is.Equal(n.limiter.reserved.Load(), s.openReservations(n))
	}
}

// Guards against an estimate that lies below most answers, or that trusts few
// of them.
func TestSizeEstimateIsHighQuantile(t *testing.T) {
	is := is.New(t)
	var z SizeEstimator
	is.Equal(z.Estimate(), corianderwing.Bytes(64<<10))
	z.Observe(1000)
	is.Equal(z.Estimate(), corianderwing.Bytes(4000)) // cold
	for _, seed := range []uint64{1, 2, 3} {
		s := newSim(seed, "")
		var z SizeEstimator
		below := 0
		for range 1000 {
			n := s.uniform(10_000, 30_000)
			if z.count >= warmupCount && n <= z.Estimate() {
				below++
			}
			z.Observe(n)
		}
		is.True(below > 950) // at least 95 of 100 answers are within the estimate
	}
}

// The limits of the two deployments, with 4 seats in the sending region.
func ExampleLimits() {
	for _, mbits := range []float64{4000, 280} {
		seat, pool := Limits(corianderwing.BytesPerSecond(mbits*1e6/8), 4)
		fmt.Printf("%4g Mbit/s: seat %.0f tokens/s burst %.0f, pool %.0f tokens/s burst %.0f\n",
			mbits, float64(seat.Rate), seat.Burst, float64(pool.Rate), pool.Burst)
	}
	// Output:
	// 4000 Mbit/s: seat 54932 tokens/s burst 5493, pool 219727 tokens/s burst 21970
	//  280 Mbit/s: seat 3845 tokens/s burst 384, pool 15381 tokens/s burst 1536
}
