package raft

import "corianderwing"

// onLeaderMessage handles an Append or InstallSnapshot after checking that it
// comes from the leader of this term.
func (n *Node) onLeaderMessage(m Message) {
	if m.Term < n.vote.Term {
		n.send(Message{Kind: AppendReply, To: m.From, Reject: true, Index: m.Index})
		return
	}
	if n.role == Leader || n.leader != "" && n.leader != m.From {
		n.reportViolation("term %d has two leaders, %s and %s", m.Term, n.leader, m.From)
		return
	}
	if n.role != Follower || n.leader == "" {
		n.follow(m.Term, m.From)
	}
	n.leaderContact = n.now
	n.resetElectionTimer()
	if m.Kind == InstallSnapshot {
		n.onInstall(m)
		return
	}
	n.onAppend(m)
}

func (n *Node) onAppend(m Message) {
	reply := Message{Kind: AppendReply, To: m.From, Round: m.Round}
	switch {
	case m.Index < n.commit:
		if !n.preservesCommitted(m.Entries) {
			return
		}
		reply.Index = n.commit
	case n.log.matches(m.Index, m.LogTerm):
		if !n.appendMissing(m.Entries) {
			return
		}
		reply.Index = m.Index + corianderwing.Index(len(m.Entries))
		n.advanceCommit(min(m.Commit, reply.Index))
	default:
		reply.Reject, reply.Index = true, m.Index
		reply.Hint = n.log.findConflictByTerm(m.Index, m.LogTerm)
		reply.HintTerm, _ = n.log.term(reply.Hint)
	}
	n.send(reply)
}

// preservesCommitted reports whether the entries agree with the local committed
// ones.
func (n *Node) preservesCommitted(entries []corianderwing.Entry) bool {
	for _, e := range entries {
		if own, ok := n.log.term(e.Index); ok && e.Index <= n.commit && own != e.Term {
			n.reportViolation("committed entry %d of term %d would be replaced by an entry of term %d", e.Index, own, e.Term)
			return false
		}
	}
	return true
}

// appendMissing appends the entries that the log lacks. It first truncates the
// log at the first conflicting entry.
func (n *Node) appendMissing(entries []corianderwing.Entry) bool {
	for k, e := range entries {
		own, ok := n.log.term(e.Index)
		if ok && own == e.Term {
			continue
		}
		if ok {
			if !n.preservesCommitted(entries[k:]) {
				return false
			}
			n.log.truncate(e.Index)
			n.memberships.truncate(e.Index)
			n.synced = min(n.synced, e.Index-1)
		}
		n.effects.Entries = entries[k:]
		for _, e := range entries[k:] {
			if err := n.appendEntry(e); err != nil {
				n.reportViolation("%v", err)
				return false
			}
		}
		break
	}
	return true
}

// advanceCommit raises the commit index. A smaller index comes from an outdated
// message and is ignored.
func (n *Node) advanceCommit(to corianderwing.Index) {
	if to <= n.commit {
		return
	}
	if to > n.log.lastIndex() {
		n.reportViolation("commit index %d is beyond the last entry %d", to, n.log.lastIndex())
		return
	}
	n.commit = to
}

func (n *Node) onInstall(m Message) {
	s := *m.Snapshot
	switch {
	case s.Index <= n.commit:
	case n.log.matches(s.Index, s.Term):
		n.advanceCommit(s.Index)
	default:
		n.log = memLog{prev: s.Index, prevTerm: s.Term}
		n.memberships.reset(s.Index, s.Voters)
		n.snapshot = s
		n.commit, n.emittedCommit, n.synced = s.Index, s.Index, s.Index
		n.effects.Snapshot, n.effects.Restore = &s, true
	}
	n.send(Message{Kind: AppendReply, To: m.From, Index: n.commit, Round: m.Round})
}

// persisted records which local entries are on disk. Entries that have been
// replaced in the meantime do not count.
func (n *Node) persisted(ev Persisted) {
	if ev.Index <= n.synced || !n.log.matches(ev.Index, ev.Term) {
		return
	}
	n.synced = ev.Index
	if n.role == Leader {
		n.tryCommit()
	}
}

// compacted records a snapshot at ev.Index and discards the log before its
// trailing entries.
func (n *Node) compacted(ev Compacted) {
	if ev.Index <= n.snapshot.Index {
		return
	}
	t, ok := n.log.term(ev.Index)
	if !ok || ev.Index > n.emittedCommit {
		n.reportViolation("snapshot index %d is not in the log or beyond the commit index %d", ev.Index, n.commit)
		return
	}
	n.snapshot = corianderwing.Snapshot{Index: ev.Index, Term: t, Voters: n.memberships.at(ev.Index), Data: ev.Data}
	s := n.snapshot
	n.effects.Snapshot = &s
	n.memberships.compact(ev.Index)
	if keep := corianderwing.Index(n.cfg.TrailingEntries); ev.Index > keep {
		n.log.compact(ev.Index - keep)
	}
}
