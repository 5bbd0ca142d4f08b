// Package raft is the consensus of one group, without any input or output.
//
// A Node turns (state, event, now) into (state, effects). Its driver keeps the
// clock, the disk and the network; io/group is that driver. Time is only used
// for elections, heartbeats and check-quorum: no safety property depends on
// clocks.
package raft

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"corianderwing"
)

// Defaults of Config.
const (
	defaultElection  = time.Second
	defaultHeartbeat = 150 * time.Millisecond
	defaultKeep      = 1024
	defaultBatch     = 256
)

// Limits of replication to one follower.
const (
	batchBytes    = 1 << 19 // bytes of commands in one message; 512 KiB take 15 ms on a 280 Mbit/s link
	windowEntries = 2048    // entries sent and not yet answered
	promoteLag    = 256     // entries that a learner may lack when it becomes a voter
)

// Config describes a replica of a group.
type Config struct {
	Group             corianderwing.GroupID
	Self              corianderwing.InstanceID
	InitialMembership corianderwing.Membership // membership of an empty log
	Seed              uint64                   // of the random election timeouts; mixed with Self

	ElectionTimeout   time.Duration // shortest election timeout, default 1 s; the longest is twice as long
	HeartbeatInterval time.Duration // default 150 ms
	TrailingEntries   int           // entries before a snapshot that are kept for slow followers, default 1024
	MaxBatch          int           // most entries in one message, default 256

	// OnViolation is told about a broken invariant. The event that would have
	// broken it has no effect.
	OnViolation func(string)
}

// Node is one replica. It owns the group's term, vote, log index and commit
// index at this replica. It is not safe for concurrent use.
type Node struct {
	cfg   Config
	rand  *rand.Rand
	rules rules

	vote  corianderwing.Vote
	saved corianderwing.Vote // last one that was handed out to be persisted
	log   memLog
	snap  corianderwing.Snapshot
	hist  history

	synced corianderwing.Index // own entries up to here are on disk
	commit corianderwing.Index
	handed corianderwing.Index // handed out as committed

	role       Role
	leader     corianderwing.InstanceID
	now        time.Time
	heard      time.Time // last message from the leader
	electionAt time.Time
	needed     time.Time // until then this replica campaigns though it is no voter
	votes      map[corianderwing.InstanceID]bool

	lead leading
	told RoleChange
	eff  Effects
}

// rules turns single mechanisms off. Only tests set it, to show that their
// checks fail without the mechanism.
type rules struct {
	noPreVote     bool
	commitOldTerm bool
	readAtOnce    bool
}

// New returns a replica that continues from what its disk holds.
func New(cfg Config, stored corianderwing.StoredState, now time.Time) (*Node, error) {
	if cfg.Self == "" {
		return nil, errors.New("raft: the replica has no id")
	}
	cfg.fill()
	h := fnv.New64a()
	h.Write([]byte(cfg.Self))
	n := &Node{cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, h.Sum64())), now: now}
	n.vote, n.saved = stored.Vote, stored.Vote
	n.snap = stored.Snapshot
	n.hist.reset(0, cfg.InitialMembership)
	if n.snap.Index > 0 {
		n.hist.reset(n.snap.Index, n.snap.Voters)
	}
	n.log.prev, n.log.prevTerm = n.snap.Index, n.snap.Term
	for _, e := range stored.Entries {
		if e.Index != n.log.last()+1 || e.Term < n.log.lastTerm() {
			return nil, fmt.Errorf("raft: stored entry (%d, term %d) follows (%d, term %d)", e.Index, e.Term, n.log.last(), n.log.lastTerm())
		}
		if err := n.remember(e); err != nil {
			return nil, err
		}
	}
	if t := n.log.lastTerm(); t > n.vote.Term {
		return nil, fmt.Errorf("raft: stored term %d is before the term %d of the last entry", n.vote.Term, t)
	}
	n.synced = n.log.last()
	n.commit, n.handed = n.snap.Index, n.snap.Index
	n.told = RoleChange{Term: n.vote.Term}
	n.firstElection()
	return n, nil
}

func (c *Config) fill() {
	if c.ElectionTimeout <= 0 {
		c.ElectionTimeout = defaultElection
	}
	if c.HeartbeatInterval <= 0 {
		c.HeartbeatInterval = defaultHeartbeat
	}
	if c.TrailingEntries <= 0 {
		c.TrailingEntries = defaultKeep
	}
	if c.MaxBatch <= 0 {
		c.MaxBatch = defaultBatch
	}
	if c.OnViolation == nil {
		c.OnViolation = func(string) {}
	}
}

// remember adds an entry to the log in memory.
func (n *Node) remember(e corianderwing.Entry) error {
	if e.Kind == corianderwing.EntryVoters {
		if err := n.hist.add(e); err != nil {
			return fmt.Errorf("raft: entry %d holds no membership: %w", e.Index, err)
		}
	}
	n.log.entries = append(n.log.entries, e)
	return nil
}

// Step takes one event at the given time and returns what the driver must do.
// A time before that of the last event counts as the time of the last event.
func (n *Node) Step(now time.Time, ev Event) Effects {
	if now.After(n.now) {
		n.now = now
	}
	n.eff = Effects{}
	switch ev := ev.(type) {
	case Tick:
		n.tick()
	case Received:
		n.receive(ev.Message)
	case Propose:
		n.propose(ev.Proposals)
	case ReadIndex:
		n.readIndex(ev.IDs)
	case ChangeMembership:
		n.changeVoters(ev)
	case TransferLeadership:
		n.startTransfer(ev)
	case Persisted:
		n.persisted(ev)
	case Compacted:
		n.compacted(ev)
	}
	return n.finish()
}

// finish completes the effects of a step.
func (n *Node) finish() Effects {
	if n.vote != n.saved {
		v := n.vote
		n.eff.Vote, n.saved = &v, v
		// Another life of this replica could use the same term again if it
		// were not persisted first.
		n.eff.Messages = append(n.eff.Messages, n.eff.Immediate...)
		n.eff.Immediate = nil
	}
	if n.commit > n.handed {
		n.eff.Committed = n.log.slice(n.handed, n.commit)
		n.handed = n.commit
	}
	if c := (RoleChange{n.role, n.leader, n.vote.Term}); c != n.told {
		n.told = c
		n.eff.RoleChange = &c
	}
	return n.eff
}

// NextTick returns when the next Tick is due.
func (n *Node) NextTick() time.Time {
	if n.role != Leader {
		return n.electionAt
	}
	wake := n.lead.beatAt
	if t := n.quorumUntil(); t.Before(wake) {
		wake = t
	}
	return wake
}

func (n *Node) tick() {
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now.Before(n.electionAt) {
		return
	}
	if !n.mayCampaign() {
		n.resetElection()
		return
	}
	n.campaign(n.rules.noPreVote, false)
}

func (n *Node) send(m Message) {
	n.eff.Messages = append(n.eff.Messages, n.address(m))
}

func (n *Node) sendEarly(m Message) {
	n.eff.Immediate = append(n.eff.Immediate, n.address(m))
}

func (n *Node) address(m Message) Message {
	m.Group, m.From = n.cfg.Group, n.cfg.Self
	if m.Term == 0 {
		m.Term = n.vote.Term
	}
	return m
}
