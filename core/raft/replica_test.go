package raft

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"corianderwing"
)

// replica is one simulated node with its disk, clock and state machine.
type replica struct {
	s                *sim
	id               corianderwing.InstanceID
	node             *Node // nil while it is down
	incarnation      int
	lost             bool // its disk is lost; the replica does not return under this id
	clockRate        float64
	disk             corianderwing.StoredState
	busyUntil        time.Time // the disk is writing or the process is paused until then
	writing          *Effects  // effects that are being written to disk, or nil
	tick             time.Time
	snapshotInterval corianderwing.Index

	applied  corianderwing.Index
	state    [2]string // the values appended to each of the two keys
	calls    map[uint64]func(out string, ok, known bool)
	accepted map[corianderwing.Index]Accepted
	nextID   uint64
}

func (r *replica) clock() time.Time {
	return epoch.Add(time.Duration(float64(r.s.now.Sub(epoch)) * r.clockRate))
}

func (r *replica) start() {
	cfg := Config{Group: "g", Self: r.id, InitialMembership: r.s.membership, Seed: r.s.rng.Uint64(), TrailingEntries: 1 + r.s.rng.IntN(8), MaxBatch: 1 + r.s.rng.IntN(4)}
	cfg.OnViolation = func(what string) { r.s.fail("invariant violated: %s", what) }
	n, err := New(cfg, corianderwing.StoredState{Vote: r.disk.Vote, Snapshot: r.disk.Snapshot, Entries: slices.Clone(r.disk.Entries)}, r.clock())
	if err != nil {
		r.s.fail("start: %v", err)
		return
	}
	n.disabled = r.s.disabled.disabledRules
	r.node, r.tick = n, time.Time{}
	r.calls, r.accepted = map[uint64]func(string, bool, bool){}, map[corianderwing.Index]Accepted{}
	r.restore(r.disk.Snapshot)
	r.s.log("%s starts: vote %v, snapshot %d, last entry %d", r.id, r.disk.Vote, r.disk.Snapshot.Index, n.log.lastIndex())
	r.schedule()
}

func (r *replica) restore(snap corianderwing.Snapshot) {
	r.state, r.applied = [2]string{}, snap.Index
	if snap.Index > 0 {
		if err := json.Unmarshal(snap.Data, &r.state); err != nil {
			r.s.fail("%s restores snapshot %d: %v", r.id, snap.Index, err)
		}
	}
}

// crash stops the process and loses what is not synced. A write in progress may
// have reached the disk in part.
func (r *replica) crash() {
	if r.node == nil {
		return
	}
	r.s.log("%s crashes", r.id)
	if r.writing != nil {
		r.store(*r.writing, r.s.rng.IntN(4), r.s.rng.IntN(1+len(r.writing.Entries)))
	}
	r.node, r.writing, r.busyUntil = nil, nil, time.Time{}
	r.incarnation++
	for _, id := range slices.Sorted(maps.Keys(r.calls)) {
		r.reply(id, "", false, false)
	}
}

// store performs the first ops disk operations (vote, snapshot, entries), and
// writes the first part entries only.
func (r *replica) store(e Effects, ops, part int) {
	if e.Vote != nil && ops > 0 {
		r.disk.Vote = *e.Vote
		if r.s.disabled.forgetVote {
			r.disk.Vote.Candidate = ""
		}
	}
	if e.Snapshot != nil && ops > 1 {
		keep := memLog{prev: r.disk.Snapshot.Index, prevTerm: r.disk.Snapshot.Term, entries: r.disk.Entries}
		r.disk.Entries = nil
		if keep.matches(e.Snapshot.Index, e.Snapshot.Term) {
			r.disk.Entries = slices.Clone(keep.slice(e.Snapshot.Index, keep.lastIndex()))
		}
		r.disk.Snapshot = *e.Snapshot
	}
	if len(e.Entries) > 0 && ops > 2 {
		keep := e.Entries[0].Index - r.disk.Snapshot.Index - 1
		if keep > corianderwing.Index(len(r.disk.Entries)) {
			r.s.fail("%s appends entry %d to a log that ends at %d", r.id, e.Entries[0].Index, r.disk.Snapshot.Index+corianderwing.Index(len(r.disk.Entries)))
			return
		}
		r.disk.Entries = append(r.disk.Entries[:keep:keep], e.Entries[:part]...)
	}
}

// deliver passes an event to the node once the disk write or pause has ended.
func (r *replica) deliver(ev Event) {
	if r.node == nil {
		return
	}
	if r.writing != nil || r.busyUntil.After(r.s.now) {
		life := r.incarnation
		r.s.after(max(time.Microsecond, r.busyUntil.Sub(r.s.now)), func() {
			if r.incarnation == life {
				r.deliver(ev)
			}
		})
		return
	}
	r.step(ev)
}

func (r *replica) step(ev Event) {
	if m, ok := ev.(Received); ok && r.s.tracing {
		r.s.log("%s <- %s %s", r.id, m.Message.From, brief(m.Message))
	}
	before := r.node.commit
	e := r.node.Step(r.clock(), ev)
	if r.node.commit < before {
		r.s.fail("%s: commit index went back from %d to %d", r.id, before, r.node.commit)
	}
	r.s.transmit(e.Immediate)
	if r.s.disabled.replyBeforeSync {
		r.s.transmit(e.Messages)
		e.Messages = nil
	}
	if e.Vote == nil && e.Snapshot == nil && len(e.Entries) == 0 {
		r.finish(e)
		return
	}
	r.writing = &e
	if r.s.rng.Float64() < r.s.crashes {
		r.crash()
		r.s.after(r.s.downtime(), r.revive)
		return
	}
	d := r.s.randomDuration(3 * time.Millisecond)
	if r.s.crashes > 0 && r.s.rng.IntN(100) == 0 {
		d = r.s.randomDuration(time.Second)
	}
	r.busyUntil = r.s.now.Add(d)
	r.complete(e, r.incarnation)
}

// complete waits for the end of the disk write and of a pause.
func (r *replica) complete(e Effects, life int) {
	r.s.after(r.busyUntil.Sub(r.s.now), func() {
		switch {
		case r.incarnation != life:
		case r.busyUntil.After(r.s.now):
			r.complete(e, life)
		default:
			r.store(e, 3, len(e.Entries))
			r.writing = nil
			r.finish(e)
		}
	})
}

func (r *replica) revive() {
	if r.node == nil && !r.lost {
		r.start()
	}
}

// finish carries out the effects that require a completed disk write.
func (r *replica) finish(e Effects) {
	r.s.transmit(e.Messages)
	if e.Restore {
		r.restore(*e.Snapshot)
	}
	r.role(e.RoleChange)
	for _, a := range e.Accepted {
		r.accepted[a.Index] = a
	}
	for _, c := range e.Committed {
		r.apply(c)
	}
	for _, f := range e.Rejected {
		r.reply(f.ID, "", false, f.Err.Code != corianderwing.NoQuorum)
	}
	for _, read := range e.Reads {
		if r.applied < read.Index {
			r.s.fail("%s: read at %d before it is applied", r.id, read.Index)
		}
		r.reply(read.ID, strings.Join(r.state[:], "|"), true, true)
	}
	if k := len(e.Entries); k > 0 && r.node != nil {
		r.step(Persisted{e.Entries[k-1].Index, e.Entries[k-1].Term})
	}
	if r.node != nil && r.writing == nil && r.applied >= r.node.snapshot.Index+r.snapshotInterval {
		data, _ := json.Marshal(r.state)
		r.step(Compacted{r.applied, data})
	}
	r.schedule()
}

func (r *replica) role(c *RoleChange) {
	if c == nil {
		return
	}
	r.s.log("%s is %s in term %d, leader %s", r.id, c.Role, c.Term, c.Leader)
	if c.Role != Leader {
		return
	}
	if other, ok := r.s.leaders[c.Term]; ok && other != r.id {
		r.s.fail("term %d has leaders %s and %s", c.Term, other, r.id)
	}
	r.s.leaders[c.Term] = r.id
}

func (r *replica) apply(e corianderwing.Entry) {
	if old, ok := r.s.committed[e.Index]; ok && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
		r.s.fail("%s: entry %d was committed as term %d %q and now as term %d %q", r.id, e.Index, old.Term, old.Data, e.Term, e.Data)
	}
	r.s.committed[e.Index] = e
	if e.Index != r.applied+1 {
		r.s.fail("%s applies entry %d after %d", r.id, e.Index, r.applied)
	}
	r.applied = e.Index
	if e.Kind == corianderwing.EntryData {
		r.state[e.Data[0]-'0'] += string(e.Data[1:]) + ","
	}
	if a, ok := r.accepted[e.Index]; ok {
		delete(r.accepted, e.Index)
		r.reply(a.ID, "", a.Term == e.Term, true)
	}
}

func (r *replica) reply(id uint64, out string, ok, known bool) {
	if done := r.calls[id]; done != nil {
		delete(r.calls, id)
		done(out, ok, known)
	}
}

// call registers a callback and returns its id. ok reports that the operation was
// done, known that the outcome is certain.
func (r *replica) call(done func(out string, ok, known bool)) uint64 {
	r.nextID++
	r.calls[r.nextID] = done
	return r.nextID
}

func (r *replica) schedule() {
	if r.node == nil || r.node.NextTick().Equal(r.tick) {
		return
	}
	r.tick = r.node.NextTick()
	tick, life := r.tick, r.incarnation
	at := epoch.Add(time.Duration(float64(tick.Sub(epoch))/r.clockRate) + time.Microsecond)
	r.s.after(max(0, at.Sub(r.s.now)), func() {
		if r.incarnation == life && r.tick.Equal(tick) {
			r.tick = time.Time{}
			r.deliver(Tick{})
		}
	})
}
