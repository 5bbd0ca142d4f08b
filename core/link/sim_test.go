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
	chunk   = 32 << 10        // size of one write
	warmup  = 4 * time.Second // tokens are granted only after share.GrantTTL
)

// sim simulates a sending region with several holders of one link direction and
// their grantor. It advances in fixed time steps.
type sim struct {
	r         *rand.Rand
	disabled  string // the mechanism that is disabled
	now       time.Time
	elapsed   time.Duration
	scheduled map[time.Duration][]func()
	nodes     []*node
	grantor   *share.Grantor
	cap       float64 // bytes/s available to responses
	burst     float64
	tokens    float64 // fill level of the reference bucket that the whole fleet must not exceed
	sentBytes float64 // after the warm-up
	failure   error
}

// node is one holder. The demand differs between nodes.
type node struct {
	id          corianderwing.InstanceID
	holder      *share.Holder
	limiter     *Limiter
	size        SizeEstimator
	demand      float64 // of its responses, as a fraction of the cap
	jobs        []*job
	lastRenewal time.Duration // time of the latest renewal
}

// job is a response that is being processed or sent.
type job struct {
	size, estimate corianderwing.Bytes
	paid           corianderwing.Bytes // bytes for which tokens were acquired before sending
	start          time.Duration       // time when the upstream finishes processing
	started        bool
}

const simBound = corianderwing.BoundID("link/a/b")

func newSim(seed uint64, off string) *sim {
	r := rand.New(rand.NewPCG(seed, 2))
	s := &sim{r: r, disabled: off, now: time.Unix(1e9, 0), scheduled: map[time.Duration][]func(){}}
	limit := corianderwing.BytesPerSecond(1e6 * math.Pow(35, r.Float64())) // 8 to 280 Mbit/s
	s.cap = float64(limit) * (1 - reservedFraction)
	s.burst = s.cap * burstDuration.Seconds()
	s.tokens = s.burst
	n := 2 + r.IntN(4)
	seat, pool := Limits(limit, n)
	s.grantor = share.NewGrantor(s.now)
	s.grantor.Configure(s.now, simBound, pool)
	weight := 0.0
	for i := range n {
		h := share.NewHolder(s.now)
		h.Configure(s.now, simBound, seat)
		node := &node{id: corianderwing.InstanceID(fmt.Sprint("i", i)), holder: h, limiter: NewLimiter(h, simBound), demand: r.ExpFloat64()}
		weight += node.demand
		s.nodes = append(s.nodes, node)
	}
	for _, n := range s.nodes {
		n.demand *= (0.8 + 2*r.Float64()) / weight
	}
	return s
}

func (s *sim) uniform(from, to int) corianderwing.Bytes {
	return corianderwing.Bytes(from + s.r.IntN(to-from))
}

// answerSize draws a response size: usually small, and in 1 of 20 cases possibly
// larger than any burst.
func (s *sim) answerSize() corianderwing.Bytes {
	if s.r.IntN(20) > 0 {
		return s.uniform(200, 40_000)
	}
	return s.uniform(100_000, 3_000_000)
}

// meanSize is the mean of answerSize.
const meanSize = 0.95*20_100 + 0.05*1_550_000

func (s *sim) run() {
	for s.elapsed < simTime && s.failure == nil {
		s.elapsed += simStep
		s.now = s.now.Add(simStep)
		s.tokens = min(s.burst, s.tokens+s.cap*simStep.Seconds())
		for _, do := range s.scheduled[s.elapsed] {
			do()
		}
		delete(s.scheduled, s.elapsed)
		for _, n := range s.nodes {
			s.step(n)
		}
	}
}

func (s *sim) after(d time.Duration, do func()) {
	at := (s.elapsed + max(d, simStep)).Truncate(simStep)
	s.scheduled[at] = append(s.scheduled[at], do)
}

func (s *sim) step(n *node) {
	if s.elapsed-n.lastRenewal >= time.Second || s.elapsed%(20*simStep) == 0 && n.holder.NeedsRenewal(s.now) {
		s.renew(n)
	}
	if s.r.Float64() < n.demand*s.cap*simStep.Seconds()/meanSize {
		s.arrive(n)
	}
	rest := n.jobs[:0]
	var wait corianderwing.Bytes
	outOfTokens := false // no more tokens in this step
	for _, j := range n.jobs {
		if s.elapsed >= j.start {
			outOfTokens = outOfTokens || !s.send(n, j)
			wait += min(j.size, chunk)
		}
		if j.size > 0 {
			rest = append(rest, j)
		}
	}
	n.jobs = rest
	b := n.limiter.Bound()
	b.AddWaiting(int64(Tokens(wait)) - b.Waiting())
	n.limiter.AddQueued(wait - corianderwing.Bytes(n.limiter.queued.Load()))
}

func (s *sim) renew(n *node) {
	n.lastRenewal = s.elapsed
	seq, spends := n.holder.Report(s.now)
	s.deliver(func() {
		grants := s.grantor.Update(s.now, n.id, 1, seq, spends)
		s.deliver(func() { n.holder.ApplyGrants(s.now, seq, grants) })
	})
}

// deliver delivers a message within the region. In 1 of 100 cases each, it delays
// or drops the message.
func (s *sim) deliver(do func()) {
	switch s.r.IntN(100) {
	case 0:
	case 1:
		s.after(time.Duration(s.r.IntN(1000))*time.Millisecond, do)
	default:
		s.after(time.Duration(s.r.IntN(3))*time.Millisecond, do)
	}
}

// arrive reserves bandwidth for a response and starts its processing by the
// upstream.
func (s *sim) arrive(n *node) {
	j := &job{size: s.answerSize(), estimate: n.size.Estimate()}
	n.size.Observe(j.size)
	if !n.limiter.Reserve(s.now, j.estimate) {
		n.limiter.RecordRejected(j.estimate)
		return
	}
	j.start = s.elapsed + time.Duration(s.r.IntN(300))*time.Millisecond
	n.jobs = append(n.jobs, j)
	if s.disabled == "acquire when sending" {
		j.paid = n.limiter.Acquire(s.now, min(j.size, j.estimate))
	}
}

// send sends a part of a response. It returns false if no tokens are available.
func (s *sim) send(n *node, j *job) bool {
	if !j.started {
		j.started = true
		n.limiter.Release(j.estimate)
		if s.disabled == "correct the estimate" || s.disabled == "pace long responses" {
			j.paid = n.limiter.Acquire(s.now, min(j.size, j.estimate))
		}
	}
	if s.disabled == "limit the remainder" {
		n.limiter.remainder.Store(64 * TokenBytes)
	}
	can := j.paid + n.limiter.Acquire(s.now, min(chunk, j.size-j.paid))
	if s.disabled == "correct the estimate" && j.paid > 0 || s.disabled == "pace long responses" && j.paid >= min(j.size, j.estimate) {
		can = j.size
	}
	j.paid = 0
	j.size -= can
	s.tokens -= float64(can)
	if s.elapsed > warmup {
		s.sentBytes += float64(can)
	}
	if s.tokens < 0 && s.failure == nil {
		s.failure = fmt.Errorf("at %v %s sends %.0f bytes beyond %.0f bytes/s and %.0f", s.elapsed, n.id, -s.tokens, s.cap, s.burst)
	}
	return can > 0
}

// utilization returns the fraction of the rate that was used.
func (s *sim) utilization() float64 { return s.sentBytes / (s.cap * (simTime - warmup).Seconds()) }

// openReservations returns the bytes reserved for responses that have not started.
func (s *sim) openReservations(n *node) int64 {
	var sum corianderwing.Bytes
	for _, j := range n.jobs {
		if !j.started {
			sum += min(j.estimate, maxReservation)
		}
	}
	return int64(sum)
}
