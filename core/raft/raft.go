// Package raft implements the Raft consensus algorithm for one group as a state
// machine that performs no I/O.
//
// A Node maps (state, event, now) to (state, effects). Its driver, io/group,
// provides the clock, the disk and the network. Time is used only for
// elections, heartbeats and check-quorum; no safety property depends on clocks.
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
	defaultElectionTimeout   = time.Second
	defaultHeartbeatInterval = 150 * time.Millisecond
	defaultTrailingEntries   = 1024
	defaultMaxBatch          = 256
)

// Limits of replication to one follower.
const (
	maxBatchBytes      = 1 << 19 // bytes of commands in one message; 512 KiB take 15 ms on a 280 Mbit/s link
	maxInflightEntries = 2048    // entries sent but not yet acknowledged
	maxPromoteLag      = 256     // entries that a learner may lack when it is promoted to voter
)

// Config configures one replica of a group.
type Config struct {
	Group             corianderwing.GroupID
	Self              corianderwing.InstanceID
	InitialMembership corianderwing.Membership // membership while the log is empty
	Seed              uint64                   // seed of the random election timeouts; combined with Self

	ElectionTimeout   time.Duration // shortest election timeout, default 1 s; the longest is twice as long
	HeartbeatInterval time.Duration // default 150 ms
	TrailingEntries   int           // entries before a snapshot that are retained for slow followers, default 1024
	MaxBatch          int           // maximum number of entries in one message, default 256

	// OnViolation is called when an event would violate an invariant. Such an
	// event has no effect.
	OnViolation func(string)
}

// Node is one replica of a group. It owns the replica's term, vote, log index
// and commit index. It is not safe for concurrent use.
type Node struct {
	cfg      Config
	rand     *rand.Rand
	disabled disabledRules

	vote        corianderwing.Vote
	emittedVote corianderwing.Vote // last vote returned in Effects to be persisted
	log         memLog
	snapshot    corianderwing.Snapshot
	memberships membershipHistory

	synced        corianderwing.Index // the local log is on disk up to this index
	commit        corianderwing.Index
	emittedCommit corianderwing.Index // last index returned in Effects.Committed

	role             Role
	leader           corianderwing.InstanceID
	now              time.Time
	leaderContact    time.Time // time of the last message from the leader
	electionDeadline time.Time
	campaignUntil    time.Time // a replica that is not a voter may campaign until then
	votes            map[corianderwing.InstanceID]bool

	leading      leaderState
	reportedRole RoleChange
	effects      Effects
}

// disabledRules disables individual mechanisms. Only tests set it, to show that
// their checks fail without the mechanism.
type disabledRules struct {
	noPreVote        bool
	commitOlderTerms bool
	unconfirmedReads bool
}

// New returns a replica that resumes from its stored state.
func New(cfg Config, stored corianderwing.StoredState, now time.Time) (*Node, error) {
	if cfg.Self == "" {
		return nil, errors.New("raft: Config.Self is empty")
	}
	cfg.setDefaults()
	h := fnv.New64a()
	h.Write([]byte(cfg.Self))
	n := &Node{cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, h.Sum64())), now: now}
	n.vote, n.emittedVote = stored.Vote, stored.Vote
	n.snapshot = stored.Snapshot
	n.memberships.reset(0, cfg.InitialMembership)
	if n.snapshot.Index > 0 {
		n.memberships.reset(n.snapshot.Index, n.snapshot.Voters)
	}
	n.log.prev, n.log.prevTerm = n.snapshot.Index, n.snapshot.Term
	for _, e := range stored.Entries {
		if e.Index != n.log.lastIndex()+1 || e.Term < n.log.lastTerm() {
			return nil, fmt.Errorf("raft: stored entry (%d, term %d) follows (%d, term %d)", e.Index, e.Term, n.log.lastIndex(), n.log.lastTerm())
		}
		if err := n.appendEntry(e); err != nil {
			return nil, err
		}
	}
	if t := n.log.lastTerm(); t > n.vote.Term {
		return nil, fmt.Errorf("raft: stored term %d is before the term %d of the last entry", n.vote.Term, t)
	}
	n.synced = n.log.lastIndex()
	n.commit, n.emittedCommit = n.snapshot.Index, n.snapshot.Index
	n.reportedRole = RoleChange{Term: n.vote.Term}
	n.startElectionTimer()
	return n, nil
}

func (c *Config) setDefaults() {
	if c.ElectionTimeout <= 0 {
		c.ElectionTimeout = defaultElectionTimeout
	}
	if c.HeartbeatInterval <= 0 {
		c.HeartbeatInterval = defaultHeartbeatInterval
	}
	if c.TrailingEntries <= 0 {
		c.TrailingEntries = defaultTrailingEntries
	}
	if c.MaxBatch <= 0 {
		c.MaxBatch = defaultMaxBatch
	}
	if c.OnViolation == nil {
		c.OnViolation = func(string) {}
	}
}

// appendEntry appends an entry to the in-memory log and records the membership
// that it may hold.
func (n *Node) appendEntry(e corianderwing.Entry) error {
	if e.Kind == corianderwing.EntryVoters {
		if err := n.memberships.add(e); err != nil {
			return fmt.Errorf("raft: decode the membership in entry %d: %w", e.Index, err)
		}
	}
	n.log.entries = append(n.log.entries, e)
	return nil
}

// Step processes one event at the given time and returns what the driver must
// do. A time before that of the last event counts as the time of the last event.
func (n *Node) Step(now time.Time, ev Event) Effects {
	if now.After(n.now) {
		n.now = now
	}
	n.effects = Effects{}
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
		n.changeMembership(ev)
	case TransferLeadership:
		n.transferLeadership(ev)
	case Persisted:
		n.persisted(ev)
	case Compacted:
		n.compacted(ev)
	}
	return n.collectEffects()
}

// collectEffects adds the vote, the committed entries and the role change to the
// effects of a step, and returns them.
func (n *Node) collectEffects() Effects {
	if n.vote != n.emittedVote {
		v := n.vote
		n.effects.Vote, n.emittedVote = &v, v
		// If these messages were sent before the vote is persisted, the
		// replica could use the same term again after a restart.
		n.effects.Messages = append(n.effects.Messages, n.effects.Immediate...)
		n.effects.Immediate = nil
	}
	if n.commit > n.emittedCommit {
		n.effects.Committed = n.log.slice(n.emittedCommit, n.commit)
		n.emittedCommit = n.commit
	}
	if c := (RoleChange{n.role, n.leader, n.vote.Term}); c != n.reportedRole {
		n.reportedRole = c
		n.effects.RoleChange = &c
	}
	return n.effects
}

// NextTick returns the time at which the next Tick is due.
func (n *Node) NextTick() time.Time {
	if n.role != Leader {
		return n.electionDeadline
	}
	next := n.leading.nextHeartbeat
	if t := n.quorumDeadline(); t.Before(next) {
		next = t
	}
	if t := n.leading.nextLearners; n.leading.learnersBehind && t.Before(next) {
		next = t
	}
	return next
}

func (n *Node) tick() {
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now.Before(n.electionDeadline) {
		return
	}
	if !n.canCampaign() {
		n.resetElectionTimer()
		return
	}
	n.campaign(n.disabled.noPreVote, false)
}

func (n *Node) send(m Message) {
	n.effects.Messages = append(n.effects.Messages, n.addressed(m))
}

func (n *Node) sendImmediate(m Message) {
	n.effects.Immediate = append(n.effects.Immediate, n.addressed(m))
}

func (n *Node) addressed(m Message) Message {
	m.Group, m.From = n.cfg.Group, n.cfg.Self
	if m.Term == 0 {
		m.Term = n.vote.Term
	}
	return m
}
