package raft

import (
	"encoding/json"
	"time"

	"corianderwing"
)

// changeVoters appends a new membership. Memberships that differ by one voter
// have overlapping majorities, so only one change may be under way, and only
// after an entry of this term is committed.
func (n *Node) changeVoters(ev ChangeMembership) {
	if n.role != Leader || n.lead.to != "" {
		n.refuse(ev.ID, corianderwing.NoLeader, "this replica does not lead")
		return
	}
	if n.commit < n.lead.start || n.hist.lastIndex() > n.commit {
		n.refuse(ev.ID, corianderwing.RevisionConflict, "an earlier entry or membership change is not committed yet")
		return
	}
	next, err := ev.Change.apply(n.hist.now())
	if err != nil {
		n.eff.Rejected = append(n.eff.Rejected, Rejected{ev.ID, err})
		return
	}
	if ev.Change.Op == Promote && n.lead.peers[ev.Change.Instance].match+promoteLag < n.log.last() {
		n.refuse(ev.ID, corianderwing.InvalidChange, "the learner has not caught up")
		return
	}
	data, jsonErr := json.Marshal(next)
	if jsonErr != nil {
		n.refuse(ev.ID, corianderwing.InvalidChange, jsonErr.Error())
		return
	}
	i := n.appendOwn(corianderwing.EntryVoters, data)
	n.eff.Accepted = append(n.eff.Accepted, Accepted{ev.ID, i, n.vote.Term})
	n.syncPeers()
	n.broadcast()
}

// startTransfer stops proposals and hands leadership over once the target has
// the whole log. It is refused if this replica still leads after the shortest
// election timeout.
func (n *Node) startTransfer(ev TransferLeadership) {
	if n.role != Leader {
		n.refuse(ev.ID, corianderwing.NoLeader, "this replica does not lead")
		return
	}
	if n.lead.to != "" {
		n.refuse(ev.ID, corianderwing.RevisionConflict, "another transfer is under way")
		return
	}
	to := ev.To
	if to == "" {
		to = n.bestVoter()
	}
	if to == n.cfg.Self || !isVoter(n.hist.now(), to) {
		n.refuse(ev.ID, corianderwing.InvalidChange, "there is no other voter to transfer to")
		return
	}
	n.lead.to, n.lead.toID, n.lead.toUntil = to, ev.ID, n.now.Add(n.cfg.ElectionTimeout)
	if n.lead.peers[to].match == n.log.last() {
		n.send(Message{Kind: TimeoutNow, To: to})
		return
	}
	n.replicate(to, true)
}

// bestVoter returns the other voter with the longest matching log, or "".
func (n *Node) bestVoter() corianderwing.InstanceID {
	var best corianderwing.InstanceID
	for _, id := range n.hist.now().Voters {
		if id == n.cfg.Self {
			continue
		}
		if best == "" || n.lead.peers[id].match > n.lead.peers[best].match {
			best = id
		}
	}
	return best
}

// leave ends the leadership of a replica that was removed from the group.
func (n *Node) leave() {
	if to := n.bestVoter(); to != "" {
		n.send(Message{Kind: TimeoutNow, To: to})
	}
	n.follow(n.vote.Term, "")
}

// Role returns this replica's role, the leader if known, and the term.
func (n *Node) Role() RoleChange { return RoleChange{n.role, n.leader, n.vote.Term} }

// CommitIndex returns the commit index.
func (n *Node) CommitIndex() corianderwing.Index { return n.commit }

// LastIndex returns the index of the last entry.
func (n *Node) LastIndex() corianderwing.Index { return n.log.last() }

// Snapshot returns the last snapshot.
func (n *Node) Snapshot() corianderwing.Snapshot { return n.snap }

// Membership returns the membership in force.
func (n *Node) Membership() corianderwing.Membership { return n.hist.now() }

// MatchIndex returns up to which entry a member's log is known to match. Only the
// leader knows it for others.
func (n *Node) MatchIndex(id corianderwing.InstanceID) corianderwing.Index {
	if id == n.cfg.Self {
		return n.synced
	}
	if p := n.lead.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// LastContact returns when this leader last heard from a member, zero if it does not
// lead or does not know the member.
func (n *Node) LastContact(id corianderwing.InstanceID) time.Time {
	if n.role == Leader && id == n.cfg.Self {
		return n.now
	}
	if p := n.lead.peers[id]; p != nil {
		return p.heard
	}
	return time.Time{}
}
