package group

import (
	"time"

	"github.com/rotisserie/eris"

	"corianderwing"
	"corianderwing/core/raft"
)

// pending holds effects of the raft node that are not carried out yet.
type pending struct {
	vote      *corianderwing.Vote
	entries   []corianderwing.Entry
	messages  []raft.Message
	committed []corianderwing.Entry
	accepted  []raft.Accepted
	refused   []raft.Rejected
	reads     []raft.Read
	change    *raft.RoleChange
}

func (p *pending) empty() bool {
	return p.vote == nil && p.change == nil && len(p.entries)+len(p.messages)+len(p.committed)+len(p.accepted)+len(p.refused)+len(p.reads) == 0
}

func (g *Group) loop() {
	defer close(g.done)
	defer g.endCalls()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-g.wake:
		case <-timer.C:
		}
		if err := g.processInbox(g.takeInbox()); err != nil {
			g.stopErr = err
			g.publish()
			g.cfg.Logger.Error().Str("group", string(g.cfg.Group)).Err(err).Msg("the replica stopped on an error")
			return
		}
		g.publish()
		timer.Reset(time.Until(g.node.NextTick()))
	}
}

// processInbox handles the queued messages and calls. All proposals among them
// share one sync. Messages are processed before timeouts, so that a heartbeat
// that arrived while the loop was busy prevents an election.
func (g *Group) processInbox(in inbox) error {
	for _, m := range in.messages {
		if err := g.step(raft.Received{Message: m}); err != nil {
			return err
		}
	}
	for _, ev := range g.events(in.calls) {
		if err := g.step(ev); err != nil {
			return err
		}
	}
	if !time.Now().Before(g.node.NextTick()) {
		if err := g.step(raft.Tick{}); err != nil {
			return err
		}
	}
	if err := g.flush(); err != nil {
		return err
	}
	return g.compact()
}

// events batches calls into as few raft events as possible.
func (g *Group) events(calls []*call) []raft.Event {
	var proposals []raft.Proposal
	var reads []uint64
	var list []raft.Event
	for _, c := range calls {
		id, ok := g.register(c)
		if !ok {
			continue
		}
		switch c.kind {
		case callPropose:
			proposals = append(proposals, raft.Proposal{ID: id, Data: c.data})
		case callRead:
			reads = append(reads, id)
		case callChange:
			list = append(list, raft.ChangeMembership{ID: id, Change: c.change})
		case callTransfer:
			list = append(list, raft.TransferLeadership{ID: id})
		}
	}
	if len(reads) > 0 {
		list = append(list, raft.ReadIndex{IDs: reads})
	}
	if len(proposals) > 0 {
		list = append([]raft.Event{raft.Propose{Proposals: proposals}}, list...)
	}
	return list
}

func (g *Group) step(ev raft.Event) error {
	return g.addEffects(g.node.Step(time.Now(), ev))
}

// addEffects adds the effects of one step to the pending ones. A snapshot
// replaces entries and state, so earlier effects are carried out first.
func (g *Group) addEffects(e raft.Effects) error {
	if e.Snapshot != nil {
		if err := g.flush(); err != nil {
			return err
		}
	}
	p := &g.pending
	if e.Vote != nil {
		p.vote = e.Vote
	}
	if p.vote == nil {
		g.send(e.Immediate)
	} else {
		p.messages = append(p.messages, e.Immediate...)
	}
	if e.Snapshot != nil {
		if err := g.saveSnapshot(e); err != nil {
			return err
		}
	}
	p.entries = mergeEntries(p.entries, e.Entries)
	p.messages = append(p.messages, e.Messages...)
	p.committed = append(p.committed, e.Committed...)
	p.accepted = append(p.accepted, e.Accepted...)
	p.refused = append(p.refused, e.Rejected...)
	p.reads = append(p.reads, e.Reads...)
	if e.RoleChange != nil {
		p.change = e.RoleChange
	}
	return nil
}

// mergeEntries appends entries to old and drops those of old that they replace.
func mergeEntries(old, add []corianderwing.Entry) []corianderwing.Entry {
	if len(add) == 0 {
		return old
	}
	for len(old) > 0 && old[len(old)-1].Index >= add[0].Index {
		old = old[:len(old)-1]
	}
	return append(old, add...)
}

func (g *Group) saveSnapshot(e raft.Effects) error {
	if g.pending.vote != nil {
		if err := g.store.SaveVote(*g.pending.vote); err != nil {
			return eris.Wrap(err, "saving the vote")
		}
		g.pending.vote = nil
	}
	if e.Restore {
		// Before it is stored: this replica could never start again with a snapshot
		// that the machine cannot decode.
		if err := g.machine.Restore(e.Snapshot.Data); err != nil {
			return eris.Wrap(err, "restoring the machine")
		}
	}
	if err := g.store.SaveSnapshot(*e.Snapshot); err != nil {
		return eris.Wrap(err, "saving the snapshot")
	}
	g.snapshotIndex = e.Snapshot.Index
	if !e.Restore {
		return nil
	}
	g.applied = e.Snapshot.Index
	for i, c := range g.logged {
		if i <= g.applied {
			delete(g.logged, i)
			g.complete(c.id, errorReply(corianderwing.NoQuorum, "a snapshot replaced the entry"))
		}
	}
	return nil
}

// flush carries out all pending effects in order: disk writes, messages, the
// state machine, replies.
func (g *Group) flush() error {
	for !g.pending.empty() {
		p := g.pending
		g.pending = pending{}
		if p.vote != nil {
			if err := g.store.SaveVote(*p.vote); err != nil {
				return eris.Wrap(err, "saving the vote")
			}
		}
		if err := g.store.Append(p.entries); err != nil {
			return eris.Wrap(err, "appending to the log")
		}
		g.send(p.messages)
		g.recordAccepted(p.accepted)
		if k := len(p.entries); k > 0 {
			last := p.entries[k-1]
			if err := g.step(raft.Persisted{Index: last.Index, Term: last.Term}); err != nil {
				return err
			}
		}
		g.apply(p.committed)
		g.completeUnlogged(p)
		g.deliverReplies()
	}
	return nil
}

func (g *Group) send(list []raft.Message) {
	for _, m := range list {
		g.sender.Send(m.To, m)
	}
}

func (g *Group) recordAccepted(list []raft.Accepted) {
	for _, a := range list {
		if old, ok := g.logged[a.Index]; ok {
			g.complete(old.id, errorReply(corianderwing.NoLeader, "another leader's entry replaced the command"))
		}
		g.logged[a.Index] = loggedCall{a.ID, a.Term}
	}
}

// apply applies committed commands to the machine and completes their calls.
func (g *Group) apply(list []corianderwing.Entry) {
	for _, e := range list {
		if e.Index != g.applied+1 {
			g.cfg.Logger.Error().Uint64("index", uint64(e.Index)).Uint64("applied", uint64(g.applied)).Msg("a committed entry is out of order")
			if g.cfg.OnViolation != nil {
				g.cfg.OnViolation("a committed entry is out of order")
			}
			continue
		}
		r := reply{index: e.Index}
		if e.Kind == corianderwing.EntryData {
			r.data = g.machine.Apply(e.Index, e.Data)
		}
		g.applied = e.Index
		if c, ok := g.logged[e.Index]; ok {
			delete(g.logged, e.Index)
			if c.term != e.Term {
				r = errorReply(corianderwing.NoLeader, "another leader's entry replaced the command")
			}
			g.complete(c.id, r)
		}
	}
}

// completeUnlogged completes rejected calls and reads, and reports a change of
// role. If this replica no longer leads, it also completes the calls that waited
// for a commit or a transfer.
func (g *Group) completeUnlogged(p pending) {
	for _, r := range p.refused {
		g.complete(r.ID, reply{err: r.Err})
	}
	for _, r := range p.reads {
		g.complete(r.ID, reply{index: r.Index})
	}
	if p.change == nil {
		return
	}
	g.cfg.Logger.Info().Str("group", string(g.cfg.Group)).Str("role", p.change.Role.String()).
		Str("leader", string(p.change.Leader)).Uint64("term", uint64(p.change.Term)).Msg("role changed")
	if g.onRoleChange != nil {
		g.publish()
		g.onRoleChange(*p.change)
	}
	if p.change.Role == raft.Leader {
		return
	}
	for i, c := range g.logged {
		delete(g.logged, i)
		g.complete(c.id, errorReply(corianderwing.NoQuorum, "leadership was lost before the outcome was known"))
	}
	for id, c := range g.calls {
		if c.kind == callTransfer {
			g.complete(id, reply{})
		}
	}
}

// compact saves the machine in a snapshot and compacts the log once
// snapshotEvery entries have been applied since the last snapshot.
func (g *Group) compact() error {
	if g.snapshotEvery <= 0 || g.applied < g.snapshotIndex+g.snapshotEvery {
		return nil
	}
	data, err := g.machine.Save()
	if err != nil {
		return eris.Wrap(err, "saving the machine")
	}
	if err := g.step(raft.Compacted{Index: g.applied, Data: data}); err != nil {
		return err
	}
	return g.flush()
}
