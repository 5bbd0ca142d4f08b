// Package tree holds the settings tree of a group: root > workspace > service
// > route. A Tree is immutable. Set and Drop return a new tree that shares
// every unchanged node with the old one, so readers keep a tree for as long as
// they like while operators change it.
//
// Effective settings are computed when the tree changes, never when a request
// is looked up.
package tree

import (
	"maps"
	"slices"

	"corianderwing"
)

// The depths of the tree's levels.
const (
	rootLevel = iota
	workspaceLevel
	serviceLevel
	routeLevel
)

// Tree is an immutable settings tree. Use New or Load to make one.
type Tree struct {
	root *node
}

// node is immutable once it is part of a Tree.
type node struct {
	path     corianderwing.Path
	settings corianderwing.Settings
	eff      corianderwing.EffectiveSettings
	kids     map[string]*node

	// Of services only: the routes by prefix, and the longest prefix.
	routes  map[string]*corianderwing.EffectiveSettings
	longest int
}

// Node is the path and the own settings of one node.
type Node struct {
	Path     corianderwing.Path     `json:"path,omitzero"`
	Settings corianderwing.Settings `json:"settings"`
}

// New returns a tree that has only a root without settings.
func New() *Tree {
	root := &node{}
	return &Tree{root: root.resolve(&corianderwing.Defaults)}
}

// Load returns a tree with the given nodes, as Nodes returns them: each parent
// before its children. It fails on the first node that Set would refuse.
func Load(nodes []Node) (*Tree, error) {
	root := &node{}
	seen := make(map[corianderwing.Path]bool, len(nodes))
	prefixes := map[string]corianderwing.Path{}
	for _, n := range nodes {
		if err := Check(n.Path, &n.Settings); err != nil {
			return nil, err
		}
		if seen[n.Path] {
			return nil, corianderwing.Errorf(corianderwing.InvalidChange, "node %s is listed twice", n.Path)
		}
		seen[n.Path] = true
		if level(n.Path) == routeLevel {
			key := parent(n.Path).String() + prefixOf(&n.Settings)
			if other, ok := prefixes[key]; ok {
				return nil, reject(n.Path, []Problem{samePrefix(&n.Settings, other.Route)})
			}
			prefixes[key] = n.Path
		}
		if err := root.insert(n); err != nil {
			return nil, err
		}
	}
	return &Tree{root: root.resolve(&corianderwing.Defaults)}, nil
}

// insert adds a node in place. Only Load uses it, on nodes no reader has seen.
func (n *node) insert(add Node) error {
	own := clone(&add.Settings)
	if level(add.Path) == rootLevel {
		n.settings = own
		return nil
	}
	up, ok := n.find(parent(add.Path))
	if !ok {
		return unknown(parent(add.Path))
	}
	if up.kids == nil {
		up.kids = map[string]*node{}
	}
	up.kids[lastID(add.Path)] = &node{path: add.Path, settings: own}
	return nil
}

// Set returns a tree in which the node p has the settings s and every field
// that s leaves nil is inherited. It creates the node if the parent exists.
// It fails with BadChange, which lists every problem of s, or with Unknown if
// the parent does not exist.
func (t *Tree) Set(p corianderwing.Path, s *corianderwing.Settings) (*Tree, error) {
	problems := check(p, s)
	if level(p) == routeLevel && s != nil {
		service, _ := t.root.find(parent(p))
		if c := clash(service, p, s); c != nil {
			problems = append(problems, *c)
		}
	}
	if len(problems) > 0 {
		return nil, reject(p, problems)
	}
	own := clone(s)
	root, err := t.root.edit(&corianderwing.Defaults, ids(p), func(old *node) (*node, error) {
		if old == nil {
			return &node{path: p, settings: own}, nil
		}
		next := *old
		next.settings = own
		return &next, nil
	})
	if err != nil {
		return nil, err
	}
	return &Tree{root: root}, nil
}

// Delete returns a tree without the node p and everything below it. It fails
// with Unknown if the node does not exist and with BadChange for the root.
func (t *Tree) Delete(p corianderwing.Path) (*Tree, error) {
	if problems := checkPath(p); len(problems) > 0 {
		return nil, reject(p, problems)
	}
	if level(p) == rootLevel {
		return nil, corianderwing.Errorf(corianderwing.InvalidChange, "the root cannot be dropped; set it to {} instead")
	}
	root, err := t.root.edit(&corianderwing.Defaults, ids(p), func(old *node) (*node, error) {
		if old == nil {
			return nil, unknown(p)
		}
		return nil, nil
	})
	if err != nil {
		return nil, err
	}
	return &Tree{root: root}, nil
}

// edit returns a copy of n in which the node below it at path is replaced by
// the result of f, or removed if f returns nil. The new node's subtree is
// resolved again; all others are shared. n is nil if the node does not exist.
func (n *node) edit(up *corianderwing.EffectiveSettings, path []string, f func(*node) (*node, error)) (*node, error) {
	if len(path) == 0 {
		next, err := f(n)
		if err != nil || next == nil {
			return nil, err
		}
		return next.resolve(up), nil
	}
	kid := n.kids[path[0]]
	if kid == nil && len(path) > 1 {
		return nil, unknown(child(n.path, path[0]))
	}
	next, err := kid.edit(&n.eff, path[1:], f)
	if err != nil {
		return nil, err
	}
	c := *n
	c.kids = maps.Clone(n.kids)
	if c.kids == nil {
		c.kids = map[string]*node{}
	}
	if next == nil {
		delete(c.kids, path[0])
	} else {
		c.kids[path[0]] = next
	}
	c.index()
	return &c, nil
}

// find returns the node at p below the root n.
func (n *node) find(p corianderwing.Path) (*node, bool) {
	for _, id := range ids(p) {
		if n = n.kids[id]; n == nil {
			return nil, false
		}
	}
	return n, true
}

// Node returns the own settings of a node, without inherited fields.
func (t *Tree) Node(p corianderwing.Path) (corianderwing.Settings, bool) {
	n, ok := t.root.find(p)
	if !ok {
		return corianderwing.Settings{}, false
	}
	return clone(&n.settings), true
}

// Nodes returns every node with its own settings, each parent before its
// children and siblings by id.
func (t *Tree) Nodes() []Node {
	var all []Node
	t.root.walk(func(n *node) {
		all = append(all, Node{Path: n.path, Settings: clone(&n.settings)})
	})
	return all
}

// Children returns the ids of the children of a node, sorted.
func (t *Tree) Children(p corianderwing.Path) []string {
	n, ok := t.root.find(p)
	if !ok {
		return nil
	}
	return slices.Sorted(maps.Keys(n.kids))
}

// Workspaces returns the ids of all workspaces, sorted.
func (t *Tree) Workspaces() []corianderwing.WorkspaceID {
	all := make([]corianderwing.WorkspaceID, 0, len(t.root.kids))
	for _, id := range slices.Sorted(maps.Keys(t.root.kids)) {
		all = append(all, corianderwing.WorkspaceID(id))
	}
	return all
}

// HasWorkspace reports whether a workspace exists.
func (t *Tree) HasWorkspace(w corianderwing.WorkspaceID) bool {
	_, ok := t.root.kids[string(w)]
	return ok
}

func (n *node) walk(f func(*node)) {
	f(n)
	for _, id := range slices.Sorted(maps.Keys(n.kids)) {
		n.kids[id].walk(f)
	}
}
