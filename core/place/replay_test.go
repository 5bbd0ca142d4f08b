package place_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/core/steer"
)

// The replay simulates pools, planner and upstreams in virtual time: upstreams
// with few slots that cache a bounded number of objects, regions whose loads
// peak at different times, and callers that retry once.

// deployment describes a deployment and its load.
type deployment struct {
	domains     []domain
	pools       []poolSpec
	classes     []class
	remoteDelay time.Duration // one way between regions
	rate        float64       // requests per second of one failure domain
	amplitude   float64       // amplitude of the sine wave of each region's load
	period      time.Duration
	length      time.Duration
	faults      []fault
	shifts      []shift
	bursts      []burst
	moments     moments
	sheds       []shed
	workspaces  []workspace // of the callers; empty for none
	divided     bool        // slots are divided between workspaces
}

// workspace has a weight, and a part of all requests in proportion to its load.
type workspace struct {
	id           corianderwing.WorkspaceID
	weight, load float64
}

// shed makes the upstreams of a pool reject a part of the requests for a while,
// although they have free slots.
type shed struct {
	pool       corianderwing.PoolID
	part       float64
	at, length time.Duration
}

// moments makes single upstreams slow for a moment, now and then.
type moments struct {
	part     float64       // of the time in which an upstream is slow
	factor   float64       // of the processing time in a slow moment
	every    time.Duration // mean time between changes
	reported bool          // upstreams report how long work takes at the moment
}

// shift sends a part of a domain's callers to the entry instances of another
// domain.
type shift struct {
	from, to   corianderwing.DomainID
	part       float64
	at, length time.Duration
}

// burst multiplies the load of all domains.
type burst struct {
	factor     float64
	at, length time.Duration
}

type domain struct {
	id     corianderwing.DomainID
	region corianderwing.RegionID
	phase  float64
}

type poolSpec struct {
	id        corianderwing.PoolID
	count     []int // upstreams in each domain
	slots     int
	cacheSize int // objects that an upstream caches
}

type class struct {
	id        corianderwing.RouteID
	pool      corianderwing.PoolID
	weight    float64
	work      time.Duration // processing time on a cache miss
	goal      time.Duration
	deadline  time.Duration
	value     float64
	lateValue float64
	rank      int
	objects   int // objects per region
	bytes     int // size of a request and its response
}

// fault takes all upstreams of a domain down for a while and clears their
// caches.
type fault struct {
	domain corianderwing.DomainID
	at     time.Duration
	length time.Duration
}

const hitWorkFraction = 0.3 // fraction of the processing time that a cache hit takes

// threadworks models the deployment of that name under the load of its busiest
// days.
func threadworks(rate float64) deployment {
	s := deployment{
		remoteDelay: 12 * time.Millisecond, rate: rate, amplitude: 0.55, period: 36 * time.Second, length: 32 * time.Second,
		pools: []poolSpec{
			{"catalogue", []int{1, 3, 3, 1, 3, 3}, 5, 29},
			{"orders", []int{1, 2, 3, 1, 2, 3}, 3, 15},
			{"files", []int{1, 3, 4, 1, 3, 4}, 4, 24},
		},
		classes: []class{
			{"browse", "catalogue", 5.2, 360 * time.Millisecond, 250 * time.Millisecond, 2 * time.Second, 1, 0.2, 2, 51, 2200},
			{"order", "orders", 2.3, 480 * time.Millisecond, 300 * time.Millisecond, 2500 * time.Millisecond, 2, 0.4, 1, 24, 9700},
			{"fetch", "files", 2.2, 880 * time.Millisecond, 600 * time.Millisecond, 4 * time.Second, 1, 0.2, 2, 24, 5700},
			{"rush", "files", 1.2, 144 * time.Millisecond, 120 * time.Millisecond, 800 * time.Millisecond, 2, 0.4, 1, 24, 5700},
		},
	}
	s.domains = sixDomains()
	return s
}

// kazi models the other deployment, with long delays between regions.
func kazi(rate float64) deployment {
	s := deployment{
		remoteDelay: 35 * time.Millisecond, rate: rate, amplitude: 0.55, period: 36 * time.Second, length: 32 * time.Second,
		pools: []poolSpec{
			{"showroom", []int{2, 3, 1, 2, 3, 1}, 4, 15},
			{"ledger", []int{2, 3, 1, 2, 3, 1}, 3, 15},
			{"workbench", []int{2, 3, 1, 2, 3, 1}, 4, 30},
		},
		classes: []class{
			{"browse", "showroom", 6.1, 880 * time.Millisecond, 600 * time.Millisecond, 4 * time.Second, 1, 0.2, 2, 24, 1100},
			{"deposit", "ledger", 2.4, 1160 * time.Millisecond, 800 * time.Millisecond, 6 * time.Second, 2, 0.4, 1, 24, 3400},
			{"check", "workbench", 2.5, 2200 * time.Millisecond, 1500 * time.Millisecond, 12 * time.Second, 1, 0.2, 2, 24, 2200},
			{"quote", "workbench", 1.5, 352 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second, 2, 0.4, 1, 24, 2200},
		},
	}
	s.domains = sixDomains()
	return s
}

func sixDomains() []domain {
	return []domain{{"a1", "a", 0}, {"b1", "b", 0.33}, {"c1", "c", 0.67}, {"a2", "a", 0}, {"b2", "b", 0.33}, {"c2", "c", 0.67}}
}

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

// allocators is the balancer under test: one pool per failure domain and
// service, and a planner.
type allocators struct {
	w       *simulation
	pools   map[corianderwing.PoolID]map[corianderwing.DomainID]*place.Pool
	waiting map[place.ID]pendingRequest
	planner *steer.Planner
	last    place.ID
	synced  time.Duration
	silent  time.Duration // reports of requests do not reach the planner before this time
	lots    []steer.UpstreamLoan
	noLoans bool
	stopped []stoppedPool
}

// stoppedPool is a pool of a control instance that has stopped. Its last report
// counts for a while.
type stoppedPool struct {
	load   place.Load
	pool   corianderwing.PoolID
	domain corianderwing.DomainID
	until  time.Time
}

// takeOver replaces the pools of a failure domain by those of another control
// instance, which knows nothing of the upstreams' caches. The last report of the
// first one counts for reportTTL.
func (d *allocators) takeOver(x corianderwing.DomainID, reportTTL time.Duration) {
	now := d.w.clock()
	for _, p := range d.w.deployment.pools {
		d.stopped = append(d.stopped, stoppedPool{d.pools[p.id][x].Load(now), p.id, x, now.Add(reportTTL)})
		d.pools[p.id][x] = place.New(place.Config{Name: p.id, Domain: x, RegionOf: d.w.regionOf, Seed: 1})
	}
	d.sync(now)
}

// reports returns the loads that the planner knows of a pool in a failure domain.
func (d *allocators) reports(pool corianderwing.PoolID, x corianderwing.DomainID, now time.Time) []place.Load {
	list := []place.Load{d.pools[pool][x].Load(now)}
	if d.w.now < d.silent {
		list[0].Demand, list[0].ArrivalRate, list[0].Provisional = 0, 0, false
	}
	for _, s := range d.stopped {
		if s.pool == pool && s.domain == x && now.Before(s.until) {
			list = append(list, s.load)
		}
	}
	return list
}

func newAllocators(w *simulation) *allocators {
	d := &allocators{
		w:       w,
		pools:   map[corianderwing.PoolID]map[corianderwing.DomainID]*place.Pool{},
		waiting: map[place.ID]pendingRequest{},
		planner: steer.New(),
		synced:  -time.Second,
	}
	for _, p := range w.deployment.pools {
		d.pools[p.id] = map[corianderwing.DomainID]*place.Pool{}
		for _, x := range w.domains {
			d.pools[p.id][x.id] = place.New(place.Config{Name: p.id, Domain: x.id, RegionOf: w.regionOf, Seed: 1})
		}
	}
	return d
}

const allocatorRTT = time.Millisecond // round trip between an entry instance and its allocator

func (d *allocators) ask(q *request, done func(*upstream, place.ID, bool, time.Duration)) {
	d.askAt(q, q.domain.id, false, false, allocatorRTT/2, done)
}

func (d *allocators) askAt(q *request, at corianderwing.DomainID, stay, timely bool, way time.Duration, done func(*upstream, place.ID, bool, time.Duration)) {
	d.w.after(way, func() {
		d.last++
		d.waiting[d.last] = pendingRequest{q, done, at, timely}
		now := d.w.clock()
		born := now.Add(q.arrivedAt - d.w.now)
		d.deliver(d.pools[q.class.pool][at].Submit(place.Request{
			ID: d.last, Object: q.hash, Class: q.class.id, Workspace: q.workspace, Rank: q.class.rank, Retried: q.retried, NoForward: stay, RequireGoal: timely,
			Goal: born.Add(q.class.goal - 5*time.Millisecond), Deadline: born.Add(q.class.deadline),
		}, now))
	})
}

// pendingRequest is a request that waits for a slot.
type pendingRequest struct {
	q      *request
	done   func(*upstream, place.ID, bool, time.Duration)
	at     corianderwing.DomainID
	timely bool
}

func (d *allocators) deliver(list []place.Effect) {
	for _, e := range list {
		a, ok := d.waiting[e.ID]
		delete(d.waiting, e.ID)
		if !ok {
			continue
		}
		if e.ForwardTo != "" {
			d.askAt(a.q, e.ForwardTo, true, e.RequireGoal, allocatorRTT/2+d.w.oneWayDelay(a.at, e.ForwardTo), a.done)
			continue
		}
		if e.Err != nil && a.timely {
			d.askAt(a.q, a.q.domain.id, true, false, allocatorRTT+d.w.oneWayDelay(a.at, a.q.domain.id), a.done)
			continue
		}
		a.q.grantedBy = a.at
		done := a.done
		d.w.after(allocatorRTT/2+d.w.oneWayDelay(a.at, a.q.domain.id), func() {
			if e.Err != nil {
				done(nil, 0, true, e.RetryAfter)
				return
			}
			done(d.w.ups[e.Grant.Upstream.ID], e.ID, false, 0)
		})
	}
}

func (d *allocators) end(q *request, u *upstream, id place.ID, result place.Result, took time.Duration, r place.LoadReport) {
	d.w.after(allocatorRTT/2, func() {
		d.deliver(d.pools[q.class.pool][q.grantedBy].Release(place.Outcome{ID: id, Result: result, Latency: took, Load: r, Bytes: q.class.bytes}, d.w.clock()))
	})
}

// syncEvery is the interval of load reports, planning and syncs.
const syncEvery = 400 * time.Millisecond

func (d *allocators) tick() {
	now := d.w.clock()
	if d.w.now-d.synced >= syncEvery {
		d.synced = d.w.now
		d.plan(now)
		d.sync(now)
	}
	for _, p := range d.w.deployment.pools {
		for _, x := range d.w.domains {
			d.deliver(d.pools[p.id][x.id].Tick(now))
		}
	}
}

func (d *allocators) plan(now time.Time) {
	if d.noLoans {
		return
	}
	var loads []steer.Load
	for _, p := range d.w.deployment.pools {
		for _, x := range d.w.domains {
			for _, l := range d.reports(p.id, x.id, now) {
				loads = append(loads, steer.Load{Pool: p.id, Domain: x.id, Region: x.region, Slots: float64(l.OwnSlots), Demand: l.Demand, ArrivalRate: l.ArrivalRate, Provisional: l.Provisional})
			}
		}
	}
	entries := map[corianderwing.DomainID]int{}
	for _, x := range d.w.domains {
		entries[x.id] = 1
	}
	d.lots = steer.Assign(d.planner.Update(steer.Expect(steer.Merge(loads), entries), now), func(p corianderwing.PoolID) (list []corianderwing.Upstream) {
		for _, u := range d.w.byPool[p] {
			list = append(list, u.model.Upstream)
		}
		return list
	})
}

func (d *allocators) sync(now time.Time) {
	for _, p := range d.w.deployment.pools {
		var list []*model.Upstream
		for _, u := range d.w.byPool[p.id] {
			m := u.model
			list = append(list, &m)
		}
		slices.SortFunc(list, func(a, b *model.Upstream) int { return cmp.Compare(a.ID, b.ID) })
		for _, x := range d.w.domains {
			set := place.Setup{
				Upstreams: list, Version: "v1",
				Evacuated: func(corianderwing.DomainID) bool { return false },
				Lent:      map[corianderwing.UpstreamID]int{},
				Borrowed:  map[corianderwing.UpstreamID]int{},
			}
			if d.w.divided {
				set.Weight = d.w.weightOf
			}
			for _, l := range d.lots {
				if l.Borrower == x.id {
					set.Borrowed[l.Upstream] += l.Slots
				} else {
					set.Lent[l.Upstream] += l.Slots
				}
			}
			d.deliver(d.pools[p.id][x.id].Sync(set, now))
		}
	}
}
