package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// unequal models a deployment of nine failure domains in three regions, one of
// which has a fifth of the upstreams of the others for the same load. Callers
// move into that region and out of it.
func unequal(rate float64) deployment {
	s := deployment{
		remoteDelay: 12 * time.Millisecond, rate: rate, amplitude: 0.55, period: 36 * time.Second, length: 30 * time.Second,
		pools: []poolSpec{
			{"catalogue", []int{8, 32, 39, 8, 32, 39, 8, 32, 39}, 5, 25},
			{"orders", []int{5, 19, 22, 5, 19, 22, 5, 19, 22}, 5, 19},
			{"files", []int{9, 37, 44, 9, 37, 44, 9, 37, 44}, 5, 14},
		},
		classes: []class{
			{"browse", "catalogue", 5.2, 720 * time.Millisecond, 500 * time.Millisecond, 4 * sec, 1, 0.2, 2, 322, 2200},
			{"order", "orders", 2.3, 920 * time.Millisecond, 600 * time.Millisecond, 5 * sec, 2, 0.4, 1, 142, 9700},
			{"fetch", "files", 2.2, 1800 * time.Millisecond, 1200 * time.Millisecond, 10 * sec, 1, 0.2, 2, 136, 5700},
			{"rush", "files", 1.2, 288 * time.Millisecond, 200 * time.Millisecond, 1500 * time.Millisecond, 2, 0.4, 1, 74, 5700},
		},
		shifts: []shift{{"c1", "a1", 0.77, sec / 2, 7 * sec}, {"b1", "a1", 0.79, 9*sec + sec/2, 7 * sec}, {"a1", "c3", 0.79, 15 * sec, 2 * sec}},
	}
	for _, n := range []string{"1", "2", "3"} {
		for i, r := range []string{"a", "b", "c"} {
			s.domains = append(s.domains, domain{
				id: corianderwing.DomainID(r + n), region: corianderwing.RegionID(r), phase: float64(i) / 3,
			})
		}
	}
	return s
}

// Guards against a failure domain with few upstreams that is served far worse
// than the others although most slots elsewhere are free, and against sending
// every second byte to another failure domain of the region although the
// upstreams of each domain can cache all objects.
func TestReplayedUnequalDomains(t *testing.T) {
	const (
		minDomainRatio  = 0.92 // of the worst domain's value to the value of all
		maxNearFraction = 0.3  // of all bytes
	)
	for _, rate := range []float64{207, 330} {
		is := is.New(t)
		w := newSimulation(unequal(rate), 1)
		w.placer = newAllocators(w)
		w.run()
		kb := 0.0
		for i := range w.classes {
			c := &w.classes[i]
			kb += float64(w.class[c.id].requests*c.bytes) / 1000
		}
		value := w.total.value / w.total.maxValue
		t.Logf("rate %v: value %.3f, worst domain %.3f, near %.3f of the bytes", rate, value, lowest(w.domain), w.total.nearKB/kb)
		is.True(lowest(w.domain) >= minDomainRatio*value)
		is.True(w.total.nearKB/kb <= maxNearFraction)
	}
}
