package admin

import (
	"context"

	"corianderwing"
	"corianderwing/core/tree"
)

// NodeQuery requests one node of the tree.
type NodeQuery struct {
	Group corianderwing.GroupID
	Path  corianderwing.Path
}

func (q *NodeQuery) read(in *input) {
	q.Group = corianderwing.GroupID(in.query("group"))
	q.Path = in.treePath()
}

// treePath returns the node that the URL names.
func (in *input) treePath() corianderwing.Path {
	p, err := tree.ParsePath(in.r.PathValue("path"))
	if err != nil && in.decodeErr == nil {
		in.decodeErr = err
	}
	return p
}

// Node is a node of the tree with its own and its effective settings.
type Node struct {
	Group     corianderwing.GroupID            `json:"group"`
	Revision  corianderwing.Revision           `json:"revision"` // base revision for a change
	Path      corianderwing.Path               `json:"path,omitzero"`
	Settings  corianderwing.Settings           `json:"settings"`
	Effective *corianderwing.EffectiveSettings `json:"effective"`
	Children  []string                         `json:"below,omitempty"` // ids of the children
}

func (a *API) getNode(_ context.Context, q *NodeQuery) (Node, error) {
	g, err := a.resolveGroup(q.Group, q.Path.Workspace)
	if err != nil {
		return Node{}, err
	}
	v, err := a.groups.View(g)
	if err != nil {
		return Node{}, err
	}
	settings, ok := v.Tree().Node(q.Path)
	if !ok {
		return Node{}, corianderwing.Errorf(corianderwing.NotFound, "group %s has no node %s", g, q.Path)
	}
	e, _ := v.Tree().Effective(q.Path)
	return Node{Group: g, Revision: v.Revision(), Path: q.Path, Settings: settings, Effective: e, Children: v.Tree().Children(q.Path)}, nil
}

// SetNode creates a node or replaces its settings.
type SetNode struct {
	Change
	Path     corianderwing.Path      `json:"-"`
	Settings *corianderwing.Settings `json:"settings"`
}

func (s *SetNode) read(in *input) {
	in.body(s)
	s.Path = in.treePath()
	s.check(in)
	s.requireBase(in)
}

func (a *API) setNode(ctx context.Context, s *SetNode) (Accepted, error) {
	// The state machine repeats this check. Checking here keeps settings that
	// are always invalid out of the group's log.
	if err := tree.Check(s.Path, s.Settings); err != nil {
		return Accepted{}, err
	}
	g, err := a.resolveGroup(s.Group, s.Path.Workspace)
	if err != nil {
		return Accepted{}, err
	}
	c := s.command(corianderwing.SetNode)
	c.Path, c.Settings = s.Path, s.Settings
	return a.propose(ctx, g, c)
}

// DeleteNode removes a node and its descendants.
type DeleteNode struct {
	Change
	Path corianderwing.Path `json:"-"`
}

func (d *DeleteNode) read(in *input) {
	d.fromQuery(in)
	d.Path = in.treePath()
	d.requireBase(in)
}

func (a *API) deleteNode(ctx context.Context, d *DeleteNode) (Accepted, error) {
	g, err := a.resolveGroup(d.Group, d.Path.Workspace)
	if err != nil {
		return Accepted{}, err
	}
	c := d.command(corianderwing.DeleteNode)
	c.Path = d.Path
	return a.propose(ctx, g, c)
}
