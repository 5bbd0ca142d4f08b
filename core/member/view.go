package member

import (
	"cmp"
	"slices"
	"time"

	"corianderwing"
)

// View is an immutable snapshot of a State for the request path.
type View struct {
	Self       corianderwing.Instance
	OwnerUntil time.Time // when this instance must stop acting as owner; zero if it may not act at all
	Instances  []corianderwing.Instance

	upstreams map[poolDomain][]corianderwing.Upstream
	domains   map[corianderwing.PoolID][]corianderwing.DomainID
	owners    map[corianderwing.DomainID][]candidate
}

// poolDomain identifies a pool in a failure domain.
type poolDomain struct {
	pool   corianderwing.PoolID
	domain corianderwing.DomainID
}

type candidate struct {
	corianderwing.Instance
	hash uint64
}

// View returns a snapshot of the live instances and upstreams.
func (s *State) View(now time.Time) *View {
	v := &View{
		Self:       s.self,
		OwnerUntil: s.OwnerUntil(now),
		upstreams:  make(map[poolDomain][]corianderwing.Upstream),
		domains:    make(map[corianderwing.PoolID][]corianderwing.DomainID),
		owners:     make(map[corianderwing.DomainID][]candidate),
	}
	s.addInstances(v, now)
	s.addUpstreams(v, now)
	return v
}

func (s *State) addInstances(v *View, now time.Time) {
	v.Instances = append(v.Instances, s.self)
	if s.mayOwn() {
		v.owners[s.self.Domain] = []candidate{{s.self, hash(string(s.self.ID))}}
	}
	for _, p := range s.peers {
		if p.Phase == corianderwing.Left || p.expired(now) {
			continue
		}
		v.Instances = append(v.Instances, p.Instance)
		if p.mayOwn(now) {
			v.owners[p.Domain] = append(v.owners[p.Domain], candidate{p.Instance, hash(string(p.ID))})
		}
	}
	slices.SortFunc(v.Instances, func(a, b corianderwing.Instance) int { return cmp.Compare(a.ID, b.ID) })
}

func (s *State) addUpstreams(v *View, now time.Time) {
	for _, u := range s.upstreams {
		if u.Phase == corianderwing.Left || u.expired(now) {
			continue
		}
		at := poolDomain{u.Pool, u.Domain}
		v.upstreams[at] = append(v.upstreams[at], u.Upstream)
	}
	for at, all := range v.upstreams {
		slices.SortFunc(all, func(a, b corianderwing.Upstream) int { return cmp.Compare(a.ID, b.ID) })
		v.domains[at.pool] = append(v.domains[at.pool], at.domain)
	}
	for _, all := range v.domains {
		slices.SortFunc(all, s.compareDistance)
	}
}

// compareDistance orders domains by distance: the local domain first, then the
// other domains of the region, then the rest, each sorted by delay. Domains
// without a configured delay come last.
func (s *State) compareDistance(a, b corianderwing.DomainID) int {
	return cmp.Or(
		cmp.Compare(s.distance(a), s.distance(b)),
		cmp.Compare(s.delay(a), s.delay(b)),
		cmp.Compare(a, b),
	)
}

func (s *State) distance(d corianderwing.DomainID) int {
	switch {
	case d == s.self.Domain:
		return 0
	case s.self.Region != "" && s.cfg.Regions[d] == s.self.Region:
		return 1
	}
	return 2
}

func (s *State) delay(d corianderwing.DomainID) time.Duration {
	if t, ok := s.cfg.Delays[d]; ok {
		return t
	}
	return time.Hour
}

// Upstreams returns the live upstreams of a pool in a domain, ordered by id.
// The caller must not change the result.
func (v *View) Upstreams(p corianderwing.PoolID, d corianderwing.DomainID) []corianderwing.Upstream {
	return v.upstreams[poolDomain{p, d}]
}

// Domains returns the domains with live upstreams of a pool, nearest first.
// The caller must not change the result.
func (v *View) Domains(p corianderwing.PoolID) []corianderwing.DomainID { return v.domains[p] }

// Owner returns the eligible instance of a domain with the highest rendezvous
// hash for a pool.
func (v *View) Owner(p corianderwing.PoolID, d corianderwing.DomainID) (corianderwing.Instance, bool) {
	all := v.owners[d]
	if len(all) == 0 {
		return corianderwing.Instance{}, false
	}
	return all[highestScore(all, hash(string(p)))].Instance, true
}

// Owns reports whether this instance may act at now as the owner of a pool in
// its domain.
func (v *View) Owns(now time.Time, p corianderwing.PoolID) bool {
	all := v.owners[v.Self.Domain]
	return now.Before(v.OwnerUntil) && len(all) > 0 && all[highestScore(all, hash(string(p)))].ID == v.Self.ID
}

// highestScore returns the index of the candidate with the highest score. Ties
// go to the lower id, so that all instances choose the same owner.
func highestScore(all []candidate, pool uint64) int {
	top, index := score(pool, all[0].hash), 0
	for i := 1; i < len(all); i++ {
		s := score(pool, all[i].hash)
		if s > top || s == top && all[i].ID < all[index].ID {
			top, index = s, i
		}
	}
	return index
}
