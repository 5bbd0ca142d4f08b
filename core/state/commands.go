package state

import (
	"time"

	"corianderwing"
	"corianderwing/core/tree"
)

// commandFunc applies a command to v, a private copy of the current view. It must
// replace the maps of v rather than modify them, because older views share them. It
// returns false if the command has no effect on v.
type commandFunc func(v *View, c *corianderwing.Command, r *corianderwing.Result) (changed bool, err error)

var commandFuncs = map[corianderwing.CommandKind]commandFunc{
	corianderwing.SetNode:     setNode,
	corianderwing.DeleteNode:  deleteNode,
	corianderwing.AddKey:      addKey,
	corianderwing.RevokeKey:   revokeKey,
	corianderwing.SetDrain:    setDrain,
	corianderwing.EndDrain:    endDrain,
	corianderwing.StartMove:   startMove,
	corianderwing.EndMove:     endMove,
	corianderwing.AssignSeat:  assignSeat,
	corianderwing.ReleaseSeat: releaseSeat,
}

// requiresBase reports whether commands of this kind are subject to optimistic
// concurrency control: of two commands with the same base revision, at most one may
// succeed.
func requiresBase(k corianderwing.CommandKind) bool {
	return k == corianderwing.SetNode || k == corianderwing.DeleteNode || k == corianderwing.StartMove
}

// apply returns the view after the command, or v itself if the command failed or had
// no effect.
func (v *View) apply(c *corianderwing.Command) (*View, corianderwing.Result) {
	next := *v
	next.cache = &snapshotCache{}
	r := corianderwing.Result{Revision: v.revision}
	changed, err := next.execute(c, &r)
	if err != nil {
		r.Error = asError(err)
		return v, r
	}
	if !changed {
		return v, r
	}
	next.revision++
	if requiresBase(c.Kind) {
		next.treeRevision = next.revision
	}
	r.Revision = next.revision
	return &next, r
}

func (v *View) execute(c *corianderwing.Command, r *corianderwing.Result) (bool, error) {
	execute, ok := commandFuncs[c.Kind]
	if !ok {
		return false, corianderwing.Errorf(corianderwing.InvalidInput, "kind %q is not a kind of command", c.Kind)
	}
	if requiresBase(c.Kind) {
		if err := v.checkBase(c.Base); err != nil {
			return false, err
		}
	}
	return execute(v, c, r)
}

func (v *View) checkBase(base corianderwing.Revision) error {
	if base > v.revision {
		return corianderwing.Errorf(corianderwing.InvalidInput,
			"base is %d, allowed: a revision up to the current one, %d", base, v.revision)
	}
	if base < v.treeRevision {
		err := corianderwing.Errorf(corianderwing.RevisionConflict,
			"the tree changed at revision %d, after base %d; the current revision is %d", v.treeRevision, base, v.revision)
		err.Revision = v.revision
		return err
	}
	return nil
}

func setNode(v *View, c *corianderwing.Command, _ *corianderwing.Result) (bool, error) {
	next, err := v.tree.Set(c.Path, c.Settings)
	if err != nil {
		return false, err
	}
	if c.Path == (corianderwing.Path{}) {
		if err := v.checkSeatCounts(next); err != nil {
			return false, err
		}
	}
	v.tree = next
	return true, nil
}

// checkSeatCounts rejects a tree with fewer seats than are in use. An instance whose
// seat is beyond the new count would keep using its fixed fraction of each limit, so
// the fractions together would exceed the limit.
func (v *View) checkSeatCounts(next *tree.Tree) error {
	for _, s := range v.Seats() {
		if n := next.Seats(s.Domain); s.Index >= n {
			return corianderwing.Errorf(corianderwing.InvalidChange,
				"node /: seats of %s is %d, allowed: more than %d while instance %s has seat %d",
				s.Domain, n, s.Index, s.Instance, s.Index)
		}
	}
	return nil
}

func deleteNode(v *View, c *corianderwing.Command, _ *corianderwing.Result) (bool, error) {
	next, err := v.tree.Delete(c.Path)
	if err != nil {
		return false, err
	}
	// Delete the keys of a deleted workspace, so that a workspace created later
	// with the same id does not accept them.
	if !next.HasWorkspace(c.Path.Workspace) {
		v.keys = v.keys.removeWorkspace(c.Path.Workspace)
	}
	v.tree = next
	return true, nil
}

func addKey(v *View, c *corianderwing.Command, _ *corianderwing.Result) (bool, error) {
	key := c.Key
	if key == nil {
		return false, missingError("key")
	}
	if !corianderwing.ValidID(string(key.ID)) {
		return false, corianderwing.Errorf(corianderwing.InvalidInput, "key id %q is no id", key.ID)
	}
	if len(key.Label) > maxTextBytes {
		return false, tooLongError("label", len(key.Label))
	}
	if !v.HasWorkspace(key.Workspace) {
		return false, unknownWorkspaceError(key.Workspace)
	}
	if _, ok := v.keys.findID(key.Workspace, key.ID); ok {
		return false, corianderwing.Errorf(corianderwing.InvalidChange, "workspace %s already has a key %s", key.Workspace, key.ID)
	}
	if _, ok := v.keys.find(key.Hash); ok || key.Hash == (corianderwing.KeyHash{}) {
		return false, corianderwing.Errorf(corianderwing.InvalidChange, "the hash of key %s is empty or belongs to another key", key.ID)
	}
	if len(v.keys.hashes[key.Workspace]) >= maxKeys {
		return false, corianderwing.Errorf(corianderwing.InvalidChange, "workspace %s has %d keys, allowed: %d", key.Workspace, maxKeys, maxKeys)
	}
	v.keys = v.keys.with(*key)
	return true, nil
}

func revokeKey(v *View, c *corianderwing.Command, _ *corianderwing.Result) (bool, error) {
	if c.Key == nil {
		return false, missingError("key")
	}
	key, ok := v.keys.findID(c.Key.Workspace, c.Key.ID)
	if !ok {
		return false, corianderwing.Errorf(corianderwing.NotFound, "workspace %s has no key %s", c.Key.Workspace, c.Key.ID)
	}
	if key.Revoked {
		return false, nil
	}
	key.Revoked = true
	v.keys = v.keys.with(key)
	return true, nil
}

func setDrain(v *View, c *corianderwing.Command, _ *corianderwing.Result) (bool, error) {
	if c.Drain == nil {
		return false, missingError("drain")
	}
	u := c.Drain.Upstream
	if !corianderwing.ValidID(string(u)) {
		return false, corianderwing.Errorf(corianderwing.InvalidInput, "upstream %q is no id", u)
	}
	if v.Drained(u) {
		return false, nil
	}
	v.drains = withKey(v.drains, u, corianderwing.Drain{Upstream: u, Since: c.Now})
	return true, nil
}

func endDrain(v *View, c *corianderwing.Command, _ *corianderwing.Result) (bool, error) {
	if c.Drain == nil {
		return false, missingError("drain")
	}
	if !v.Drained(c.Drain.Upstream) {
		return false, corianderwing.Errorf(corianderwing.NotFound, "upstream %q is not drained", c.Drain.Upstream)
	}
	v.drains = withoutKey(v.drains, c.Drain.Upstream)
	return true, nil
}

// maxTextBytes is the maximum size of a key label or of the evidence of a move.
const maxTextBytes = 16 << 10

func missingError(field string) error {
	return corianderwing.Errorf(corianderwing.InvalidInput, "%s is missing", field)
}

func tooLongError(field string, n int) error {
	return corianderwing.Errorf(corianderwing.InvalidInput, "%s has %d bytes, allowed: %d", field, n, maxTextBytes)
}

func unknownWorkspaceError(w corianderwing.WorkspaceID) error {
	return corianderwing.Errorf(corianderwing.NotFound, "workspace %q does not exist", w)
}

func asError(err error) *corianderwing.Error {
	if e, ok := err.(*corianderwing.Error); ok {
		return e
	}
	return corianderwing.Errorf(corianderwing.Internal, "%v", err)
}

// validTime reports whether t can be encoded in a snapshot and decoded again, which
// requires a four-digit year.
func validTime(t time.Time) bool {
	return t.Year() >= 2000 && t.Year() < 10_000
}
