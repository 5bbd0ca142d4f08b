package raft

import "corianderwing"

// Event is one input of Step.
type Event interface{ event() }

type (
	// Tick tells that time has passed. It is due at NextTick.
	Tick struct{}

	// Received is a message from another replica.
	Received struct{ Message Message }

	// Propose appends commands to the log, if this replica leads.
	Propose struct{ Proposals []Proposal }

	// ReadIndex asks for the index that a linearizable read must wait for.
	// All ids share one round of messages.
	ReadIndex struct{ IDs []uint64 }

	// ChangeMembership changes the membership by one replica.
	ChangeMembership struct {
		ID     uint64
		Change MembershipChange
	}

	// TransferLeadership hands leadership to another voter. An empty To selects the
	// voter with the longest matching log.
	TransferLeadership struct {
		ID uint64
		To corianderwing.InstanceID
	}

	// Persisted tells that the log is synced up to the entry with this index
	// and term.
	Persisted struct {
		Index corianderwing.Index
		Term  corianderwing.Term
	}

	// Compacted hands over a saved machine state, which covers all entries up
	// to Index. The log before it is dropped.
	Compacted struct {
		Index corianderwing.Index
		Data  []byte
	}
)

func (Tick) event()               {}
func (Received) event()           {}
func (Propose) event()            {}
func (ReadIndex) event()          {}
func (ChangeMembership) event()   {}
func (TransferLeadership) event() {}
func (Persisted) event()          {}
func (Compacted) event()          {}

// Proposal is a command with an id that the caller chooses.
type Proposal struct {
	ID   uint64
	Data []byte
}

// Op is the kind of a membership change.
type Op string

// The membership changes.
const (
	AddLearner Op = "learner" // a new replica receives the log and does not vote
	Promote    Op = "promote" // a learner that has caught up becomes a voter
	Remove     Op = "remove"  // a voter or learner leaves
)

// MembershipChange is a change of the membership by one replica.
type MembershipChange struct {
	Op       Op                       `json:"op"`
	Instance corianderwing.InstanceID `json:"instance"`
}

// Role is a replica's part in its group.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "precandidate", "candidate", "leader"}[r]
}

// Effects are what the driver must do after a Step, in this order:
//
//  1. send Immediate;
//  2. persist Vote, then Snapshot, then Entries, and sync them;
//  3. send Messages, and pass Persisted to Step if there were Entries;
//  4. restore the machine from Snapshot if Restore is set, then apply Committed;
//  5. answer the callers of Accepted, Rejected and Reads.
type Effects struct {
	Vote     *corianderwing.Vote
	Snapshot *corianderwing.Snapshot
	Restore  bool // Snapshot came from the leader and replaces the machine's state
	Entries  []corianderwing.Entry

	Immediate []Message // need nothing persisted
	Messages  []Message

	Committed  []corianderwing.Entry // of every kind, in order
	Accepted   []Accepted
	Rejected   []Rejected
	Reads      []Read
	RoleChange *RoleChange // the role, leader or term changed
}

// Accepted tells which entry a proposal or membership change became. It may
// still be lost: it is decided when the entry with this index is committed.
type Accepted struct {
	ID    uint64
	Index corianderwing.Index
	Term  corianderwing.Term
}

// Rejected tells that the event with this id had no effect, and why.
type Rejected struct {
	ID  uint64
	Err *corianderwing.Error
}

// Read tells that a read with this id is linearizable once the machine has
// applied Index.
type Read struct {
	ID    uint64
	Index corianderwing.Index
}

// RoleChange tells a replica's role after a change. Leader is empty if it is
// not known.
type RoleChange struct {
	Role   Role
	Leader corianderwing.InstanceID
	Term   corianderwing.Term
}
