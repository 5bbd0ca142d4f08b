package tree

import (
	"maps"
	"slices"

	"corianderwing"
)

// resolve returns a copy of n with the effective settings of its whole subtree
// recomputed from the effective settings of the parent.
func (n *node) resolve(parentEffective *corianderwing.EffectiveSettings) *node {
	c := *n
	c.effective = inherit(parentEffective, n.path, &n.settings)
	if len(n.children) > 0 {
		c.children = make(map[string]*node, len(n.children))
		for id, kid := range n.children {
			c.children[id] = kid.resolve(&c.effective)
		}
	}
	c.indexRoutes()
	return &c
}

// indexRoutes rebuilds a service's map from prefix to route. Prefixes are unique,
// because Set and Load reject duplicates.
func (n *node) indexRoutes() {
	if depth(n.path) != serviceLevel {
		return
	}
	n.maxPrefixLen = 0
	n.routes = make(map[string]*corianderwing.EffectiveSettings, len(n.children))
	for _, kid := range n.children {
		n.routes[kid.effective.Prefix] = &kid.effective
		n.maxPrefixLen = max(n.maxPrefixLen, len(kid.effective.Prefix))
	}
}

// inherit returns the effective settings of the node at p from its own settings s
// and the effective settings of its parent.
func inherit(parentEffective *corianderwing.EffectiveSettings, p corianderwing.Path, s *corianderwing.Settings) corianderwing.EffectiveSettings {
	e := *parentEffective
	e.Path = p
	setIfPresent(&e.Rate, s.Rate)
	setIfPresent(&e.Burst, s.Burst)
	setIfPresent(&e.Fixed, s.Fixed)
	setIfPresent(&e.Public, s.Public)
	setIfPresent(&e.Pool, s.Pool)
	setIfPresent(&e.Class, s.Class)
	setIfPresent(&e.AtMostOnce, s.AtMostOnce)
	setIfPresent(&e.Timeout, s.Timeout)
	setIfPresent(&e.Wait, s.Wait)
	setIfPresent(&e.Slow, s.Slow)
	setIfPresent(&e.MaxAttempts, s.MaxAttempts)
	setIfPresent(&e.Body, s.Body)
	setIfPresent(&e.Prefix, s.Prefix)
	e.Methods = slices.Clone(s.Methods)
	if e.Pool == "" {
		e.Pool = corianderwing.PoolID(p.Service)
	}
	return e
}

func setIfPresent[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}

// cloneSettings returns a deep copy of s, so that a caller that modifies s later
// does not modify the tree.
func cloneSettings(s *corianderwing.Settings) corianderwing.Settings {
	c := *s
	c.Rate = clonePtr(s.Rate)
	c.Burst = clonePtr(s.Burst)
	c.Fixed = clonePtr(s.Fixed)
	c.Public = clonePtr(s.Public)
	c.Pool = clonePtr(s.Pool)
	c.Class = clonePtr(s.Class)
	c.AtMostOnce = clonePtr(s.AtMostOnce)
	c.Timeout = clonePtr(s.Timeout)
	c.Wait = clonePtr(s.Wait)
	c.Slow = clonePtr(s.Slow)
	c.MaxAttempts = clonePtr(s.MaxAttempts)
	c.Body = clonePtr(s.Body)
	c.Prefix = clonePtr(s.Prefix)
	c.Methods = slices.Clone(s.Methods)
	c.Seats = maps.Clone(s.Seats)
	return c
}

func clonePtr[T any](p *T) *T {
	if p == nil {
		return nil
	}
	v := *p
	return &v
}

// Effective returns the effective settings of a node. The result is shared and must
// not be modified.
func (t *Tree) Effective(p corianderwing.Path) (*corianderwing.EffectiveSettings, bool) {
	n, ok := t.root.find(p)
	if !ok {
		return nil, false
	}
	return &n.effective, true
}

// Route returns the effective settings of the route with the longest prefix of
// path, which is the part of a request's path below the service. A prefix
// matches whole segments: /a matches /a and /a/b, not /ab. Route does not
// allocate. The result is shared and must not be modified.
func (t *Tree) Route(w corianderwing.WorkspaceID, s corianderwing.ServiceID, path string) (*corianderwing.EffectiveSettings, bool) {
	workspace := t.root.children[string(w)]
	if workspace == nil {
		return nil, false
	}
	service := workspace.children[string(s)]
	if service == nil {
		return nil, false
	}
	return service.matchRoute(path)
}

// matchRoute looks up the whole path and then each shorter prefix that ends before
// a slash, so its cost depends on the length of the longest prefix and not on the
// number of routes.
func (n *node) matchRoute(path string) (*corianderwing.EffectiveSettings, bool) {
	for end := min(len(path), n.maxPrefixLen); end > 0; end-- {
		if end < len(path) && path[end] != '/' {
			continue
		}
		if e, ok := n.routes[path[:end]]; ok {
			return e, true
		}
	}
	e, ok := n.routes["/"]
	return e, ok
}

// Seats returns the number of seats of a failure domain.
func (t *Tree) Seats(d corianderwing.DomainID) int {
	return SeatsOf(&t.root.settings, d)
}

// SeatsOf returns the number of seats of a failure domain under the root settings
// s: the number that s lists for it, or DefaultSeats if s lists no domain.
func SeatsOf(s *corianderwing.Settings, d corianderwing.DomainID) int {
	if len(s.Seats) == 0 {
		return corianderwing.DefaultSeats
	}
	return s.Seats[d]
}
