package model

import (
	"maps"
	"time"

	"corianderwing"
	"corianderwing/core/crash"
	"corianderwing/core/duty"
	"corianderwing/core/quota"
)

// Announcement is an announced upstream in a command. WarmupRemaining is a duration,
// not a time, because the clocks of processes differ.
type Announcement struct {
	corianderwing.Upstream
	WarmupRemaining corianderwing.Millis `json:"cold,omitempty"`
}

// UpstreamRef identifies one incarnation of an upstream.
type UpstreamRef struct {
	ID          corianderwing.UpstreamID  `json:"id"`
	Incarnation corianderwing.Incarnation `json:"incarnation"`
}

// Evacuation stops new work in a failure domain, or allows it again.
type Evacuation struct {
	Domain corianderwing.DomainID `json:"domain"`
	On     bool                   `json:"on"`
}

// Command is one change to the replicated state. Exactly one of its fields is
// set, except for Announce, Remove and Expire, which a control instance batches
// into one command, and for Suspect, which NewSuspectCommand combines with Expire.
// Duty, Quota and Rollout change what a Machine holds besides the view.
type Command struct {
	Edit     *corianderwing.Edit `json:"edit,omitempty"`
	Announce []Announcement      `json:"announce,omitempty"`
	Remove   []UpstreamRef       `json:"leave,omitempty"`
	Expire   []UpstreamRef       `json:"expire,omitempty"` // removed for missing heartbeats; may return with the same incarnation
	Suspect  []crash.Event       `json:"suspect,omitempty"`
	Evacuate *Evacuation         `json:"evacuate,omitempty"`
	Move     *corianderwing.Move `json:"move,omitempty"`    // starts a move
	EndMove  *corianderwing.Move `json:"endmove,omitempty"` // records its outcome
	Duty     *duty.Change        `json:"duty,omitempty"`

	Quota *quota.RecordChange `json:"quota,omitempty"`

	Rollout *RolloutRecord `json:"rollout,omitempty"` // replaces the record of a move in progress
}

// NewSuspectCommand returns a command with observations of requests that crash
// upstreams. Replicas of earlier versions do not know the field. The command also
// expires an upstream that does not exist, so that they count it as a revision like
// all others.
func NewSuspectCommand(list []crash.Event) *Command {
	return &Command{Suspect: list, Expire: []UpstreamRef{{}}}
}

// Result is the result of a command. Error is nil if the state now is what the
// command asks for, whether or not the command changed it.
type Result struct {
	Revision corianderwing.Revision `json:"revision"`
	Error    *corianderwing.Error   `json:"error,omitempty"`
}

// Apply returns the view after a command that was received at now. The view
// itself does not change. If the command is rejected, Apply returns the same view.
func (v *View) Apply(c *Command, now time.Time) (*View, error) {
	switch {
	case c.Edit != nil:
		return v.applyEdit(*c.Edit)
	case c.changesUpstreams():
		n := v.cloneForUpdate()
		n.updateUpstreams(c, now)
		return n, nil
	case c.Evacuate != nil:
		return v.setEvacuated(*c.Evacuate, now), nil
	case c.Move != nil:
		return v.startMove(*c.Move)
	case c.EndMove != nil:
		return v.endMove(*c.EndMove), nil
	}
	return v, corianderwing.Errorf(corianderwing.InvalidInput, "the command is empty")
}

func (v *View) applyEdit(e corianderwing.Edit) (*View, error) {
	set, err := v.items.Merge(e)
	if err != nil || set == v.items {
		return v, err
	}
	n := *v
	n.items = set
	n.revision++
	return &n, nil
}

// ApplyAll returns the view after a series of commands. It copies the upstreams
// once for consecutive commands that change them. If a command is rejected, it
// returns the view after those before it, and the error.
func (v *View) ApplyAll(list []*Command, now time.Time) (*View, error) {
	var open *View // a copy with upstreams that may be changed
	for _, c := range list {
		if c.changesUpstreams() {
			if open == nil {
				open = v.cloneForUpdate()
				v = open
			}
			open.updateUpstreams(c, now)
			continue
		}
		open = nil
		next, err := v.Apply(c, now)
		if err != nil {
			return v, err
		}
		v = next
	}
	return v, nil
}

// changesUpstreams reports whether the command announces, removes or expires
// upstreams.
func (c *Command) changesUpstreams() bool {
	return c.Edit == nil && len(c.Announce)+len(c.Remove)+len(c.Expire) > 0
}

// updateUpstreams applies announcements, removals, expirations and crashes to a view made
// by cloneForUpdate.
func (v *View) updateUpstreams(c *Command, now time.Time) {
	for i := range c.Announce {
		v.addUpstream(&c.Announce[i], now)
	}
	for _, ref := range c.Remove {
		v.removeUpstream(ref)
	}
	for _, ref := range c.Expire {
		v.expireUpstream(ref)
	}
	if len(c.Suspect) > 0 {
		v.suspects = v.suspects.Apply(c.Suspect, now)
	}
	v.revision++
}

// addUpstream adds or updates an announced upstream, unless the announcement is
// stale.
func (v *View) addUpstream(a *Announcement, now time.Time) {
	if v.Stale(&a.Upstream) {
		return
	}
	u := newUpstream(a, 0, now)
	old := v.upstreams[a.ID]
	if old != nil && old.Incarnation == a.Incarnation {
		u.ShortID = old.ShortID
		// Announcements of several control instances may come in another order than
		// the heartbeats. The latest known end of a warm-up holds.
		if old.WarmupUntil.After(u.WarmupUntil) {
			u.WarmupUntil = old.WarmupUntil
		}
		// Draining is final within an incarnation.
		if old.Phase == corianderwing.Draining {
			u.Phase = corianderwing.Draining
		}
	} else {
		v.lastShortID++
		u.ShortID = v.lastShortID
	}
	for id, other := range v.upstreams {
		if id != a.ID && other.Addr == a.Addr {
			v.removeUpstream(UpstreamRef{ID: id, Incarnation: other.Incarnation})
		}
	}
	v.upstreams[a.ID] = u
	if _, ok := v.currentVersions[a.Pool]; !ok {
		v.currentVersions = maps.Clone(v.currentVersions)
		v.currentVersions[a.Pool] = a.Version
	}
}

// Stale reports whether an announcement is outdated: it comes from an earlier
// incarnation of the upstream, from one that was removed, or from a previous
// owner of an address that a newer upstream now has.
func (v *View) Stale(a *corianderwing.Upstream) bool {
	if old, ok := v.upstreams[a.ID]; ok && old.Incarnation > a.Incarnation {
		return true
	}
	if v.tombstones.covers(a.ID, a.Incarnation) {
		return true
	}
	for id, other := range v.upstreams {
		if id != a.ID && other.Addr == a.Addr && other.Incarnation > a.Incarnation {
			return true
		}
	}
	return false
}

// expireUpstream removes a silent upstream, unless another incarnation of it has been
// announced. One that was ready may return. One that drains must not, although it may
// have begun to after the leader had decided on the command.
func (v *View) expireUpstream(ref UpstreamRef) {
	u, ok := v.upstreams[ref.ID]
	switch {
	case !ok || u.Incarnation != ref.Incarnation:
	case u.Phase == corianderwing.Draining:
		v.removeUpstream(ref)
	default:
		delete(v.upstreams, ref.ID)
		v.expired = v.expired.add(ref)
	}
}

// removeUpstream removes an upstream and records a tombstone, unless a later
// incarnation of it has been announced.
func (v *View) removeUpstream(ref UpstreamRef) {
	if u, ok := v.upstreams[ref.ID]; ok {
		if u.Incarnation > ref.Incarnation {
			return
		}
		delete(v.upstreams, ref.ID)
	}
	v.tombstones = v.tombstones.add(ref)
}

func (v *View) setEvacuated(e Evacuation, now time.Time) *View {
	if v.evacuated[e.Domain] == e.On {
		return v
	}
	n := *v
	n.evacuated = maps.Clone(v.evacuated)
	if e.On {
		n.evacuated[e.Domain] = true
	} else {
		delete(n.evacuated, e.Domain)
		n.upstreams = v.presumedCold(e.Domain, now)
		n.byPool = &poolIndex{}
	}
	n.revision++
	return &n
}

// presumedCold returns the upstreams, with those of a failure domain at the start of
// their warm-up that are not known to be cold. They may have become cold shortly before
// its evacuation ends, and the heartbeats that say so are not ordered with the end.
func (v *View) presumedCold(d corianderwing.DomainID, now time.Time) map[corianderwing.UpstreamID]*Upstream {
	list := maps.Clone(v.upstreams)
	for id, u := range list {
		pool, ok := v.items.Pool(u.Pool)
		if u.Domain != d || !ok || u.WarmupUntil.After(now) {
			continue
		}
		cold := *u
		cold.WarmupUntil = pool.Warmup.After(now)
		list[id] = &cold
	}
	return list
}

// moveResendWindow is how long after a move started the same order is treated as
// a duplicate even though the move was rolled back.
const moveResendWindow = 10 * time.Second

// startMove starts a version move. A repeated order for the same version changes
// nothing, unless its move was rolled back and moveResendWindow has passed. A move
// to another version may start only after the previous move has ended.
func (v *View) startMove(m corianderwing.Move) (*View, error) {
	if m.Pool == "" || m.To == "" {
		return v, corianderwing.Errorf(corianderwing.InvalidInput, "a move needs a pool and a version")
	}
	last, ok := v.moves[m.Pool]
	if ok && last.To == m.To && (last.Outcome != corianderwing.RolledBack || m.Start.Sub(last.Start) < moveResendWindow) {
		return v, nil
	}
	if ok && last.Outcome == corianderwing.Moving {
		return v, corianderwing.Errorf(corianderwing.RevisionConflict, "pool %s is moving to version %s", m.Pool, last.To)
	}
	m.Outcome, m.Evidence = corianderwing.Moving, ""
	return v.withMove(m), nil
}

// endMove records the outcome of the move in progress.
func (v *View) endMove(m corianderwing.Move) *View {
	last, ok := v.moves[m.Pool]
	if !ok || last.ID != m.ID || last.Outcome != corianderwing.Moving {
		return v
	}
	last.Outcome, last.Evidence = m.Outcome, m.Evidence
	n := v.withMove(last)
	if m.Outcome == corianderwing.Done {
		n.currentVersions = maps.Clone(v.currentVersions)
		n.currentVersions[m.Pool] = last.To
	}
	return n
}

func (v *View) withMove(m corianderwing.Move) *View {
	n := *v
	n.moves = maps.Clone(v.moves)
	n.moves[m.Pool] = m
	n.revision++
	return &n
}
