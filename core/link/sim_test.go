package link

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"corianderwing"
	"corianderwing/core/share"
)

const (
	simTime = 12 * time.Second
	simStep = time.Millisecond
	chunk   = 32 << 10        // written at once
	warmup  = 4 * time.Second // shares begin after share.GrantTTL
)

// sim is a sending region with several holders of one link direction and
// their grantor. It advances in steps.
type sim struct {
	r       *rand.Rand
	off     string // the mechanism that is switched off
	now     time.Time
	at      time.Duration
	later   map[time.Duration][]func()
	nodes   []*node
	grantor *share.Grantor
	cap     float64 // bytes/s that answers may use
	burst   float64
	level   float64 // of the bucket that judges the fleet
	total   float64 // bytes sent after the warm-up
	failure error
}

// node is one holder. Its load changes from node to node.
type node struct {
	id    corianderwing.InstanceID
	share *share.Holder
	line  *Limiter
	size  SizeEstimator
	load  float64 // part of the cap that its answers want
	jobs  []*job
	sent  time.Duration // of the latest renewal
}

// job is an answer on its way.
type job struct {
	size, estimate corianderwing.Bytes
	paid           corianderwing.Bytes // for sending
	start          time.Duration       // end of the upstream's work
	begun          bool
}

const simBound = corianderwing.BoundID("link/a/b")

func newSim(seed uint64, off string) *sim {
	r := rand.New(rand.NewPCG(seed, 2))
	s := &sim{r: r, off: off, now: time.Unix(1e9, 0), later: map[time.Duration][]func(){}}
	limit := corianderwing.BytesPerSecond(1e6 * math.Pow(35, r.Float64())) // 8 to 280 Mbit/s
	s.cap = float64(limit) * (1 - ownPart)
	s.burst = s.cap * burstTime.Seconds()
	s.level = s.burst
	n := 2 + r.IntN(4)
	seat, pool := Limits(limit, n)
	s.grantor = share.NewGrantor(s.now)
	s.grantor.Configure(s.now, simBound, pool)
	weight := 0.0
	for i := range n {
		h := share.NewHolder(s.now)
		h.Configure(s.now, simBound, seat)
		node := &node{id: corianderwing.InstanceID(fmt.Sprint("i", i)), share: h, line: NewLimiter(h, simBound), load: r.ExpFloat64()}
		weight += node.load
		s.nodes = append(s.nodes, node)
	}
	for _, n := range s.nodes {
		n.load *= (0.8 + 2*r.Float64()) / weight
	}
	return s
}

func (s *sim) uniform(from, to int) corianderwing.Bytes {
	return corianderwing.Bytes(from + s.r.IntN(to-from))
}

// answerSize is mostly small, and now and then larger than any burst.
func (s *sim) answerSize() corianderwing.Bytes {
	if s.r.IntN(20) > 0 {
		return s.uniform(200, 40_000)
	}
	return s.uniform(100_000, 3_000_000)
}

// meanSize is the mean of answerSize.
const meanSize = 0.95*20_100 + 0.05*1_550_000

func (s *sim) run() {
	for s.at < simTime && s.failure == nil {
		s.at += simStep
		s.now = s.now.Add(simStep)
		s.level = min(s.burst, s.level+s.cap*simStep.Seconds())
		for _, do := range s.later[s.at] {
			do()
		}
		delete(s.later, s.at)
		for _, n := range s.nodes {
			s.step(n)
		}
	}
}

func (s *sim) after(d time.Duration, do func()) {
	at := (s.at + max(d, simStep)).Truncate(simStep)
	s.later[at] = append(s.later[at], do)
}

func (s *sim) step(n *node) {
	if s.at-n.sent >= time.Second || s.at%(20*simStep) == 0 && n.share.NeedsRenewal(s.now) {
		s.renew(n)
	}
	if s.r.Float64() < n.load*s.cap*simStep.Seconds()/meanSize {
		s.arrive(n)
	}
	rest := n.jobs[:0]
	var wait corianderwing.Bytes
	dry := false // there are no tokens in this step
	for _, j := range n.jobs {
		if s.at >= j.start {
			dry = dry || !s.send(n, j)
			wait += min(j.size, chunk)
		}
		if j.size > 0 {
			rest = append(rest, j)
		}
	}
	n.jobs = rest
	b := n.line.Bound()
	b.AddWaiting(int64(Tokens(wait)) - b.Waiting())
	n.line.AddQueued(wait - corianderwing.Bytes(n.line.queue.Load()))
}

func (s *sim) renew(n *node) {
	n.sent = s.at
	seq, spends := n.share.Report(s.now)
	s.deliver(func() {
		grants := s.grantor.Update(s.now, n.id, 1, seq, spends)
		s.deliver(func() { n.share.ApplyGrants(s.now, seq, grants) })
	})
}

// deliver delivers a message within the region, late or not at all now and
// then.
func (s *sim) deliver(do func()) {
	switch s.r.IntN(100) {
	case 0:
	case 1:
		s.after(time.Duration(s.r.IntN(1000))*time.Millisecond, do)
	default:
		s.after(time.Duration(s.r.IntN(3))*time.Millisecond, do)
	}
}

// arrive books an answer and starts its upstream's work.
func (s *sim) arrive(n *node) {
	j := &job{size: s.answerSize(), estimate: n.size.Estimate()}
	n.size.Observe(j.size)
	if !n.line.Reserve(s.now, j.estimate) {
		n.line.RecordRejected(j.estimate)
		return
	}
	j.start = s.at + time.Duration(s.r.IntN(300))*time.Millisecond
	n.jobs = append(n.jobs, j)
	if s.off == "pay when sending" {
		j.paid = n.line.Acquire(s.now, min(j.size, j.estimate))
	}
}

// send sends a part of an answer, and reports false without tokens.
func (s *sim) send(n *node, j *job) bool {
	if !j.begun {
		j.begun = true
		n.line.Release(j.estimate)
		if s.off == "correct the estimate" || s.off == "pace long answers" {
			j.paid = n.line.Acquire(s.now, min(j.size, j.estimate))
		}
	}
	if s.off == "limit of the rest" {
		n.line.rest.Store(64 * TokenBytes)
	}
	can := j.paid + n.line.Acquire(s.now, min(chunk, j.size-j.paid))
	if s.off == "correct the estimate" && j.paid > 0 || s.off == "pace long answers" && j.paid >= min(j.size, j.estimate) {
		can = j.size
	}
	j.paid = 0
	j.size -= can
	s.level -= float64(can)
	if s.at > warmup {
		s.total += float64(can)
	}
	if s.level < 0 && s.failure == nil {
		s.failure = fmt.Errorf("at %v %s sends %.0f bytes beyond %.0f bytes/s and %.0f", s.at, n.id, -s.level, s.cap, s.burst)
	}
	return can > 0
}

// used returns the part of the rate that was used.
func (s *sim) used() float64 { return s.total / (s.cap * (simTime - warmup).Seconds()) }

// open returns the bookings of answers that have not begun.
func (s *sim) open(n *node) int64 {
	var sum corianderwing.Bytes
	for _, j := range n.jobs {
		if !j.begun {
			sum += min(j.estimate, maxBook)
		}
	}
	return int64(sum)
}
