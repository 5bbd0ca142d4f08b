// Package state is the replicated state of a control group: the settings tree,
// keys, drains, version moves, seats and claims on orders.
//
// A View is the immutable part of the state that entry instances follow. A Machine is
// one replica: it applies the group's committed commands and publishes Views. Both use
// the same pure function to compute the next View, so an entry instance that applies the
// accepted commands has the same View as a replica.
package state

import (
	"maps"
	"slices"
	"sync"

	"corianderwing"
	"corianderwing/core/tree"
)

// View is an immutable snapshot of one group's settings and keys. It
// implements corianderwing.SettingsView. NewView returns an empty one, and Update
// returns the next.
type View struct {
	group        corianderwing.GroupID
	revision     corianderwing.Revision
	treeRevision corianderwing.Revision // revision of the last command that required a base
	tree         *tree.Tree
	keys         keyTable
	drains       map[corianderwing.UpstreamID]corianderwing.Drain
	moves        map[corianderwing.PoolID]corianderwing.Move
	seats        map[corianderwing.InstanceID]corianderwing.Seat
	cache        *snapshotCache
}

// snapshotCache caches the encoded form of a view, because many entry instances request
// the same snapshot from a replica after a network partition heals.
type snapshotCache struct {
	once sync.Once
	data []byte
	err  error
}

var _ corianderwing.SettingsView = (*View)(nil)

// NewView returns the view of a group with no settings, at revision 0.
func NewView(g corianderwing.GroupID) *View {
	return &View{group: g, tree: tree.New(), cache: &snapshotCache{}}
}

func (v *View) Group() corianderwing.GroupID { return v.group }

// Revision returns the number of changes that the group has accepted.
func (v *View) Revision() corianderwing.Revision { return v.revision }

func (v *View) Tree() *tree.Tree { return v.tree }

// TreeRevision returns the revision of the last command that required a base: a change
// of the tree or the start of a move. A command with an older base conflicts.
func (v *View) TreeRevision() corianderwing.Revision { return v.treeRevision }

// Route returns the effective settings for a request, chosen by the longest route
// prefix of path below the service. It does not allocate.
func (v *View) Route(w corianderwing.WorkspaceID, s corianderwing.ServiceID, path string) (*corianderwing.EffectiveSettings, bool) {
	return v.tree.Route(w, s, path)
}

// Key returns the key with the given hash, even if it is revoked.
func (v *View) Key(h corianderwing.KeyHash) (corianderwing.Key, bool) { return v.keys.find(h) }

// Keys returns the keys of a workspace sorted by id, including revoked ones.
func (v *View) Keys(w corianderwing.WorkspaceID) []corianderwing.Key { return v.keys.inWorkspace(w) }

// Drained reports whether an operator has drained the upstream.
func (v *View) Drained(u corianderwing.UpstreamID) bool {
	_, ok := v.drains[u]
	return ok
}

// Drains returns the drains, sorted by upstream.
func (v *View) Drains() []corianderwing.Drain { return sortedValues(v.drains) }

// Move returns the latest version move of a pool.
func (v *View) Move(p corianderwing.PoolID) (corianderwing.Move, bool) {
	m, ok := v.moves[p]
	return m, ok
}

// Moves returns the latest version move of each pool, sorted by pool.
func (v *View) Moves() []corianderwing.Move { return sortedValues(v.moves) }

// Workspaces returns the sorted ids of the workspaces whose home is this group.
func (v *View) Workspaces() []corianderwing.WorkspaceID { return v.tree.Workspaces() }

// HasWorkspace reports whether this group is the home of a workspace.
func (v *View) HasWorkspace(w corianderwing.WorkspaceID) bool { return v.tree.HasWorkspace(w) }

// Seat returns the seat of an entry instance.
func (v *View) Seat(i corianderwing.InstanceID) (corianderwing.Seat, bool) {
	s, ok := v.seats[i]
	return s, ok
}

// Seats returns the assigned seats, sorted by instance.
func (v *View) Seats() []corianderwing.Seat { return sortedValues(v.seats) }

// TotalSeats returns the number of assigned and free seats among which the fixed
// fraction of each limit is divided. If the root node configures no seats, it counts
// the default number for each failure domain that has an assigned seat. A deployment in
// which the division must never change has to configure the seats on the root node.
func (v *View) TotalSeats() int {
	root, _ := v.tree.Node(corianderwing.Path{})
	total := 0
	for _, n := range root.Seats {
		total += n
	}
	if len(root.Seats) > 0 {
		return total
	}
	domains := map[corianderwing.DomainID]bool{}
	for _, s := range v.seats {
		domains[s.Domain] = true
	}
	return len(domains) * corianderwing.DefaultSeats
}

// sortedValues returns the values of m, sorted by key.
func sortedValues[K ~string, V any](m map[K]V) []V {
	all := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		all = append(all, m[k])
	}
	return all
}

// withKey returns a copy of m with v at key k.
func withKey[K comparable, V any](m map[K]V, k K, v V) map[K]V {
	c := make(map[K]V, len(m)+1)
	maps.Copy(c, m)
	c[k] = v
	return c
}

// withoutKey returns a copy of m without key k.
func withoutKey[K comparable, V any](m map[K]V, k K) map[K]V {
	c := maps.Clone(m)
	delete(c, k)
	return c
}
