package place

import (
	"math"
	"time"

	"corianderwing"
)

// classLatency holds the smoothed latencies of a class, in seconds, for cache
// hits and cache misses.
type classLatency struct {
	hit  float64
	miss float64
	mean float64 // over hits and misses
}

const (
	// smoothing is the weight of a new sample in the moving averages.
	smoothing = 0.1
	// defaultMissSeconds is the assumed latency of a cache miss before any
	// measurement.
	defaultMissSeconds = 0.3
	// hitLatencyRatio is the assumed ratio of hit to miss latency until both
	// were measured.
	hitLatencyRatio = 0.35
)

func smooth(old, v float64) float64 {
	if old == 0 {
		return v
	}
	return old + (v-old)*smoothing
}

func (w *classLatency) expected(hit bool) float64 {
	switch {
	case hit && w.hit > 0:
		return w.hit
	case hit && w.miss > 0:
		return w.miss * hitLatencyRatio
	case !hit && w.miss > 0:
		return w.miss
	case w.hit > 0:
		return w.hit / hitLatencyRatio
	case hit:
		return defaultMissSeconds * hitLatencyRatio
	}
	return defaultMissSeconds
}

// demand returns how long a request is expected to hold a slot, in seconds. Until a
// response was measured, that is the time within which the class is to respond:
// the first responses arrive too late for the first loans of other domains. Waits
// are not estimated from it: an upstream may respond far sooner.
func (w *classLatency) demand(r *Request, now time.Time) float64 {
	if w.mean == 0 {
		return max(r.Goal.Sub(now).Seconds(), w.expected(true))
	}
	return max(w.mean, w.expected(true))
}

func (p *Pool) latencyOf(class corianderwing.RouteID) *classLatency {
	w, ok := p.latencies[class]
	if !ok {
		w = &classLatency{}
		p.latencies[class] = w
	}
	return w
}

// meanLatency returns the mean latency of the recent requests, in seconds.
func (p *Pool) meanLatency() float64 {
	if p.arrivals.value <= 0 {
		return 0
	}
	return p.work.value / p.arrivals.value
}

// Round-trip times that are assumed until one is measured.
const (
	defaultRegionRTT = time.Millisecond
	defaultRemoteRTT = 40 * time.Millisecond
)

// rtt returns the round-trip time to an upstream.
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

// observeDial updates the round-trip time from the time taken to open a
// connection. Samples of twice the estimate or more are ignored: a lost packet
// delays the connection by a second and says nothing about the round-trip
// time.
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

// observe updates the measurements from the outcome of a grant.
func (p *Pool) observe(h *activeGrant, o Outcome, now time.Time) {
	s := h.server
	s.leaving = s.leaving || o.Leaving
	s.applyLoadReport(o.Load, now)
	p.observePace(s, o.Load, now)
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
		p.observeRejection(h, o.Load, now)
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

// observeRejection updates the load of an upstream that rejected a request, and what
// it caches.
func (p *Pool) observeRejection(h *activeGrant, load LoadReport, now time.Time) {
	s := h.server
	if load.WorkTime > 0 && load.Running+load.Waiting < int(s.upstream.Slots) {
		// It has free slots: it rejects some requests, and caches what it did before.
		if h.depth < 0 {
			s.evictObject(h.Object)
		}
		return
	}
	s.evictObject(h.Object)
	// The upstream reported itself full; its actual load is unknown.
	s.foreignLoad, s.reportedAt = max(s.foreignInFlight(now), float64(s.slots-s.inFlight)), now
}

func (s *server) recordResult(yes bool) {
	v := 0.0
	if yes {
		v = 1
	}
	s.errorRate += (v - s.errorRate) * smoothing
}

// learnLatency updates the latencies of the class, the slowdown of the
// upstream and the estimated cache size from the latency of a response.
func (p *Pool) learnLatency(h *activeGrant, took time.Duration, now time.Time) {
	s := h.server
	held := max(0.001, (took - p.rtt(s)).Seconds())
	// Latencies of hits and misses are kept as if all work ran at the usual pace, so
	// that a slow moment passes neither for a miss nor for a slow upstream.
	sec := held / p.paceDuring(h, now)
	w := p.latencyOf(h.Class)
	expectHit := h.grant.ExpectHit
	w.mean = smooth(w.mean, held)
	if !h.grant.ColdStart {
		slowdown := s.slowdownAt(now)
		slowdown += (sec/w.expected(expectHit) - slowdown) * smoothing
		s.slowdown, s.measuredAt = min(maxSlowdown, max(minSlowdown, slowdown)), now
	}
	if s.slowdownAt(now) > slowThreshold*p.meanSlowdown(now) || h.grant.ColdStart {
		return // caused by the upstream, not by the class
	}
	hit := expectHit
	if w.hit > 0 && w.miss > 0 {
		hit = sec < math.Sqrt(w.hit*w.miss)
	}
	p.learnCacheSize(h, hit)
	if hit {
		w.hit = smooth(w.hit, sec)
	} else {
		w.miss = smooth(w.miss, sec)
	}
}

// learnCacheSize adjusts the estimated cache size after a hit or miss of the
// object at position h.depth in the upstream's cache.
func (p *Pool) learnCacheSize(h *activeGrant, hit bool) {
	depth := float64(h.depth)
	if p.pace.mean > 0 {
		p.cacheDepths.add(h.depth, hit)
		p.cacheSize = p.cacheDepths.size()
		return
	}
	switch {
	case h.depth < 0:
	case hit && depth >= p.cacheSize:
		p.cacheSize += (depth + 1 - p.cacheSize) / 2
	case hit && depth > 0.8*p.cacheSize:
		p.cacheSize += 0.2
	case !hit && depth < p.cacheSize:
		p.cacheSize -= max(0.5, (p.cacheSize-depth)/8)
	}
	p.cacheSize = min(max(p.cacheSize, minCacheSize), maxCacheSize)
}

// slowThreshold is how many times slower than the mean an upstream must be to
// be treated as slow.
const slowThreshold = 1.7

// meanSlowdown returns the mean slowdown of the usable upstreams, each capped
// at 3.
func (p *Pool) meanSlowdown(now time.Time) float64 {
	sum, n := 0.0, 0.0
	for _, s := range p.sorted {
		if s.usable(now) {
			sum += min(s.slowdownAt(now), 3)
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / n
}

// rateWindow is the time constant of the moving averages of demand and
// arrivals.
const rateWindow = 1500 * time.Millisecond

// decayingRate is an exponentially weighted moving average of a sum per
// second.
type decayingRate struct {
	value   float64
	updated time.Time
	started time.Time // first value after a pause of several windows
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

// minRateSpan is the shortest time span from which a rate is computed.
const minRateSpan = 250 * time.Millisecond

// rate returns the average at now. The time before the first value does not
// count.
func (a *decayingRate) rate(now time.Time) float64 {
	if a.started.IsZero() {
		return 0
	}
	seen := max(now.Sub(a.started), minRateSpan)
	return a.decayed(now) / (1 - math.Exp(-float64(seen)/float64(rateWindow)))
}
