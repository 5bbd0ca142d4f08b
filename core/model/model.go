// Package model is the replicated state of the control plane: settings items,
// announced upstreams, version moves, evacuated failure domains, and requests that
// crash upstreams. Control instances and entry instances apply the same commands with
// the same code, so an entry instance needs only the commands after its revision.
package model

import (
	"maps"
	"sync"
	"time"

	"corianderwing"
	"corianderwing/core/crash"
	"corianderwing/core/items"
)

// Upstream is an announced upstream with the state that the control plane keeps
// about it.
type Upstream struct {
	corianderwing.Upstream
	// ShortID is a short number for the upstream, unique among the announced
	// ones.
	ShortID uint32 `json:"no"`
	// WarmupUntil is the end of the warm-up, during which the upstream can bear
	// little load. Each process counts it from when it received the announcement.
	WarmupUntil time.Time `json:"-"`

	usable bool // may be offered to requests, see newUpstream
}

// newUpstream returns the upstream of an announcement that was received at now. One
// that does not pass the checks of a heartbeat is kept but not usable: logs and
// snapshots of earlier versions, which checked less, may hold it, and all replicas
// must agree on what is announced.
func newUpstream(a *Announcement, id uint32, now time.Time) *Upstream {
	u := &Upstream{Upstream: a.Upstream, ShortID: id, usable: a.Validate() == nil}
	if a.WarmupRemaining > 0 {
		u.WarmupUntil = a.WarmupRemaining.After(now)
	}
	return u
}

// View is an immutable version of the replicated state. Its zero value is not
// usable; use New.
type View struct {
	revision        corianderwing.Revision
	items           *items.Set
	upstreams       map[corianderwing.UpstreamID]*Upstream
	tombstones      remembered // removed for good
	expired         remembered // removed for missing heartbeats, until they leave
	evacuated       map[corianderwing.DomainID]bool
	moves           map[corianderwing.PoolID]corianderwing.Move
	currentVersions map[corianderwing.PoolID]corianderwing.VersionID // versions that serve requests
	suspects        *crash.Table
	lastShortID     uint32 // the last Upstream.ShortID assigned
	byPool          *poolIndex
}

// poolIndex groups the upstreams of a View by pool when they are first asked for.
// Applying a series of commands creates many Views that nobody reads.
type poolIndex struct {
	once  sync.Once
	pools map[corianderwing.PoolID][]*Upstream
}

// New returns an empty state.
func New() *View {
	v := &View{
		items:           items.New(),
		upstreams:       map[corianderwing.UpstreamID]*Upstream{},
		evacuated:       map[corianderwing.DomainID]bool{},
		moves:           map[corianderwing.PoolID]corianderwing.Move{},
		currentVersions: map[corianderwing.PoolID]corianderwing.VersionID{},
	}
	v.byPool = &poolIndex{}
	return v
}

// Revision returns the number of changes applied so far.
func (v *View) Revision() corianderwing.Revision { return v.revision }

// Items returns the shared settings.
func (v *View) Items() *items.Set { return v.items }

// Upstream returns an announced upstream.
func (v *View) Upstream(id corianderwing.UpstreamID) (*Upstream, bool) {
	u, ok := v.upstreams[id]
	return u, ok
}

// LastIncarnation returns the incarnation of an upstream that is announced, or was until
// its heartbeats went missing, or 0.
func (v *View) LastIncarnation(id corianderwing.UpstreamID) corianderwing.Incarnation {
	last := v.expired.incarnations[id]
	if u, ok := v.upstreams[id]; ok {
		last = max(last, u.Incarnation)
	}
	return last
}

// EachUpstream calls f with every announced upstream, usable or not, in no particular
// order.
func (v *View) EachUpstream(f func(*Upstream)) {
	for _, u := range v.upstreams {
		f(u)
	}
}

// PoolUpstreams returns the usable upstreams of a pool, sorted by ID. The caller must
// not modify the slice.
func (v *View) PoolUpstreams(p corianderwing.PoolID) []*Upstream { return v.UpstreamsByPool()[p] }

// UpstreamsByPool returns the usable upstreams of every pool. The caller must not modify
// the map.
func (v *View) UpstreamsByPool() map[corianderwing.PoolID][]*Upstream {
	v.byPool.once.Do(func() { v.byPool.pools = v.groupByPool() })
	return v.byPool.pools
}

// Suspects returns the requests that are suspected of crashing upstreams.
func (v *View) Suspects() *crash.Table { return v.suspects }

// NumUpstreams returns the number of announced upstreams.
func (v *View) NumUpstreams() int { return len(v.upstreams) }

// Evacuated reports whether a failure domain receives no new work.
func (v *View) Evacuated(d corianderwing.DomainID) bool { return v.evacuated[d] }

// LatestMove returns the latest move of a pool.
func (v *View) LatestMove(p corianderwing.PoolID) (corianderwing.Move, bool) {
	m, ok := v.moves[p]
	return m, ok
}

// CurrentVersion returns the version of a pool's upstreams that serves requests:
// the target of the last completed move, or else the first version announced. Any
// other version receives requests only while the pool moves to it.
func (v *View) CurrentVersion(p corianderwing.PoolID) corianderwing.VersionID {
	return v.currentVersions[p]
}

// EachMove calls f with the latest move of every pool, in no particular order.
func (v *View) EachMove(f func(corianderwing.Move)) {
	for _, m := range v.moves {
		f(m)
	}
}

// cloneForUpdate returns a copy whose upstreams may be changed.
func (v *View) cloneForUpdate() *View {
	n := *v
	n.upstreams = maps.Clone(v.upstreams)
	n.byPool = &poolIndex{}
	return &n
}

// groupByPool returns the usable upstreams of each pool, sorted by ID.
func (v *View) groupByPool() map[corianderwing.PoolID][]*Upstream {
	pools := make(map[corianderwing.PoolID][]*Upstream)
	for _, id := range sortedKeys(v.upstreams) {
		if u := v.upstreams[id]; u.usable {
			pools[u.Pool] = append(pools[u.Pool], u)
		}
	}
	return pools
}
