package share

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"corianderwing"
)

// scheduler runs events in the order of virtual time.
type scheduler struct {
	now    time.Duration
	events int
	queue  events
}

type event struct {
	at time.Duration
	n  int
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

func (t *scheduler) after(d time.Duration, do func()) {
	t.events++
	heap.Push(&t.queue, event{t.now + d, t.events, do})
}

func (t *scheduler) run(until time.Duration) {
	for len(t.queue) > 0 && t.queue[0].at <= until {
		e := heap.Pop(&t.queue).(event)
		t.now = e.at
		e.do()
	}
}

// referenceBucket is a central token bucket that the fleet is compared with:
// what it admits is within rate and burst in every window.
type referenceBucket struct {
	rate, burst, level float64
	at                 time.Duration
}

func (c *referenceBucket) fill(now time.Duration) {
	c.level = min(c.burst, c.level+c.rate*(now-c.at).Seconds())
	c.at = now
}

// clock is the clock of one process. Its rate is off by drift.
type clock struct {
	base  time.Time
	drift float64
}

func (c clock) read(t time.Duration) time.Time {
	return c.base.Add(time.Duration(float64(t) * (1 + c.drift)))
}

func newClock(r *rand.Rand, drift float64) clock {
	return clock{time.Unix(1e9+r.Int64N(1e6), 0), drift * float64(r.IntN(3)-1)}
}

const (
	testBound = corianderwing.BoundID("rate/test")
	testLevel = corianderwing.BoundID("slots/test")
	testUnits = 50
)

// fleet simulates holders with a grantor and injects faults.
type fleet struct {
	scheduler
	r                *rand.Rand
	reliable         bool   // messages are neither lost nor delayed for long
	maxCopies        int    // maximum number of repetitions of a message
	disabled         string // the mechanism that is disabled
	rate             corianderwing.TokensPerSecond
	burst            corianderwing.Tokens
	fixed            float64
	nodes            []*node
	leader           *Grantor
	term             int
	electionRevision int // revision at the time of the election
	leaderClock      clock
	reference        referenceBucket
	drift            float64
	failure          error
	changed          time.Duration // when the division changed last
	used             int64         // units of the semaphore in use, added up over time

	revision int
}

type node struct {
	id          corianderwing.InstanceID
	clock       clock
	holder      *Holder
	level       *Semaphore
	incarnation corianderwing.Incarnation
	term        int // of the leader that answered last
	fixed       float64
	frozenUntil time.Duration
	flooding    bool // takes all tokens that are available

	revision int
}

func newFleet(seed uint64, disabled string) *fleet {
	r := rand.New(rand.NewPCG(seed, 1))
	f := &fleet{r: r, disabled: disabled, drift: corianderwing.MaxClockDrift, fixed: float64(r.IntN(5)) / 4}
	f.reliable = r.IntN(2) == 0
	f.maxCopies = r.IntN(4)
	if disabled == "drift margin" {
		f.drift = 0.04
	}
	f.rate = corianderwing.TokensPerSecond(10 + r.IntN(200))
	f.burst = corianderwing.Tokens(float64(f.rate) * (0.1 + 2*r.Float64()))
	f.reference = referenceBucket{rate: float64(f.rate), burst: float64(f.burst), level: float64(f.burst)}
	f.elect()
	for i := range 2 + r.IntN(3) {
		n := &node{id: corianderwing.InstanceID(fmt.Sprint("i", i)), clock: newClock(r, f.drift), fixed: f.fixed}
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		f.start(n)
		f.after(f.randomUpTo(time.Second), func() { f.renewLoop(n) })
		f.after(f.randomUpTo(time.Second), func() { f.demand(n) })
	}
	f.after(f.randomUpTo(5*time.Second), f.injectFault)
	f.after(6*time.Second, f.toggleFloods)
	return f
}

func (f *fleet) randomUpTo(d time.Duration) time.Duration { return time.Duration(f.r.Int64N(int64(d))) }

// delay returns the delay of a message. Unless the fleet is reliable, one of 20
// messages has a long delay.
func (f *fleet) delay() time.Duration {
	if !f.reliable && f.r.IntN(20) == 0 {
		return f.randomUpTo(5 * time.Second)
	}
	return f.randomUpTo(80 * time.Millisecond)
}

// send delivers a message late, repeatedly or not at all.
func (f *fleet) send(do func(repeated bool)) {
	if !f.reliable && f.r.IntN(10) == 0 {
		return
	}
	f.after(f.delay(), func() { do(false) })
	for range f.r.IntN(f.maxCopies + 1) {
		f.after(f.delay(), func() { do(true) })
	}
}

func (f *fleet) elect() {
	f.leaderClock = newClock(f.r, f.drift)
	now := f.leaderClock.read(f.now)
	from := GraceEnd(now, f.leaderClock.read(f.changed))
	switch f.disabled {
	case "new leader waits":
		from = now
	case "new leader waits for limits":
		from = GraceEnd(now, time.Time{})
	}
	f.term++
	f.electionRevision = f.revision
	var holders []corianderwing.InstanceID
	for _, n := range f.nodes {
		holders = append(holders, n.id)
	}
	f.leader = NewGrantor(from, holders...)
	_, pool := Split(f.rate, f.burst, f.fixed, len(f.nodes))
	if f.nodes == nil {
		f.after(0, func() { f.elect() })
		return
	}
	f.leader.Configure(now, testBound, pool)
	f.leader.ConfigureSemaphore(testLevel, testUnits)
}

func (f *fleet) start(n *node) {
	now := n.clock.read(f.now)
	n.incarnation++
	n.term = 0
	n.holder = NewHolder(now)
	seat, _ := Split(f.rate, f.burst, n.fixed, len(f.nodes))
	n.level = n.holder.ConfigureSemaphore(testLevel)
	b := n.holder.Configure(now, testBound, seat)
	if f.disabled == "restart empty" && seat.Rate > 0 {
		b.pending.effectiveAt = now
		b.refresh(now, true)
		b.fixed.Load().emptyAt.Store(-1 << 50)
	}
}

func (f *fleet) renewLoop(n *node) {
	f.renew(n)
	f.after(time.Second+f.randomUpTo(100*time.Millisecond), func() { f.renewLoop(n) })
}

func (f *fleet) renew(n *node) {
	if f.now < n.frozenUntil {
		return
	}
	h := n.holder
	seq, spends := h.Report(n.clock.read(f.now))
	if f.disabled == "debts" {
		f.forgetDebts(n)
	}
	life, term, revision := n.incarnation, n.term, n.revision
	f.send(func(repeated bool) {
		g := f.leader
		introduced := term == f.term || f.disabled == "introduced after the election"
		if introduced && (revision >= f.electionRevision || f.disabled == "introduced with the settings") {
			g.RecoverGrants(f.leaderClock.read(f.now), n.id, life, seq, spends)
		}
		p := g.holders[n.id]
		if repeated && f.disabled == "recognise repeats" && p != nil && p.seq == seq {
			p.seq--
		}
		if f.disabled == "consecutive reports" && (p == nil || p.incarnation == life && p.seq < seq) {
			g.holders[n.id] = &holderState{incarnation: life, seq: seq - 1}
		}
		grants := g.Update(f.leaderClock.read(f.now), n.id, life, seq, spends)
		answered := f.term
		if !repeated && g.InGracePeriod(f.leaderClock.read(f.now)) {
			f.after(200*time.Millisecond, func() { f.renew(n) })
		}
		f.send(func(bool) {
			if n.incarnation == life {
				n.term = max(n.term, answered)
			}
			f.answer(n, h, seq, grants)
		})
	})
}

func (f *fleet) answer(n *node, h *Holder, seq uint64, grants []corianderwing.Grant) {
	if f.now < n.frozenUntil {
		f.after(n.frozenUntil-f.now, func() { f.answer(n, h, seq, grants) })
		return
	}
	if f.disabled == "latest answer only" {
		h.answered, h.reportSeq = false, max(seq, h.reportSeq)
		seq = h.reportSeq
	}
	h.ApplyGrants(n.clock.read(f.now), seq, grants)
}

func (f *fleet) forgetDebts(n *node) {
	b := n.holder.Bound(testBound)
	b.debts = nil
	b.limitDepth(n.clock.read(f.now), b.fixed.Load())
}

// demand takes a few tokens, or all that are available during a flood.
func (f *fleet) demand(n *node) {
	wait := f.randomUpTo(400 * time.Millisecond)
	if n.flooding {
		wait = f.randomUpTo(80 * time.Millisecond)
	}
	f.after(wait, func() { f.demand(n) })
	if f.now < n.frozenUntil {
		return
	}
	f.useSemaphore(n)
	f.checkTokens()
	for range f.r.IntN(4) + 1 {
		if !f.take(n) {
			return
		}
	}
	for n.flooding && f.take(n) {
	}
	if f.r.IntN(10) == 0 {
		f.borrow(n, f.nodes[f.r.IntN(len(f.nodes))])
	}
}

// checkTokens asserts that the tokens that could be taken now do not exceed
// what the reference bucket would admit.
func (f *fleet) checkTokens() {
	f.reference.fill(f.now)
	sum := f.leader.pools[testBound].bucket.Level(f.leaderClock.read(f.now))
	for _, n := range f.nodes {
		sum += n.holder.Bound(testBound).Available(n.clock.read(f.now))
	}
	if float64(sum) > f.reference.level+1e-6 && f.failure == nil {
		f.failure = fmt.Errorf("at %v: %d tokens are available, but only %.1f may be admitted with rate %v/s and burst %d", f.now, sum, f.reference.level, f.rate, f.burst)
	}
}

// useSemaphore acquires units of the semaphore for some time, and asserts that
// the shares together stay within its bound.
func (f *fleet) useSemaphore(n *node) {
	l, units := n.level, int64(1+f.r.IntN(testUnits/2))
	if l.Acquire(n.clock.read(f.now), units) {
		f.after(f.randomUpTo(2*time.Second), func() { l.Release(units) })
	}
	sum := int64(0)
	for _, o := range f.nodes {
		sum += o.level.Share(o.clock.read(f.now))
	}
	if sum > testUnits && f.failure == nil {
		f.failure = fmt.Errorf("at %v: the shares add up to %d units, the bound is %d", f.now, sum, testUnits)
	}
	f.used += l.InUse()
}

func (f *fleet) take(n *node) bool {
	now := n.clock.read(f.now)
	if n.holder.Take(now, testBound) {
		f.reference.fill(f.now)
		if f.reference.level--; f.reference.level < -1e-6 && f.failure == nil {
			f.failure = fmt.Errorf("at %v: %s admitted a request beyond rate %v/s and burst %d", f.now, n.id, f.rate, f.burst)
		}
		return true
	}
	if n.holder.NeedsRenewal(now) {
		f.renew(n)
	}
	if f.r.IntN(4) == 0 {
		f.borrow(n, f.nodes[f.r.IntN(len(f.nodes))])
	}
	return false
}

func (f *fleet) borrow(n, from *node) {
	if n == from {
		return
	}
	h, sent, want := n.holder, n.clock.read(f.now), corianderwing.Tokens(1+f.r.IntN(20))
	f.send(func(bool) {
		if f.now < from.frozenUntil {
			return
		}
		got, left := from.holder.Lend(from.clock.read(f.now), testBound, want)
		if f.disabled == "debts" {
			f.forgetDebts(from)
		}
		if f.r.IntN(10) > 0 {
			f.after(f.delay(), func() { h.AddLoan(n.clock.read(f.now), sent, testBound, got, left) })
		}
	})
}

func (f *fleet) toggleFloods() {
	odds, single := f.r.IntN(4), f.r.IntN(len(f.nodes))
	for i, n := range f.nodes {
		n.flooding = f.r.IntN(2) < odds && odds < 3 || odds == 3 && i == single
	}
	longest := 2 * time.Second
	if odds > 0 && f.r.IntN(2) == 0 {
		longest = 20 * time.Second
	}
	f.after(200*time.Millisecond+f.randomUpTo(longest), f.toggleFloods)
}

// injectFault changes the leader, restarts or freezes an instance, or changes
// the division of the bound.
func (f *fleet) injectFault() {
	n := f.nodes[f.r.IntN(len(f.nodes))]
	switch f.r.IntN(4) {
	case 0:
		f.elect()
	case 1:
		f.start(n)
	case 2:
		n.frozenUntil = f.now + f.randomUpTo(5*time.Second)
	case 3:
		f.changeSplit(float64(f.r.IntN(5)) / 4)
	}
	f.after(f.randomUpTo(4*time.Second), f.injectFault)
}

// changeSplit changes the fixed fraction. Every process learns of it within
// PropagationDelay.
func (f *fleet) changeSplit(fixed float64) {
	f.fixed, f.changed = fixed, f.now
	f.revision++
	revision := f.revision
	seat, pool := Split(f.rate, f.burst, fixed, len(f.nodes))
	f.leader.Configure(f.leaderClock.read(f.now), testBound, pool)
	if p := f.leader.pools[testBound]; f.disabled == "delayed increase" && !p.pending.effectiveAt.IsZero() {
		p.pending.effectiveAt = p.pending.effectiveAt.Add(-2 * PropagationDelay)
		p.refresh(f.leaderClock.read(f.now))
	}
	for _, n := range f.nodes {
		f.after(f.randomUpTo(2900*time.Millisecond), func() {
			if n.revision > revision {
				return
			}
			n.fixed, n.revision = fixed, revision
			n.holder.Configure(n.clock.read(f.now), testBound, seat)
		})
	}
}
