package place_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
)

// The replay simulates pools, planner and upstreams in virtual time: upstreams
// with few slots that cache a bounded number of objects, regions whose loads
// peak at different times, and callers that retry once.

// event is a scheduled function.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// upstream is a simulated upstream.
type upstream struct {
	model     model.Upstream
	slots     int
	cacheSize int
	running   int
	queue     []func()
	cache     []string // objects, most recent last
	down      bool
	pace      corianderwing.Percent // processing time at the moment, relative to the usual; 0 for as usual
}

// request is one request of a caller, over both of its attempts.
type request struct {
	class     *class
	domain    *domain
	object    string
	hash      uint64
	arrivedAt time.Duration
	retried   bool
	settled   bool
	grantedBy corianderwing.DomainID // domain that granted the slot
	workspace corianderwing.WorkspaceID
}

// tally counts the results of requests.
type tally struct {
	requests, inGoal, late, refused, failed int
	maxValue, value                         float64
	nearKB, farKB                           float64 // traffic between failure domains of a region, and between regions
	granted, elsewhere                      int     // requests that got a slot, and those of them that run in another region
}

// balancer decides where requests go.
type balancer interface {
	ask(q *request, done func(u *upstream, id place.ID, refused bool, after time.Duration))
	end(q *request, u *upstream, id place.ID, result place.Result, took time.Duration, r place.LoadReport)
	tick()
}

// simulation is a running replay.
type simulation struct {
	deployment
	rng      *rand.Rand // for arrivals, which are the same for all balancers
	workRand *rand.Rand // for processing times
	now      time.Duration
	events   events
	seq      int
	ups      map[corianderwing.UpstreamID]*upstream
	byPool   map[corianderwing.PoolID][]*upstream
	placer   balancer
	total    tally
	domain   map[corianderwing.DomainID]*tally
	class    map[corianderwing.RouteID]*tally
	spaces   map[corianderwing.WorkspaceID]*tally
	windows  []tally
	regions  map[corianderwing.RegionID][]tally // by window; only granted and elsewhere
}

const window = 2 * time.Second

func newSimulation(s deployment, seed uint64) *simulation {
	w := &simulation{
		deployment: s, rng: rand.New(rand.NewPCG(seed, 7)), workRand: rand.New(rand.NewPCG(seed, 8)),
		ups: map[corianderwing.UpstreamID]*upstream{}, byPool: map[corianderwing.PoolID][]*upstream{},
		domain: map[corianderwing.DomainID]*tally{}, class: map[corianderwing.RouteID]*tally{},
		regions: map[corianderwing.RegionID][]tally{}, spaces: map[corianderwing.WorkspaceID]*tally{},
	}
	for _, p := range s.pools {
		for i, d := range s.domains {
			for n := range p.count[i] {
				u := &upstream{slots: p.slots, cacheSize: p.cacheSize}
				u.model.ID = corianderwing.UpstreamID(fmt.Sprintf("%s-%s-%d", p.id, d.id, n))
				u.model.Pool, u.model.Domain, u.model.Slots = p.id, d.id, corianderwing.Slots(p.slots)
				u.model.Phase, u.model.Version, u.model.Incarnation = corianderwing.Ready, "v1", 1
				w.ups[u.model.ID] = u
				w.byPool[p.id] = append(w.byPool[p.id], u)
			}
		}
	}
	return w
}

func (w *simulation) regionOf(d corianderwing.DomainID) corianderwing.RegionID {
	for _, x := range w.domains {
		if x.id == d {
			return x.region
		}
	}
	return ""
}

func (w *simulation) find(id corianderwing.DomainID) *domain {
	for i := range w.domains {
		if w.domains[i].id == id {
			return &w.domains[i]
		}
	}
	return nil
}

// oneWayDelay returns the network delay between two failure domains.
func (w *simulation) oneWayDelay(a, b corianderwing.DomainID) time.Duration {
	switch {
	case a == b:
		return 200 * time.Microsecond
	case w.regionOf(a) == w.regionOf(b):
		return 500 * time.Microsecond
	}
	return w.remoteDelay
}

func (w *simulation) clock() time.Time { return time.Unix(1000, 0).Add(w.now) }

func (w *simulation) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + d, w.seq, do})
}

// run runs the simulation to its end.
func (w *simulation) run() {
	for i := range w.domains {
		for k := range w.classes {
			w.arrivals(&w.domains[i], &w.classes[k])
		}
	}
	for _, f := range w.faults {
		w.after(f.at, func() { w.failDomain(f) })
	}
	if w.moments.part > 0 {
		w.startMoments()
	}
	w.ticks()
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		if e.at > w.length+5*time.Second {
			return
		}
		w.now = e.at
		e.do()
	}
}

func (w *simulation) ticks() {
	w.placer.tick()
	w.after(25*time.Millisecond, w.ticks)
}

// failDomain takes all upstreams of a domain down and restarts them later with
// empty caches.
func (w *simulation) failDomain(f fault) {
	for _, u := range w.ups {
		if u.model.Domain != f.domain {
			continue
		}
		u.down = true
		u.cache, u.queue, u.running = nil, nil, 0
		w.after(f.length, func() {
			u.down = false
			u.model.Incarnation++
		})
	}
}

// arrivals schedules the arrivals of one class in one domain.
func (w *simulation) arrivals(d *domain, c *class) {
	parts := 0.0
	for _, x := range w.classes {
		parts += x.weight
	}
	const mostBurst = 2
	most := w.rate * c.weight / parts * (1 + w.amplitude) * mostBurst
	rng := rand.New(rand.NewPCG(w.rng.Uint64(), 1))
	var next func()
	next = func() {
		if w.now > w.length {
			return
		}
		wave := 1 + w.amplitude*math.Sin(2*math.Pi*(w.now.Seconds()/w.period.Seconds()+d.phase))
		for _, b := range w.bursts {
			if w.now >= b.at && w.now < b.at+b.length {
				wave *= b.factor
			}
		}
		if rng.Float64()*(1+w.amplitude)*mostBurst < wave {
			w.arrive(d, c, rng)
		}
		w.after(time.Duration(rng.ExpFloat64()/most*float64(time.Second)), next)
	}
	w.after(time.Duration(rng.ExpFloat64()/most*float64(time.Second)), next)
}

func (w *simulation) arrive(d *domain, c *class, rng *rand.Rand) {
	n := rng.IntN(c.objects)
	q := &request{class: c, domain: d, object: fmt.Sprintf("%s-%s-%d", c.id, d.region, n), arrivedAt: w.now}
	for _, b := range []byte(q.object) {
		q.hash = (q.hash ^ uint64(b)) * 1099511628211
	}
	q.hash |= 1
	for _, x := range w.shifts {
		if x.from == d.id && w.now >= x.at && w.now < x.at+x.length && rng.Float64() < x.part {
			q.domain = w.find(x.to)
		}
	}
	q.workspace = w.pickWorkspace(rng)
	w.count(q, func(t *tally) {
		t.requests++
		t.maxValue += c.value
	})
	w.sendAttempt(q)
}

// count updates all tallies of a request.
func (w *simulation) count(q *request, f func(*tally)) {
	f(&w.total)
	if w.domain[q.domain.id] == nil {
		w.domain[q.domain.id] = &tally{}
	}
	if w.class[q.class.id] == nil {
		w.class[q.class.id] = &tally{}
	}
	if w.spaces[q.workspace] == nil {
		w.spaces[q.workspace] = &tally{}
	}
	f(w.domain[q.domain.id])
	f(w.class[q.class.id])
	f(w.spaces[q.workspace])
	i := int(q.arrivedAt / window)
	for len(w.windows) <= i {
		w.windows = append(w.windows, tally{})
	}
	f(&w.windows[i])
}

func (w *simulation) settle(q *request, f func(*tally)) {
	if q.settled {
		return
	}
	q.settled = true
	w.count(q, f)
}

// sendAttempt sends a request to the entry instance of its domain.
func (w *simulation) sendAttempt(q *request) {
	const toEntry = 7 * time.Millisecond // round trip, including an occasional new connection
	w.after(toEntry/2, func() {
		w.placer.ask(q, func(u *upstream, id place.ID, refused bool, after time.Duration) {
			if refused {
				w.after(toEntry/2, func() { w.reject(q, after) })
				return
			}
			w.send(q, u, id)
		})
	})
}

func (w *simulation) reject(q *request, after time.Duration) {
	left := q.arrivedAt + q.class.deadline - w.now
	if q.retried || left <= 0 {
		w.settle(q, func(t *tally) { t.refused++ })
		return
	}
	q.retried = true
	w.after(min(after, left/3)+6*time.Millisecond, func() { w.sendAttempt(q) })
}

// countRegion counts a request of the window in which it was sent, by the region of
// its domain and whether it runs there.
func (w *simulation) countRegion(q *request, runs corianderwing.DomainID) {
	list := w.regions[q.domain.region]
	i := int(q.arrivedAt / window)
	for len(list) <= i {
		list = append(list, tally{})
	}
	list[i].granted++
	if w.regionOf(runs) != q.domain.region {
		list[i].elsewhere++
	}
	w.regions[q.domain.region] = list
}

// send runs a request at an upstream.
func (w *simulation) send(q *request, u *upstream, id place.ID) {
	way := w.oneWayDelay(q.domain.id, u.model.Domain)
	w.countRegion(q, u.model.Domain)
	switch {
	case q.domain.id == u.model.Domain:
	case way == w.remoteDelay:
		w.total.farKB += float64(q.class.bytes) / 1000
	default:
		w.total.nearKB += float64(q.class.bytes) / 1000
	}
	sent := w.now
	life := u.model.Incarnation
	finish := func(result place.Result) {
		r := place.LoadReport{Running: u.running, Waiting: len(u.queue), Valid: result != place.ConnectionLost}
		if w.moments.reported {
			r.WorkTime = u.pace
		}
		w.after(way, func() {
			took := w.now - sent
			w.placer.end(q, u, id, result, took, r)
			if result == place.Succeeded {
				w.after(4*time.Millisecond, func() { w.answered(q) })
			} else {
				w.settle(q, func(t *tally) { t.failed++ })
			}
		})
	}
	w.after(way, func() {
		if u.down {
			finish(place.ConnectionLost)
			return
		}
		start := func() {
			u.running++
			w.after(u.workTime(q, w.workRand), func() {
				if u.down || u.model.Incarnation != life {
					finish(place.ConnectionLost)
					return
				}
				u.running--
				finish(place.Succeeded)
				if len(u.queue) > 0 && u.running < u.slots {
					next := u.queue[0]
					u.queue = u.queue[1:]
					next()
				}
			})
		}
		switch {
		case w.isShed(u):
			finish(place.Overloaded)
		case u.running < u.slots:
			start()
		case len(u.queue) < 3*u.slots:
			u.queue = append(u.queue, start)
		default:
			finish(place.Overloaded)
		}
	})
}

// workTime returns the processing time of a request, and caches its object.
func (u *upstream) workTime(q *request, rng *rand.Rand) time.Duration {
	work := float64(q.class.work) * (0.85 + 0.3*rng.Float64())
	if i := slices.Index(u.cache, q.object); i >= 0 {
		u.cache = slices.Delete(u.cache, i, i+1)
		work *= hitWorkFraction
	}
	if u.pace > 0 {
		work *= float64(u.pace) / 100
	}
	u.cache = append(u.cache, q.object)
	if len(u.cache) > u.cacheSize {
		u.cache = u.cache[1:]
	}
	return time.Duration(work)
}

func (w *simulation) answered(q *request) {
	took := w.now - q.arrivedAt
	w.settle(q, func(t *tally) {
		switch {
		case took <= q.class.goal:
			t.inGoal++
			t.value += q.class.value
		case took <= q.class.deadline:
			t.late++
			t.value += q.class.lateValue
		default:
			t.failed++
		}
	})
}
