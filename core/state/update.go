package state

import (
	"errors"
	"fmt"

	"corianderwing"
	"corianderwing/core/tree"
)

// Errors returned by View.Update.
var (
	// ErrStale means that the view is already at or past the update's revision. The
	// caller should discard the update.
	ErrStale = errors.New("the update is older than the view")
	// ErrGap means that earlier updates are missing, or that the update cannot be
	// applied to the view. The caller should request a snapshot.
	ErrGap = errors.New("the update does not follow the view")
)

// viewSnapshot is the encoded form of a View.
type viewSnapshot struct {
	Group        corianderwing.GroupID  `json:"group"`
	Revision     corianderwing.Revision `json:"revision"`
	TreeRevision corianderwing.Revision `json:"changed"`
	Nodes        []tree.Node            `json:"nodes"`
	Keys         []corianderwing.Key    `json:"keys,omitempty"`
	Drains       []corianderwing.Drain  `json:"drains,omitempty"`
	Moves        []corianderwing.Move   `json:"moves,omitempty"`
	Seats        []corianderwing.Seat   `json:"seats,omitempty"`
}

// Update returns the view after an update of its group, which is a snapshot or the
// accepted command that produced the next revision. The view itself does not change.
// Update fails with ErrStale if the update is older than the view, and with ErrGap if a
// revision is missing or the command cannot be applied. Any other error means that the
// update is invalid.
func (v *View) Update(u corianderwing.Update) (*View, error) {
	if u.Group != v.group {
		return nil, fmt.Errorf("update of group %q for a view of group %q", u.Group, v.group)
	}
	if u.Snapshot != nil {
		return v.applySnapshot(u)
	}
	if u.Command == nil {
		return nil, fmt.Errorf("update to revision %d has neither snapshot nor command", u.Revision)
	}
	if u.Revision <= v.revision {
		return nil, fmt.Errorf("%w: update to %d, view at %d", ErrStale, u.Revision, v.revision)
	}
	if u.Revision != v.revision+1 {
		return nil, fmt.Errorf("%w: update to %d, view at %d", ErrGap, u.Revision, v.revision)
	}
	next, r := v.apply(u.Command)
	if r.Error != nil {
		return nil, fmt.Errorf("%w: command %s was rejected: %w", ErrGap, u.Command.Request, r.Error)
	}
	if next.revision != u.Revision {
		return nil, fmt.Errorf("%w: command %s has no effect at revision %d", ErrGap, u.Command.Request, v.revision)
	}
	return next, nil
}

func (v *View) applySnapshot(u corianderwing.Update) (*View, error) {
	if u.Revision < v.revision {
		return nil, fmt.Errorf("%w: snapshot of %d, view at %d", ErrStale, u.Revision, v.revision)
	}
	var s viewSnapshot
	if err := snapshotDecoding.Unmarshal(u.Snapshot, &s); err != nil {
		return nil, snapshotError(err)
	}
	if s.Group != u.Group || s.Revision != u.Revision {
		return nil, fmt.Errorf("snapshot of group %q at %d in an update of group %q to %d", s.Group, s.Revision, u.Group, u.Revision)
	}
	return s.view()
}

// Snapshot returns an update that replaces any older view with this one. The data is
// encoded once and shared between callers, who must not modify it.
func (v *View) Snapshot() (corianderwing.Update, error) {
	e := v.cache
	e.once.Do(func() { e.data, e.err = encoding.Marshal(v.snapshot()) })
	if e.err != nil {
		return corianderwing.Update{}, fmt.Errorf("encoding a view: %w", e.err)
	}
	return corianderwing.Update{Group: v.group, Revision: v.revision, Snapshot: e.data}, nil
}

func (v *View) snapshot() viewSnapshot {
	return viewSnapshot{
		Group:        v.group,
		Revision:     v.revision,
		TreeRevision: v.treeRevision,
		Nodes:        v.tree.Nodes(),
		Keys:         v.keys.all(),
		Drains:       v.Drains(),
		Moves:        v.Moves(),
		Seats:        v.Seats(),
	}
}

func (s *viewSnapshot) view() (*View, error) {
	t, err := tree.Load(s.Nodes)
	if err != nil {
		return nil, snapshotError(err)
	}
	v := &View{group: s.Group, revision: s.Revision, treeRevision: s.TreeRevision, tree: t, keys: newKeyTable(s.Keys), cache: &snapshotCache{}}
	v.drains = make(map[corianderwing.UpstreamID]corianderwing.Drain, len(s.Drains))
	for _, d := range s.Drains {
		v.drains[d.Upstream] = d
	}
	v.moves = make(map[corianderwing.PoolID]corianderwing.Move, len(s.Moves))
	for _, m := range s.Moves {
		v.moves[m.Pool] = m
	}
	v.seats = make(map[corianderwing.InstanceID]corianderwing.Seat, len(s.Seats))
	for _, seat := range s.Seats {
		v.seats[seat.Instance] = seat
	}
	return v, nil
}
