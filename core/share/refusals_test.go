package share

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"corianderwing"
)

// site is an entry instance that waits, renews and borrows before it refuses,
// as io/entry does.
type site struct {
	*trial
	n       int
	holder  *Holder
	waiting map[corianderwing.BoundID][]request
	asking  map[corianderwing.BoundID]bool
}

type request struct {
	at     time.Duration
	inside bool // the central bucket admits it
}

// trial measures refusals without faults: twelve instances in six domains of
// three regions, with the grantor in the first domain.
type trial struct {
	timeline
	r      *rand.Rand
	rtt    time.Duration // between regions
	sites  []*site
	leader *Grantor
	limits map[corianderwing.BoundID]Limit // of the token pools
	judges map[corianderwing.BoundID]*central
	counts map[corianderwing.BoundID]*tally
}

type tally struct {
	sent, wrong, inside int

	waits []time.Duration
}

// share returns the requests that are refused wrongly, in percent.
func (c *tally) share() float64 { return 100 * float64(c.wrong) / float64(c.sent) }

func (c *tally) String() string {
	slices.Sort(c.waits)
	at := func(q int) time.Duration { return c.waits[len(c.waits)*q/100].Round(time.Millisecond) }
	if c.inside < c.sent*9/10 {
		// The central bucket admits other requests than a queue does, so only
		// the numbers can be compared.
		return fmt.Sprintf("%6.2f%% admitted of the %d that a central bucket admits", 100*float64(len(c.waits))/float64(c.inside), c.inside)
	}
	return fmt.Sprintf("%6.3f%% of %d refused wrongly, wait p50 %v p99 %v", c.share(), c.sent, at(50), at(99))
}

const patience = 500 * time.Millisecond // corianderwing.Defaults.Wait

func (t *trial) clock() time.Time { return start.Add(t.now) }

func (t *trial) roundTrip(a, b int) time.Duration {
	if a/4 == b/4 {
		return time.Millisecond
	}
	return t.rtt
}

func newTrial(rtt time.Duration, fixed float64, rates map[corianderwing.BoundID]corianderwing.Tokens) *trial {
	t := &trial{
		r: rand.New(rand.NewPCG(1, 1)), rtt: rtt, leader: NewGrantor(start),
		judges: make(map[corianderwing.BoundID]*central), counts: make(map[corianderwing.BoundID]*tally),
	}
	for i := range 12 {
		t.sites = append(t.sites, &site{
			trial: t, n: i, holder: NewHolder(start),
			waiting: make(map[corianderwing.BoundID][]request), asking: make(map[corianderwing.BoundID]bool),
		})
	}
	t.limits = make(map[corianderwing.BoundID]Limit)
	for id, n := range rates {
		seat, pool := Split(corianderwing.TokensPerSecond(n), n, fixed, len(t.sites))
		t.limits[id] = pool
		t.leader.Configure(start, id, pool)
		for _, s := range t.sites {
			s.holder.Configure(start, id, seat)
		}
		t.judges[id] = &central{rate: float64(n), burst: float64(n), level: float64(n)}
		t.counts[id] = &tally{}
	}
	for _, s := range t.sites {
		t.after(time.Duration(s.n)*80*time.Millisecond, s.regular)
		t.after(10*time.Millisecond, s.watch)
	}
	return t
}

func (s *site) regular() {
	s.renew()
	s.after(time.Second, s.regular)
}

func (s *site) watch() {
	if s.holder.NeedsRenewal(s.clock()) {
		s.renew()
	}
	s.after(10*time.Millisecond, s.watch)
}

func (s *site) renew() {
	seq, spends := s.holder.Report(s.clock())
	half := s.roundTrip(s.n, 0) / 2
	s.after(half, func() {
		if s.leader == nil {
			return
		}
		grants := s.leader.Update(s.clock(), corianderwing.InstanceID(fmt.Sprint(s.n)), 1, seq, spends)
		s.after(half, func() {
			s.holder.ApplyGrants(s.clock(), seq, grants)
			for id := range s.waiting {
				s.serve(id)
			}
		})
	})
}

// arrive handles one request.
func (s *site) arrive(id corianderwing.BoundID) {
	j, c := s.judges[id], s.counts[id]
	j.fill(s.now)
	q := request{s.now, j.level >= 1}
	if q.inside {
		j.level--
	}
	c.sent++
	if q.inside {
		c.inside++
	}
	if s.holder.Take(s.clock(), id) {
		c.waits = append(c.waits, 0)
		return
	}
	s.holder.Bound(id).AddWaiting(1)
	s.waiting[id] = append(s.waiting[id], q)
	if s.holder.NeedsRenewal(s.clock()) {
		s.renew()
	}
	s.borrow(id, 1)
	s.after(patience, func() { s.expire(id) })
}

// serve admits waiting requests while there are tokens.
func (s *site) serve(id corianderwing.BoundID) {
	for len(s.waiting[id]) > 0 && s.holder.Bound(id).Poll(s.clock()) {
		s.counts[id].waits = append(s.counts[id].waits, s.now-s.waiting[id][0].at)
		s.drop(id)
	}
}

func (s *site) drop(id corianderwing.BoundID) {
	s.holder.Bound(id).AddWaiting(-1)
	s.waiting[id] = s.waiting[id][1:]
}

func (s *site) expire(id corianderwing.BoundID) {
	s.serve(id)
	for len(s.waiting[id]) > 0 && s.now-s.waiting[id][0].at >= patience {
		if s.waiting[id][0].inside {
			s.counts[id].wrong++
		}
		s.drop(id)
	}
}

// borrow asks the instances of the region one after the other, and then all
// others at once, while requests wait.
func (s *site) borrow(id corianderwing.BoundID, step int) {
	waiting := corianderwing.Tokens(len(s.waiting[id]))
	if step == 1 && s.asking[id] {
		return
	}
	s.asking[id] = waiting > 0
	switch {
	case !s.asking[id]:
	case step < 4:
		s.ask(id, s.sites[s.n/4*4+(s.n+step)%4], waiting, func() { s.borrow(id, step+1) })
	default:
		left := 8
		for i := 4; i < 12; i++ {
			s.ask(id, s.sites[(s.n/4*4+i)%12], (waiting+3)/4, func() {
				if left--; left == 0 {
					s.asking[id] = false
					s.after(20*time.Millisecond, func() { s.borrow(id, 1) })
				}
			})
		}
	}
}

func (s *site) ask(id corianderwing.BoundID, to *site, n corianderwing.Tokens, then func()) {
	sent, half := s.clock(), s.roundTrip(s.n, to.n)/2
	s.after(half, func() {
		got, left := to.holder.Lend(s.clock(), id, n)
		s.after(half, func() {
			s.holder.AddLoan(s.clock(), sent, id, got, left)
			s.serve(id)
			then()
		})
	})
}

// poisson sends requests at a mean rate to a random one of the given sites.
func (t *trial) poisson(id corianderwing.BoundID, rate float64, sites []*site) {
	gap := time.Duration(t.r.ExpFloat64() / rate * 1e9)
	t.after(gap, func() {
		sites[t.r.IntN(len(sites))].arrive(id)
		t.poisson(id, rate, sites)
	})
}

// bursts sends n requests at once to a random site every two seconds.
func (t *trial) bursts(id corianderwing.BoundID, n int) {
	t.after(2*time.Second, func() {
		s := t.sites[t.r.IntN(len(t.sites))]
		for range n {
			s.arrive(id)
		}
		t.bursts(id, n)
	})
}

// loseLeader replaces the leader after 8 s: 1.5 s without one, and the time
// that a new one waits.
func (t *trial) loseLeader() {
	t.after(8*time.Second, func() { t.leader = nil })
	t.after(9500*time.Millisecond, func() {
		t.leader = NewGrantor(GraceEnd(t.clock(), start))
		for id, l := range t.limits {
			t.leader.Configure(t.clock(), id, l)
		}
	})
}

const lostLeader = "leader lost: "

var shapes = []struct {
	name string
	load func(t *trial)
}{
	{"uniform, 0.7 of the rate", func(t *trial) { t.poisson("rate/a", 140, t.sites) }},
	{"uniform, 0.95 of the rate", func(t *trial) { t.poisson("rate/a", 190, t.sites) }},
	{"one instance, 0.7", func(t *trial) { t.poisson("rate/a", 140, t.sites[7:8]) }},
	{"one instance, 0.95", func(t *trial) { t.poisson("rate/a", 190, t.sites[7:8]) }},
	{"bursts of half the burst, 0.55", func(t *trial) { t.poisson("rate/a", 60, t.sites); t.bursts("rate/a", 100) }},
	{"bursts of the whole burst, 0.5", func(t *trial) { t.bursts("rate/a", 200) }},
	{lostLeader + "uniform, 0.7", func(t *trial) { t.poisson("rate/a", 140, t.sites); t.loseLeader() }},
	{lostLeader + "one instance, 0.7", func(t *trial) { t.poisson("rate/a", 140, t.sites[7:8]); t.loseLeader() }},
	{"0.7, beside one at 5 times its rate", func(t *trial) {
		t.poisson("rate/a", 140, t.sites)
		t.poisson("rate/small", 28, t.sites)
		t.poisson("rate/big", 2000, t.sites)
	}},
}

// Prints how many requests inside rate and burst are refused, against the
// fixed fraction. Guards against more wrongful refusals than the target allows
// with the default fraction, 0.5. The loss of a leader is only measured.
func TestWrongfulRefusals(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var out strings.Builder
	worst := 0.0
	for _, rtt := range []time.Duration{24 * time.Millisecond, 70 * time.Millisecond} {
		for _, shape := range shapes {
			fmt.Fprintf(&out, "%v between regions: %s\n", rtt, shape.name)
			fractions := []float64{0, 0.25, 0.5, 0.75, 1}
			trials := make([]*trial, len(fractions))
			var wg sync.WaitGroup
			for i, fixed := range fractions {
				wg.Go(func() {
					tr := newTrial(rtt, fixed, map[corianderwing.BoundID]corianderwing.Tokens{"rate/a": 200, "rate/big": 400, "rate/small": 40})
					tr.run(8 * time.Second)
					shape.load(tr)
					tr.run(28 * time.Second)
					trials[i] = tr
				})
			}
			wg.Wait()
			for i, fixed := range fractions {
				for _, id := range []corianderwing.BoundID{"rate/a", "rate/small", "rate/big"} {
					c := trials[i].counts[id]
					if c.sent == 0 {
						continue
					}
					fmt.Fprintf(&out, "  fixed %.2f %-10s %v\n", fixed, id, c)
					if fixed == corianderwing.Defaults.Fixed && id != "rate/big" && !strings.HasPrefix(shape.name, lostLeader) {
						worst = max(worst, c.share())
					}
				}
			}
		}
	}
	goldie.New(t).Assert(t, "refusals", []byte(out.String()))
	is.True(worst < 0.1)
}
