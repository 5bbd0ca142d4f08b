package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing/core/place"
)

const sec = time.Second

// scenarios returns the loads that are simulated.
func scenarios() map[string]deployment {
	threadworksQuiet := threadworks(39.6)
	threadworksQuiet.shifts = []shift{{"b1", "a1", 0.69, sec / 2, 7 * sec}, {"c2", "b2", 0.78, 9*sec + sec/2, 7 * sec}, {"b2", "c1", 0.68, 17*sec + sec/2, 2*sec + sec/2}}
	threadworksBusy := threadworks(72)
	threadworksBusy.shifts = threadworksQuiet.shifts
	threadworksFull := threadworks(90)
	threadworksFull.bursts = []burst{{1.6, 8 * sec, 3 * sec}}
	threadworksFull.faults = []fault{{"c2", 8 * sec, 4 * sec}}
	kaziQuiet := kazi(11)
	kaziBusy := kazi(21.6)
	kaziBusy.shifts = []shift{{"b1", "a1", 0.69, sec / 2, 7 * sec}, {"c2", "b2", 0.78, 9*sec + sec/2, 7 * sec}}
	kaziFull := kazi(27)
	kaziFull.bursts = threadworksFull.bursts
	kaziFull.faults = threadworksFull.faults
	return map[string]deployment{
		"threadworks quiet": threadworksQuiet, "threadworks busy": threadworksBusy, "threadworks full": threadworksFull,
		"kazi quiet": kaziQuiet, "kazi busy": kaziBusy, "kazi full": kaziFull,
	}
}

// replayResult is the result of a scenario over several seeds.
type replayResult struct {
	value, domain, class float64 // value fraction of all requests, of the worst failure domain and of the worst class
	refused              int
}

func replay(s deployment, seeds uint64, with func(*simulation) balancer) replayResult {
	var p replayResult
	n := float64(seeds)
	for seed := range seeds {
		w := newSimulation(s, seed)
		w.placer = with(w)
		w.run()
		p.value += w.total.value / w.total.maxValue / n
		p.refused += w.total.refused
		p.domain += lowest(w.domain) / n
		p.class += lowest(w.class) / n
	}
	return p
}

// lowest returns the smallest fraction of the maximum value that any tally
// reached.
func lowest[K comparable](m map[K]*tally) float64 {
	worst := 1.0
	for _, t := range m {
		worst = min(worst, t.value/t.maxValue)
	}
	return worst
}

// minValueFraction is the fraction of the maximum value that must be reached
// under each load, overall and by the worst failure domain and class. Where
// the load exceeds the slots, the rest is rejected.
const minValueFraction = 0.5

// Guards against scheduling that makes upstreams evict their objects, leaves
// slots idle in one region while another one rejects requests, or starves a
// failure domain or a class at the highest load. A balancer that knows the
// exact load of all upstreams, but not their cached objects, must stay far
// behind.
func TestReplayedLoad(t *testing.T) {
	for name, s := range scenarios() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pools := replay(s, 1, func(w *simulation) balancer { return newAllocators(w) })
			baseline := replay(s, 1, func(w *simulation) balancer { return newLeastBusy(w) })
			t.Logf("allocators %+v", pools)
			t.Logf("least busy %+v", baseline)
			is.True(pools.domain > minValueFraction)
			is.True(pools.class > minValueFraction)
			is.True(pools.value > 1.25*baseline.value)
		})
	}
}

// Guards against loans that do not move load from a region at its peak to one
// with idle slots.
func TestReplayedLoans(t *testing.T) {
	is := is.New(t)
	s := scenarios()["threadworks full"]
	with := replay(s, 1, func(w *simulation) balancer { return newAllocators(w) })
	without := replay(s, 1, func(w *simulation) balancer {
		d := newAllocators(w)
		d.noLoans = true
		return d
	})
	t.Logf("with %+v", with)
	t.Logf("without %+v", without)
	is.True(with.value > without.value)
	is.True(with.domain > without.domain)
}

// leastBusy is a baseline balancer. It knows how many requests each upstream
// has in flight, and picks the least busy of the nearest upstreams with a free
// slot.
type leastBusy struct {
	w       *simulation
	busy    map[*upstream]int
	waiting []pendingRequest
	last    place.ID
}

func newLeastBusy(w *simulation) *leastBusy { return &leastBusy{w: w, busy: map[*upstream]int{}} }

func (p *leastBusy) ask(q *request, done func(*upstream, place.ID, bool, time.Duration)) {
	p.waiting = append(p.waiting, pendingRequest{q: q, done: done})
	p.tick()
}

func (p *leastBusy) end(_ *request, u *upstream, _ place.ID, _ place.Result, _ time.Duration, _ place.LoadReport) {
	p.busy[u]--
	p.tick()
}

// tick assigns free slots to waiting requests in order, and rejects those that
// are already past their goal.
func (p *leastBusy) tick() {
	var kept []pendingRequest
	for _, a := range p.waiting {
		u := p.choose(a.q)
		late := p.w.now-a.q.arrivedAt > a.q.class.goal
		switch {
		case u != nil:
			p.busy[u]++
			p.last++
			a.done(u, p.last, false, 0)
		case late:
			a.done(nil, 0, true, 100*time.Millisecond)
		default:
			kept = append(kept, a)
		}
	}
	p.waiting = kept
}

func (p *leastBusy) choose(q *request) *upstream {
	var best *upstream
	score := func(u *upstream) float64 {
		return p.w.oneWayDelay(q.domain.id, u.model.Domain).Seconds() + 0.001*float64(p.busy[u])
	}
	for _, u := range p.w.byPool[q.class.pool] {
		if !u.down && p.busy[u] < u.slots && (best == nil || score(u) < score(best)) {
			best = u
		}
	}
	return best
}
