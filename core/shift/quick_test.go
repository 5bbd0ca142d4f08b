package shift

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// runQuickMove simulates a move with a deadline of 15 s. Samples arrive up to
// 0.8 s after the requests and shares take effect 0.4 s later, as with control
// instances in other regions. It returns the move, when it ended, and the number
// of requests to the old and the new version.
func runQuickMove(seed uint64, rate float64, fault func(at time.Duration, route int, share float64) (errors, late float64)) (corianderwing.Move, time.Duration, [2]int) {
	return runQuickMoveWithFailover(seed, rate, time.Hour, fault)
}

// takeover is how long nobody takes samples or sets shares before another leader does.
const takeover = 1200 * time.Millisecond

// runQuickMoveWithFailover is like runQuickMove, but the leader ends at a time. Another
// one takes over with the record of the step before, and gets the samples that the
// former did not answer.
func runQuickMoveWithFailover(seed uint64, rate float64, failover time.Duration, fault func(at time.Duration, route int, share float64) (errors, late float64)) (corianderwing.Move, time.Duration, [2]int) {
	const step = 400 * time.Millisecond
	r := rand.New(rand.NewPCG(seed, 9))
	m := move
	m.By = start.Add(15 * time.Second)
	p := New(m, WithPace(Quick))
	var sent [2]int
	shares := []float64{0, 0}
	breakers := make([]Breaker, 12) // one for each entry instance
	var queue [][]Sample
	var records []Record
	for t := time.Duration(0); t < 17*time.Second; t += step {
		now := start.Add(t)
		if t >= failover+takeover && t < failover+takeover+step {
			p = New(m, WithPace(Quick), WithRecord(records[len(records)-2], now))
		}
		share := shares[0]
		var batch []Sample
		for route, part := range []float64{0.8, 0.2} {
			errors, late := fault(t, route, share)
			old := Sample{Route: fmt.Sprint(route), Version: "old"}
			next := Sample{Route: old.Route, Version: "new"}
			for range poisson(r, rate*part*step.Seconds()) {
				b := &breakers[r.IntN(len(breakers))]
				if r.Float64() >= share || b.Blocks(now) {
					b.ObserveOld(addRequest(&old, r, 0.004, 0.02))
					continue
				}
				if b.Observe(old.Route, addRequest(&next, r, errors, late), now) {
					next.Trips++
				}
			}
			sent[0] += int(old.Count)
			sent[1] += int(next.Count)
			batch = append(batch, old, next)
		}
		queue = append(queue, batch)
		if t >= failover && t < failover+takeover {
			shares = append(shares[1:], shares[1])
			continue
		}
		for len(queue) > 1 {
			p.Observe(now, queue[0])
			queue = queue[1:]
		}
		shares = append(shares[1:], p.Share(now))
		records = append(records, p.Record(now))
		if p.Move().Outcome != corianderwing.Moving {
			sent[1] += int(rate * shares[0] * step.Seconds())
			return p.Move(), t, sent
		}
	}
	return p.Move(), 17 * time.Second, sent
}

// addRequest adds a random request to a sample and reports whether it was bad.
func addRequest(s *Sample, r *rand.Rand, errors, late float64) bool {
	s.Count++
	failed, slow := r.Float64() < errors, r.Float64() < late
	if failed {
		s.Errors++
	}
	if slow {
		s.Late++
	}
	return failed || slow
}

func poisson(r *rand.Rand, mean float64) (n int) {
	for t := r.ExpFloat64(); t < mean; t += r.ExpFloat64() {
		n++
	}
	return n
}

// Guards against a quick move to a good version that is late or rolled back, and
// against a bad version that gets more than 10% of the requests plus 50,
// whenever its fault begins.
func TestQuickMoves(t *testing.T) {
	good := func(time.Duration, int, float64) (float64, float64) { return 0.004, 0.02 }
	bad := map[string]func(time.Duration, int, float64) (float64, float64){
		"a third fails": func(time.Duration, int, float64) (float64, float64) { return 0.32, 0.02 },
		"half are late": func(time.Duration, int, float64) (float64, float64) { return 0.004, 0.5 },
		"fails later": func(at time.Duration, _ int, _ float64) (float64, float64) {
			return errorRateIf(at > 3*time.Second, 0.5), 0.02
		},
		"fails much later": func(at time.Duration, _ int, _ float64) (float64, float64) {
			return errorRateIf(at > 7*time.Second, 0.5), 0.02
		},
		"one route fails": func(_ time.Duration, route int, _ float64) (float64, float64) {
			return errorRateIf(route == 1, 0.5), 0.02
		},
		"fails under load": func(_ time.Duration, _ int, share float64) (float64, float64) {
			return errorRateIf(share > 0.3, 0.5), 0.02
		},
	}
	for _, rate := range []float64{60, 200} {
		for seed := range uint64(20) {
			m, end, _ := runQuickMove(seed, rate, good)
			if m.Outcome != corianderwing.Done || end > 14*time.Second {
				t.Errorf("good, %v requests a second, seed %d: %s after %v: %s", rate, seed, m.Outcome, end, m.Evidence)
			}
			for name, fault := range bad {
				m, end, sent := runQuickMove(seed, rate, fault)
				total := rate * 15
				if m.Outcome != corianderwing.RolledBack || float64(sent[1]) > 0.1*total+50 {
					t.Errorf("%s, %v requests a second, seed %d: %s after %v, %d requests to the bad version of %.0f",
						name, rate, seed, m.Outcome, end, sent[1], total)
				}
			}
		}
	}
}

func errorRateIf(on bool, v float64) float64 {
	if on {
		return v
	}
	return 0.004
}

// Guards against a rollback when both versions fail because all upstreams are
// overloaded.
func TestBreakerIgnoresSharedFailures(t *testing.T) {
	is := is.New(t)
	now := start
	var b Breaker
	for range 40 {
		b.ObserveOld(true)
		is.True(!b.Observe("r", true, now))
	}
	for range 60 {
		b.ObserveOld(false)
	}
	is.True(b.Observe("r", true, now))
	is.True(b.Blocks(now))
	is.True(!b.Blocks(now.Add(blockTime)))
}

// Guards against a bad version that gets more than 10% of the requests plus 50 because
// another leader took over, without the samples that had paused the ramp, and against a
// good version that is late or rolled back then.
func TestQuickMoveWithFailover(t *testing.T) {
	const rate = 60
	limit := 0.1*rate*15 + 50
	oneRouteFails := func(_ time.Duration, route int, _ float64) (float64, float64) {
		return errorRateIf(route == 1, 0.5), 0.02
	}
	good := func(time.Duration, int, float64) (float64, float64) { return 0.004, 0.02 }
	for _, failover := range []time.Duration{4 * time.Second, 6 * time.Second, 8 * time.Second, 10 * time.Second} {
		worst, exceeded := 0, 0
		for seed := range uint64(20) {
			if m, end, _ := runQuickMoveWithFailover(seed, rate, failover, good); m.Outcome != corianderwing.Done || end > 14*time.Second {
				t.Errorf("good, failover after %v, seed %d: %s after %v: %s", failover, seed, m.Outcome, end, m.Evidence)
			}
			_, _, sent := runQuickMoveWithFailover(seed, rate, failover, oneRouteFails)
			worst = max(worst, sent[1])
			if float64(sent[1]) > limit {
				exceeded++
			}
		}
		if exceeded > 0 {
			t.Errorf("failover after %v: %d of 20 runs exceed %.0f requests to the bad version, at most %d", failover, exceeded, limit, worst)
		}
	}
}
