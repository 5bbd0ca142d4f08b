package group

import (
	"time"

	"github.com/rotisserie/eris"

	"corianderwing"
	"corianderwing/core/raft"
)

// pending is what has been decided and not yet carried out.
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
		case <-g.work:
		case <-timer.C:
		}
		if err := g.turn(g.take()); err != nil {
			g.failed = err
			g.publish()
			g.cfg.Logger.Error().Str("group", string(g.cfg.Group)).Err(err).Msg("the replica stopped")
			return
		}
		g.publish()
		timer.Reset(time.Until(g.node.NextTick()))
	}
}

// turn handles everything that waits. All proposals of a turn share one sync.
// Messages come before the clock, so that a heartbeat that arrived while the
// loop was busy prevents an election.
func (g *Group) turn(in inbox) error {
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

// events turns calls into as few events as possible.
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
	return g.absorb(g.node.Step(time.Now(), ev))
}

// absorb adds the effects of one step to those that are pending. A snapshot
// replaces entries and state, so what came before it is carried out first.
func (g *Group) absorb(e raft.Effects) error {
	if e.Snapshot != nil {
		if err := g.flush(); err != nil {
			return err
		}
	}
	p := &g.pend
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
	p.entries = merge(p.entries, e.Entries)
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

// merge appends entries that may replace the end of those before them.
func merge(old, add []corianderwing.Entry) []corianderwing.Entry {
	if len(add) == 0 {
		return old
	}
	for len(old) > 0 && old[len(old)-1].Index >= add[0].Index {
		old = old[:len(old)-1]
	}
	return append(old, add...)
}

func (g *Group) saveSnapshot(e raft.Effects) error {
	if g.pend.vote != nil {
		if err := g.store.SaveVote(*g.pend.vote); err != nil {
			return eris.Wrap(err, "saving the vote")
		}
		g.pend.vote = nil
	}
	if err := g.store.SaveSnapshot(*e.Snapshot); err != nil {
		return eris.Wrap(err, "saving the snapshot")
	}
	g.saved = e.Snapshot.Index
	if !e.Restore {
		return nil
	}
	if err := g.machine.Restore(e.Snapshot.Data); err != nil {
		return eris.Wrap(err, "restoring the machine")
	}
	g.applied = e.Snapshot.Index
	for i, c := range g.placed {
		if i <= g.applied {
			delete(g.placed, i)
			g.answer(c.id, failed(corianderwing.NoQuorum, "a snapshot replaced the entry"))
		}
	}
	return nil
}

// flush carries out everything that is pending: first the disk, then messages,
// machine and answers.
func (g *Group) flush() error {
	for !g.pend.empty() {
		p := g.pend
		g.pend = pending{}
		if p.vote != nil {
			if err := g.store.SaveVote(*p.vote); err != nil {
				return eris.Wrap(err, "saving the vote")
			}
		}
		if err := g.store.Append(p.entries); err != nil {
			return eris.Wrap(err, "appending to the log")
		}
		g.send(p.messages)
		g.place(p.accepted)
		if k := len(p.entries); k > 0 {
			last := p.entries[k-1]
			if err := g.step(raft.Persisted{Index: last.Index, Term: last.Term}); err != nil {
				return err
			}
		}
		g.apply(p.committed)
		g.reply(p)
		g.deliver()
	}
	return nil
}

func (g *Group) send(list []raft.Message) {
	for _, m := range list {
		g.sender.Send(m.To, m)
	}
}

func (g *Group) place(list []raft.Accepted) {
	for _, a := range list {
		if old, ok := g.placed[a.Index]; ok {
			g.answer(old.id, failed(corianderwing.NoLeader, "another leader's entry replaced the command"))
		}
		g.placed[a.Index] = placed{a.ID, a.Term}
	}
}

// apply hands committed commands to the machine and answers their callers.
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
		if c, ok := g.placed[e.Index]; ok {
			delete(g.placed, e.Index)
			if c.term != e.Term {
				r = failed(corianderwing.NoLeader, "another leader's entry replaced the command")
			}
			g.answer(c.id, r)
		}
	}
}

// reply answers the callers that need no commit.
func (g *Group) reply(p pending) {
	for _, r := range p.refused {
		g.answer(r.ID, reply{err: r.Err})
	}
	for _, r := range p.reads {
		g.answer(r.ID, reply{index: r.Index})
	}
	if p.change == nil {
		return
	}
	g.cfg.Logger.Info().Str("group", string(g.cfg.Group)).Str("role", p.change.Role.String()).
		Str("leader", string(p.change.Leader)).Uint64("term", uint64(p.change.Term)).Msg("role changed")
	if g.changed != nil {
		g.publish()
		g.changed(*p.change)
	}
	if p.change.Role == raft.Leader {
		return
	}
	for i, c := range g.placed {
		delete(g.placed, i)
		g.answer(c.id, failed(corianderwing.NoQuorum, "leadership was lost before the outcome was known"))
	}
	for id, c := range g.calls {
		if c.kind == callTransfer {
			g.answer(id, reply{})
		}
	}
}

// compact saves the machine and drops the log once enough entries are applied.
func (g *Group) compact() error {
	if g.every <= 0 || g.applied < g.saved+g.every {
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
