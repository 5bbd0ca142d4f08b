package items

import (
	"cmp"
	"reflect"
	"strings"

	"corianderwing"
)

func compare(a, b string) int { return cmp.Compare(a, b) }

func invalidf(format string, args ...any) error {
	return corianderwing.Errorf(corianderwing.InvalidChange, format, args...)
}

// checkEdit returns an error if an item is invalid regardless of the others. Stale
// items are checked as well, because an edit is accepted or rejected as a whole.
func checkEdit(e corianderwing.Edit) error {
	for i := range e.Rules {
		if err := checkRule(&e.Rules[i]); err != nil {
			return err
		}
	}
	for i := range e.WorkspacePolicies {
		if err := checkPolicy(&e.WorkspacePolicies[i]); err != nil {
			return err
		}
	}
	for i := range e.Pools {
		p := &e.Pools[i]
		if p.Name == "" {
			return invalidf("pool %d: the name is empty", i)
		}
		if p.MaxConns < 0 || p.Warmup < 0 || p.WarmupRate < 0 {
			return invalidf("pool %s: a bound is negative", p.Name)
		}
	}
	for i, d := range e.Deletions {
		if d.Name == "" {
			return invalidf("deletion %d: the name is empty", i)
		}
	}
	if l := e.Limits; l != nil && (l.Header <= 0 || l.Body < 0 || l.HeaderTimeout <= 0 || l.IdleTimeout <= 0) {
		return invalidf("limits: a bound is not positive")
	}
	return nil
}

func checkRule(r *corianderwing.Rule) error {
	switch {
	case r.Name == "":
		return invalidf("rule: the name is empty")
	case r.Host == "":
		return invalidf("rule %s: the host is empty", r.Name)
	case !strings.HasPrefix(r.Prefix, "/"):
		return invalidf("rule %s: the prefix %q does not begin with a slash", r.Name, r.Prefix)
	case r.Timeout <= 0:
		return invalidf("rule %s: the timeout is %d ms, must be positive", r.Name, r.Timeout)
	case r.MaxAttempts < 0:
		return invalidf("rule %s: the number of attempts is negative", r.Name)
	case len(r.Targets) == 0:
		return invalidf("rule %s: no target pool is given", r.Name)
	}
	total := 0.0
	for _, t := range r.Targets {
		if t.Pool == "" {
			return invalidf("rule %s: the name of a target pool is empty", r.Name)
		}
		if !(t.Weight >= 0) {
			return invalidf("rule %s: the weight of pool %s is %v, must not be negative", r.Name, t.Pool, t.Weight)
		}
		total += t.Weight
	}
	if total <= 0 {
		return invalidf("rule %s: no pool has a positive weight", r.Name)
	}
	return nil
}

func checkPolicy(t *corianderwing.WorkspacePolicy) error {
	switch {
	case t.Name == "":
		return invalidf("tenure: the name is empty")
	case !(t.Rate >= 0) || t.Burst < 0:
		return invalidf("tenure %s: rate %v or burst %d is negative", t.Name, t.Rate, t.Burst)
	}
	for _, k := range t.Keys {
		if k == "" {
			return invalidf("tenure %s: a key is empty", t.Name)
		}
	}
	return nil
}

// checkVersions returns an error if e changes an item without a new version. If two
// operators choose the same version, one of them must learn that their change is
// not in force.
func (s *Set) checkVersions(e corianderwing.Edit) error {
	for i := range e.Rules {
		if r := &e.Rules[i]; conflicts(s, s.rules[r.Name], corianderwing.RuleItem, string(r.Name), r.Version, r) {
			return versionConflict("rule", string(r.Name), r.Version)
		}
	}
	for i := range e.WorkspacePolicies {
		if t := &e.WorkspacePolicies[i]; conflicts(s, s.policies[t.Name], corianderwing.WorkspacePolicyItem, string(t.Name), t.Version, t) {
			return versionConflict("tenure", string(t.Name), t.Version)
		}
	}
	for i := range e.Pools {
		if p := &e.Pools[i]; conflicts(s, s.pools[p.Name], corianderwing.PoolItem, string(p.Name), p.Version, p) {
			return versionConflict("pool", string(p.Name), p.Version)
		}
	}
	if l := e.Limits; l != nil && s.limits != nil && l.Version == s.limits.Version && *l != *s.limits {
		return versionConflict("limits", "", l.Version)
	}
	for _, d := range e.Deletions {
		if v := s.versionOf(d.Kind, d.Name); v == d.Version && s.deletions[itemKey{d.Kind, d.Name}] != v {
			return versionConflict(string(d.Kind), d.Name, v)
		}
	}
	return nil
}

// conflicts reports whether item has the same version as the stored item, or as its
// deletion, but different content.
func conflicts[V any](s *Set, held *V, kind corianderwing.ItemKind, name string, v corianderwing.Version, item *V) bool {
	if s.versionOf(kind, name) != v {
		return false
	}
	return held == nil && v != 0 || held != nil && !reflect.DeepEqual(held, item)
}

func versionConflict(kind, name string, v corianderwing.Version) error {
	return corianderwing.Errorf(corianderwing.RevisionConflict, "%s %s: version %d is in force with different content", kind, name, v)
}

// checkReferences returns an error if a rule refers to a pool that does not exist,
// or if two workspaces share a key.
func (s *Set) checkReferences() error {
	for _, r := range s.rules {
		for _, t := range r.Targets {
			if s.pools[t.Pool] == nil {
				return invalidf("rule %s: pool %s does not exist", r.Name, t.Pool)
			}
		}
	}
	ownerByKey := map[string]corianderwing.WorkspaceID{}
	for _, t := range s.policies {
		for _, k := range t.Keys {
			if other, ok := ownerByKey[k]; ok && other != t.Name {
				return invalidf("tenure %s: one of its keys belongs to %s", max(t.Name, other), min(t.Name, other))
			}
			ownerByKey[k] = t.Name
		}
	}
	return nil
}
