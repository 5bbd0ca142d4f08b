package place

import (
	"math"
	"time"

	"corianderwing"
)

// classLatency is how long the requests of a class take, in seconds, learned from
// answers: where the upstream knows the object, and where it does not.
type classLatency struct {
	hit  float64
	miss float64
	mean float64 // of all requests
}

const (
	// smoothing is the weight of a new observation.
	smoothing = 0.1
	// defaultMissSeconds is assumed before anything was observed.
	defaultMissSeconds = 0.3
	// hitLatencyRatio is the assumed ratio between the two times until both were
	// observed.
	hitLatencyRatio = 0.35
)

func smooth(old, v float64) float64 {
	if old == 0 {
		return v
	}
	return old + (v-old)*smoothing
}

func (w *classLatency) expected(known bool) float64 {
	switch {
	case known && w.hit > 0:
		return w.hit
	case known && w.miss > 0:
		return w.miss * hitLatencyRatio
	case !known && w.miss > 0:
		return w.miss
	case w.hit > 0:
		return w.hit / hitLatencyRatio
	case known:
		return defaultMissSeconds * hitLatencyRatio
	}
	return defaultMissSeconds
}

func (p *Pool) latencyOf(class corianderwing.RouteID) *classLatency {
	w, ok := p.latencies[class]
	if !ok {
		w = &classLatency{}
		p.latencies[class] = w
	}
	return w
}

// meanLatency returns the mean work of the requests that hold a slot or arrived
// lately, in seconds.
func (p *Pool) meanLatency() float64 {
	if p.arrivals.value <= 0 {
		return 0
	}
	return p.demand.value / p.arrivals.value
}

// Delays there and back to places elsewhere, until they are measured.
const (
	defaultRegionRTT = time.Millisecond
	defaultRemoteRTT = 40 * time.Millisecond
)

// rtt returns the time there and back to an upstream.
func (p *Pool) rtt(s *server) time.Duration {
	if s.upstream.Domain == p.cfg.Domain {
		return 0
	}
	if d, ok := p.rtts[s.upstream.Domain]; ok {
		return d
	}
	if p.cfg.RegionOf(s.upstream.Domain) == p.cfg.RegionOf(p.cfg.Domain) {
		return defaultRegionRTT
	}
	return defaultRemoteRTT
}

// observeDial learns a delay from the time that a connection took to open. A lost
// packet makes it a second longer and says nothing about the delay.
func (p *Pool) observeDial(s *server, dial time.Duration) {
	if dial <= 0 || s.upstream.Domain == p.cfg.Domain {
		return
	}
	old, ok := p.rtts[s.upstream.Domain]
	switch {
	case !ok || dial < old:
		p.rtts[s.upstream.Domain] = dial
	case dial < 2*old:
		p.rtts[s.upstream.Domain] = old + (dial-old)/8
	}
}

// observe learns from the outcome of a grant.
func (p *Pool) observe(h *activeGrant, o Outcome, now time.Time) {
	s := h.server
	s.applyLoadReport(o.Load, now)
	p.observeDial(s, o.DialTime)
	if c, ok := p.classStats[h.Class]; ok && o.Bytes > 0 {
		c.sizeKB = smooth(c.sizeKB, float64(o.Bytes)/1000)
	}
	switch o.Result {
	case Succeeded, ServerError:
		s.failureStreak, s.lostConnections = 0, 0
		s.recordResult(o.Result == ServerError)
		p.learnLatency(h, o.Latency, now)
	case Overloaded:
		s.recordResult(true)
		s.evictObject(h.Object)
		// It said itself that it has no room; nothing more is known.
		s.foreignLoad, s.reportedAt = max(s.foreignInFlight(now), float64(s.slots-s.inFlight)), now
	case AddressReused:
		s.ejectedUntil = now.Add(maxEjection)
	case ConnectFailed, TimedOut:
		s.recordResult(true)
		s.eject(now)
	case ConnectionLost:
		s.recordResult(true)
		s.recordLostConnection(now)
	}
}

func (s *server) recordResult(yes bool) {
	v := 0.0
	if yes {
		v = 1
	}
	s.errorRate += (v - s.errorRate) * smoothing
}

// learnLatency takes the time of an answer over.
func (p *Pool) learnLatency(h *activeGrant, took time.Duration, now time.Time) {
	s := h.server
	sec := max(0.001, (took - p.rtt(s)).Seconds())
	w := p.latencyOf(h.Class)
	known := h.grant.ExpectHit
	w.mean = smooth(w.mean, sec)
	if !h.grant.ColdStart {
		s.slowdown = min(maxSlowdown, max(minSlowdown, s.slowdown+(sec/w.expected(known)-s.slowdown)*smoothing))
	}
	if s.slowdown > slowThreshold*p.meanSlowdown(now) || h.grant.ColdStart {
		return // it says something about the upstream, not about the class
	}
	knew := known
	if w.hit > 0 && w.miss > 0 {
		knew = sec < math.Sqrt(w.hit*w.miss)
	}
	p.learnCacheSize(h, knew)
	if knew {
		w.hit = smooth(w.hit, sec)
	} else {
		w.miss = smooth(w.miss, sec)
	}
}

// learnCacheSize corrects the number of objects that an upstream remembers, by an
// answer for an object that was the depth-th latest there.
func (p *Pool) learnCacheSize(h *activeGrant, knew bool) {
	depth := float64(h.depth)
	switch {
	case h.depth < 0:
	case knew && depth >= p.cacheSize:
		p.cacheSize += (depth + 1 - p.cacheSize) / 2
	case knew && depth > 0.8*p.cacheSize:
		p.cacheSize += 0.2
	case !knew && depth < p.cacheSize:
		p.cacheSize -= max(0.5, (p.cacheSize-depth)/8)
	}
	p.cacheSize = min(max(p.cacheSize, minCacheSize), maxCacheSize)
}

// slowThreshold is how many times slower than the others an upstream must be to
// count as slow.
const slowThreshold = 1.7

// meanSlowdown returns the mean slowness of the upstreams.
func (p *Pool) meanSlowdown(now time.Time) float64 {
	sum, n := 0.0, 0.0
	for _, s := range p.sorted {
		if s.usable(now) {
			sum += min(s.slowdown, 3)
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / n
}

// rateWindow is the span of the averages of demand and arrivals.
const rateWindow = 1500 * time.Millisecond

// decayingRate is a sum of values per second, weighted exponentially.
type decayingRate struct {
	value   float64
	updated time.Time
	started time.Time // first value after a long pause
}

func (a *decayingRate) add(v float64, now time.Time) {
	if a.started.IsZero() || now.Sub(a.updated) > 4*rateWindow {
		a.started, a.value, a.updated = now, 0, now
	}
	a.value = a.decayed(now) + v/rateWindow.Seconds()
	a.updated = now
}

func (a *decayingRate) decayed(now time.Time) float64 {
	if d := now.Sub(a.updated); d > 0 {
		return a.value * math.Exp(-float64(d)/float64(rateWindow))
	}
	return a.value
}

// minRateSpan is the shortest time from which a rate is concluded.
const minRateSpan = 250 * time.Millisecond

// rate returns the average at now. It does not count the time before the first
// value.
func (a *decayingRate) rate(now time.Time) float64 {
	if a.started.IsZero() {
		return 0
	}
	seen := max(now.Sub(a.started), minRateSpan)
	return a.decayed(now) / (1 - math.Exp(-float64(seen)/float64(rateWindow)))
}
