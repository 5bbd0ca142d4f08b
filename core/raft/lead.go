package raft

import (
	"slices"
	"time"

	"corianderwing"
)

// leading is the state that only a leader has.
type leading struct {
	peers  map[corianderwing.InstanceID]*peer
	start  corianderwing.Index // first entry of this term
	round  uint64              // last round of messages to all peers
	reads  []read
	beatAt time.Time

	to      corianderwing.InstanceID // target of a transfer of leadership
	toID    uint64
	toUntil time.Time
}

// peer is what a leader knows of another replica.
type peer struct {
	match  corianderwing.Index // its log matches up to here
	next   corianderwing.Index // next entry to send
	probe  bool                // where the logs match is unknown: one message at a time
	asked  bool                // the message of a probe is under way
	snap   corianderwing.Index // a snapshot at this index is under way
	snapAt time.Time           // when to send it again
	heard  time.Time
	round  uint64 // last round that it answered
}

// read is a batch of linearizable reads that wait for a round.
type read struct {
	ids   []uint64
	index corianderwing.Index
	round uint64 // 0 until an entry of this term is committed
}

func (n *Node) startLeading() {
	n.role, n.leader, n.votes = Leader, n.cfg.Self, nil
	n.lead = leading{start: n.log.last() + 1}
	n.syncPeers()
	n.appendOwn(corianderwing.EntryEmpty, nil)
	n.broadcast()
}

func (n *Node) stopLeading() {
	for _, r := range n.lead.reads {
		for _, id := range r.ids {
			n.refuse(id, corianderwing.NoLeader, "leadership was lost before the read was confirmed")
		}
	}
	n.lead = leading{}
}

// syncPeers keeps one peer for each other member.
func (n *Node) syncPeers() {
	old := n.lead.peers
	n.lead.peers = make(map[corianderwing.InstanceID]*peer)
	for _, id := range members(n.hist.now()) {
		if id == n.cfg.Self {
			continue
		}
		p, ok := old[id]
		if !ok {
			p = &peer{next: n.log.last() + 1, probe: true, heard: n.now}
		}
		n.lead.peers[id] = p
	}
}

func (n *Node) refuse(id uint64, c corianderwing.Code, detail string) {
	n.eff.Rejected = append(n.eff.Rejected, Rejected{id, corianderwing.Errorf(c, "%s", detail)})
}

func (n *Node) appendOwn(kind corianderwing.EntryKind, data []byte) corianderwing.Index {
	e := corianderwing.Entry{Index: n.log.last() + 1, Term: n.vote.Term, Kind: kind, Data: data}
	if err := n.remember(e); err != nil {
		n.broken("%v", err)
		return 0
	}
	n.eff.Entries = append(n.eff.Entries, e)
	return e.Index
}

func (n *Node) propose(list []Proposal) {
	if n.role != Leader || n.lead.to != "" {
		for _, p := range list {
			n.refuse(p.ID, corianderwing.NoLeader, "this replica does not lead")
		}
		return
	}
	for _, p := range list {
		i := n.appendOwn(corianderwing.EntryData, p.Data)
		n.eff.Accepted = append(n.eff.Accepted, Accepted{p.ID, i, n.vote.Term})
	}
	n.broadcast()
}

func (n *Node) readIndex(ids []uint64) {
	if n.role != Leader {
		for _, id := range ids {
			n.refuse(id, corianderwing.NoLeader, "this replica does not lead")
		}
		return
	}
	n.lead.reads = append(n.lead.reads, read{ids: ids})
	n.startReads()
}

// startReads starts a round for the reads that have none, once an entry of
// this term is committed: only then is the commit index known to be current.
func (n *Node) startReads() {
	if n.commit < n.lead.start && !n.rules.readAtOnce {
		return
	}
	waiting := false
	for k := range n.lead.reads {
		r := &n.lead.reads[k]
		if r.round == 0 {
			r.round, r.index = n.lead.round+1, n.commit
			waiting = true
		}
	}
	if waiting {
		n.broadcast()
		n.confirmReads()
	}
}

// confirmReads answers the reads whose round a majority has answered.
func (n *Node) confirmReads() {
	v := n.hist.now()
	for len(n.lead.reads) > 0 {
		r := n.lead.reads[0]
		acks := 0
		for _, id := range v.Voters {
			if p := n.lead.peers[id]; id == n.cfg.Self || p != nil && p.round >= r.round {
				acks++
			}
		}
		if r.round == 0 || acks < quorum(v) && !n.rules.readAtOnce {
			return
		}
		for _, id := range r.ids {
			n.eff.Reads = append(n.eff.Reads, Read{id, r.index})
		}
		n.lead.reads = n.lead.reads[1:]
	}
}

// broadcast starts a round: every peer gets a message, with the entries that
// it lacks or as a heartbeat.
func (n *Node) broadcast() {
	n.lead.round++
	n.lead.beatAt = n.now.Add(n.cfg.HeartbeatInterval)
	for _, id := range members(n.hist.now()) {
		if id != n.cfg.Self {
			n.replicate(id, true)
		}
	}
}

// replicate sends the entries that a peer lacks, as far as its window allows.
// A beat is sent even without entries.
func (n *Node) replicate(id corianderwing.InstanceID, beat bool) {
	p := n.lead.peers[id]
	m := Message{Kind: Append, To: id, Round: n.lead.round}
	if p.snap > 0 && n.now.Before(p.snapAt) {
		if beat {
			n.sendEarly(m)
		}
		return
	}
	m.Index = p.next - 1
	var ok bool
	if m.LogTerm, ok = n.log.term(m.Index); !ok {
		n.install(id, p)
		return
	}
	p.snap = 0
	if p.probe && p.asked && !beat {
		return
	}
	if p.probe || m.Index < p.match+windowEntries {
		m.Entries = n.log.batch(m.Index, n.cfg.MaxBatch, batchBytes)
	}
	if len(m.Entries) == 0 && !beat {
		return
	}
	m.Commit = n.commit
	p.asked = p.probe
	if !p.probe {
		p.next += corianderwing.Index(len(m.Entries))
	}
	n.sendEarly(m)
}

// install sends the snapshot to a peer whose next entry is compacted.
func (n *Node) install(id corianderwing.InstanceID, p *peer) {
	s := n.snap
	p.snap, p.snapAt = s.Index, n.now.Add(2*n.cfg.ElectionTimeout)
	n.sendEarly(Message{Kind: InstallSnapshot, To: id, Snapshot: &s, Round: n.lead.round})
}

func (n *Node) onAppendReply(m Message) {
	if n.role != Leader || m.Term != n.vote.Term {
		return
	}
	p := n.lead.peers[m.From]
	if p == nil {
		return
	}
	p.heard = n.now
	p.round = max(p.round, m.Round)
	if m.Reject {
		n.onReject(m, p)
	} else {
		n.onMatch(m, p)
	}
	if n.role == Leader {
		n.confirmReads()
	}
}

// onReject moves next back to where the logs may match. Replies that were
// overtaken by others are ignored.
func (n *Node) onReject(m Message, p *peer) {
	if p.snap > 0 || m.Index <= p.match || p.probe && m.Index != p.next-1 {
		return
	}
	next := n.log.backoff(min(m.Hint, m.Index), m.HintTerm) + 1
	p.next = max(p.match+1, min(next, m.Index))
	p.probe, p.asked = true, false
	n.replicate(m.From, false)
}

func (n *Node) onMatch(m Message, p *peer) {
	if m.Index > n.log.last() {
		n.broken("%s matches up to %d, beyond the last entry %d", m.From, m.Index, n.log.last())
		return
	}
	if m.Index >= p.snap {
		p.snap = 0
	}
	if p.probe && m.Index >= p.match && p.snap == 0 {
		p.probe, p.asked = false, false
		p.next = max(m.Index, p.match) + 1
	}
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, p.match+1)
		n.tryCommit()
	}
	if n.role != Leader {
		return
	}
	if n.lead.to == m.From && p.match == n.log.last() {
		n.send(Message{Kind: TimeoutNow, To: m.From})
	}
	for p.snap == 0 && p.next <= n.log.last() {
		before := p.next
		n.replicate(m.From, false)
		if p.next == before {
			return
		}
	}
}

// tryCommit raises the commit index to the last entry that a majority holds,
// if it is of this term. An entry of an older term may still be replaced by a
// later leader although a majority holds it.
func (n *Node) tryCommit() {
	v := n.hist.now()
	matches := make([]corianderwing.Index, 0, len(v.Voters))
	for _, id := range v.Voters {
		if id == n.cfg.Self {
			matches = append(matches, n.synced)
		} else {
			matches = append(matches, n.lead.peers[id].match)
		}
	}
	slices.Sort(matches)
	to := matches[len(matches)-quorum(v)]
	if t, ok := n.log.term(to); to <= n.commit || !ok || t != n.vote.Term && !n.rules.commitOldTerm {
		return
	}
	n.advance(to)
	n.broadcast()
	if n.hist.lastIndex() <= n.commit && !isVoter(v, n.cfg.Self) {
		n.leave()
		return
	}
	n.startReads()
}

func (n *Node) tickLeader() {
	if !n.now.Before(n.quorumUntil()) {
		n.follow(n.vote.Term, "")
		return
	}
	if n.lead.to != "" && !n.now.Before(n.lead.toUntil) {
		n.lead.to = ""
		n.refuse(n.lead.toID, corianderwing.NoQuorum, "the other voter did not take over in time")
	}
	if !n.now.Before(n.lead.beatAt) {
		n.broadcast()
	}
}

// quorumUntil returns when this leader steps down unless a majority answers
// before.
func (n *Node) quorumUntil() time.Time {
	v := n.hist.now()
	heard := make([]time.Time, 0, len(v.Voters))
	for _, id := range v.Voters {
		if id == n.cfg.Self {
			heard = append(heard, n.now)
		} else {
			heard = append(heard, n.lead.peers[id].heard)
		}
	}
	slices.SortFunc(heard, time.Time.Compare)
	return heard[len(heard)-quorum(v)].Add(n.cfg.ElectionTimeout)
}
