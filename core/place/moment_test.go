package place_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// startMoments schedules the changes of all upstreams' processing times.
func (w *simulation) startMoments() {
	rng := rand.New(rand.NewPCG(11, 12))
	ids := []corianderwing.UpstreamID{}
	for id := range w.ups {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		w.changeMoment(w.ups[id], rng)
	}
}

func (w *simulation) changeMoment(u *upstream, rng *rand.Rand) {
	u.pace = 100
	if rng.Float64() < w.moments.part {
		u.pace = corianderwing.Percent(100 * w.moments.factor)
	}
	w.after(time.Duration(rng.ExpFloat64()*float64(w.moments.every)), func() { w.changeMoment(u, rng) })
}

// benches models a deployment with many upstreams of nine slots that share their
// machines with others.
func benches(rate float64, m moments) deployment {
	return deployment{
		domains: sixDomains(), moments: m, remoteDelay: 12 * time.Millisecond,
		rate: rate, amplitude: 0.55, period: 36 * sec, length: 24 * sec,
		pools: []poolSpec{
			{"status", []int{4, 12, 14, 4, 12, 14}, 4, 22},
			{"flash", []int{3, 9, 10, 3, 9, 10}, 4, 16},
		},
		classes: []class{
			{"read", "status", 5, 1400 * time.Millisecond, time.Second, 8 * sec, 1, 0.2, 1, 150, 2000},
			{"job", "flash", 2.7, 1800 * time.Millisecond, 1200 * time.Millisecond, 10 * sec, 2, 0.4, 0, 80, 4000},
		},
	}
}

// Guards against a choice of upstreams that ignores how long work takes at each of
// them at the moment: requests go to upstreams that cache their object but are slow
// now, and slow moments pass for cache misses. Where the figure changes faster than
// requests arrive, it must not make the result worse.
func TestReplayedMoments(t *testing.T) {
	const tolerance = 0.01 // of the value
	is := is.New(t)
	for every, margin := range map[time.Duration]float64{600 * time.Millisecond: 0, 20 * time.Millisecond: -tolerance} {
		m := moments{part: 0.15, factor: 2.5, every: every}
		unknown := replay(benches(60, m), 2, func(w *simulation) balancer { return newAllocators(w) })
		m.reported = true
		known := replay(benches(60, m), 2, func(w *simulation) balancer { return newAllocators(w) })
		t.Logf("changes every %v: unknown %+v, known %+v", every, unknown, known)
		is.True(known.value > unknown.value+margin)
		is.True(known.domain > unknown.domain+margin)
	}
}
