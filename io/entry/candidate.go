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

// snapshot holds the failure domains that can serve a pool's requests.
type snapshot struct {
	candidates []candidate
}

// candidate is a failure domain and its owner of the pool.
type candidate struct {
	route.Candidate
	owner corianderwing.Instance
}

// rankRTT is the assumed round-trip time per position in Fleet.Domains, used
// until a forwarded request has been measured.
const rankRTT = 2 * time.Millisecond

// snapshot returns the snapshot of a pool. An empty snapshot is rebuilt, so
// that the first upstream of a pool receives requests immediately.
func (s *Server) snapshot(id corianderwing.PoolID) *snapshot {
	if p, ok := (*s.snapshots.Load())[id]; ok && len(p.candidates) > 0 {
		return p
	}
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	old := *s.snapshots.Load()
	if p, ok := old[id]; ok && len(p.candidates) > 0 {
		return p
	}
	all := make(map[corianderwing.PoolID]*snapshot, len(old)+1)
	for k, v := range old {
		all[k] = v
	}
	all[id] = s.newSnapshot(id)
	s.snapshots.Store(&all)
	return all[id]
}

// refreshSnapshot rebuilds the snapshot of one pool after a request found no
// owner with it.
func (s *Server) refreshSnapshot(id corianderwing.PoolID) {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	all := maps.Clone(*s.snapshots.Load())
	all[id] = s.newSnapshot(id)
	s.snapshots.Store(&all)
}

func (s *Server) newSnapshot(id corianderwing.PoolID) *snapshot {
	p := &snapshot{}
	for rank, d := range s.cfg.Fleet.Domains(id) {
		owner, ok := s.cfg.Fleet.Owner(id, d)
		if !ok {
			continue
		}
		cand := candidate{owner: owner}
		cand.Domain = d
		cand.Local = d == s.self.Domain
		cand.RTT = time.Duration(rank) * rankRTT
		if h, ok := s.peers.Load(owner.InternalAddr); ok {
			if ns := h.(*peer).rtt.Load(); ns > 0 {
				cand.RTT = time.Duration(ns)
			}
		}
		for _, l := range owner.Loads {
			if l.Pool == id {
				cand.LoadKnown, cand.Slots, cand.Busy, cand.Waiting = true, l.Slots, l.Busy, l.Waiting
			}
		}
		p.candidates = append(p.candidates, cand)
	}
	return p
}

// sync updates the pools that this instance owns and reports their load.
func (s *Server) sync() {
	now := time.Now()
	pools := *s.pools.Load()
	loads := make([]corianderwing.PoolLoad, 0, len(pools))
	for id, p := range pools {
		p.sync(now)
		p.closeIdle()
		if s.cfg.Fleet.Owns(id) {
			loads = append(loads, p.load(now))
		}
	}
	s.cfg.Fleet.Report(loads)
}

// refreshSnapshots rebuilds all snapshots and removes instances that have left
// the fleet.
func (s *Server) refreshSnapshots(now time.Time) {
	s.snapshotMu.Lock()
	all := make(map[corianderwing.PoolID]*snapshot)
	for id := range *s.snapshots.Load() {
		all[id] = s.newSnapshot(id)
	}
	s.snapshots.Store(&all)
	s.snapshotMu.Unlock()
	live := make(map[string]bool)
	for _, i := range s.cfg.Fleet.Instances() {
		live[i.InternalAddr] = true
	}
	s.peers.Range(func(addr, h any) bool {
		if live[addr.(string)] {
			h.(*peer).CloseIdle(relay.IdleTimeout)
			return true
		}
		s.peers.Delete(addr)
		h.(*peer).Reset()
		return true
	})
	s.suspects.Range(func(id, until any) bool {
		if !now.Before(until.(time.Time)) {
			s.suspects.Delete(id)
		}
		return true
	})
}

// candidates returns the failure domains for a request, best first. Domains
// whose owner failed recently come last.
func (s *Server) candidates(j *job, now time.Time) []candidate {
	p := s.snapshot(j.pool)
	list := make([]route.Candidate, 0, len(p.candidates))
	for _, cand := range p.candidates {
		c := cand.Candidate
		if c.Local && s.cfg.Fleet.Owns(j.pool) {
			l := s.pool(j.pool).load(now)
			c.LoadKnown, c.Slots, c.Busy, c.Waiting = true, l.Slots, l.Busy, l.Waiting
		}
		list = append(list, c)
	}
	route.SortCandidates(list, time.Duration(s.firstByteTime(j).Load()), globalRand)
	healthy := make([]candidate, 0, len(list))
	var suspect []candidate
	for _, c := range list {
		for _, pl := range p.candidates {
			if pl.Domain != c.Domain {
				continue
			}
			if s.suspected(pl.owner.ID, now) {
				suspect = append(suspect, pl)
			} else {
				healthy = append(healthy, pl)
			}
		}
	}
	return append(healthy, suspect...)
}

// globalRand draws from the process-wide source, which is safe for concurrent
// use.
var globalRand = rand.New(globalSource{})

type globalSource struct{}

func (globalSource) Uint64() uint64 { return rand.Uint64() }

// suspectTTL is how long other owners are preferred over one that could not be
// reached. The membership protocol detects a failure within 3 s.
const suspectTTL = time.Second

func (s *Server) suspected(id corianderwing.InstanceID, now time.Time) bool {
	until, ok := s.suspects.Load(id)
	return ok && now.Before(until.(time.Time))
}

// updateAverage moves an exponential average towards v by an eighth of the
// difference. The result is never 0, because 0 means that there is no value.
func updateAverage(avg *atomic.Int64, v time.Duration) {
	v = max(v, 1)
	old := avg.Load()
	if old == 0 {
		avg.Store(int64(v))
		return
	}
	avg.Store(max(1, old+(int64(v)-old)/8))
}
