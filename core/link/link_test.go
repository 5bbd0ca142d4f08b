package link

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/internal/runs"
)

// Guards against sending more than the cap over a link direction because of long
// responses, wrong estimates, skewed load or lost renewals.
func TestBandwidthNeverExceedsCap(t *testing.T) {
	sum := 0.0
	for seed := uint64(1); seed <= 20; seed++ {
		s := newSim(seed, "")
		s.run()
		sum += s.utilization()
	}
	t.Logf("seeds 1 to 20 use %.0f%% of the rate on average", 100*sum/20)
	is.New(t).True(sum/20 > 0.4) // otherwise the runs would not load the link enough to test the cap
	seed, err := runs.FirstFailure(1, 50, func(seed uint64) error {
		s := newSim(seed, "")
		s.run()
		return s.failure
	})
	if err != nil {
		t.Fatalf("CORIANDER_SEED=%d: %v", seed, err)
	}
}

// Guards against a simulation that cannot detect faults: with any one of the
// mechanisms disabled, some run must exceed the cap.
func TestCapNeedsEachMechanism(t *testing.T) {
	for _, off := range []string{"pace long responses", "correct the estimate", "acquire when sending", "limit the remainder"} {
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

// Guards against reservations that are not released, which would block the link,
// and against a request that even a full bucket would never admit.
func TestReservationsAreReleased(t *testing.T) {
	is := is.New(t)
	s := newSim(1, "")
	s.run()
	for _, n := range s.nodes {
		is.Equal(n.limiter.reserved.Load(), s.openReservations(n))
	}
}

// Guards against an estimate that is below most response sizes, or that relies on
// too few observations.
func TestSizeEstimateIsHighQuantile(t *testing.T) {
	is := is.New(t)
	var z SizeEstimator
	is.Equal(z.Estimate(), corianderwing.Bytes(64<<10))
	z.Observe(1000)
	is.Equal(z.Estimate(), corianderwing.Bytes(4000)) // during warm-up
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
		is.True(below > 950) // more than 95% of the responses are within the estimate
	}
}

// The limits for the link capacities of the two deployments, with 4 seats in the
// sending region.
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
