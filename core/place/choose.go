package place

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"corianderwing"
)

// schedule grants a slot to a request, forwards it, queues it, or rejects it.
func (p *Pool) schedule(r *Request, now time.Time) {
	if !now.Before(r.Deadline) {
		p.reject(r, 0, corianderwing.DeadlineUnreachable, "request deadline exceeded")
		return
	}
	for _, v := range p.eligibleVersions(r) {
		order := p.rankServers(r, v, now)
		if len(order) == 0 {
			continue
		}
		if s := p.pickServer(r, order, now); s != nil {
			p.grant(r, s, now)
			return
		}
		if d := p.reliefDomain(r, order, now); d != p.cfg.Domain {
			p.effects = append(p.effects, Effect{ID: r.ID, ForwardTo: d, Reason: ForwardRelief, RequireGoal: true})
			return
		}
		if p.enqueue(r, order, now) {
			return
		}
		wait := p.shortestWait(r, order, now)
		p.reject(r, wait, corianderwing.NoCapacity, "pool %s has no free slot for %v, %d requests queued", p.cfg.Name, wait, len(p.queue))
		return
	}
	if d := p.fallbackDomain(r); d != p.cfg.Domain {
		p.effects = append(p.effects, Effect{ID: r.ID, ForwardTo: d, Reason: ForwardFallback})
		return
	}
	p.reject(r, noUpstreamRetryAfter, corianderwing.NoUpstream, "pool %s has no usable upstream in %s", p.cfg.Name, p.cfg.Domain)
}

// noUpstreamRetryAfter is the retry delay if no upstream is usable. New
// upstreams are announced or borrowed within about a second.
const noUpstreamRetryAfter = 400 * time.Millisecond

// eligibleVersions returns the versions that may run the request, the
// preferred one first. The old version never overflows to the new one, which
// is not yet known to work. Once the new version gets all requests, the old
// one is excluded because it is about to be stopped.
func (p *Pool) eligibleVersions(r *Request) []corianderwing.VersionID {
	set := &p.setup
	switch {
	case set.NextVersion == "" || set.NextShare <= 0 || r.CurrentVersionOnly && set.NextShare < 1:
		return []corianderwing.VersionID{set.Version}
	case set.NextShare >= 1:
		return []corianderwing.VersionID{set.NextVersion}
	case p.nextCredit+set.NextShare >= 1:
		return []corianderwing.VersionID{set.NextVersion, set.Version}
	}
	return []corianderwing.VersionID{set.Version}
}

// scoredServer is an upstream with its score for an object.
type scoredServer struct {
	*server
	score float64
}

// rankServers returns the upstreams that may run the request, in the
// rendezvous order of its object. Without an object they are ranked by load.
func (p *Pool) rankServers(r *Request, v corianderwing.VersionID, now time.Time) []scoredServer {
	p.rankings++
	list := make([]scoredServer, 0, len(p.sorted))
	slow := p.meanSlowdown(now)
	for _, s := range p.sorted {
		if !s.usable(now) || s.slots <= 0 || s.upstream.Version != v || slices.Contains(r.ExcludedUpstreams, s.upstream.ID) {
			continue
		}
		if !r.mayRunIn(p.cfg.RegionOf(s.upstream.Domain)) {
			continue
		}
		list = append(list, scoredServer{s, p.score(r, s, slow, now)})
	}
	slices.SortFunc(list, func(a, b scoredServer) int { return cmp.Compare(b.score, a.score) })
	return list
}

// score returns the rank of an upstream for a request; higher is better.
func (p *Pool) score(r *Request, s *server, slow float64, now time.Time) float64 {
	w := s.weight(slow, now)
	if r.Object == 0 {
		far := p.rtt(s).Seconds()
		return p.freeSlots(s, now)/max(1, float64(s.slots)) - far*10 + p.rng.Float64()*0.01
	}
	return rendezvous(r.Object, s.upstream.ID, w)
}

// rendezvous returns the weighted rendezvous hashing score of a node, which is
// an upstream or a failure domain. The node with the highest score gets the
// object. Objects are distributed in proportion to the weights, and few of
// them move when weights change.
func rendezvous[T ~string](object uint64, place T, weight float64) float64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], object)
	var d xxhash.Digest
	d.Reset()
	d.Write(b[:])
	d.WriteString(string(place))
	u := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

// pickServer returns the upstream that should run the request now, or nil if
// the request should wait.
func (p *Pool) pickServer(r *Request, order []scoredServer, now time.Time) *server {
	if s := order[0].server; r.Object != 0 && s.isUnused(now) && p.canServe(r, s, now) {
		return s
	}
	if s := p.fastestHit(r, order, now); s != nil || r.Object == 0 {
		return s
	}
	if p.hitWithinGoal(r, order, now) {
		return nil
	}
	return p.pickLoader(r, order, now)
}

// pickLoader returns the upstream that should load an object because none that caches
// it has a free slot in time, or nil. Taking the first in rendezvous order, or one of
// the first if it is clearly faster now, makes repeated requests choose the same one.
func (p *Pool) pickLoader(r *Request, order []scoredServer, now time.Time) *server {
	loaded := p.highLoad(now)
	choices := maxPaceChoices
	if p.pace.mean == 0 {
		choices = 1
	}
	var best *server
	for i, s := range order {
		if i > 0 && loaded || best != nil && i >= choices {
			break
		}
		if p.canServe(r, s.server, now) && (best == nil || p.isFaster(s.server, best, now)) {
			best = s.server
		}
	}
	return best
}

// maxPaceChoices is the number of upstreams, in rendezvous order, among which the pace
// decides which one loads an object. With more, the objects would spread over more
// caches than they need.
const maxPaceChoices = 3

// isFaster reports whether work is expected to be clearly faster at a than at b now.
func (p *Pool) isFaster(a, b *server, now time.Time) bool {
	return p.expectedPace(a, now)*minPaceGain < p.expectedPace(b, now)
}

// minPaceGain is the ratio of two paces from which the faster upstream is preferred to
// the one that ranks higher.
const minPaceGain = 1.2

// fastestHit returns the upstream that should run a request without a cache miss, or
// nil: the first in rendezvous order that can serve it, or one that is clearly faster
// now.
func (p *Pool) fastestHit(r *Request, order []scoredServer, now time.Time) *server {
	var best *server
	for _, s := range order {
		if r.Object != 0 && !p.expectsHit(s.server, r) || !p.canServe(r, s.server, now) {
			continue
		}
		if p.pace.mean == 0 {
			return s.server
		}
		if best == nil || p.isFaster(s.server, best, now) {
			best = s.server
		}
	}
	return best
}

// expectsHit reports whether the upstream is expected to cache the object of
// the request.
func (p *Pool) expectsHit(s *server, r *Request) bool {
	hit, _ := s.hasCached(r.Object, p.cacheSize)
	return hit
}

// canServe reports whether the upstream has a free slot and is expected to
// respond before the deadline.
func (p *Pool) canServe(r *Request, s *server, now time.Time) bool {
	if p.freeSlots(s, now) < 1 {
		return false
	}
	return now.Add(p.expectedLatency(r, s, now)).Before(r.Deadline)
}

// expectedLatency returns the expected time from the grant to the response.
func (p *Pool) expectedLatency(r *Request, s *server, now time.Time) time.Duration {
	return seconds(p.latencyOf(r.Class).expected(p.expectsHit(s, r))*p.expectedPace(s, now)*s.slowdownAt(now)) + p.rtt(s)
}

// hitWithinGoal reports whether an upstream that caches the object is expected
// to respond within the goal, including the wait for a slot.
func (p *Pool) hitWithinGoal(r *Request, order []scoredServer, now time.Time) bool {
	for _, s := range order {
		if !p.expectsHit(s.server, r) {
			continue
		}
		if now.Add(p.expectedWait(r, s.server, now) + p.expectedLatency(r, s.server, now)).Before(r.Goal) {
			return true
		}
	}
	return false
}

// highLoadThreshold is the fraction of slots in use at which no further
// upstream loads an object. Requests for it are queued or rejected instead.
const highLoadThreshold = 0.5

// highLoad reports whether the pool is so loaded that slow cache misses would
// take the slots of requests that can meet their goal.
func (p *Pool) highLoad(now time.Time) bool {
	room, busy := 0.0, 0.0
	for _, s := range p.sorted {
		if s.usable(now) {
			room += float64(s.slots)
			busy += float64(s.inFlight) + min(s.foreignInFlight(now), float64(s.slots))
		}
	}
	return room == 0 || busy >= highLoadThreshold*room
}

// expectedWait returns how long the request would wait for a slot of the
// upstream.
func (p *Pool) expectedWait(r *Request, s *server, now time.Time) time.Duration {
	free := p.freeSlots(s, now)
	ahead := 0.0
	for _, w := range p.queue {
		if w.target == s && !precedes(r, &w.Request) {
			ahead++
		}
	}
	if free > ahead {
		return 0
	}
	each := p.meanLatency()
	if each <= 0 {
		each = p.latencyOf(r.Class).expected(true)
	}
	return seconds((ahead - free + 1) * each * s.slowdownAt(now) / float64(max(1, s.slots)))
}

// shortestWait returns the shortest expected wait at the upstreams that cache
// the object and at the first one in rendezvous order, but at least
// minRetryAfter.
func (p *Pool) shortestWait(r *Request, order []scoredServer, now time.Time) time.Duration {
	shortest := p.expectedWait(r, order[0].server, now)
	for _, s := range order[1:] {
		if p.expectsHit(s.server, r) {
			shortest = min(shortest, p.expectedWait(r, s.server, now))
		}
	}
	return max(shortest, minRetryAfter)
}

// minRetryAfter is the shortest retry delay of a rejected request: the time to
// open a new connection.
const minRetryAfter = 20 * time.Millisecond
