// Package tree implements the settings tree of a group: root > workspace > service
// > route. A Tree is immutable. Set and Delete return a new tree that shares all
// unchanged nodes with the old one, so readers can use a tree without locks while
// operators change the settings.
//
// Effective settings are computed when the tree changes, not when a request is
// looked up.
package tree

import (
	"maps"
	"slices"

	"corianderwing"
)

// Depths of the levels of the tree.
const (
	rootLevel = iota
	workspaceLevel
	serviceLevel
	routeLevel
)

// Tree is an immutable settings tree. Use New or Load to create one.
type Tree struct {
	root *node
}

// node is immutable once it is part of a Tree.
type node struct {
	path      corianderwing.Path
	settings  corianderwing.Settings
	effective corianderwing.EffectiveSettings
	children  map[string]*node

	// Set on services only: the routes by prefix, and the length of the longest
	// prefix.
	routes       map[string]*corianderwing.EffectiveSettings
	maxPrefixLen int
}

// Node is the path of a node and its own settings, without inherited fields.
type Node struct {
	Path     corianderwing.Path     `json:"path,omitzero"`
	Settings corianderwing.Settings `json:"settings"`
}

// New returns a tree that consists of a root without settings.
func New() *Tree {
	root := &node{}
	return &Tree{root: root.resolve(&corianderwing.Defaults)}
}

// Load builds a tree from nodes in the order of Nodes: each parent before its
// children. It fails on the first node that Set would reject.
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
		if depth(n.Path) == routeLevel {
			key := parent(n.Path).String() + effectivePrefix(&n.Settings)
			if other, ok := prefixes[key]; ok {
				return nil, invalidChange(n.Path, []Problem{duplicatePrefix(&n.Settings, other.Route)})
			}
			prefixes[key] = n.Path
		}
		if err := root.insert(n); err != nil {
			return nil, err
		}
	}
	return &Tree{root: root.resolve(&corianderwing.Defaults)}, nil
}

// insert adds a node in place. Only Load uses it, before the tree is visible to
// readers.
func (n *node) insert(added Node) error {
	ownSettings := cloneSettings(&added.Settings)
	if depth(added.Path) == rootLevel {
		n.settings = ownSettings
		return nil
	}
	parentNode, ok := n.find(parent(added.Path))
	if !ok {
		return notFound(parent(added.Path))
	}
	if parentNode.children == nil {
		parentNode.children = map[string]*node{}
	}
	parentNode.children[lastID(added.Path)] = &node{path: added.Path, settings: ownSettings}
	return nil
}

// Set returns a tree in which the node p has the settings s; fields that are nil in
// s are inherited. It creates the node if its parent exists. It fails with an
// InvalidChange error that lists every problem of s, or with NotFound if the parent
// does not exist.
func (t *Tree) Set(p corianderwing.Path, s *corianderwing.Settings) (*Tree, error) {
	problems := findProblems(p, s)
	if depth(p) == routeLevel && s != nil {
		service, _ := t.root.find(parent(p))
		if c := findPrefixConflict(service, p, s); c != nil {
			problems = append(problems, *c)
		}
	}
	if len(problems) > 0 {
		return nil, invalidChange(p, problems)
	}
	ownSettings := cloneSettings(s)
	root, err := t.root.replace(&corianderwing.Defaults, ids(p), func(old *node) (*node, error) {
		if old == nil {
			return &node{path: p, settings: ownSettings}, nil
		}
		next := *old
		next.settings = ownSettings
		return &next, nil
	})
	if err != nil {
		return nil, err
	}
	return &Tree{root: root}, nil
}

// Delete returns a tree without the node p and its subtree. It fails with NotFound
// if the node does not exist and with InvalidChange for the root.
func (t *Tree) Delete(p corianderwing.Path) (*Tree, error) {
	if problems := checkPath(p); len(problems) > 0 {
		return nil, invalidChange(p, problems)
	}
	if depth(p) == rootLevel {
		return nil, corianderwing.Errorf(corianderwing.InvalidChange, "the root cannot be dropped; set it to {} instead")
	}
	root, err := t.root.replace(&corianderwing.Defaults, ids(p), func(old *node) (*node, error) {
		if old == nil {
			return nil, notFound(p)
		}
		return nil, nil
	})
	if err != nil {
		return nil, err
	}
	return &Tree{root: root}, nil
}

// replace returns a copy of n in which the descendant at path is replaced by the
// result of f, or removed if f returns nil. The subtree of the new node is resolved
// again; all others are shared. n is nil if the node does not exist.
func (n *node) replace(parentEffective *corianderwing.EffectiveSettings, path []string, f func(*node) (*node, error)) (*node, error) {
	if len(path) == 0 {
		next, err := f(n)
		if err != nil || next == nil {
			return nil, err
		}
		return next.resolve(parentEffective), nil
	}
	oldChild := n.children[path[0]]
	if oldChild == nil && len(path) > 1 {
		return nil, notFound(child(n.path, path[0]))
	}
	next, err := oldChild.replace(&n.effective, path[1:], f)
	if err != nil {
		return nil, err
	}
	c := *n
	c.children = maps.Clone(n.children)
	if c.children == nil {
		c.children = map[string]*node{}
	}
	if next == nil {
		delete(c.children, path[0])
	} else {
		c.children[path[0]] = next
	}
	c.indexRoutes()
	return &c, nil
}

// find returns the node at p below the root n.
func (n *node) find(p corianderwing.Path) (*node, bool) {
	for _, id := range ids(p) {
		if n = n.children[id]; n == nil {
			return nil, false
		}
	}
	return n, true
}

// Node returns a node's own settings, without inherited fields.
func (t *Tree) Node(p corianderwing.Path) (corianderwing.Settings, bool) {
	n, ok := t.root.find(p)
	if !ok {
		return corianderwing.Settings{}, false
	}
	return cloneSettings(&n.settings), true
}

// Nodes returns every node with its own settings, each parent before its children
// and siblings sorted by ID.
func (t *Tree) Nodes() []Node {
	var all []Node
	t.root.walk(func(n *node) {
		all = append(all, Node{Path: n.path, Settings: cloneSettings(&n.settings)})
	})
	return all
}

// Children returns the IDs of the children of a node, sorted.
func (t *Tree) Children(p corianderwing.Path) []string {
	n, ok := t.root.find(p)
	if !ok {
		return nil
	}
	return slices.Sorted(maps.Keys(n.children))
}

// Workspaces returns the IDs of all workspaces, sorted.
func (t *Tree) Workspaces() []corianderwing.WorkspaceID {
	all := make([]corianderwing.WorkspaceID, 0, len(t.root.children))
	for _, id := range slices.Sorted(maps.Keys(t.root.children)) {
		all = append(all, corianderwing.WorkspaceID(id))
	}
	return all
}

// HasWorkspace reports whether a workspace exists.
func (t *Tree) HasWorkspace(w corianderwing.WorkspaceID) bool {
	_, ok := t.root.children[string(w)]
	return ok
}

func (n *node) walk(f func(*node)) {
	f(n)
	for _, id := range slices.Sorted(maps.Keys(n.children)) {
		n.children[id].walk(f)
	}
}
