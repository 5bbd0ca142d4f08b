// Package items holds the shared settings as named items: rules that route requests
// to pools, workspace policies, pools, and the limits on callers. Each item has its
// own version. The state with the highest version is in force, whatever the order
// of arrival, so that operators need no common revision.
package items

import (
	"maps"
	"slices"

	"corianderwing"
)

// itemKey identifies an item among all kinds.
type itemKey struct {
	kind corianderwing.ItemKind
	name string
}

// Set is an immutable set of items. Its zero value is not usable; use New.
type Set struct {
	rules     map[corianderwing.RouteID]*corianderwing.Rule
	policies  map[corianderwing.WorkspaceID]*corianderwing.WorkspacePolicy
	pools     map[corianderwing.PoolID]*corianderwing.Pool
	limits    *corianderwing.Limits
	deletions map[itemKey]corianderwing.Version // versions of deleted items, kept forever
	keyed     bool                              // a workspace policy is in force, or was

	rulesByHost map[string][]*corianderwing.Rule          // by host, longest prefix first
	policyByKey map[string]*corianderwing.WorkspacePolicy // by API key
}

// New returns an empty set.
func New() *Set {
	s := &Set{
		rules:     map[corianderwing.RouteID]*corianderwing.Rule{},
		policies:  map[corianderwing.WorkspaceID]*corianderwing.WorkspacePolicy{},
		pools:     map[corianderwing.PoolID]*corianderwing.Pool{},
		deletions: map[itemKey]corianderwing.Version{},
	}
	s.buildIndexes()
	return s
}

// Merge returns the set with those items and deletions of e that are newer than the
// stored ones. It returns s itself if none is newer, and an error if e is malformed,
// changes an item without a new version, or would make the set invalid.
func (s *Set) Merge(e corianderwing.Edit) (*Set, error) {
	if err := checkEdit(e); err != nil {
		return nil, err
	}
	if err := s.checkVersions(e); err != nil {
		return nil, err
	}
	next := s.clone()
	changed := next.putNewer(e)
	changed = next.deleteItems(e.Deletions) || changed
	if !changed {
		return s, nil
	}
	if err := next.checkReferences(); err != nil {
		return nil, err
	}
	next.buildIndexes()
	return next, nil
}

func (s *Set) clone() *Set {
	return &Set{
		rules:     maps.Clone(s.rules),
		policies:  maps.Clone(s.policies),
		pools:     maps.Clone(s.pools),
		limits:    s.limits,
		deletions: maps.Clone(s.deletions),
		keyed:     s.keyed,
	}
}

// putNewer stores the items of e that are newer than the stored ones.
func (s *Set) putNewer(e corianderwing.Edit) (changed bool) {
	for i := range e.Rules {
		r := &e.Rules[i]
		changed = putItem(s, s.rules, corianderwing.RuleItem, r.Name, r.Version, r) || changed
	}
	for i := range e.WorkspacePolicies {
		t := &e.WorkspacePolicies[i]
		changed = putItem(s, s.policies, corianderwing.WorkspacePolicyItem, t.Name, t.Version, t) || changed
	}
	s.keyed = s.keyed || len(s.policies) > 0
	for i := range e.Pools {
		p := &e.Pools[i]
		changed = putItem(s, s.pools, corianderwing.PoolItem, p.Name, p.Version, p) || changed
	}
	if e.Limits != nil && (s.limits == nil || e.Limits.Version > s.limits.Version) {
		s.limits = e.Limits
		changed = true
	}
	return changed
}

// putItem stores an item if it is newer than the stored one and than its deletion.
func putItem[K ~string, V any](s *Set, m map[K]*V, kind corianderwing.ItemKind, name K, v corianderwing.Version, item *V) bool {
	if v <= s.versionOf(kind, string(name)) {
		return false
	}
	m[name] = item
	delete(s.deletions, itemKey{kind, string(name)})
	return true
}

// deleteItems applies the deletions that are newer than the stored items.
func (s *Set) deleteItems(deletions []corianderwing.Deletion) (changed bool) {
	for _, d := range deletions {
		if d.Version <= s.versionOf(d.Kind, d.Name) {
			continue
		}
		switch d.Kind {
		case corianderwing.RuleItem:
			delete(s.rules, corianderwing.RouteID(d.Name))
		case corianderwing.WorkspacePolicyItem:
			delete(s.policies, corianderwing.WorkspaceID(d.Name))
		case corianderwing.PoolItem:
			delete(s.pools, corianderwing.PoolID(d.Name))
		}
		s.deletions[itemKey{d.Kind, d.Name}] = d.Version
		changed = true
	}
	return changed
}

// versionOf returns the version of an item or of its deletion, or 0 if neither is
// known.
func (s *Set) versionOf(kind corianderwing.ItemKind, name string) corianderwing.Version {
	switch kind {
	case corianderwing.RuleItem:
		if r := s.rules[corianderwing.RouteID(name)]; r != nil {
			return r.Version
		}
	case corianderwing.WorkspacePolicyItem:
		if t := s.policies[corianderwing.WorkspaceID(name)]; t != nil {
			return t.Version
		}
	case corianderwing.PoolItem:
		if p := s.pools[corianderwing.PoolID(name)]; p != nil {
			return p.Version
		}
	}
	return s.deletions[itemKey{kind, name}]
}

// Saved is the serializable form of a Set.
type Saved struct {
	Items     corianderwing.Edit       `json:"items"`
	Deletions []corianderwing.Deletion `json:"drops,omitempty"`
	// Keyless is set if no workspace policy was ever in force, although one may have
	// been deleted.
	Keyless bool `json:"keyless,omitempty"`
}

// All returns the items that are not deleted, sorted by name.
func (s *Set) All() corianderwing.Edit {
	e := corianderwing.Edit{Limits: s.limits}
	for _, name := range slices.Sorted(maps.Keys(s.rules)) {
		e.Rules = append(e.Rules, *s.rules[name])
	}
	for _, name := range slices.Sorted(maps.Keys(s.policies)) {
		e.WorkspacePolicies = append(e.WorkspacePolicies, *s.policies[name])
	}
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		e.Pools = append(e.Pools, *s.pools[name])
	}
	return e
}

// Save returns the set in serializable form, including its deletions.
func (s *Set) Save() Saved {
	out := Saved{Items: s.All(), Keyless: !s.keyed}
	for k, v := range s.deletions {
		out.Deletions = append(out.Deletions, corianderwing.Deletion{Kind: k.kind, Name: k.name, Version: v})
	}
	slices.SortFunc(out.Deletions, func(a, b corianderwing.Deletion) int {
		if a.Kind != b.Kind {
			return compare(string(a.Kind), string(b.Kind))
		}
		return compare(a.Name, b.Name)
	})
	return out
}

// Load restores a set from what Save returned.
func Load(in Saved) *Set {
	s := New()
	s.putNewer(in.Items)
	s.deleteItems(in.Deletions)
	s.keyed = s.keyed || !in.Keyless && s.deletedPolicy()
	s.buildIndexes()
	return s
}

// deletedPolicy reports whether a workspace policy was deleted.
func (s *Set) deletedPolicy() bool {
	for k := range s.deletions {
		if k.kind == corianderwing.WorkspacePolicyItem {
			return true
		}
	}
	return false
}
