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

// The replay runs pools, planner and model upstreams in virtual time: upstreams
// with few slots that remember a bounded number of objects, regions whose loads
// peak at different times, and callers that come back once.

// site describes a deployment and its load.
type site struct {
	domains []domain
	pools   []poolSpec
	classes []class
	far     time.Duration // one way between regions
	rate    float64       // requests a second of one failure domain
	swing   float64       // of the wave of each region
	period  time.Duration
	length  time.Duration
	faults  []fault
	shifts  []shift
	bursts  []burst
}

// shift lets a part of a domain's callers use the entry instances of another.
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
	id    corianderwing.PoolID
	count []int // upstreams in each domain
	slots int
	keeps int // objects that an upstream remembers
}

type class struct {
	id       corianderwing.RouteID
	pool     corianderwing.PoolID
	part     float64
	work     time.Duration // where the object is unknown
	goal     time.Duration
	deadline time.Duration
	worth    float64
	late     float64
	rank     int
	objects  int // of each region
	bytes    int // of a request and its answer
}

// fault empties the memory of all upstreams of a domain, which are gone for a
// while.
type fault struct {
	domain corianderwing.DomainID
	at     time.Duration
	length time.Duration
}

const knownGain = 0.3 // part of the work that remains where the object is known

// threadworks is a deployment of that shape under the load of its busiest days.
func threadworks(rate float64) site {
	s := site{
		far: 12 * time.Millisecond, rate: rate, swing: 0.55, period: 36 * time.Second, length: 32 * time.Second,
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

// kazi is the other deployment, with long ways between regions.
func kazi(rate float64) site {
	s := site{
		far: 35 * time.Millisecond, rate: rate, swing: 0.55, period: 36 * time.Second, length: 32 * time.Second,
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

// event is something that happens at a time.
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

// upstream is a model upstream.
type upstream struct {
	model   model.Upstream
	slots   int
	keeps   int
	running int
	queue   []func()
	memory  []string // objects, the latest last
	gone    bool
}

// request is one request of a caller, over both of its attempts.
type request struct {
	class   *class
	domain  *domain
	object  string
	hash    uint64
	born    time.Duration
	again   bool
	settled bool
	desk    corianderwing.DomainID // that granted the slot
}

// tally counts what callers got.
type tally struct {
	asked, inGoal, late, refused, failed int
	owed, earned                         float64
	nearKB, farKB                        float64 // between failure domains of a region, and between regions
}

// placer decides where requests go.
type placer interface {
	ask(q *request, done func(u *upstream, id place.ID, refused bool, after time.Duration))
	end(q *request, u *upstream, id place.ID, result place.Result, took time.Duration, r place.LoadReport)
	tick()
}

// world is a running replay.
type world struct {
	site
	rng     *rand.Rand // of arrivals, which are the same for all placers
	works   *rand.Rand // of the upstreams' work
	now     time.Duration
	events  events
	seq     int
	ups     map[corianderwing.UpstreamID]*upstream
	byPool  map[corianderwing.PoolID][]*upstream
	placer  placer
	total   tally
	domain  map[corianderwing.DomainID]*tally
	class   map[corianderwing.RouteID]*tally
	windows []tally
}

const window = 2 * time.Second

func newWorld(s site, seed uint64) *world {
	w := &world{
		site: s, rng: rand.New(rand.NewPCG(seed, 7)), works: rand.New(rand.NewPCG(seed, 8)),
		ups: map[corianderwing.UpstreamID]*upstream{}, byPool: map[corianderwing.PoolID][]*upstream{},
		domain: map[corianderwing.DomainID]*tally{}, class: map[corianderwing.RouteID]*tally{},
	}
	for _, p := range s.pools {
		for i, d := range s.domains {
			for n := range p.count[i] {
				u := &upstream{slots: p.slots, keeps: p.keeps}
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

func (w *world) regionOf(d corianderwing.DomainID) corianderwing.RegionID {
	for _, x := range w.domains {
		if x.id == d {
			return x.region
		}
	}
	return ""
}

func (w *world) find(id corianderwing.DomainID) *domain {
	for i := range w.domains {
		if w.domains[i].id == id {
			return &w.domains[i]
		}
	}
	return nil
}

// way returns the time one way between two failure domains.
func (w *world) way(a, b corianderwing.DomainID) time.Duration {
	switch {
	case a == b:
		return 200 * time.Microsecond
	case w.regionOf(a) == w.regionOf(b):
		return 500 * time.Microsecond
	}
	return w.far
}

func (w *world) clock() time.Time { return time.Unix(1000, 0).Add(w.now) }

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + d, w.seq, do})
}

// run plays the whole length.
func (w *world) run() {
	for i := range w.domains {
		for k := range w.classes {
			w.arrivals(&w.domains[i], &w.classes[k])
		}
	}
	for _, f := range w.faults {
		w.after(f.at, func() { w.lose(f) })
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

func (w *world) ticks() {
	w.placer.tick()
	w.after(25*time.Millisecond, w.ticks)
}

// lose takes all upstreams of a domain away and brings them back later, without
// their memory.
func (w *world) lose(f fault) {
	for _, u := range w.ups {
		if u.model.Domain != f.domain {
			continue
		}
		u.gone = true
		u.memory, u.queue, u.running = nil, nil, 0
		w.after(f.length, func() {
			u.gone = false
			u.model.Incarnation++
		})
	}
}

// arrivals lets the requests of one class come to one domain.
func (w *world) arrivals(d *domain, c *class) {
	parts := 0.0
	for _, x := range w.classes {
		parts += x.part
	}
	const mostBurst = 2
	most := w.rate * c.part / parts * (1 + w.swing) * mostBurst
	rng := rand.New(rand.NewPCG(w.rng.Uint64(), 1))
	var next func()
	next = func() {
		if w.now > w.length {
			return
		}
		wave := 1 + w.swing*math.Sin(2*math.Pi*(w.now.Seconds()/w.period.Seconds()+d.phase))
		for _, b := range w.bursts {
			if w.now >= b.at && w.now < b.at+b.length {
				wave *= b.factor
			}
		}
		if rng.Float64()*(1+w.swing)*mostBurst < wave {
			w.arrive(d, c, rng)
		}
		w.after(time.Duration(rng.ExpFloat64()/most*float64(time.Second)), next)
	}
	w.after(time.Duration(rng.ExpFloat64()/most*float64(time.Second)), next)
}

func (w *world) arrive(d *domain, c *class, rng *rand.Rand) {
	n := rng.IntN(c.objects)
	q := &request{class: c, domain: d, object: fmt.Sprintf("%s-%s-%d", c.id, d.region, n), born: w.now}
	for _, b := range []byte(q.object) {
		q.hash = (q.hash ^ uint64(b)) * 1099511628211
	}
	q.hash |= 1
	for _, x := range w.shifts {
		if x.from == d.id && w.now >= x.at && w.now < x.at+x.length && rng.Float64() < x.part {
			q.domain = w.find(x.to)
		}
	}
	w.count(q, func(t *tally) {
		t.asked++
		t.owed += c.worth
	})
	w.try(q)
}

// count changes all tallies that a request belongs to.
func (w *world) count(q *request, f func(*tally)) {
	f(&w.total)
	if w.domain[q.domain.id] == nil {
		w.domain[q.domain.id] = &tally{}
	}
	if w.class[q.class.id] == nil {
		w.class[q.class.id] = &tally{}
	}
	f(w.domain[q.domain.id])
	f(w.class[q.class.id])
	i := int(q.born / window)
	for len(w.windows) <= i {
		w.windows = append(w.windows, tally{})
	}
	f(&w.windows[i])
}

func (w *world) settle(q *request, f func(*tally)) {
	if q.settled {
		return
	}
	q.settled = true
	w.count(q, f)
}

// try sends a request to the entry instance of its domain.
func (w *world) try(q *request) {
	const toEntry = 7 * time.Millisecond // there and back, and a new connection now and then
	w.after(toEntry/2, func() {
		w.placer.ask(q, func(u *upstream, id place.ID, refused bool, after time.Duration) {
			if refused {
				w.after(toEntry/2, func() { w.refused(q, after) })
				return
			}
			w.send(q, u, id)
		})
	})
}

func (w *world) refused(q *request, after time.Duration) {
	left := q.born + q.class.deadline - w.now
	if q.again || left <= 0 {
		w.settle(q, func(t *tally) { t.refused++ })
		return
	}
	q.again = true
	w.after(min(after, left/3)+6*time.Millisecond, func() { w.try(q) })
}

// send runs a request at an upstream.
func (w *world) send(q *request, u *upstream, id place.ID) {
	way := w.way(q.domain.id, u.model.Domain)
	switch {
	case q.domain.id == u.model.Domain:
	case way == w.far:
		w.total.farKB += float64(q.class.bytes) / 1000
	default:
		w.total.nearKB += float64(q.class.bytes) / 1000
	}
	sent := w.now
	life := u.model.Incarnation
	finish := func(result place.Result) {
		r := place.LoadReport{Running: u.running, Waiting: len(u.queue), Valid: result != place.ConnectionLost}
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
		if u.gone {
			finish(place.ConnectionLost)
			return
		}
		start := func() {
			u.running++
			w.after(u.time(q, w.works), func() {
				if u.gone || u.model.Incarnation != life {
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
		case u.running < u.slots:
			start()
		case len(u.queue) < 3*u.slots:
			u.queue = append(u.queue, start)
		default:
			finish(place.Overloaded)
		}
	})
}

// time returns how long the upstream works on a request, and remembers its
// object.
func (u *upstream) time(q *request, rng *rand.Rand) time.Duration {
	work := float64(q.class.work) * (0.85 + 0.3*rng.Float64())
	if i := slices.Index(u.memory, q.object); i >= 0 {
		u.memory = slices.Delete(u.memory, i, i+1)
		work *= knownGain
	}
	u.memory = append(u.memory, q.object)
	if len(u.memory) > u.keeps {
		u.memory = u.memory[1:]
	}
	return time.Duration(work)
}

func (w *world) answered(q *request) {
	took := w.now - q.born
	w.settle(q, func(t *tally) {
		switch {
		case took <= q.class.goal:
			t.inGoal++
			t.earned += q.class.worth
		case took <= q.class.deadline:
			t.late++
			t.earned += q.class.late
		default:
			t.failed++
		}
	})
}

// desks is the placer under test: a pool for each pool and domain, and a
// planner.
type desks struct {
	w       *world
	pools   map[corianderwing.PoolID]map[corianderwing.DomainID]*place.Pool
	waiting map[place.ID]asking
	planner *steer.Planner
	last    place.ID
	synced  time.Duration
	lots    []steer.UpstreamLoan
	noLoans bool
}

func newDesks(w *world) *desks {
	d := &desks{
		w:       w,
		pools:   map[corianderwing.PoolID]map[corianderwing.DomainID]*place.Pool{},
		waiting: map[place.ID]asking{},
		planner: steer.New(),
		synced:  -time.Second,
	}
	for _, p := range w.site.pools {
		d.pools[p.id] = map[corianderwing.DomainID]*place.Pool{}
		for _, x := range w.domains {
			d.pools[p.id][x.id] = place.New(place.Config{Name: p.id, Domain: x.id, RegionOf: w.regionOf, Seed: 1})
		}
	}
	return d
}

const deskWay = time.Millisecond // from an entry instance to its desk and back

func (d *desks) ask(q *request, done func(*upstream, place.ID, bool, time.Duration)) {
	d.askAt(q, q.domain.id, false, false, deskWay/2, done)
}

func (d *desks) askAt(q *request, at corianderwing.DomainID, stay, timely bool, way time.Duration, done func(*upstream, place.ID, bool, time.Duration)) {
	d.w.after(way, func() {
		d.last++
		d.waiting[d.last] = asking{q, done, at, timely}
		now := d.w.clock()
		born := now.Add(q.born - d.w.now)
		d.deliver(d.pools[q.class.pool][at].Submit(place.Request{
			ID: d.last, Object: q.hash, Class: q.class.id, Rank: q.class.rank, Retried: q.again, NoForward: stay, RequireGoal: timely,
			Goal: born.Add(q.class.goal - 5*time.Millisecond), Deadline: born.Add(q.class.deadline),
		}, now))
	})
}

// asking is a request that waits for a slot.
type asking struct {
	q      *request
	done   func(*upstream, place.ID, bool, time.Duration)
	at     corianderwing.DomainID
	timely bool
}

func (d *desks) deliver(list []place.Effect) {
	for _, e := range list {
		a, ok := d.waiting[e.ID]
		delete(d.waiting, e.ID)
		if !ok {
			continue
		}
		if e.ForwardTo != "" {
			d.askAt(a.q, e.ForwardTo, true, e.RequireGoal, deskWay/2+d.w.way(a.at, e.ForwardTo), a.done)
			continue
		}
		if e.Err != nil && a.timely {
			d.askAt(a.q, a.q.domain.id, true, false, deskWay+d.w.way(a.at, a.q.domain.id), a.done)
			continue
		}
		a.q.desk = a.at
		done := a.done
		d.w.after(deskWay/2+d.w.way(a.at, a.q.domain.id), func() {
			if e.Err != nil {
				done(nil, 0, true, e.RetryAfter)
				return
			}
			done(d.w.ups[e.Grant.Upstream.ID], e.ID, false, 0)
		})
	}
}

func (d *desks) end(q *request, u *upstream, id place.ID, result place.Result, took time.Duration, r place.LoadReport) {
	d.w.after(deskWay/2, func() {
		d.deliver(d.pools[q.class.pool][q.desk].Release(place.Outcome{ID: id, Result: result, Latency: took, Load: r, Bytes: q.class.bytes}, d.w.clock()))
	})
}

// syncEvery is the interval of reports, plans and setups.
const syncEvery = 400 * time.Millisecond

func (d *desks) tick() {
	now := d.w.clock()
	if d.w.now-d.synced >= syncEvery {
		d.synced = d.w.now
		d.plan(now)
		d.sync(now)
	}
	for _, p := range d.w.site.pools {
		for _, x := range d.w.domains {
			d.deliver(d.pools[p.id][x.id].Tick(now))
		}
	}
}

func (d *desks) plan(now time.Time) {
	if d.noLoans {
		return
	}
	var loads []steer.Load
	for _, p := range d.w.site.pools {
		for _, x := range d.w.domains {
			_, own, _, demand, arrived := d.pools[p.id][x.id].Load(now)
			loads = append(loads, steer.Load{Pool: p.id, Domain: x.id, Region: x.region, Slots: float64(own), Demand: demand, ArrivalRate: arrived})
		}
	}
	d.lots = steer.Assign(d.planner.Update(loads, now), func(p corianderwing.PoolID) (list []corianderwing.Upstream) {
		for _, u := range d.w.byPool[p] {
			list = append(list, u.model.Upstream)
		}
		return list
	})
}

func (d *desks) sync(now time.Time) {
	for _, p := range d.w.site.pools {
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
