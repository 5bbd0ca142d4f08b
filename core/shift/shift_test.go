package shift

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"corianderwing"
)

var (
	start = time.Unix(1e9, 0)
	by    = start.Add(10 * time.Minute)
	move  = corianderwing.Move{Pool: "p", From: "old", To: "new", Start: start, By: by}
)

// behaviour describes the errors and latency of a simulated new version.
type behaviour struct {
	name string
	bad  bool
	from time.Duration                                             // when the fault begins
	to   time.Duration                                             // when it ends; zero for never
	do   func(route int, share float64) (errors, slowness float64) // error rate and latency factor
}

func constant(errors, slowness float64) func(int, float64) (float64, float64) {
	return func(int, float64) (float64, float64) { return errors, slowness }
}

var behaviours = []behaviour{
	{"good", false, 0, 0, constant(0.005, 1)},
	{"good, errors of 0.6%", false, 0, 0, constant(0.006, 1)},
	{"good, 5% slower", false, 0, 0, constant(0.005, 1.05)},
	{"good, cold for 20 s", false, 0, 20 * time.Second, constant(0.005, 3)},
	{"all requests fail at once", true, 0, 0, constant(1, 1)},
	{"10% fail at once", true, 0, 0, constant(0.1, 1)},
	{"3% fail at once", true, 0, 0, constant(0.03, 1)},
	{"30% fail after 5 minutes", true, 5 * time.Minute, 0, constant(0.3, 1)},
	{"all fail after 8 minutes", true, 8 * time.Minute, 0, constant(1, 1)},
	{"twice as slow", true, 0, 0, constant(0.005, 2)},
	{"fails and slows under load", true, 0, 0, func(_ int, share float64) (float64, float64) {
		if share < 0.4 {
			return 0.005, 1
		}
		return 0.1, 3
	}},
	{"30% fail on one route", true, 0, 0, func(route int, _ float64) (float64, float64) {
		if route == 3 {
			return 0.3, 1
		}
		return 0.005, 1
	}},
}

// rates holds the requests per second on each route.
var rates = [...]float64{50, 30, 15, 5}

// result is the outcome of one simulated move.
type result struct {
	move  corianderwing.Move
	onset time.Duration // when the fault began
	end   time.Duration
	sent  int // requests to the new version since its fault began
}

// disable switches off a mechanism; it is called before each step of a run.
type disable func(p *Rollout)

// runMove simulates a move to a version, with samples twice a second. Load and
// latency of both versions vary with time.
func runMove(seed uint64, b behaviour, without disable) result {
	r := rand.New(rand.NewPCG(seed, 3))
	p := New(move)
	var res result
	for t := time.Duration(0); t <= by.Sub(start)+time.Second; t += 500 * time.Millisecond {
		now := start.Add(t)
		if without != nil {
			without(p)
		}
		share := p.Share(now)
		if p.Move().Outcome != corianderwing.Moving {
			res.move, res.end = p.Move(), t
			return res
		}
		load := 1 + 0.5*math.Sin(t.Seconds()/60)
		for i, rate := range rates {
			errors, slowness := 0.005, 1.0
			if t >= b.from && (b.to == 0 || t < b.to) {
				errors, slowness = b.do(i, share)
			}
			from := drawSample(r, rate*load/2*(1-share), 0.005, load)
			to := drawSample(r, rate*load/2*share, errors, load*slowness)
			from.Route, from.Version = fmt.Sprint("r", i), "old"
			to.Route, to.Version = from.Route, "new"
			if errors > 0.006 || slowness > 1.05 {
				if res.sent == 0 {
					res.onset = t
				}
				res.sent += int(to.Count)
			}
			p.Observe(now, []Sample{from, to})
		}
	}
	res.move, res.end = p.Move(), by.Sub(start)+time.Second
	return res
}

// drawSample returns a sample with a Poisson number of requests and lognormal
// latencies with a median of 20 ms.
func drawSample(r *rand.Rand, mean, errors, slowness float64) (s Sample) {
	for t := r.ExpFloat64(); t < mean; t += r.ExpFloat64() {
		s.Count++
		if r.Float64() < errors {
			s.Errors++
		}
		ms := 20 * slowness * math.Exp(r.NormFloat64()*0.6)
		s.Latency[Bucket(time.Duration(ms*1e6))]++
	}
	return s
}

// describeMoves simulates 40 moves to a version and summarizes their outcomes.
func describeMoves(t *testing.T, b behaviour) string {
	const seeds = 40
	want, word := corianderwing.Done, "done in time"
	if b.bad {
		want, word = corianderwing.RolledBack, "rolled back"
	}
	right, worst, sent, last := 0, 0, 0, time.Duration(0)
	for seed := range uint64(seeds) {
		res := runMove(seed, b, nil)
		if res.move.Outcome == want && (b.bad || res.end <= by.Sub(start)) {
			right++
		} else {
			t.Errorf("%s, seed %d: %s at %v: %s", b.name, seed, res.move.Outcome, res.end, res.move.Evidence)
		}
		sent += res.sent
		worst = max(worst, res.sent)
		last = max(last, res.end-res.onset)
	}
	line := fmt.Sprintf("%-28s %d of %d %s", b.name, right, seeds, word)
	if b.bad {
		line += fmt.Sprintf(", requests to it after the fault began: mean %d, most %d, longest %v", sent/seeds, worst, last)
	}
	return line + "\n"
}

// Guards against good versions that are rolled back or late, and against bad
// versions that complete or get many requests.
func TestMoves(t *testing.T) {
	var wg sync.WaitGroup
	lines := make([]string, len(behaviours))
	for i, b := range behaviours {
		wg.Go(func() { lines[i] = describeMoves(t, b) })
	}
	wg.Wait()
	goldie.New(t).Assert(t, "moves", []byte(strings.Join(lines, "")))
}

// Guards against mechanisms without effect: more requests must reach a bad
// version without the initial share, and without the later starts of an
// eProcess.
func TestMovesNeedEachMechanism(t *testing.T) {
	is := is.New(t)
	sent := func(b behaviour, without disable) (n int) {
		for seed := range uint64(10) {
			n += runMove(seed, b, without).sent
		}
		return n
	}
	atOnce, late := behaviours[5], behaviours[7]
	noInitialShare := func(p *Rollout) { p.share = max(p.share, 0.5) }
	oneStart := func(p *Rollout) {
		for _, r := range p.routes {
			r.errors.starts = max(r.errors.starts, 1e9)
		}
	}
	with, without := sent(atOnce, nil), sent(atOnce, noInitialShare)
	t.Logf("%s: %d requests in 10 moves, without the initial share %d", atOnce.name, with, without)
	is.True(without > with)
	with, without = sent(late, nil), sent(late, oneStart)
	t.Logf("%s: %d requests in 10 moves, with one start %d", late.name, with, without)
	is.True(without > 2*with)
}

// Guards against a false positive rate above 1e-4 at the boundary of the null
// hypothesis.
func TestFalsePositiveRate(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 4))
	hits := func(n int, rate float64) (x binomial) {
		x.n = float64(n)
		for range n {
			if r.Float64() < rate {
				x.hits++
			}
		}
		return x
	}
	significant := 0
	for range 5000 {
		p := newEProcess(tailMargin)
		for range 100 {
			p.update(0.04+0.02*r.Float64(), hits(20, 0.05), hits(10, 0.05+tailMargin))
		}
		if p.significant(falsePositiveRate) {
			significant++
		}
	}
	t.Logf("%d of 5000 e-processes are significant", significant)
	is.New(t).True(significant <= 4) // at most 0.5 expected; the probability of more than 4 is below 2e-4
}

// Guards against a ramp that continues, or a move that completes, while no
// samples arrive.
func TestRampPausesWithoutSamples(t *testing.T) {
	is := is.New(t)
	p := New(move)
	is.Equal(p.Share(start.Add(-time.Second)), 0.0)
	for now := start; now.Before(by); now = now.Add(time.Second) {
		is.True(p.Share(now) <= InitialShare)
	}
	is.Equal(p.Share(by), 0.0)
	is.Equal(p.Move().Outcome, corianderwing.RolledBack)
	is.True(p.Move().Evidence != "")
}
