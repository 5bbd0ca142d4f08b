package place_test

import (
	"cmp"
	"slices"
	"time"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/core/steer"
)

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
	loans   []steer.UpstreamLoan
	noLoans bool
	stopped []stoppedPool
	// rejects says which requests an entry instance rejects before it asks for a slot;
	// nil for none.
	rejects func(q *request) bool
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
	if d.rejects != nil && d.rejects(q) {
		done(nil, 0, true, 200*time.Millisecond)
		return
	}
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
	d.planner.SetInstances(entries)
	d.loans = steer.Assign(d.planner.Update(steer.Merge(loads), now), func(p corianderwing.PoolID) (list []corianderwing.Upstream) {
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
			for _, l := range d.loans {
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
