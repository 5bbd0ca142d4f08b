package place

import (
	"math"
	"time"

	"corianderwing"
)

// work is how long the requests of a class take, in seconds, learned from
// answers: where the upstream knows the object, and where it does not.
type work struct {
	known   float64
	unknown float64
	mean    float64 // of all requests
}

const (
	// smoothing is the weight of a new observation.
	smoothing = 0.1
	// firstWork is assumed before anything was observed.
	firstWork = 0.3
	// knownPart is the assumed ratio between the two times until both were
	// observed.
	knownPart = 0.35
)

func smooth(old, v float64) float64 {
	if old == 0 {
		return v
	}
	return old + (v-old)*smoothing
}

func (w *work) of(known bool) float64 {
	switch {
	case known && w.known > 0:
		return w.known
	case known && w.unknown > 0:
		return w.unknown * knownPart
	case !known && w.unknown > 0:
		return w.unknown
	case w.known > 0:
		return w.known / knownPart
	case known:
		return firstWork * knownPart
	}
	return firstWork
}

func (p *Pool) workOf(class corianderwing.RouteID) *work {
	w, ok := p.work[class]
	if !ok {
		w = &work{}
		p.work[class] = w
	}
	return w
}

// usual returns the mean work of the requests that hold a slot or arrived
// lately, in seconds.
func (p *Pool) usual() float64 {
	if p.arrived.value <= 0 {
		return 0
	}
	return p.demand.value / p.arrived.value
}

// Delays there and back to places elsewhere, until they are measured.
const (
	regionDelay = time.Millisecond
	farDelay    = 40 * time.Millisecond
)

// delay returns the time there and back to an upstream.
func (p *Pool) delay(s *server) time.Duration {
	if s.up.Domain == p.cfg.Domain {
		return 0
	}
	if d, ok := p.delays[s.up.Domain]; ok {
		return d
	}
	if p.cfg.RegionOf(s.up.Domain) == p.cfg.RegionOf(p.cfg.Domain) {
		return regionDelay
	}
	return farDelay
}

// measure learns a delay from the time that a connection took to open. A lost
// packet makes it a second longer and says nothing about the delay.
func (p *Pool) measure(s *server, dial time.Duration) {
	if dial <= 0 || s.up.Domain == p.cfg.Domain {
		return
	}
	old, ok := p.delays[s.up.Domain]
	switch {
	case !ok || dial < old:
		p.delays[s.up.Domain] = dial
	case dial < 2*old:
		p.delays[s.up.Domain] = old + (dial-old)/8
	}
}

// observe learns from the outcome of a grant.
func (p *Pool) observe(h *hold, o Outcome, now time.Time) {
	s := h.server
	s.report(o.Load, now)
	p.measure(s, o.DialTime)
	if c, ok := p.seen[h.Class]; ok && o.Bytes > 0 {
		c.size = smooth(c.size, float64(o.Bytes)/1000)
	}
	switch o.Result {
	case Succeeded, ServerError:
		s.streak, s.broken = 0, 0
		s.fault(o.Result == ServerError)
		p.learn(h, o.Latency, now)
	case Overloaded:
		s.fault(true)
		s.forget(h.Object)
		// It said itself that it has no room; nothing more is known.
		s.foreign, s.told = max(s.others(now), float64(s.room-s.busy)), now
	case AddressReused:
		s.until = now.Add(mostEject)
	case ConnectFailed, TimedOut:
		s.fault(true)
		s.failed(now)
	case ConnectionLost:
		s.fault(true)
		s.broke(now)
	}
}

func (s *server) fault(yes bool) {
	v := 0.0
	if yes {
		v = 1
	}
	s.faults += (v - s.faults) * smoothing
}

// learn takes the time of an answer over.
func (p *Pool) learn(h *hold, took time.Duration, now time.Time) {
	s := h.server
	sec := max(0.001, (took - p.delay(s)).Seconds())
	w := p.workOf(h.Class)
	known := h.grant.ExpectHit
	w.mean = smooth(w.mean, sec)
	if !h.grant.ColdStart {
		s.slow = min(mostSlow, max(leastSlow, s.slow+(sec/w.of(known)-s.slow)*smoothing))
	}
	if s.slow > slowFrom*p.usualSlow(now) || h.grant.ColdStart {
		return // it says something about the upstream, not about the class
	}
	knew := known
	if w.known > 0 && w.unknown > 0 {
		knew = sec < math.Sqrt(w.known*w.unknown)
	}
	p.learnKeep(h, knew)
	if knew {
		w.known = smooth(w.known, sec)
	} else {
		w.unknown = smooth(w.unknown, sec)
	}
}

// learnKeep corrects the number of objects that an upstream remembers, by an
// answer for an object that was the depth-th latest there.
func (p *Pool) learnKeep(h *hold, knew bool) {
	depth := float64(h.depth)
	switch {
	case h.depth < 0:
	case knew && depth >= p.keep:
		p.keep += (depth + 1 - p.keep) / 2
	case knew && depth > 0.8*p.keep:
		p.keep += 0.2
	case !knew && depth < p.keep:
		p.keep -= max(0.5, (p.keep-depth)/8)
	}
	p.keep = min(max(p.keep, leastKeep), mostKeep)
}

// slowFrom is how many times slower than the others an upstream must be to
// count as slow.
const slowFrom = 1.7

// usualSlow returns the mean slowness of the upstreams.
func (p *Pool) usualSlow(now time.Time) float64 {
	sum, n := 0.0, 0.0
	for _, s := range p.list {
		if s.usable(now) {
			sum += min(s.slow, 3)
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / n
}

// averageTime is the span of the averages of demand and arrivals.
const averageTime = 1500 * time.Millisecond

// average is a sum of values per second, weighted exponentially.
type average struct {
	value float64
	at    time.Time
	since time.Time // first value after a long pause
}

func (a *average) add(v float64, now time.Time) {
	if a.since.IsZero() || now.Sub(a.at) > 4*averageTime {
		a.since, a.value, a.at = now, 0, now
	}
	a.value = a.fade(now) + v/averageTime.Seconds()
	a.at = now
}

func (a *average) fade(now time.Time) float64 {
	if d := now.Sub(a.at); d > 0 {
		return a.value * math.Exp(-float64(d)/float64(averageTime))
	}
	return a.value
}

// leastSpan is the shortest time from which a rate is concluded.
const leastSpan = 250 * time.Millisecond

// rate returns the average at now. It does not count the time before the first
// value.
func (a *average) rate(now time.Time) float64 {
	if a.since.IsZero() {
		return 0
	}
	seen := max(now.Sub(a.since), leastSpan)
	return a.fade(now) / (1 - math.Exp(-float64(seen)/float64(averageTime)))
}
