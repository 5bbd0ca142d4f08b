package raft

import (
	"slices"
	"time"

	"corianderwing"
)

// learnerInterval is the shortest time between two messages to a learner. A learner
// neither votes nor counts for a commit, so its messages can hold several entries
// and commits. Otherwise most messages of a large group would go to learners.
const learnerInterval = 40 * time.Millisecond

// leaderState is the volatile state of a leader.
type leaderState struct {
	since         time.Time // when this replica was elected
	peers         map[corianderwing.InstanceID]*peer
	termStart     corianderwing.Index // index of the first entry of this term
	round         uint64              // number of the last broadcast to all peers
	pendingReads  []readBatch
	nextHeartbeat time.Time

	nextLearners   time.Time // learners get no message before this time
	learnersBehind bool      // learners are to get a message at nextLearners

	transferTo       corianderwing.InstanceID // target of a leadership transfer, or empty
	transferID       uint64
	transferDeadline time.Time
}

// peer is the replication progress of another replica, as the leader knows it.
type peer struct {
	matchIndex    corianderwing.Index // the peer's log matches up to this index
	nextIndex     corianderwing.Index // index of the next entry to send
	probing       bool                // the matching index is unknown: send one message at a time
	probeSent     bool                // a probe message is in flight
	snapshotIndex corianderwing.Index // a snapshot at this index is in flight; 0 if none
	snapshotRetry time.Time           // when to resend the snapshot
	lastContact   time.Time
	ackedRound    uint64 // last round that the peer acknowledged
}

// readBatch is a batch of linearizable reads that wait for a majority to
// acknowledge a round.
type readBatch struct {
	ids   []uint64
	index corianderwing.Index
	round uint64 // round that confirms the reads; 0 until an entry of this term is committed
}

func (n *Node) startLeading() {
	n.role, n.leader, n.votes = Leader, n.cfg.Self, nil
	n.leading = leaderState{since: n.now, termStart: n.log.lastIndex() + 1}
	n.updatePeers()
	n.appendLocal(corianderwing.EntryEmpty, nil)
	n.broadcast()
}

func (n *Node) stopLeading() {
	for _, r := range n.leading.pendingReads {
		for _, id := range r.ids {
			n.reject(id, corianderwing.NoLeader, "leadership was lost before the read was confirmed")
		}
	}
	n.leading = leaderState{}
	n.leaderContact = n.now
}

// updatePeers creates the peers of new members and removes those of former ones.
func (n *Node) updatePeers() {
	old := n.leading.peers
	n.leading.peers = make(map[corianderwing.InstanceID]*peer)
	for _, id := range members(n.memberships.current()) {
		if id == n.cfg.Self {
			continue
		}
		p, ok := old[id]
		if !ok {
			p = &peer{nextIndex: n.log.lastIndex() + 1, probing: true, lastContact: n.now}
		}
		n.leading.peers[id] = p
	}
}

func (n *Node) reject(id uint64, c corianderwing.Code, detail string) {
	n.effects.Rejected = append(n.effects.Rejected, Rejected{id, corianderwing.Errorf(c, "%s", detail)})
}

func (n *Node) appendLocal(kind corianderwing.EntryKind, data []byte) corianderwing.Index {
	e := corianderwing.Entry{Index: n.log.lastIndex() + 1, Term: n.vote.Term, Kind: kind, Data: data}
	if err := n.appendEntry(e); err != nil {
		n.reportViolation("%v", err)
		return 0
	}
	n.effects.Entries = append(n.effects.Entries, e)
	return e.Index
}

func (n *Node) propose(list []Proposal) {
	if n.role != Leader || n.leading.transferTo != "" {
		for _, p := range list {
			n.reject(p.ID, corianderwing.NoLeader, "this replica is not the leader")
		}
		return
	}
	for _, p := range list {
		index := n.appendLocal(corianderwing.EntryData, p.Data)
		n.effects.Accepted = append(n.effects.Accepted, Accepted{p.ID, index, n.vote.Term})
	}
	n.broadcast()
}

func (n *Node) readIndex(ids []uint64) {
	if n.role != Leader {
		for _, id := range ids {
			n.reject(id, corianderwing.NoLeader, "this replica is not the leader")
		}
		return
	}
	n.leading.pendingReads = append(n.leading.pendingReads, readBatch{ids: ids})
	n.startReadRound()
}

// startReadRound starts a round for the reads that have none, once an entry of
// this term is committed: before that the commit index may be outdated.
func (n *Node) startReadRound() {
	if n.commit < n.leading.termStart && !n.disabled.unconfirmedReads {
		return
	}
	waiting := false
	for k := range n.leading.pendingReads {
		r := &n.leading.pendingReads[k]
		if r.round == 0 {
			r.round, r.index = n.leading.round+1, n.commit
			waiting = true
		}
	}
	if waiting {
		n.broadcast()
		n.confirmReads()
	}
}

// confirmReads completes the reads whose round a majority has acknowledged.
func (n *Node) confirmReads() {
	v := n.memberships.current()
	for len(n.leading.pendingReads) > 0 {
		r := n.leading.pendingReads[0]
		acks := 0
		for _, id := range v.Voters {
			if p := n.leading.peers[id]; id == n.cfg.Self || p != nil && p.ackedRound >= r.round {
				acks++
			}
		}
		if r.round == 0 || acks < quorum(v) && !n.disabled.unconfirmedReads {
			return
		}
		for _, id := range r.ids {
			n.effects.Reads = append(n.effects.Reads, Read{id, r.index})
		}
		n.leading.pendingReads = n.leading.pendingReads[1:]
	}
}

// broadcast starts a round: it sends every voter the entries that it lacks, or a
// heartbeat, and learners the same at nextLearners.
func (n *Node) broadcast() {
	n.leading.round++
	n.leading.nextHeartbeat = n.now.Add(n.cfg.HeartbeatInterval)
	for _, id := range n.memberships.current().Voters {
		if id != n.cfg.Self {
			n.replicate(id, true)
		}
	}
	n.leading.learnersBehind = true
	n.replicateToLearners()
}

// replicateToLearners sends every learner the entries that it lacks, or a
// heartbeat, unless the last messages were sent less than learnerInterval ago.
func (n *Node) replicateToLearners() {
	if !n.leading.learnersBehind || n.now.Before(n.leading.nextLearners) {
		return
	}
	n.leading.learnersBehind = false
	n.leading.nextLearners = n.now.Add(learnerInterval)
	for _, id := range n.memberships.current().Learners {
		if id != n.cfg.Self { // a replica may lead whose promotion is not in its log
			n.replicate(id, true)
		}
	}
}

// awaitsLearners reports whether the peer is a learner that gets what it lacks in
// the next message to all learners. One that lacks more than a message holds
// catches up as fast as it replies.
func (n *Node) awaitsLearners(id corianderwing.InstanceID, p *peer) bool {
	lacks := n.log.lastIndex() + 1 - p.nextIndex
	return lacks < corianderwing.Index(n.cfg.MaxBatch) && !isVoter(n.memberships.current(), id)
}

// replicate sends the entries that a peer lacks, up to the limit of entries in
// flight. With heartbeat set, it sends a message even without entries.
func (n *Node) replicate(id corianderwing.InstanceID, heartbeat bool) {
	p := n.leading.peers[id]
	m := Message{Kind: Append, To: id, Round: n.leading.round}
	if p.snapshotIndex > 0 && n.now.Before(p.snapshotRetry) {
		if heartbeat {
			n.sendImmediate(m)
		}
		return
	}
	m.Index = p.nextIndex - 1
	var ok bool
	if m.LogTerm, ok = n.log.term(m.Index); !ok {
		n.sendSnapshot(id, p)
		return
	}
	p.snapshotIndex = 0
	if p.probing && p.probeSent && !heartbeat {
		return
	}
	if p.probing || m.Index < p.matchIndex+maxInflightEntries {
		m.Entries = n.log.batch(m.Index, n.cfg.MaxBatch, maxBatchBytes)
	}
	if len(m.Entries) == 0 && !heartbeat {
		return
	}
	m.Commit = n.commit
	p.probeSent = p.probing
	if !p.probing {
		p.nextIndex += corianderwing.Index(len(m.Entries))
	}
	n.sendImmediate(m)
}

// sendSnapshot sends the snapshot to a peer whose next entry has been compacted.
func (n *Node) sendSnapshot(id corianderwing.InstanceID, p *peer) {
	s := n.snapshot
	p.snapshotIndex, p.snapshotRetry = s.Index, n.now.Add(2*n.cfg.ElectionTimeout)
	n.sendImmediate(Message{Kind: InstallSnapshot, To: id, Snapshot: &s, Round: n.leading.round})
}

func (n *Node) onAppendReply(m Message) {
	if n.role != Leader || m.Term != n.vote.Term {
		return
	}
	p := n.leading.peers[m.From]
	if p == nil {
		return
	}
	if m.Round > n.leading.round {
		n.reportViolation("%s acknowledged round %d, which has not begun", m.From, m.Round)
		return
	}
	p.lastContact = n.now
	p.ackedRound = max(p.ackedRound, m.Round)
	if m.Reject {
		n.onReject(m, p)
	} else {
		n.onMatch(m, p)
	}
	if n.role == Leader {
		n.confirmReads()
	}
}

// onReject moves nextIndex back to where the logs may match. Outdated replies are
// ignored.
func (n *Node) onReject(m Message, p *peer) {
	if p.snapshotIndex > 0 || m.Index <= p.matchIndex || p.probing && m.Index != p.nextIndex-1 {
		return
	}
	next := n.log.findConflictByTerm(min(m.Hint, m.Index), m.HintTerm) + 1
	p.nextIndex = max(p.matchIndex+1, min(next, m.Index))
	p.probing, p.probeSent = true, false
	n.replicate(m.From, false)
}

func (n *Node) onMatch(m Message, p *peer) {
	if m.Index > n.log.lastIndex() {
		n.reportViolation("%s matches up to %d, beyond the last entry %d", m.From, m.Index, n.log.lastIndex())
		return
	}
	if m.Index >= p.snapshotIndex {
		p.snapshotIndex = 0
	}
	if p.probing && m.Index >= p.matchIndex && p.snapshotIndex == 0 {
		p.probing, p.probeSent = false, false
		p.nextIndex = max(m.Index, p.matchIndex) + 1
	}
	if m.Index > p.matchIndex {
		p.matchIndex = m.Index
		p.nextIndex = max(p.nextIndex, p.matchIndex+1)
		n.tryCommit()
	}
	if n.role != Leader {
		return
	}
	if n.leading.transferTo == m.From && p.matchIndex == n.log.lastIndex() {
		n.send(Message{Kind: TimeoutNow, To: m.From})
	}
	for p.snapshotIndex == 0 && p.nextIndex <= n.log.lastIndex() {
		if n.awaitsLearners(m.From, p) {
			n.leading.learnersBehind = true
			return
		}
		before := p.nextIndex
		n.replicate(m.From, false)
		if p.nextIndex == before {
			return
		}
	}
}

// tryCommit raises the commit index to the last entry that a majority has
// stored, if it is of this term. An entry of an older term may still be replaced
// by a later leader although a majority has stored it.
func (n *Node) tryCommit() {
	v := n.memberships.current()
	matches := make([]corianderwing.Index, 0, len(v.Voters))
	for _, id := range v.Voters {
		if id == n.cfg.Self {
			matches = append(matches, n.synced)
		} else {
			matches = append(matches, n.leading.peers[id].matchIndex)
		}
	}
	slices.Sort(matches)
	to := matches[len(matches)-quorum(v)]
	if t, ok := n.log.term(to); to <= n.commit || !ok || t != n.vote.Term && !n.disabled.commitOlderTerms {
		return
	}
	n.advanceCommit(to)
	n.broadcast()
	if n.memberships.lastIndex() <= n.commit && !isVoter(v, n.cfg.Self) {
		n.stepDownAfterRemoval()
		return
	}
	n.startReadRound()
}

func (n *Node) tickLeader() {
	if !n.now.Before(n.quorumDeadline()) {
		n.follow(n.vote.Term, "")
		return
	}
	if n.leading.transferTo != "" && !n.now.Before(n.leading.transferDeadline) {
		n.leading.transferTo = ""
		n.reject(n.leading.transferID, corianderwing.NoQuorum, "the target did not become leader within the election timeout")
	}
	if !n.now.Before(n.leading.nextHeartbeat) {
		n.broadcast()
	}
	n.replicateToLearners()
}

// quorumDeadline returns when this leader steps down unless a majority replies
// before then (check-quorum).
func (n *Node) quorumDeadline() time.Time {
	v := n.memberships.current()
	contacts := make([]time.Time, 0, len(v.Voters))
	for _, id := range v.Voters {
		if id == n.cfg.Self {
			contacts = append(contacts, n.now)
		} else {
			contacts = append(contacts, n.leading.peers[id].lastContact)
		}
	}
	slices.SortFunc(contacts, time.Time.Compare)
	return contacts[len(contacts)-quorum(v)].Add(n.cfg.ElectionTimeout)
}
