// Package route chooses the failure domain and the upstream for a request. It
// relies on what the pool owner observes itself (requests in flight, latency,
// errors) before any reported load, and reads no clock.
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
	ConsecutiveServerErrors int           // the same for answers with a status of 500 or more, which may be a caller's fault; default 6
	BaseEjectionTime        time.Duration // first ejection, doubled each time; default 500 ms
	MaxEjectionTime         time.Duration // longest ejection; default 30 s
	SlowStart               time.Duration // slow start of a new or recovered upstream; default 5 s
	Decay                   time.Duration // time after which observations count as neutral; default 10 s
	// SlotReleaseDelay keeps a slot taken after a request was cut off, because the
	// upstream notices the closed connection later than we do. Default 20 ms.
	SlotReleaseDelay time.Duration
	// ConnFraction is the part of an upstream's connection limit that the pool owner
	// uses. Default 0.8: connections of a previous owner may still be closing.
	ConnFraction float64
	// Broken is called with a description when an invariant does not hold.
	Broken func(what string)
}

func (c Config) filled() Config {
	set := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	set(&c.BaseEjectionTime, 500*time.Millisecond)
	set(&c.MaxEjectionTime, 30*time.Second)
	set(&c.SlowStart, 5*time.Second)
	set(&c.Decay, 10*time.Second)
	set(&c.SlotReleaseDelay, 20*time.Millisecond)
	if c.ConsecutiveFailures <= 0 {
		c.ConsecutiveFailures = 3
	}
	if c.ConsecutiveServerErrors <= 0 {
		c.ConsecutiveServerErrors = 6
	}
	if c.ConnFraction <= 0 {
		c.ConnFraction = 0.8
	}
	if c.Broken == nil {
		c.Broken = func(string) {}
	}
	return c
}

// Shift is the share of a pool's requests that a new version gets.
type Shift struct {
	To    corianderwing.VersionID
	Share float64 // 0 keeps every request away from the version
}

// Pool chooses among the upstreams of one pool in one failure domain. It owns
// the observations about them and their slots, and is not safe for concurrent
// use.
type Pool struct {
	cfg    Config
	rng    *rand.Rand
	ups    []*up
	byID   map[corianderwing.UpstreamID]*up
	shift  Shift
	credit float64 // requests that the new version may still get

	mean    float64   // mean latency of the upstreams with recent observations
	ejected time.Time // end of the last ejection
	spared  bool      // the floor has let an ejected upstream in
}

// New returns a Pool without upstreams.
func New(cfg Config, rng *rand.Rand) *Pool {
	return &Pool{
		cfg:  cfg.filled(),
		rng:  rng,
		byID: make(map[corianderwing.UpstreamID]*up),
	}
}

// Sync replaces the announced upstreams. One that is no longer announced, is
// draining, or is drained by an operator gets no new work; what it runs still
// counts against its slots. Sync also lets old observations fade, so it is
// called several times a second.
func (p *Pool) Sync(list []corianderwing.Upstream, drained func(corianderwing.UpstreamID) bool, now time.Time) {
	for _, u := range p.ups {
		u.open = false
	}
	for _, a := range list {
		u, ok := p.byID[a.ID]
		if !ok {
			u = &up{}
			p.byID[a.ID] = u
			p.ups = append(p.ups, u)
		}
		if !ok || u.Incarnation != a.Incarnation {
			u.restart(a, now)
		}
		u.Upstream = a
		u.open = a.Phase == corianderwing.Ready && a.Slots > 0 && !drained(a.ID)
	}
	kept := p.ups[:0]
	for _, u := range p.ups {
		if u.open || u.busy > 0 || u.conns > 0 || announced(list, u.ID) {
			kept = append(kept, u)
			continue
		}
		delete(p.byID, u.ID)
	}
	clear(p.ups[len(kept):])
	p.ups = kept
	p.mean = p.meanLatency(now)
	for _, u := range p.ups {
		u.weigh(p.mean, p.cfg.Decay, now)
	}
	p.floor(now)
}

func announced(list []corianderwing.Upstream, id corianderwing.UpstreamID) bool {
	for i := range list {
		if list[i].ID == id {
			return true
		}
	}
	return false
}

// SetShift sets the share of a new version. Without a move it is the zero
// Shift, and versions make no difference.
func (p *Pool) SetShift(s Shift) {
	if s.To != p.shift.To {
		p.credit = 0
	}
	p.shift = s
}

// Available reports whether the pool has an upstream that may take new work now or
// once a slot is free.
func (p *Pool) Available(now time.Time) bool {
	p.floor(now)
	for _, u := range p.ups {
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

// Pick takes a slot of the best upstream. Those in tried are chosen only if
// no other one has a free slot. The caller returns the slot with Done.
func (p *Pool) Pick(tried []corianderwing.UpstreamID, now time.Time) (corianderwing.Upstream, bool) {
	u, fresh := p.choose(tried, now)
	if u == nil {
		return corianderwing.Upstream{}, false
	}
	if p.shift.To != "" {
		p.credit = min(p.credit+p.shift.Share, 2)
		if fresh {
			p.credit--
		}
	}
	u.busy++
	if u.busy > u.Slots {
		p.cfg.Broken("upstream " + string(u.ID) + " has more requests in flight than slots")
	}
	return u.Upstream, true
}

// choose returns the upstream with the lowest score. The new version of a move
// is used if and only if its share allows one more request; the old version
// never overflows into it.
func (p *Pool) choose(tried []corianderwing.UpstreamID, now time.Time) (u *up, fresh bool) {
	p.floor(now)
	if p.shift.To == "" {
		return p.best(tried, now, anyVersion), false
	}
	if p.shift.Share >= 1 || p.credit+p.shift.Share >= 1 {
		if u = p.best(tried, now, newVersion); u != nil {
			return u, true
		}
	}
	if u = p.best(tried, now, oldVersion); u != nil {
		return u, false
	}
	if p.shift.Share > 0 && !p.hasOld() {
		return p.best(tried, now, newVersion), true
	}
	return nil, false
}

func (p *Pool) hasOld() bool {
	for _, u := range p.ups {
		if u.open && u.Version != p.shift.To {
			return true
		}
	}
	return false
}

// versions tells which versions are acceptable.
type versions uint8

const (
	anyVersion versions = iota
	newVersion
	oldVersion
)

func (p *Pool) best(tried []corianderwing.UpstreamID, now time.Time, want versions) *up {
	var best *up
	var low float64
	calm := !now.Before(p.ejected) // nobody is ejected
	noise := p.rng.Uint64()
	for _, u := range p.ups {
		if want != anyVersion && (want == newVersion) != (u.Version == p.shift.To) {
			continue
		}
		if !u.open || !calm && !u.usable(now) || u.full(p.cfg.SlowStart, now) {
			continue
		}
		s := float64(u.busy+1)*u.weight + u.bias
		if len(tried) > 0 && contains(tried, u.ID) {
			s += 1000
		}
		// Up to 6% of noise spreads requests over equals.
		s += s * float64(noise&15) * (1.0 / 256)
		noise = bits.RotateLeft64(noise, -4)
		if best == nil || s < low {
			best, low = u, s
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
	for _, u := range p.ups {
		if u.latency > 0 && now.Sub(u.seen) < p.cfg.Decay {
			sum += u.latency
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// floor keeps at least half of the open upstreams usable: if more are ejected,
// those with the fewest failures are let in again.
func (p *Pool) floor(now time.Time) {
	if !p.spared && !now.Before(p.ejected) {
		return // none is ejected
	}
	p.spared = false
	open, healthy := 0, 0
	for _, u := range p.ups {
		u.spared = false
		if !u.open {
			continue
		}
		open++
		if !now.Before(u.until) {
			healthy++
		}
	}
	for need := (open+1)/2 - healthy; need > 0; need-- {
		var best *up
		for _, u := range p.ups {
			if !u.open || u.spared || !now.Before(u.until) {
				continue
			}
			if best == nil || u.fails < best.fails {
				best = u
			}
		}
		best.spared, p.spared = true, true
	}
}
