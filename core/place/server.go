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
	// foreignLoadDecay is the time in which the told load of others fades to a third:
	// about as long as a request takes.
	foreignLoadDecay = 400 * time.Millisecond
	// minEjection is how long an upstream gets no request after it failed, and
	// mostEject the longest after it failed again and again.
	minEjection = 250 * time.Millisecond
	maxEjection = 4 * time.Second
	// initialCacheSize is the number of objects that an upstream is thought to remember
	// until its answers tell, and leastKeep and mostKeep bound that number.
	initialCacheSize = 32.0
	minCacheSize     = 4.0
	maxCacheSize     = 256
	// minSlowdown and mostSlow bound the measured slowness of an upstream, in units
	// of the usual time.
	minSlowdown = 0.5
	maxSlowdown = 20.0
	// coldBurst is the number of requests that a starting upstream may get at
	// once.
	coldBurst = 2.0
)

// server is what a Pool knows of an upstream.
type server struct {
	upstream  *model.Upstream
	announced bool // announced
	ready     bool // may get requests
	remote    bool // in another failure domain: its slots are borrowed
	slots     int  // slots for this Pool
	lent      int  // slots of it that others use
	inFlight  int  // requests of this Pool in flight

	foreignLoad     float64 // requests of others beyond the lent slots, as of told
	reportedAt      time.Time
	ejectedUntil    time.Time // gets no request before
	failureStreak   int       // failures in a row
	lostConnections int       // broken connections in a row
	recentObjects   *list.List
	index           map[uint64]*list.Element // of objects, the latest at the front
	coldTokens      float64                  // requests that it may get while it starts
	tokensAt        time.Time
	errorRate       float64 // recent part of answers that were errors or refusals, 0 to 1
	slowdown        float64 // recent time of answers in units of the usual one
}

func newServer(u *model.Upstream) *server {
	return &server{upstream: u, recentObjects: list.New(), index: map[uint64]*list.Element{}, coldTokens: coldBurst, slowdown: 1}
}

func sortServers(list []*server) {
	slices.SortFunc(list, func(a, b *server) int { return cmp.Compare(a.upstream.ID, b.upstream.ID) })
}

// usable reports whether the upstream may get a request, if it has room.
func (s *server) usable(now time.Time) bool {
	return s.announced && s.ready && !now.Before(s.ejectedUntil)
}

// isCold reports whether the upstream still starts.
func (s *server) isCold(now time.Time) bool { return now.Before(s.upstream.Cold) }

// isUnused reports whether the upstream has joined and had no request yet. It gets
// the first one for which it is first in order, although others know the object:
// else it would stay idle while they have room.
func (s *server) isUnused(now time.Time) bool {
	return !s.remote && s.recentObjects.Len() == 0 && !s.isCold(now)
}

// foreignInFlight returns how many requests of foreignInFlight the upstream is thought to have
// beyond the slots that were lent to them.
func (s *server) foreignInFlight(now time.Time) float64 {
	if s.foreignLoad == 0 {
		return 0
	}
	return s.foreignLoad * math.Exp(-float64(now.Sub(s.reportedAt))/float64(foreignLoadDecay))
}

// applyLoadReport takes the load over that the upstream told with an answer, after the
// answered request had given its slot back.
func (s *server) applyLoadReport(r LoadReport, now time.Time) {
	if !r.Valid {
		return
	}
	s.foreignLoad = max(0, float64(r.Running+r.Waiting-s.inFlight-s.lent))
	s.reportedAt = now
}

// hasCached reports whether the upstream is thought to remember an object, if it
// remembers the given number of them, and how many came after it: -1 if it has
// had no request for it.
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

// cacheObject notes that the upstream gets a request for an object.
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

// evictObject notes that the upstream turned out not to know an object.
func (s *server) evictObject(object uint64) {
	if e, ok := s.index[object]; ok {
		s.recentObjects.Remove(e)
		delete(s.index, object)
	}
}

// refillColdTokens adds the tokens that a starting upstream gained.
func (s *server) refillColdTokens(rate float64, now time.Time) {
	if s.tokensAt.IsZero() {
		s.tokensAt = now
	}
	s.coldTokens = min(coldBurst, s.coldTokens+rate*now.Sub(s.tokensAt).Seconds())
	s.tokensAt = now
}

// eject ejects the upstream, for longer each time.
func (s *server) eject(now time.Time) {
	d := min(minEjection<<min(s.failureStreak, 8), maxEjection)
	s.failureStreak++
	s.ejectedUntil = now.Add(d)
}

// recordLostConnection notes a broken connection. One may be the fault of the way; several in a
// row mean that the upstream is gone.
func (s *server) recordLostConnection(now time.Time) {
	s.lostConnections++
	if s.lostConnections >= maxLostConnections || s.failureStreak > 0 {
		s.eject(now)
	}
}

// maxLostConnections is the number of broken connections in a row that eject an
// upstream.
const maxLostConnections = 2

// freeSlots returns how many more requests the upstream can take now.
func (p *Pool) freeSlots(s *server, now time.Time) float64 {
	room := float64(s.slots)
	if s.remote {
		// A borrowed slot is idle while answer and next request are on their way.
		room = math.Ceil(room * p.pipelineFactor(s))
	}
	if p.cfg.Allocators > 1 && !s.remote && s.reportedAt.IsZero() {
		room = math.Ceil(room / float64(p.cfg.Allocators))
	}
	if s.failureStreak > 0 {
		room = min(room, 1) // one request shows whether it works again
	}
	if s.isCold(now) {
		// Many that decide alone would start it with one request each at once.
		if s.remote || p.cfg.Allocators > 1 {
			return 0
		}
		s.refillColdTokens(p.setup.ColdRate, now)
		room = min(room, float64(s.inFlight)+math.Floor(s.coldTokens))
	}
	return room - float64(s.inFlight) - math.Floor(s.foreignInFlight(now)+0.5)
}

// pipelineFactor returns how many requests must be in flight for one borrowed slot.
func (p *Pool) pipelineFactor(s *server) float64 {
	usual := p.meanLatency()
	if usual <= 0 {
		return 1
	}
	return 1 + p.rtt(s).Seconds()/usual
}

// weight returns the upstream's part of the objects. One that fails or is slow
// gets fewer; small differences count for nothing, because an object that moves
// is unknown at its new place.
func (s *server) weight(usualSlow float64) float64 {
	w := float64(s.slots)
	if s.errorRate > 0.1 {
		w *= (1 - s.errorRate) * (1 - s.errorRate)
	}
	if s.slowdown > slowThreshold*usualSlow {
		w *= usualSlow / s.slowdown
	}
	return w
}
