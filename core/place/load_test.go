package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing/core/place"
)

const sec = time.Second

// scenarios are the loads that the replay is run with.
func scenarios() map[string]site {
	quiet := threadworks(39.6)
	quiet.shifts = []shift{{"b1", "a1", 0.69, sec / 2, 7 * sec}, {"c2", "b2", 0.78, 9*sec + sec/2, 7 * sec}, {"b2", "c1", 0.68, 17*sec + sec/2, 2*sec + sec/2}}
	busy := threadworks(72)
	busy.shifts = quiet.shifts
	full := threadworks(90)
	full.bursts = []burst{{1.6, 8 * sec, 3 * sec}}
	full.faults = []fault{{"c2", 8 * sec, 4 * sec}}
	calm := kazi(11)
	kbusy := kazi(21.6)
	kbusy.shifts = []shift{{"b1", "a1", 0.69, sec / 2, 7 * sec}, {"c2", "b2", 0.78, 9*sec + sec/2, 7 * sec}}
	kfull := kazi(27)
	kfull.bursts = full.bursts
	kfull.faults = full.faults
	return map[string]site{
		"threadworks quiet": quiet, "threadworks busy": busy, "threadworks full": full,
		"kazi quiet": calm, "kazi busy": kbusy, "kazi full": kfull,
	}
}

// played is what several seeds of a scenario gave.
type played struct {
	worth, domain, class float64 // of all requests, the worst failure domain, the worst class
	refused              int
}

func play(s site, seeds uint64, with func(*world) placer) played {
	var p played
	n := float64(seeds)
	for seed := range seeds {
		w := newWorld(s, seed)
		w.placer = with(w)
		w.run()
		p.worth += w.total.earned / w.total.owed / n
		p.refused += w.total.refused
		p.domain += lowest(w.domain) / n
		p.class += lowest(w.class) / n
	}
	return p
}

// lowest returns the worth of the tally that got the smallest part of what it
// was owed.
func lowest[K comparable](m map[K]*tally) float64 {
	worst := 1.0
	for _, t := range m {
		worst = min(worst, t.earned/t.owed)
	}
	return worst
}

// least is the part of what callers are owed that must be earned under each
// load, in all and by the worst failure domain and class; where the load exceeds
// the slots, the rest is refused.
const least = 0.5

// Guards against placement that lets upstreams forget their objects, leaves slots
// idle in one region while another one refuses, or starves a failure domain or a
// class when the load is at its worst: a balancer that knows the load of all
// upstreams exactly, but not their objects, must stay far behind.
func TestReplayedLoad(t *testing.T) {
	for name, s := range scenarios() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			desks := play(s, 1, func(w *world) placer { return newDesks(w) })
			plain := play(s, 1, func(w *world) placer { return newPlain(w) })
			t.Logf("desks %+v", desks)
			t.Logf("plain %+v", plain)
			is.True(desks.domain > least)
			is.True(desks.class > least)
			is.True(desks.worth > 1.25*plain.worth)
		})
	}
}

// Guards against loans that do not carry load from a region at its peak to one
// with idle slots.
func TestReplayedLoans(t *testing.T) {
	is := is.New(t)
	s := scenarios()["threadworks full"]
	with := play(s, 1, func(w *world) placer { return newDesks(w) })
	without := play(s, 1, func(w *world) placer {
		d := newDesks(w)
		d.noLoans = true
		return d
	})
	t.Logf("with %+v", with)
	t.Logf("without %+v", without)
	is.True(with.worth > without.worth)
	is.True(with.domain > without.domain)
}

// plain is a balancer that knows how many requests each upstream has in flight,
// and picks the least busy one of the nearest that has a free slot.
type plain struct {
	w       *world
	busy    map[*upstream]int
	waiting []asking
	last    place.ID
}

func newPlain(w *world) *plain { return &plain{w: w, busy: map[*upstream]int{}} }

func (p *plain) ask(q *request, done func(*upstream, place.ID, bool, time.Duration)) {
	p.waiting = append(p.waiting, asking{q: q, done: done})
	p.tick()
}

func (p *plain) end(_ *request, u *upstream, _ place.ID, _ place.Result, _ time.Duration, _ place.LoadReport) {
	p.busy[u]--
	p.tick()
}

// tick gives free slots to those that wait, in order, and refuses those that
// could not be in time any more.
func (p *plain) tick() {
	var kept []asking
	for _, a := range p.waiting {
		u := p.choose(a.q)
		late := p.w.now-a.q.born > a.q.class.goal
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

func (p *plain) choose(q *request) *upstream {
	var best *upstream
	score := func(u *upstream) float64 {
		return p.w.way(q.domain.id, u.model.Domain).Seconds() + 0.001*float64(p.busy[u])
	}
	for _, u := range p.w.byPool[q.class.pool] {
		if !u.gone && p.busy[u] < u.slots && (best == nil || score(u) < score(best)) {
			best = u
		}
	}
	return best
}
