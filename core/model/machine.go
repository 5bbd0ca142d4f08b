package model

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"corianderwing"
	"corianderwing/core/duty"
	"corianderwing/core/quota"
)

// maxUpdates is the number of recent changes that a Machine keeps for its
// followers. A follower that lacks more of them gets a snapshot.
const maxUpdates = 512

// Update brings a follower's view to Revision. It holds a snapshot of the whole
// view, the command that follows the previous revision, or several commands,
// the first of which follows the revision Revision-len(Commands).
type Update struct {
	Revision corianderwing.Revision `json:"revision"`
	Snapshot []byte                 `json:"snapshot,omitempty"`
	Packed   []byte                 `json:"packed,omitempty"` // a compressed snapshot, in place of Snapshot
	Command  []byte                 `json:"command,omitempty"`
	Commands [][]byte               `json:"commands,omitempty"`
}

// Combine returns one update in place of several that follow each other. Of
// updates that hold a snapshot it returns the list as it is.
func Combine(list []Update) []Update {
	if len(list) < 2 {
		return list
	}
	u := Update{Revision: list[len(list)-1].Revision}
	for i := range list {
		if list[i].Command == nil {
			return list
		}
		u.Commands = append(u.Commands, list[i].Command)
	}
	return []Update{u}
}

// Machine is one replica of the state. It implements corianderwing.StateMachine
// and owns the current View. Readers take no lock.
type Machine struct {
	now     func() time.Time
	mu      sync.Mutex
	applied corianderwing.Index
	current atomic.Pointer[published]
}

// published is the state that readers see. It is immutable and replaced on each
// change. Its updates share a backing array with later ones, which append only
// past the end of this slice.
type published struct {
	view     *View
	duties   duty.Table    // not part of the view, which entry instances follow
	quota    *quota.Record // neither; nil if there never was one
	rollouts rolloutRecords
	index    corianderwing.Index
	updates  []Update
	replaced chan struct{} // closed when the next state replaces this one
	snapshot snapshotCache
}

// NewMachine returns a replica with an empty state. Remaining warm-up times are
// relative to now.
func NewMachine(now func() time.Time) *Machine {
	m := &Machine{now: now}
	m.current.Store(&published{view: New(), replaced: make(chan struct{})})
	return m
}

// View returns the current view.
func (m *Machine) View() *View { return m.current.Load().view }

// Duty returns the state of a duty.
func (m *Machine) Duty(n duty.Name) duty.State { return m.current.Load().duties.State(n) }

// Quota returns the record of the tokens of workspaces, nil if there never was one.
func (m *Machine) Quota() *quota.Record { return m.current.Load().quota }

// Rollout returns the record of the rollout of a move in progress, nil if there is none.
func (m *Machine) Rollout(move corianderwing.Move) *RolloutRecord {
	if r := m.current.Load().rollouts[move.Pool]; r.Of(move) {
		return r
	}
	return nil
}

// Applied returns the index of the last command that the view includes.
func (m *Machine) Applied() corianderwing.Index { return m.current.Load().index }

// Changed returns a channel that is closed when the next command is applied. To
// miss no change, get the channel before reading the view or the updates.
func (m *Machine) Changed() <-chan struct{} { return m.current.Load().replaced }

// Updates returns the changes from a revision to the current one, or a snapshot
// if some of them are no longer kept. It returns nothing for a revision that is
// newer than this replica's.
func (m *Machine) Updates(after corianderwing.Revision) ([]Update, error) {
	p := m.current.Load()
	if list, ok := p.updatesAfter(after, maxUpdates); ok {
		return list, nil
	}
	e, err := p.snapshot.encode(p.view, m.now())
	if err != nil {
		return nil, err
	}
	return []Update{{Revision: p.view.revision, Snapshot: e.plain}}, nil
}

// maxPackedUpdates is the number of changes up to which PackedUpdates returns them
// one by one. A compressed snapshot of a large deployment is as long as a hundred
// of them.
const maxPackedUpdates = 100

// PackedUpdates is like Updates, but its snapshots are compressed and replace long
// lists of changes too.
func (m *Machine) PackedUpdates(after corianderwing.Revision) ([]Update, error) {
	p := m.current.Load()
	if list, ok := p.updatesAfter(after, maxPackedUpdates); ok {
		return list, nil
	}
	e, err := p.snapshot.encode(p.view, m.now())
	if err != nil {
		return nil, err
	}
	return []Update{{Revision: p.view.revision, Packed: e.packed}}, nil
}

// updatesAfter returns the changes after a revision, unless there are more than
// limit or some of them are no longer kept. A follower that is ahead of this replica
// gets nothing until the replica has caught up.
func (p *published) updatesAfter(after corianderwing.Revision, limit int) ([]Update, bool) {
	if after >= p.view.revision {
		return nil, true
	}
	// Compared as a Revision: as an int, a huge difference is negative.
	missing := p.view.revision - after
	if missing > corianderwing.Revision(min(limit, len(p.updates))) {
		return nil, false
	}
	return p.updates[len(p.updates)-int(missing):], true
}

// Apply implements corianderwing.StateMachine. Commands that the view already
// includes, because the replica restarted, change nothing.
func (m *Machine) Apply(i corianderwing.Index, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.current.Load()
	if i <= m.applied {
		return encodeResult(Result{Revision: p.view.revision})
	}
	m.applied = i
	next, duties, tokens, rollouts := p.view, p.duties, p.quota, p.rollouts
	c, err := Decode(data)
	switch {
	case err != nil:
	case c.Duty != nil:
		duties, err = p.duties.Apply(c.Duty)
	case c.Quota != nil:
		tokens = p.quota.Apply(c.Quota)
	case c.Rollout != nil:
		rollouts = p.rollouts.with(c.Rollout, p.view)
	default:
		next, err = p.view.Apply(c, m.now())
	}
	if c != nil && c.EndMove != nil {
		rollouts = p.rollouts.inProgress(next)
	}
	updates := p.updates
	if next.revision != p.view.revision {
		updates = append(updates, Update{Revision: next.revision, Command: data})
		if extra := len(updates) - maxUpdates; extra > 0 {
			updates = updates[extra:]
		}
	}
	m.current.Store(&published{view: next, duties: duties, quota: tokens, rollouts: rollouts, index: i, updates: updates, replaced: make(chan struct{})})
	close(p.replaced)
	return encodeResult(Result{Revision: next.revision, Error: asError(err)})
}

// machineSnapshot is the encoded form of a Machine.
type machineSnapshot struct {
	Index  corianderwing.Index      `json:"index"`
	View   []byte                   `json:"view"`
	Duties map[duty.Name]duty.State `json:"duties,omitempty"`
	Quota  *quota.Record            `json:"quota,omitempty"`

	Rollouts rolloutRecords `json:"rollouts,omitempty"`
}

// Save implements corianderwing.StateMachine.
func (m *Machine) Save() ([]byte, error) {
	p := m.current.Load()
	view, err := p.view.Save(m.now())
	if err != nil {
		return nil, err
	}
	return encMode.Marshal(machineSnapshot{Index: p.index, View: view, Duties: p.duties.Save(), Quota: p.quota, Rollouts: p.rollouts})
}

// Restore implements corianderwing.StateMachine. It ignores a snapshot that is not
// newer than the view.
func (m *Machine) Restore(data []byte) error {
	var r machineSnapshot
	if err := decMode.Unmarshal(data, &r); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	view, err := Load(r.View, m.now())
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.Index <= m.applied {
		return nil
	}
	m.applied = r.Index
	p := m.current.Load()
	m.current.Store(&published{view: view, duties: duty.Load(r.Duties), quota: r.Quota, rollouts: r.Rollouts, index: r.Index, replaced: make(chan struct{})})
	close(p.replaced)
	return nil
}

// DecodeResult decodes a result that Machine.Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if err := decMode.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("decode result: %w", err)
	}
	return r, nil
}

// encodeResult encodes a result. It cannot fail, because every field of a result
// is set in this package.
func encodeResult(r Result) []byte {
	data, err := encMode.Marshal(r)
	if err != nil {
		panic(err)
	}
	return data
}

func asError(err error) *corianderwing.Error {
	if err == nil {
		return nil
	}
	if e, ok := err.(*corianderwing.Error); ok {
		return e
	}
	return corianderwing.Errorf(corianderwing.CodeOf(err), "%v", err)
}

// Update returns the view after an update. It returns a RevisionConflict if the
// update does not directly follow the view, so that a snapshot is needed.
func (v *View) Update(u Update, now time.Time) (*View, error) {
	if u.Revision <= v.revision {
		return v, nil
	}
	if u.Packed != nil || u.Snapshot != nil {
		return v.replace(u, now)
	}
	list, err := u.commandsAfter(v.revision)
	if err != nil {
		return v, err
	}
	next, err := v.ApplyAll(list, now)
	if err != nil {
		return v, corianderwing.Errorf(corianderwing.RevisionConflict, "update to revision %d was rejected: %v", u.Revision, err)
	}
	if next.revision != u.Revision {
		return v, corianderwing.Errorf(corianderwing.RevisionConflict, "update to revision %d produced revision %d", u.Revision, next.revision)
	}
	return next, nil
}

// replace returns the view of the update's snapshot. The snapshot must have the
// update's revision, because the view must not go back to an earlier one.
func (v *View) replace(u Update, now time.Time) (*View, error) {
	plain := u.Snapshot
	if u.Packed != nil {
		var err error
		if plain, err = unpack(u.Packed); err != nil {
			return v, err
		}
	}
	next, err := Load(plain, now)
	if err != nil {
		return v, err
	}
	if next.revision != u.Revision {
		return v, corianderwing.Errorf(corianderwing.RevisionConflict, "update to revision %d has a snapshot of revision %d", u.Revision, next.revision)
	}
	return next, nil
}

// commandsAfter returns the commands of the update that follow a revision.
func (u *Update) commandsAfter(r corianderwing.Revision) ([]*Command, error) {
	encoded := u.Commands
	if encoded == nil {
		encoded = [][]byte{u.Command}
	}
	// Compared as a Revision: as an int, a huge difference is negative.
	missing := u.Revision - r
	if missing > corianderwing.Revision(len(encoded)) {
		return nil, corianderwing.Errorf(corianderwing.RevisionConflict, "update to revision %d does not follow revision %d", u.Revision, r)
	}
	var list []*Command
	for _, data := range encoded[len(encoded)-int(missing):] {
		c, err := Decode(data)
		if err != nil {
			return nil, err
		}
		list = append(list, c)
	}
	return list, nil
}
