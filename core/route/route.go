// Package route selects the failure domain and the upstream for a request. The
// pool owner's own observations (requests in flight, latency, errors) take
// precedence over reported load. The package reads no clock.
package route

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"corianderwing"
)

// Config sets the constants of a Pool. A zero field takes its default.
type Config struct {
	ConsecutiveFailures     int           // consecutive failures before ejection; default 3
	ConsecutiveServerErrors int           // consecutive 5xx responses before ejection, higher because the request itself may cause them; default 6
	BaseEjectionTime        time.Duration // duration of the first ejection, doubled for each further one; default 500 ms
	MaxEjectionTime         time.Duration // upper bound of the ejection time; default 30 s
	SlowStart               time.Duration // slow start window of a new or recovered upstream; default 5 s
	Decay                   time.Duration // age at which an observation no longer counts; default 10 s
	// SlotReleaseDelay is how long the slot of a canceled or timed-out request
	// stays in use, because the upstream notices the closed connection later than
	// the pool owner does. It is also the backoff after an Overloaded result. Default
	// 20 ms.
	SlotReleaseDelay time.Duration
	// ConnFraction is the fraction of an upstream's connection limit that the
	// pool owner uses. Default 0.8, because connections of a previous owner may
	// still be closing.
	ConnFraction float64
	// OnViolation is called with a description when an invariant is violated.
	OnViolation func(what string)
}

func (c Config) withDefaults() Config {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	setDefault(&c.BaseEjectionTime, 500*time.Millisecond)
	setDefault(&c.MaxEjectionTime, 30*time.Second)
	setDefault(&c.SlowStart, 5*time.Second)
	setDefault(&c.Decay, 10*time.Second)
	setDefault(&c.SlotReleaseDelay, 20*time.Millisecond)
	if c.ConsecutiveFailures <= 0 {
		c.ConsecutiveFailures = 3
	}
	if c.ConsecutiveServerErrors <= 0 {
		c.ConsecutiveServerErrors = 6
	}
	if c.ConnFraction <= 0 {
		c.ConnFraction = 0.8
	}
	if c.OnViolation == nil {
		c.OnViolation = func(string) {}
	}
	return c
}

// Shift is the share of a pool's requests that a new version gets.
type Shift struct {
	To    corianderwing.VersionID
	Share float64 // 0 sends no requests to the version
}

// Pool balances requests over the upstreams of one pool in one failure domain.
// It owns their observations and slots, and is not safe for concurrent use.
type Pool struct {
	cfg              Config
	rng              *rand.Rand
	upstreams        []*upstreamState
	byID             map[corianderwing.UpstreamID]*upstreamState
	shift            Shift
	newVersionCredit float64 // requests that the share still allows for the new version

	avgLatency   float64   // mean latency of the upstreams with recent observations
	ejectedUntil time.Time // latest end of an ejection
	readmitted   bool      // limitEjections has readmitted an ejected upstream
}

// New returns a Pool without upstreams.
func New(cfg Config, rng *rand.Rand) *Pool {
	return &Pool{
		cfg:  cfg.withDefaults(),
		rng:  rng,
		byID: make(map[corianderwing.UpstreamID]*upstreamState),
	}
}

// Sync replaces the set of announced upstreams. An upstream that is no longer
// announced, is draining or is drained by an operator gets no new requests;
// its requests in flight still occupy slots. Sync also decays old observations
// and must be called several times a second.
func (p *Pool) Sync(list []corianderwing.Upstream, drained func(corianderwing.UpstreamID) bool, now time.Time) {
	for _, u := range p.upstreams {
		u.accepting = false
	}
	for _, a := range list {
		u, ok := p.byID[a.ID]
		if !ok {
			u = &upstreamState{}
			p.byID[a.ID] = u
			p.upstreams = append(p.upstreams, u)
		}
		if !ok || u.Incarnation != a.Incarnation {
			u.reset(a, now)
		}
		u.Upstream = a
		u.accepting = a.Phase == corianderwing.Ready && a.Slots > 0 && !drained(a.ID)
	}
	kept := p.upstreams[:0]
	for _, u := range p.upstreams {
		if u.accepting || u.busy > 0 || u.conns > 0 || announced(list, u.ID) {
			kept = append(kept, u)
			continue
		}
		delete(p.byID, u.ID)
	}
	clear(p.upstreams[len(kept):])
	p.upstreams = kept
	p.avgLatency = p.meanLatency(now)
	for _, u := range p.upstreams {
		u.updateScore(p.avgLatency, p.cfg.Decay, now)
	}
	p.limitEjections(now)
}

func announced(list []corianderwing.Upstream, id corianderwing.UpstreamID) bool {
	for i := range list {
		if list[i].ID == id {
			return true
		}
	}
	return false
}

// SetShift sets the share of a new version. The zero Shift, used when there is
// no move, ignores versions.
func (p *Pool) SetShift(s Shift) {
	if s.To != p.shift.To {
		p.newVersionCredit = 0
	}
	p.shift = s
}

// Available reports whether the pool has an upstream that may take new requests
// now or once it has a free slot.
func (p *Pool) Available(now time.Time) bool {
	p.limitEjections(now)
	for _, u := range p.upstreams {
		if u.usable(now) && (p.shift.To == "" || p.shift.Share > 0 || u.Version != p.shift.To) {
			return true
		}
	}
	return false
}

// HasFreeSlot reports whether Pick would find an upstream.
func (p *Pool) HasFreeSlot(now time.Time) bool {
	u, _ := p.choose(nil, now)
	return u != nil
}

// Pick takes a slot of the upstream with the lowest score. Upstreams in tried
// are used only if no other has a free slot. The caller must release the slot
// with Done.
func (p *Pool) Pick(tried []corianderwing.UpstreamID, now time.Time) (corianderwing.Upstream, bool) {
	u, newVer := p.choose(tried, now)
	if u == nil {
		return corianderwing.Upstream{}, false
	}
	if p.shift.To != "" {
		p.newVersionCredit = min(p.newVersionCredit+p.shift.Share, 2)
		if newVer {
			p.newVersionCredit--
		}
	}
	u.busy++
	if u.busy > u.Slots {
		p.cfg.OnViolation("upstream " + string(u.ID) + " has more requests in flight than slots")
	}
	return u.Upstream, true
}

// choose returns the upstream with the lowest score. It selects the new version
// of a move if and only if the share allows one more request, so load never
// overflows from the old version to the new one. The one exception is a pool
// without upstreams of the old version, where any share above 0 is enough.
func (p *Pool) choose(tried []corianderwing.UpstreamID, now time.Time) (u *upstreamState, newVer bool) {
	p.limitEjections(now)
	if p.shift.To == "" {
		return p.lowestScore(tried, now, anyVersion), false
	}
	if p.shift.Share >= 1 || p.newVersionCredit+p.shift.Share >= 1 {
		if u = p.lowestScore(tried, now, newVersion); u != nil {
			return u, true
		}
	}
	if u = p.lowestScore(tried, now, oldVersion); u != nil {
		return u, false
	}
	if p.shift.Share > 0 && !p.hasOldVersion() {
		return p.lowestScore(tried, now, newVersion), true
	}
	return nil, false
}

func (p *Pool) hasOldVersion() bool {
	for _, u := range p.upstreams {
		if u.accepting && u.Version != p.shift.To {
			return true
		}
	}
	return false
}

// versionFilter restricts a selection to the old or the new version.
type versionFilter uint8

const (
	anyVersion versionFilter = iota
	newVersion
	oldVersion
)

func (p *Pool) lowestScore(tried []corianderwing.UpstreamID, now time.Time, want versionFilter) *upstreamState {
	var best *upstreamState
	var bestScore float64
	noneEjected := !now.Before(p.ejectedUntil)
	noise := p.rng.Uint64()
	for _, u := range p.upstreams {
		if want != anyVersion && (want == newVersion) != (u.Version == p.shift.To) {
			continue
		}
		if !u.accepting || !noneEjected && !u.usable(now) || u.full(p.cfg.SlowStart, now) {
			continue
		}
		s := float64(u.busy+1)*u.weight + u.bias
		if len(tried) > 0 && contains(tried, u.ID) {
			s += 1000
		}
		// Up to 6% of noise spreads requests over upstreams with equal scores.
		s += s * float64(noise&15) * (1.0 / 256)
		noise = bits.RotateLeft64(noise, -4)
		if best == nil || s < bestScore {
			best, bestScore = u, s
		}
	}
	return best
}

func contains(ids []corianderwing.UpstreamID, id corianderwing.UpstreamID) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}

// meanLatency returns the mean latency of the upstreams with recent observations.
func (p *Pool) meanLatency(now time.Time) float64 {
	var sum float64
	n := 0
	for _, u := range p.upstreams {
		if u.latency > 0 && now.Sub(u.lastObserved) < p.cfg.Decay {
			sum += u.latency
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// limitEjections keeps at least half of the accepting upstreams usable. If more
// are ejected, it readmits those with the fewest failures.
func (p *Pool) limitEjections(now time.Time) {
	if !p.readmitted && !now.Before(p.ejectedUntil) {
		return // no upstream is ejected
	}
	p.readmitted = false
	open, healthy := 0, 0
	for _, u := range p.upstreams {
		u.readmitted = false
		if !u.accepting {
			continue
		}
		open++
		if !now.Before(u.ejectedUntil) {
			healthy++
		}
	}
	for need := (open+1)/2 - healthy; need > 0; need-- {
		var best *upstreamState
		for _, u := range p.upstreams {
			if !u.accepting || u.readmitted || !now.Before(u.ejectedUntil) {
				continue
			}
			if best == nil || u.failures < best.failures {
				best = u
			}
		}
		best.readmitted, p.readmitted = true, true
	}
}
