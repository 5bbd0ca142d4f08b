package items

import (
	"cmp"
	"net/url"
	"slices"
	"strings"

	"corianderwing"
)

// buildIndexes builds the lookup tables that requests use.
func (s *Set) buildIndexes() {
	s.rulesByHost = make(map[string][]*corianderwing.Rule)
	for _, r := range s.rules {
		s.rulesByHost[r.Host] = append(s.rulesByHost[r.Host], r)
	}
	for _, list := range s.rulesByHost {
		slices.SortFunc(list, func(a, b *corianderwing.Rule) int {
			if n := len(b.Prefix) - len(a.Prefix); n != 0 {
				return n
			}
			return cmp.Compare(a.Name, b.Name)
		})
	}
	s.policyByKey = make(map[string]*corianderwing.WorkspacePolicy)
	for _, t := range s.policies {
		for _, k := range t.Keys {
			s.policyByKey[k] = t
		}
	}
}

// MatchRule returns the rule of a host with the longest prefix that matches path.
func (s *Set) MatchRule(host, path string) (*corianderwing.Rule, bool) {
	for _, r := range s.rulesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// RequestPath returns the path of a request target, in the form that MatchRule
// takes.
func RequestPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	if strings.HasPrefix(path, "/") {
		return path
	}
	u, err := url.Parse(path) // absolute form, as sent to a proxy, with scheme and host
	if err != nil {
		return path
	}
	return u.EscapedPath()
}

// PolicyByKey returns the policy of the workspace that owns an API key.
func (s *Set) PolicyByKey(key string) (*corianderwing.WorkspacePolicy, bool) {
	t, ok := s.policyByKey[key]
	return t, ok
}

// Policy returns the policy of a workspace.
func (s *Set) Policy(name corianderwing.WorkspaceID) (*corianderwing.WorkspacePolicy, bool) {
	t, ok := s.policies[name]
	return t, ok
}

// EachPolicy calls f with every workspace policy, in no particular order.
func (s *Set) EachPolicy(f func(*corianderwing.WorkspacePolicy)) {
	for _, t := range s.policies {
		f(t)
	}
}

// KeysRequired reports whether requests need an API key, which is the case from the
// first workspace policy on. Deleting the last one withdraws its keys; it does not
// open the rules to everybody.
func (s *Set) KeysRequired() bool { return s.keyed }

// Pool returns a pool by name.
func (s *Set) Pool(name corianderwing.PoolID) (*corianderwing.Pool, bool) {
	p, ok := s.pools[name]
	return p, ok
}

// NumRules returns the number of rules.
func (s *Set) NumRules() int { return len(s.rules) }

// Limits returns the limits on callers, or the defaults if none are set.
func (s *Set) Limits() corianderwing.Limits {
	if s.limits != nil {
		return *s.limits
	}
	return corianderwing.Limits{Header: 16 << 10, Body: 64 << 20, HeaderTimeout: 5000, IdleTimeout: 60000}
}
