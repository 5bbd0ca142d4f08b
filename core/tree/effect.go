package tree

import (
	"maps"
	"slices"

	"corianderwing"
)

// resolve returns a copy of n whose effective settings, and those of every
// node below it, are computed from the effective settings of the parent.
func (n *node) resolve(up *corianderwing.EffectiveSettings) *node {
	c := *n
	c.eff = inherit(up, n.path, &n.settings)
	if len(n.kids) > 0 {
		c.kids = make(map[string]*node, len(n.kids))
		for id, kid := range n.kids {
			c.kids[id] = kid.resolve(&c.eff)
		}
	}
	c.index()
	return &c
}

// index rebuilds the routes by prefix of a service. Set and Load have refused
// two routes with the same prefix.
func (n *node) index() {
	if level(n.path) != serviceLevel {
		return
	}
	n.longest = 0
	n.routes = make(map[string]*corianderwing.EffectiveSettings, len(n.kids))
	for _, kid := range n.kids {
		n.routes[kid.eff.Prefix] = &kid.eff
		n.longest = max(n.longest, len(kid.eff.Prefix))
	}
}

// inherit returns the effective settings of a node at p with the own settings
// s, where up are the effective settings of its parent.
func inherit(up *corianderwing.EffectiveSettings, p corianderwing.Path, s *corianderwing.Settings) corianderwing.EffectiveSettings {
	e := *up
	e.Path = p
	override(&e.Rate, s.Rate)
	override(&e.Burst, s.Burst)
	override(&e.Fixed, s.Fixed)
	override(&e.Open, s.Open)
	override(&e.Pool, s.Pool)
	override(&e.Class, s.Class)
	override(&e.Once, s.Once)
	override(&e.Timeout, s.Timeout)
	override(&e.Wait, s.Wait)
	override(&e.Slow, s.Slow)
	override(&e.Tries, s.Tries)
	override(&e.Body, s.Body)
	override(&e.Prefix, s.Prefix)
	e.Methods = slices.Clone(s.Methods)
	if e.Pool == "" {
		e.Pool = corianderwing.PoolID(p.Service)
	}
	return e
}

func override[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}

// clone returns a copy of s that shares no memory with it, so that a caller
// who changes its settings later does not change the tree.
func clone(s *corianderwing.Settings) corianderwing.Settings {
	c := *s
	c.Rate = clonePtr(s.Rate)
	c.Burst = clonePtr(s.Burst)
	c.Fixed = clonePtr(s.Fixed)
	c.Open = clonePtr(s.Open)
	c.Pool = clonePtr(s.Pool)
	c.Class = clonePtr(s.Class)
	c.Once = clonePtr(s.Once)
	c.Timeout = clonePtr(s.Timeout)
	c.Wait = clonePtr(s.Wait)
	c.Slow = clonePtr(s.Slow)
	c.Tries = clonePtr(s.Tries)
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

// Effective returns the effective settings of a node. The result is shared and
// must not be changed.
func (t *Tree) Effective(p corianderwing.Path) (*corianderwing.EffectiveSettings, bool) {
	n, ok := t.root.find(p)
	if !ok {
		return nil, false
	}
	return &n.eff, true
}

// Route returns the effective settings of the route with the longest prefix of
// path, which is the part of a request's path below the service. A prefix
// matches whole segments: /a matches /a and /a/b, not /ab. Route does not
// allocate. The result is shared and must not be changed.
func (t *Tree) Route(w corianderwing.WorkspaceID, s corianderwing.ServiceID, path string) (*corianderwing.EffectiveSettings, bool) {
	workspace := t.root.kids[string(w)]
	if workspace == nil {
		return nil, false
	}
	service := workspace.kids[string(s)]
	if service == nil {
		return nil, false
	}
	return service.match(path)
}

// match tries the whole path and then each shorter path that ends before a
// slash, so its cost depends on the length of the longest prefix and not on the
// number of routes.
func (n *node) match(path string) (*corianderwing.EffectiveSettings, bool) {
	for end := min(len(path), n.longest); end > 0; end-- {
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

// Seats returns how many seats a failure domain has.
func (t *Tree) Seats(d corianderwing.DomainID) int {
	return SeatsOf(&t.root.settings, d)
}

// SeatsOf returns how many seats a failure domain has under the root settings
// s: as many as s lists for it, or DefaultSeats if s lists no domain at all.
func SeatsOf(s *corianderwing.Settings, d corianderwing.DomainID) int {
	if len(s.Seats) == 0 {
		return corianderwing.DefaultSeats
	}
	return s.Seats[d]
}
