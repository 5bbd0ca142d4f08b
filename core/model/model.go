// Package model is the replicated state of a site: its items, the announced
// upstreams, version moves and evacuated failure domains. Control instances
// and entry instances run the same code on the same commands, so an entry
// instance needs only the commands after its revision.
package model

import (
	"maps"
	"time"

	"corianderwing"
	"corianderwing/core/items"
)

// Upstream is an announced upstream with what the site has decided about it.
type Upstream struct {
	corianderwing.Upstream
	// ShortID is a short number for the upstream, unique among the living ones.
	ShortID uint32 `json:"no"`
	// WarmupUntil is until when the upstream bears little load. Each process counts
	// it from when it learned of it.
	WarmupUntil time.Time `json:"-"`
}

// View is an immutable state of the site. Its zero value is not usable; use
// New.
type View struct {
	revision        corianderwing.Revision
	items           *items.Set
	upstreams       map[corianderwing.UpstreamID]*Upstream
	tombstones      map[corianderwing.UpstreamID]corianderwing.Incarnation
	tombstoneOrder  []corianderwing.UpstreamID // of gone, oldest first
	evacuated       map[corianderwing.DomainID]bool
	moves           map[corianderwing.PoolID]corianderwing.Move
	currentVersions map[corianderwing.PoolID]corianderwing.VersionID // that serve
	lastShortID     uint32                                           // last Upstream.No
	byPool          map[corianderwing.PoolID][]*Upstream
}

// New returns the state of a new site.
func New() *View {
	v := &View{
		items:           items.New(),
		upstreams:       map[corianderwing.UpstreamID]*Upstream{},
		tombstones:      map[corianderwing.UpstreamID]corianderwing.Incarnation{},
		evacuated:       map[corianderwing.DomainID]bool{},
		moves:           map[corianderwing.PoolID]corianderwing.Move{},
		currentVersions: map[corianderwing.PoolID]corianderwing.VersionID{},
	}
	v.groupByPool()
	return v
}

// Revision counts the commands that were applied.
func (v *View) Revision() corianderwing.Revision { return v.revision }

// Items returns the settings.
func (v *View) Items() *items.Set { return v.items }

// Upstream returns an announced upstream.
func (v *View) Upstream(id corianderwing.UpstreamID) (*Upstream, bool) {
	u, ok := v.upstreams[id]
	return u, ok
}

// PoolUpstreams returns the upstreams of a pool, by id. The caller must not change it.
func (v *View) PoolUpstreams(p corianderwing.PoolID) []*Upstream { return v.byPool[p] }

// UpstreamsByPool returns the upstreams of every pool. The caller must not change it.
func (v *View) UpstreamsByPool() map[corianderwing.PoolID][]*Upstream { return v.byPool }

// NumUpstreams returns the number of announced upstreams.
func (v *View) NumUpstreams() int { return len(v.upstreams) }

// Evacuated reports whether a failure domain gets no new work.
func (v *View) Evacuated(d corianderwing.DomainID) bool { return v.evacuated[d] }

// LatestMove returns the latest move of a pool.
func (v *View) LatestMove(p corianderwing.PoolID) (corianderwing.Move, bool) {
	m, ok := v.moves[p]
	return m, ok
}

// CurrentVersion returns the version of a pool's upstreams that serves: the one that
// was announced first, or to which the last move led. Any other one gets
// requests only while the pool moves to it.
func (v *View) CurrentVersion(p corianderwing.PoolID) corianderwing.VersionID {
	return v.currentVersions[p]
}

// EachMove calls f with the latest move of every pool, in no order.
func (v *View) EachMove(f func(corianderwing.Move)) {
	for _, m := range v.moves {
		f(m)
	}
}

// cloneForUpdate returns a copy whose maps of upstreams may be changed.
func (v *View) cloneForUpdate() *View {
	n := *v
	n.upstreams = maps.Clone(v.upstreams)
	return &n
}

// groupByPool groups the upstreams by pool.
func (v *View) groupByPool() {
	v.byPool = make(map[corianderwing.PoolID][]*Upstream)
	for _, id := range sortedKeys(v.upstreams) {
		u := v.upstreams[id]
		v.byPool[u.Pool] = append(v.byPool[u.Pool], u)
	}
}
