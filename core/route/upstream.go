package route

import (
	"math"
	"time"

	"corianderwing"
)

// upstreamState is what the owner knows about one upstream. The fields that each choice
// reads come first, so that they share a cache line.
type upstreamState struct {
	accepting       bool // announced, ready and not drained
	warmedUp        bool // the slow start is over and no trial is due
	readmitted      bool // ejected, but let in by the floor
	halfOpen        bool // the next request decides about a recovered upstream
	busy            corianderwing.Slots
	weight          float64     // part of the score for each request in flight
	bias            float64     // fixed part of the score
	pendingReleases []time.Time // ends of slots kept after a cut-off request

	corianderwing.Upstream
	conns          corianderwing.Conns
	slowStartBegin time.Time // start of the slow start
	lastObserved   time.Time // last observation
	latency        float64   // smoothed, in seconds
	errorRate      float64   // smoothed part of failed requests
	failures       int       // consecutive failures
	ejections      int       // ejections in a row
	ejectedUntil   time.Time // end of the ejection
}

// reset forgets the observations about an earlier incarnation. An upstream
// announces itself once a second, so Seq tells for how long it has been
// running: a new pool owner does not slow-start upstreams that are warm.
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

// full reports whether no slot may be taken.
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

// slotsInUse returns the slots in use, with those held after cut-off requests.
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

// slotLimit returns the slots that may be used: all of them, or a part that grows
// during the slow start. A recovered upstream gets one request until that has
// succeeded.
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

// updateScore renews weight and bias. A request's score is the weight for each
// request in flight, itself included, plus the bias: an estimate of how long
// it would take. The reported load, which is the bias, only decides between
// upstreams that look alike to us.
func (u *upstreamState) updateScore(mean float64, decay time.Duration, now time.Time) {
	u.bias = 0.05 * max(0, min(1, u.Load))
	u.weight = u.costFactor(mean, decay, now) / float64(max(1, u.Slots))
}

// costFactor compares the upstream with the pool's mean.
func (u *upstreamState) costFactor(mean float64, decay time.Duration, now time.Time) float64 {
	if u.lastObserved.IsZero() {
		return 0.7 // find out about it before comparing it with the others
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

// observationWeight tells how much the observations still count: all when new, nothing
// after the decay time.
func (u *upstreamState) observationWeight(decay time.Duration, now time.Time) float64 {
	return max(0, min(1, 1-float64(now.Sub(u.lastObserved))/float64(decay)))
}

// Result is what became of a request at an upstream.
type Result uint8

// The results of a request.
const (
	Success          Result = iota // a complete answer to the request came
	Failure                        // the upstream or the connection failed
	ServerError                    // a complete answer came, with a status of 500 or more
	Overloaded                     // the upstream refused the request for lack of room
	Canceled                       // we ended the request early; it says nothing about the upstream
	FirstByteTimeout               // no first byte came in time; the request may still run
	Unused                         // the slot was not used
)

// Done returns a slot that Pick took. Took is the time to the first byte of
// the answer, or the time for which it was awaited.
func (p *Pool) Done(id corianderwing.UpstreamID, r Result, took time.Duration, now time.Time) {
	u, ok := p.byID[id]
	if !ok {
		p.cfg.Broken("slot returned for unknown upstream " + string(id))
		return
	}
	if r == Canceled || r == FirstByteTimeout {
		u.pendingReleases = append(u.pendingReleases, now.Add(p.cfg.SlotReleaseDelay))
	} else {
		u.busy--
	}
	if u.busy < 0 || int(u.busy) < len(u.pendingReleases) {
		p.cfg.Broken("upstream " + string(id) + " has fewer requests in flight than none")
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
		// The upstream has less room than announced: keep off for a moment.
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

// minFailureTimeout is the shortest silence that counts as a failure: a caller may set
// a deadline that no upstream can meet.
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
		u.slowStartBegin = now // recovered: slow start
	}
	if u.ejections > 0 && now.Sub(u.slowStartBegin) > decay {
		u.ejections = 0
	}
}

// recordFailure counts a failure, and ejects the upstream if that is the most-th in a
// row.
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

// Has reports whether the pool still keeps state about an upstream.
func (p *Pool) Has(id corianderwing.UpstreamID) bool {
	_, ok := p.byID[id]
	return ok
}

// AddConn counts a new connection to an upstream. It returns false if the
// upstream's connection budget is used up.
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

// RemoveConn counts the end of a connection.
func (p *Pool) RemoveConn(id corianderwing.UpstreamID) {
	u, ok := p.byID[id]
	if !ok {
		return
	}
	u.conns--
	if u.conns < 0 {
		p.cfg.Broken("upstream " + string(id) + " has fewer connections than none")
	}
}

// Load sums up the pool for other instances. Ejected upstreams do not count.
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
