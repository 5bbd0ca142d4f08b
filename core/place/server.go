package place

import (
	"cmp"
	"container/list"
	"math"
	"slices"
	"time"

	"corianderwing/core/model"
)

const (
	// foreignLoadDecay is the time constant with which the reported load of
	// others decays: about the duration of a request.
	foreignLoadDecay = 400 * time.Millisecond
	// minEjection is how long an upstream gets no request after a failure. The
	// time doubles with each consecutive failure, up to maxEjection.
	minEjection = 250 * time.Millisecond
	maxEjection = 4 * time.Second
	// initialCacheSize is the assumed number of objects that an upstream caches
	// until responses show it. minCacheSize and maxCacheSize bound the estimate.
	initialCacheSize = 32.0
	minCacheSize     = 4.0
	maxCacheSize     = 256
	// minSlowdown and maxSlowdown bound the measured slowdown of an upstream,
	// relative to the expected latency.
	minSlowdown = 0.5
	maxSlowdown = 20.0
	// slowdownHold is how long a measured slowdown stays as it is without another
	// measurement, and slowdownFade the time constant with which it then returns
	// to 1. Otherwise an upstream that is taken for too slow for any request
	// would never be measured again.
	slowdownHold = time.Second
	slowdownFade = 2 * time.Second
	// coldBurst is the number of requests that a cold upstream may get at once.
	coldBurst = 2.0
)

// server is the state that a Pool keeps of an upstream.
type server struct {
	upstream  *model.Upstream
	announced bool // present in the current setup
	ready     bool // in phase Ready and not evacuated
	leaving   bool // it said in a response that it is leaving; ends with the incarnation
	remote    bool // in another failure domain, with borrowed slots
	slots     int  // slots available to this Pool
	lent      int  // slots lent to other failure domains
	inFlight  int  // requests of this Pool in flight

	foreignLoad     float64 // requests of others beyond the lent slots, as of reportedAt
	reportedAt      time.Time
	ejectedUntil    time.Time // gets no request before this time
	failureStreak   int       // consecutive failures
	lostConnections int       // consecutive lost connections
	recentObjects   *list.List
	index           map[uint64]*list.Element // into recentObjects, most recent first
	coldTokens      float64                  // requests that it may get during its cold start
	coldGrants      []time.Time              // grants of the last coldGrantWindow during its cold start
	tokensAt        time.Time
	errorRate       float64   // moving average of failed attempts, 0 to 1
	slowdown        float64   // moving average of actual to expected latency
	measuredAt      time.Time // of slowdown
	pace            paceReport
}

func newServer(u *model.Upstream) *server {
	return &server{upstream: u, recentObjects: list.New(), index: map[uint64]*list.Element{}, coldTokens: coldBurst, slowdown: 1}
}

func sortServers(list []*server) {
	slices.SortFunc(list, func(a, b *server) int { return cmp.Compare(a.upstream.ID, b.upstream.ID) })
}

// usable reports whether the upstream may get requests, regardless of free
// slots.
func (s *server) usable(now time.Time) bool {
	return s.announced && s.ready && !s.leaving && !now.Before(s.ejectedUntil)
}

// isCold reports whether the upstream is still in its cold start.
func (s *server) isCold(now time.Time) bool { return now.Before(s.upstream.WarmupUntil) }

// isUnused reports whether the upstream has joined and not had a request yet.
// It then gets the first request whose object ranks it first, even if other
// upstreams cache the object. Otherwise it would stay idle while they have
// free slots.
func (s *server) isUnused(now time.Time) bool {
	return !s.remote && s.recentObjects.Len() == 0 && !s.isCold(now)
}

// foreignInFlight estimates the requests of others at the upstream, beyond the
// slots that were lent to them.
func (s *server) foreignInFlight(now time.Time) float64 {
	if s.foreignLoad == 0 {
		return 0
	}
	return s.foreignLoad * math.Exp(-float64(now.Sub(s.reportedAt))/float64(foreignLoadDecay))
}

// applyLoadReport updates the foreign load from a report. The completed request
// must have released its slot before.
func (s *server) applyLoadReport(r LoadReport, now time.Time) {
	if !r.Valid {
		return
	}
	s.foreignLoad = max(0, float64(r.Running+r.Waiting-s.inFlight-s.lent))
	s.reportedAt = now
}

// hasCached reports whether the upstream is expected to cache an object, for a
// cache of the given size. It also returns the position of the object, most
// recent first, or -1 if the upstream has had no request for it.
func (s *server) hasCached(object uint64, keep float64) (bool, int) {
	e, ok := s.index[object]
	if !ok || object == 0 {
		return false, -1
	}
	depth := 0
	for x := s.recentObjects.Front(); x != e; x = x.Next() {
		depth++
	}
	return float64(depth) < keep, depth
}

// cacheObject records that the upstream gets a request for an object.
func (s *server) cacheObject(object uint64) {
	if object == 0 {
		return
	}
	if e, ok := s.index[object]; ok {
		s.recentObjects.MoveToFront(e)
		return
	}
	s.index[object] = s.recentObjects.PushFront(object)
	if s.recentObjects.Len() > maxCacheSize {
		oldest := s.recentObjects.Back()
		delete(s.index, s.recentObjects.Remove(oldest).(uint64))
	}
}

// evictObject records that the upstream does not cache an object.
func (s *server) evictObject(object uint64) {
	if e, ok := s.index[object]; ok {
		s.recentObjects.Remove(e)
		delete(s.index, object)
	}
}

// refillColdTokens refills the token bucket of a cold upstream.
func (s *server) refillColdTokens(rate float64, now time.Time) {
	if s.tokensAt.IsZero() {
		s.tokensAt = now
	}
	s.coldTokens = min(coldBurst, s.coldTokens+rate*now.Sub(s.tokensAt).Seconds())
	s.tokensAt = now
}

// coldGrantWindow is the time over which the requests to a cold upstream are counted.
const coldGrantWindow = time.Second

// recordColdGrant records a grant during the cold start, and returns the number of
// those in the last coldGrantWindow.
func (s *server) recordColdGrant(now time.Time) int {
	old := func(at time.Time) bool { return now.Sub(at) >= coldGrantWindow }
	s.coldGrants = append(slices.DeleteFunc(s.coldGrants, old), now)
	return len(s.coldGrants)
}

// eject excludes the upstream from scheduling, twice as long after each
// consecutive failure.
func (s *server) eject(now time.Time) {
	d := min(minEjection<<min(s.failureStreak, 8), maxEjection)
	s.failureStreak++
	s.ejectedUntil = now.Add(d)
}

// recordLostConnection counts a lost connection. A single one may be a network
// fault. Several in a row mean that the upstream is down, and eject it.
func (s *server) recordLostConnection(now time.Time) {
	s.lostConnections++
	if s.lostConnections >= maxLostConnections || s.failureStreak > 0 {
		s.eject(now)
	}
}

// maxLostConnections is the number of consecutive lost connections that eject
// an upstream.
const maxLostConnections = 2

// freeSlots returns how many more requests the upstream can take now.
func (p *Pool) freeSlots(s *server, now time.Time) float64 {
	room := float64(s.slots)
	if s.remote {
		// A borrowed slot idles while the response and the next request are in transit.
		room = math.Ceil(room * p.pipelineFactor(s))
	}
	if p.cfg.Allocators > 1 && s.reportedAt.IsZero() {
		room = math.Ceil(room / float64(p.cfg.Allocators))
	}
	if s.failureStreak > 0 {
		room = min(room, 1) // a single probe shows whether it has recovered
	}
	if s.isCold(now) {
		if s.remote || !p.soleAllocator {
			return 0
		}
		s.refillColdTokens(p.setup.ColdRate, now)
		room = min(room, float64(s.inFlight)+math.Floor(s.coldTokens))
	}
	return room - float64(s.inFlight) - math.Floor(s.foreignInFlight(now)+0.5)
}

// pipelineFactor returns how many requests must be in flight to keep one
// borrowed slot busy.
func (p *Pool) pipelineFactor(s *server) float64 {
	usual := p.meanLatency()
	if usual <= 0 {
		return 1
	}
	return 1 + p.rtt(s).Seconds()/usual
}

// slowdownAt returns the slowdown, which fades while nothing is measured.
func (s *server) slowdownAt(now time.Time) float64 {
	idle := now.Sub(s.measuredAt) - slowdownHold
	if idle <= 0 {
		return s.slowdown
	}
	return 1 + (s.slowdown-1)*math.Exp(-float64(idle)/float64(slowdownFade))
}

// weight returns the rendezvous weight of the upstream. Failing or slow
// upstreams get fewer objects. Small differences are ignored, because an
// object that moves is not cached by its new upstream.
func (s *server) weight(usualSlow float64, now time.Time) float64 {
	w := float64(s.slots)
	if s.errorRate > 0.1 {
		w *= (1 - s.errorRate) * (1 - s.errorRate)
	}
	if slowdown := s.slowdownAt(now); slowdown > slowThreshold*usualSlow {
		w *= usualSlow / slowdown
	}
	return w
}
