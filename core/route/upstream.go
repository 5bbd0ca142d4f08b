package route

import (
	"math"
	"time"

	"corianderwing"
)

// upstreamState holds the pool owner's observations of one upstream. The fields
// read by every selection come first, so that they share a cache line.
type upstreamState struct {
	accepting       bool // announced, ready and not drained
	warmedUp        bool // slow start is over and the upstream is not half-open
	readmitted      bool // ejected, but readmitted by limitEjections
	halfOpen        bool // the next request decides whether the upstream has recovered
	busy            corianderwing.Slots
	weight          float64     // score per request in flight
	bias            float64     // constant term of the score
	pendingReleases []time.Time // when the slots of canceled or timed-out requests become free

	corianderwing.Upstream
	conns          corianderwing.Conns
	slowStartBegin time.Time
	lastObserved   time.Time
	latency        float64 // moving average, in seconds
	errorRate      float64 // moving average of failed requests
	failures       int     // consecutive failures
	ejections      int     // consecutive ejections
	ejectedUntil   time.Time
}

// reset discards the observations of an earlier incarnation. An upstream
// announces itself once a second, so Seq gives its uptime in seconds, and a new
// pool owner does not slow-start upstreams that are already warm.
func (u *upstreamState) reset(a corianderwing.Upstream, now time.Time) {
	u.slowStartBegin = now.Add(-time.Duration(min(a.Seq, 3600)) * time.Second)
	u.lastObserved = time.Time{}
	u.latency, u.errorRate = 0, 0
	u.failures, u.ejections = 0, 0
	u.ejectedUntil = time.Time{}
	u.halfOpen, u.warmedUp = false, false
}

func (u *upstreamState) usable(now time.Time) bool {
	return u.accepting && (u.readmitted || !now.Before(u.ejectedUntil))
}

// full reports whether the upstream has no free slot.
func (u *upstreamState) full(warm time.Duration, now time.Time) bool {
	busy, slots := u.busy, u.Slots
	if len(u.pendingReleases) > 0 {
		busy = u.slotsInUse(now)
	}
	if !u.warmedUp {
		slots = u.slotLimit(warm, now)
	}
	return busy >= slots
}

// slotsInUse returns the slots in use, including those of canceled or timed-out
// requests that are not released yet.
func (u *upstreamState) slotsInUse(now time.Time) corianderwing.Slots {
	kept := u.pendingReleases[:0]
	for _, t := range u.pendingReleases {
		if now.Before(t) {
			kept = append(kept, t)
		}
	}
	u.busy -= corianderwing.Slots(len(u.pendingReleases) - len(kept))
	u.pendingReleases = kept
	return u.busy
}

// slotLimit returns the number of slots that may be used. It grows linearly
// during slow start. A half-open upstream gets one request at a time until one
// succeeds.
func (u *upstreamState) slotLimit(warm time.Duration, now time.Time) corianderwing.Slots {
	if u.halfOpen {
		return 1
	}
	age := now.Sub(u.slowStartBegin)
	if age >= warm {
		u.warmedUp = true
		return u.Slots
	}
	limit := float64(u.Slots) * float64(age) / float64(warm)
	return min(u.Slots, max(1, corianderwing.Slots(math.Ceil(limit))))
}

// updateScore recomputes weight and bias. The score of an upstream estimates how
// long one more request would take: weight times the requests in flight,
// including the new one, plus bias. The bias comes from the reported load and
// only decides between upstreams whose observations are about equal.
func (u *upstreamState) updateScore(mean float64, decay time.Duration, now time.Time) {
	u.bias = 0.05 * max(0, min(1, u.Load))
	u.weight = u.costFactor(mean, decay, now) / float64(max(1, u.Slots))
}

// costFactor returns the upstream's cost relative to the pool's mean latency,
// increased by errors and failures.
func (u *upstreamState) costFactor(mean float64, decay time.Duration, now time.Time) float64 {
	if u.lastObserved.IsZero() {
		return 0.7 // below 1, so that an upstream without observations gets requests
	}
	trust := u.observationWeight(decay, now)
	latencyFactor := 1.0
	if mean > 0 && u.latency > 0 {
		latencyFactor = max(0.25, min(8, u.latency/mean))
	}
	latencyFactor = 1 + (latencyFactor-1)*trust
	errorFactor := 1 + 4*(u.errorRate+float64(u.failures))*trust
	return latencyFactor * errorFactor
}

// observationWeight returns the weight of the observations, which falls
// linearly from 1 to 0 at the age of decay.
func (u *upstreamState) observationWeight(decay time.Duration, now time.Time) float64 {
	return max(0, min(1, 1-float64(now.Sub(u.lastObserved))/float64(decay)))
}

// Result is the outcome of a request at an upstream.
type Result uint8

// The results of a request.
const (
	Success          Result = iota // complete response
	Failure                        // the upstream or the connection failed
	ServerError                    // complete response with a status of 500 or more
	Overloaded                     // the upstream rejected the request for lack of capacity
	Canceled                       // canceled by this side; not an observation of the upstream
	FirstByteTimeout               // no first byte in time; the request may still run
	Unused                         // the slot was not used
)

// Done releases a slot taken by Pick and records the result. Took is the time
// to the first byte of the response, or how long the caller waited for it.
func (p *Pool) Done(id corianderwing.UpstreamID, r Result, took time.Duration, now time.Time) {
	u, ok := p.byID[id]
	if !ok {
		p.cfg.OnViolation("slot returned for unknown upstream " + string(id))
		return
	}
	if r == Canceled || r == FirstByteTimeout {
		u.pendingReleases = append(u.pendingReleases, now.Add(p.cfg.SlotReleaseDelay))
	} else {
		u.busy--
	}
	if u.busy < 0 || int(u.busy) < len(u.pendingReleases) {
		p.cfg.OnViolation("upstream " + string(id) + " has a negative number of requests in flight")
	}
	switch r {
	case Success:
		u.recordSuccess(took, p.cfg.Decay, now)
	case Failure:
		p.recordFailure(u, now, p.cfg.ConsecutiveFailures)
	case ServerError:
		p.recordFailure(u, now, p.cfg.ConsecutiveServerErrors)
	case FirstByteTimeout:
		if took >= p.minFailureTimeout() {
			p.recordFailure(u, now, p.cfg.ConsecutiveFailures)
		}
	case Overloaded:
		// The upstream has less capacity than announced: back off briefly.
		u.ejectedUntil = later(u.ejectedUntil, now.Add(p.cfg.SlotReleaseDelay))
		p.ejectedUntil = later(p.ejectedUntil, u.ejectedUntil)
		return
	default:
		return
	}
	if p.avgLatency == 0 {
		p.avgLatency = u.latency
	}
	u.updateScore(p.avgLatency, p.cfg.Decay, now)
}

// minFailureTimeout returns the shortest wait for a first byte that counts as a
// failure. Shorter timeouts don't count, because a caller may set a deadline
// that no upstream can meet.
func (p *Pool) minFailureTimeout() time.Duration {
	mean := time.Duration(p.avgLatency * float64(time.Second))
	return max(4*mean, 100*time.Millisecond)
}

func (u *upstreamState) recordSuccess(took time.Duration, decay time.Duration, now time.Time) {
	s := took.Seconds()
	if u.latency == 0 || now.Sub(u.lastObserved) > decay {
		u.latency = s
	} else {
		u.latency += (s - u.latency) / 8
	}
	u.errorRate *= u.observationWeight(decay, now) * 7 / 8
	u.lastObserved = now
	u.failures = 0
	if u.halfOpen {
		u.halfOpen, u.warmedUp = false, false
		u.slowStartBegin = now // a recovered upstream goes through slow start
	}
	if u.ejections > 0 && now.Sub(u.slowStartBegin) > decay {
		u.ejections = 0
	}
}

// recordFailure counts a failure. It ejects the upstream when threshold
// consecutive failures are reached, or at the first failure while half-open.
func (p *Pool) recordFailure(u *upstreamState, now time.Time, threshold int) {
	u.errorRate *= u.observationWeight(p.cfg.Decay, now)
	u.errorRate += (1 - u.errorRate) / 8
	u.lastObserved = now
	u.failures++
	if now.Before(u.ejectedUntil) || u.failures < threshold && !u.halfOpen {
		return
	}
	d := p.cfg.BaseEjectionTime << min(u.ejections, 16)
	u.ejectedUntil = now.Add(min(d, p.cfg.MaxEjectionTime))
	p.ejectedUntil = later(p.ejectedUntil, u.ejectedUntil)
	u.ejections++
	u.halfOpen, u.warmedUp = true, false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Has reports whether the pool holds state of an upstream.
func (p *Pool) Has(id corianderwing.UpstreamID) bool {
	_, ok := p.byID[id]
	return ok
}

// AddConn counts a new connection to an upstream. It returns false if the
// upstream is unknown or its connection limit is reached.
func (p *Pool) AddConn(id corianderwing.UpstreamID) bool {
	u, ok := p.byID[id]
	if !ok {
		return false
	}
	if u.Conns > 0 && float64(u.conns+1) > max(1, float64(u.Conns)*p.cfg.ConnFraction) {
		return false
	}
	u.conns++
	return true
}

// RemoveConn counts a closed connection.
func (p *Pool) RemoveConn(id corianderwing.UpstreamID) {
	u, ok := p.byID[id]
	if !ok {
		return
	}
	u.conns--
	if u.conns < 0 {
		p.cfg.OnViolation("upstream " + string(id) + " has a negative number of connections")
	}
}

// Load returns the pool's total slots and slots in use, as reported to other
// instances. Slots of ejected upstreams are not counted.
func (p *Pool) Load(now time.Time) (slots, busy corianderwing.Slots) {
	p.limitEjections(now)
	for _, u := range p.upstreams {
		busy += u.slotsInUse(now)
		if u.usable(now) {
			slots += max(u.slotLimit(p.cfg.SlowStart, now), min(u.busy, u.Slots))
		}
	}
	return slots, busy
}
