package raft

import (
	"encoding/json"
	"time"

	"corianderwing"
)

// changeMembership appends a new membership. Majorities are certain to overlap
// only between memberships that differ by one voter, so one change at a time may
// be pending, and only after an entry of this term is committed.
func (n *Node) changeMembership(ev ChangeMembership) {
	if n.role != Leader || n.leading.transferTo != "" {
		n.reject(ev.ID, corianderwing.NoLeader, "this replica is not the leader")
		return
	}
	if n.commit < n.leading.termStart || n.memberships.lastIndex() > n.commit {
		n.reject(ev.ID, corianderwing.RevisionConflict, "the first entry of this term or an earlier membership change is not committed yet")
		return
	}
	next, err := ev.Change.apply(n.memberships.current())
	if err != nil {
		n.effects.Rejected = append(n.effects.Rejected, Rejected{ev.ID, err})
		return
	}
	if ev.Change.Op == Promote && n.leading.peers[ev.Change.Instance].matchIndex+maxPromoteLag < n.log.lastIndex() {
		n.reject(ev.ID, corianderwing.InvalidChange, "the learner has not caught up")
		return
	}
	data, jsonErr := json.Marshal(next)
	if jsonErr != nil {
		n.reject(ev.ID, corianderwing.InvalidChange, jsonErr.Error())
		return
	}
	index := n.appendLocal(corianderwing.EntryVoters, data)
	n.effects.Accepted = append(n.effects.Accepted, Accepted{ev.ID, index, n.vote.Term})
	n.updatePeers()
	n.broadcast()
}

// transferLeadership stops accepting proposals and transfers leadership once the
// target has the whole log. The transfer fails if this replica is still the
// leader after the shortest election timeout.
func (n *Node) transferLeadership(ev TransferLeadership) {
	if n.role != Leader {
		n.reject(ev.ID, corianderwing.NoLeader, "this replica is not the leader")
		return
	}
	if n.leading.transferTo != "" {
		n.reject(ev.ID, corianderwing.RevisionConflict, "another leadership transfer is in progress")
		return
	}
	to := ev.To
	if to == "" {
		to = n.mostUpToDateVoter()
	}
	if to == n.cfg.Self || !isVoter(n.memberships.current(), to) {
		n.reject(ev.ID, corianderwing.InvalidChange, "leadership can only be transferred to another voter")
		return
	}
	n.leading.transferTo, n.leading.transferID, n.leading.transferDeadline = to, ev.ID, n.now.Add(n.cfg.ElectionTimeout)
	if n.leading.peers[to].matchIndex == n.log.lastIndex() {
		n.send(Message{Kind: TimeoutNow, To: to})
		return
	}
	n.replicate(to, true)
}

// mostUpToDateVoter returns the other voter with the longest matching log, or "".
func (n *Node) mostUpToDateVoter() corianderwing.InstanceID {
	var best corianderwing.InstanceID
	for _, id := range n.memberships.current().Voters {
		if id == n.cfg.Self {
			continue
		}
		if best == "" || n.leading.peers[id].matchIndex > n.leading.peers[best].matchIndex {
			best = id
		}
	}
	return best
}

// stepDownAfterRemoval ends the leadership of a replica that was removed from
// the group, and lets the most up-to-date voter campaign at once.
func (n *Node) stepDownAfterRemoval() {
	if to := n.mostUpToDateVoter(); to != "" {
		n.send(Message{Kind: TimeoutNow, To: to})
	}
	n.follow(n.vote.Term, "")
}

// Role returns this replica's role, the leader if known, and the term.
func (n *Node) Role() RoleChange { return RoleChange{n.role, n.leader, n.vote.Term} }

// CommitIndex returns the commit index.
func (n *Node) CommitIndex() corianderwing.Index { return n.commit }

// LastIndex returns the index of the last entry.
func (n *Node) LastIndex() corianderwing.Index { return n.log.lastIndex() }

// Snapshot returns the last snapshot.
func (n *Node) Snapshot() corianderwing.Snapshot { return n.snapshot }

// Membership returns the membership in effect.
func (n *Node) Membership() corianderwing.Membership { return n.memberships.current() }

// MatchIndex returns the index up to which a member's log is known to match.
// Only the leader knows it for other members.
func (n *Node) MatchIndex(id corianderwing.InstanceID) corianderwing.Index {
	if id == n.cfg.Self {
		return n.synced
	}
	if p := n.leading.peers[id]; p != nil {
		return p.matchIndex
	}
	return 0
}

// LastContact returns when this leader last received a reply from a member. A member
// that lets the first election timeout of this leader pass without a reply counts as
// silent since the last message of the leader before: it may have been lost with it.
// LastContact returns the zero time if this replica is not the leader or the member
// is unknown.
//
// That adds the time of one election at most. Without a majority, replicas may have
// had no leader for much longer, and members that come back late are not lost.
func (n *Node) LastContact(id corianderwing.InstanceID) time.Time {
	if n.role == Leader && id == n.cfg.Self {
		return n.now
	}
	p := n.leading.peers[id]
	if p == nil {
		return time.Time{}
	}
	since := n.leading.since
	waited := !n.now.Before(since.Add(n.cfg.ElectionTimeout))
	silent := p.lastContact.Equal(since)
	if !waited || !silent || n.leaderContact.IsZero() {
		return p.lastContact
	}
	earliest := since.Add(-2 * n.cfg.ElectionTimeout)
	if n.leaderContact.Before(earliest) {
		return earliest
	}
	return n.leaderContact
}
