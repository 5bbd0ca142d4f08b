package entry

import (
	"maps"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"corianderwing"
	"corianderwing/core/route"
	"corianderwing/io/relay"
)

// plan is a snapshot of where a pool's requests can go.
type plan struct {
	list []place
}

// place is a failure domain with its owner of the pool.
type place struct {
	route.Candidate
	owner corianderwing.Instance
}

// rankDelay is the assumed delay per rank of Fleet.Domains until a hand-over
// has been measured.
const rankDelay = 2 * time.Millisecond

// plan returns the snapshot for a pool. One without any place is made anew, so
// that the first upstream of a pool gets requests at once.
func (s *Server) plan(id corianderwing.PoolID) *plan {
	if p, ok := (*s.views.Load())[id]; ok && len(p.list) > 0 {
		return p
	}
	s.planMu.Lock()
	defer s.planMu.Unlock()
	old := *s.views.Load()
	if p, ok := old[id]; ok && len(p.list) > 0 {
		return p
	}
	all := make(map[corianderwing.PoolID]*plan, len(old)+1)
	for k, v := range old {
		all[k] = v
	}
	all[id] = s.newPlan(id)
	s.views.Store(&all)
	return all[id]
}

// refresh renews the plan of one pool, for a request that met no owner by it.
func (s *Server) refresh(id corianderwing.PoolID) {
	s.planMu.Lock()
	defer s.planMu.Unlock()
	all := maps.Clone(*s.views.Load())
	all[id] = s.newPlan(id)
	s.views.Store(&all)
}

func (s *Server) newPlan(id corianderwing.PoolID) *plan {
	p := &plan{}
	for rank, d := range s.cfg.Fleet.Domains(id) {
		owner, ok := s.cfg.Fleet.Owner(id, d)
		if !ok {
			continue
		}
		pl := place{owner: owner}
		pl.Domain = d
		pl.Local = d == s.self.Domain
		pl.RTT = time.Duration(rank) * rankDelay
		if h, ok := s.hosts.Load(owner.InternalAddr); ok {
			if ns := h.(*peer).delay.Load(); ns > 0 {
				pl.RTT = time.Duration(ns)
			}
		}
		for _, l := range owner.Loads {
			if l.Pool == id {
				pl.LoadKnown, pl.Slots, pl.Busy, pl.Waiting = true, l.Slots, l.Busy, l.Waiting
			}
		}
		p.list = append(p.list, pl)
	}
	return p
}

// sync renews what this instance knows about its own pools, and reports their
// load.
func (s *Server) sync() {
	now := time.Now()
	pools := *s.pools.Load()
	loads := make([]corianderwing.PoolLoad, 0, len(pools))
	for id, p := range pools {
		p.sync(now)
		p.trim()
		if s.cfg.Fleet.Owns(id) {
			loads = append(loads, p.load(now))
		}
	}
	s.cfg.Fleet.Report(loads)
}

// look renews the snapshots of where requests can go, and forgets instances
// that are gone.
func (s *Server) look(now time.Time) {
	s.planMu.Lock()
	all := make(map[corianderwing.PoolID]*plan)
	for id := range *s.views.Load() {
		all[id] = s.newPlan(id)
	}
	s.views.Store(&all)
	s.planMu.Unlock()
	live := make(map[string]bool)
	for _, i := range s.cfg.Fleet.Instances() {
		live[i.InternalAddr] = true
	}
	s.hosts.Range(func(addr, h any) bool {
		if live[addr.(string)] {
			h.(*peer).CloseIdle(relay.IdleTimeout)
			return true
		}
		s.hosts.Delete(addr)
		h.(*peer).Reset()
		return true
	})
	s.suspect.Range(func(id, until any) bool {
		if !now.Before(until.(time.Time)) {
			s.suspect.Delete(id)
		}
		return true
	})
}

// places returns the failure domains for a request, the best one first. Those
// whose owner just failed come last.
func (s *Server) places(j *job, now time.Time) []place {
	p := s.plan(j.pool)
	list := make([]route.Candidate, 0, len(p.list))
	for _, pl := range p.list {
		c := pl.Candidate
		if c.Local && s.cfg.Fleet.Owns(j.pool) {
			l := s.pool(j.pool).load(now)
			c.LoadKnown, c.Slots, c.Busy, c.Waiting = true, l.Slots, l.Busy, l.Waiting
		}
		list = append(list, c)
	}
	route.SortCandidates(list, time.Duration(s.typical(j).Load()), globalRand)
	good := make([]place, 0, len(list))
	var bad []place
	for _, c := range list {
		for _, pl := range p.list {
			if pl.Domain != c.Domain {
				continue
			}
			if s.suspected(pl.owner.ID, now) {
				bad = append(bad, pl)
			} else {
				good = append(good, pl)
			}
		}
	}
	return append(good, bad...)
}

// globalRand draws from the process-wide source, which is safe for concurrent
// use.
var globalRand = rand.New(globalSource{})

type globalSource struct{}

func (globalSource) Uint64() uint64 { return rand.Uint64() }

// suspicion is the time for which other owners are preferred over one that
// could not be reached. Membership notices a failure within 3 s.
const suspicion = time.Second

func (s *Server) suspected(id corianderwing.InstanceID, now time.Time) bool {
	until, ok := s.suspect.Load(id)
	return ok && now.Before(until.(time.Time))
}

// smooth moves an average towards v, by an eighth of the difference. It never
// becomes 0, which stands for no value.
func smooth(avg *atomic.Int64, v time.Duration) {
	v = max(v, 1)
	old := avg.Load()
	if old == 0 {
		avg.Store(int64(v))
		return
	}
	avg.Store(max(1, old+(int64(v)-old)/8))
}
