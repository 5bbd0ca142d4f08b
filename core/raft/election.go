package raft

import (
	"fmt"
	"time"

	"corianderwing"
)

// startElectionTimer sets the first election timeout after a start. It is shorter
// than later ones: if all replicas lost power, there is no leader to wait for, and
// if there is a leader, its heartbeats arrive first and the other replicas reject
// the pre-vote.
func (n *Node) startElectionTimer() {
	spread := time.Duration(n.rand.Int64N(int64(n.cfg.ElectionTimeout/2) + 1))
	n.electionDeadline = n.now.Add(2*n.cfg.HeartbeatInterval + spread)
}

func (n *Node) resetElectionTimer() {
	spread := time.Duration(n.rand.Int64N(int64(n.cfg.ElectionTimeout)))
	n.electionDeadline = n.now.Add(n.cfg.ElectionTimeout + spread)
}

// follow makes this replica a follower in the given term. An empty leader is an
// unknown one.
func (n *Node) follow(t corianderwing.Term, leader corianderwing.InstanceID) {
	if t < n.vote.Term {
		n.reportViolation("term went back from %d to %d", n.vote.Term, t)
		return
	}
	if t > n.vote.Term {
		n.vote = corianderwing.Vote{Term: t}
	}
	if n.role == Leader {
		n.stopLeading()
	}
	// A candidate with an outdated log must not keep resetting the election
	// timer of a follower that could win.
	if n.role != Follower || leader != "" {
		n.resetElectionTimer()
	}
	n.role, n.leader, n.votes = Follower, leader, nil
}

// canCampaign reports whether this replica is a voter, or recently rejected a
// pre-vote because its log is more up to date. A replica that its own log does not
// list as a voter can hold entries that the voters of an uncommitted membership
// need: unless it campaigns, they could reject each other forever. Like any
// candidate, it needs the votes of the voters that its log lists.
func (n *Node) canCampaign() bool {
	return isVoter(n.memberships.current(), n.cfg.Self) || n.now.Before(n.campaignUntil)
}

// campaign requests pre-votes, or votes if skipPreVote is set. Force marks an
// election that the leader requested.
func (n *Node) campaign(skipPreVote, force bool) {
	kind, term := PreVoteRequest, n.vote.Term+1
	n.role, n.leader = PreCandidate, ""
	if skipPreVote {
		kind = VoteRequest
		n.role = Candidate
		n.vote = corianderwing.Vote{Term: term, Candidate: n.cfg.Self}
	}
	n.votes = map[corianderwing.InstanceID]bool{n.cfg.Self: true}
	n.resetElectionTimer()
	for _, id := range n.memberships.current().Voters {
		if id != n.cfg.Self {
			n.send(Message{Kind: kind, To: id, Term: term, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(), Force: force})
		}
	}
	n.countVotes()
}

// countVotes starts the next phase once a majority has granted its votes, and
// returns to follower once a majority has rejected.
func (n *Node) countVotes() {
	v := n.memberships.current()
	grants, rejections := 0, 0
	for _, id := range v.Voters {
		if granted, ok := n.votes[id]; ok && granted {
			grants++
		} else if ok {
			rejections++
		}
	}
	switch {
	case grants >= quorum(v) && n.role == PreCandidate:
		n.campaign(true, false)
	case grants >= quorum(v):
		n.startLeading()
	case rejections >= quorum(v):
		n.follow(n.vote.Term, "")
	}
}

// hasLeader reports whether this replica is the leader or received a message from
// one within the shortest election timeout. It then votes for no other candidate,
// so that a replica that returns from a partition does not disrupt the group.
func (n *Node) hasLeader() bool {
	if n.role == Leader {
		return true
	}
	return n.leader != "" && n.now.Before(n.leaderContact.Add(n.cfg.ElectionTimeout))
}

// receive handles a message. It first adopts a higher term, unless the message
// requests or grants a pre-vote, whose term has not started.
func (n *Node) receive(m Message) {
	if m.To != n.cfg.Self || m.Group != n.cfg.Group || m.From == n.cfg.Self {
		return
	}
	if err := m.validate(); err != nil {
		n.reportViolation("malformed message from %s: %v", m.From, err)
		return
	}
	if m.Kind == VoteRequest && m.Term > n.vote.Term && !m.Force && n.hasLeader() {
		return
	}
	preVote := m.Kind == PreVoteRequest || m.Kind == PreVoteReply && !m.Reject
	if m.Term > n.vote.Term && !preVote {
		n.follow(m.Term, "")
	}
	switch m.Kind {
	case PreVoteRequest:
		n.onPreVote(m)
	case VoteRequest:
		n.onVote(m)
	case PreVoteReply:
		if n.role == PreCandidate && (m.Reject || m.Term == n.vote.Term+1) {
			n.votes[m.From] = !m.Reject
			n.countVotes()
		}
	case VoteReply:
		if n.role == Candidate && m.Term == n.vote.Term {
			n.votes[m.From] = !m.Reject
			n.countVotes()
		}
	case Append, InstallSnapshot:
		n.onLeaderMessage(m)
	case AppendReply:
		n.onAppendReply(m)
	case TimeoutNow:
		if m.Term == n.vote.Term && n.role != Leader && isVoter(n.memberships.current(), n.cfg.Self) {
			n.campaign(true, true)
		}
	}
}

func (n *Node) onPreVote(m Message) {
	newer := n.log.moreUpToDate(m.Index, m.LogTerm)
	if newer && !n.hasLeader() {
		n.campaignUntil = n.now.Add(4 * n.cfg.ElectionTimeout)
	}
	grant := m.Term > n.vote.Term && !n.hasLeader() && !newer
	switch {
	case grant && n.precedes(m):
		grant = false
		n.campaign(false, false)
	case grant:
		n.deferCampaign()
	}
	reply := Message{Kind: PreVoteReply, To: m.From, Term: m.Term, Reject: !grant}
	if !grant {
		reply.Term = n.vote.Term
	}
	n.send(reply)
}

// precedes reports whether this replica's own pre-candidacy goes before that of the
// sender of m, whose log is as up to date. Without an order among pre-candidates,
// each votes for itself, and if only a bare majority is left, nobody wins.
func (n *Node) precedes(m Message) bool {
	if n.role != PreCandidate || m.Term != n.vote.Term+1 {
		return false
	}
	equal := m.Index == n.log.lastIndex() && m.LogTerm == n.log.lastTerm()
	return equal && n.cfg.Self > m.From
}

// deferCampaign gives a replica that was granted a pre-vote the time to win: this
// one ends its own pre-candidacy and starts none for two heartbeat intervals.
func (n *Node) deferCampaign() {
	if n.role == PreCandidate {
		n.follow(n.vote.Term, "")
	}
	if t := n.now.Add(2 * n.cfg.HeartbeatInterval); n.electionDeadline.Before(t) {
		n.electionDeadline = t
	}
}

func (n *Node) onVote(m Message) {
	unbound := n.vote.Candidate == "" || n.vote.Candidate == m.From
	grant := m.Term == n.vote.Term && n.role != Leader && unbound && !n.log.moreUpToDate(m.Index, m.LogTerm)
	if grant {
		n.vote.Candidate = m.From
		n.resetElectionTimer()
	}
	n.send(Message{Kind: VoteReply, To: m.From, Reject: !grant})
}

func (n *Node) reportViolation(format string, args ...any) {
	n.cfg.OnViolation(fmt.Sprintf("%s/%s: %s", n.cfg.Group, n.cfg.Self, fmt.Sprintf(format, args...)))
}
