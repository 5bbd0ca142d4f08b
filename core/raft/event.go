package raft

import "corianderwing"

// Event is an input of Step.
type Event interface{ event() }

type (
	// Tick reports that time has passed. It is due at Node.NextTick.
	Tick struct{}

	// Received is a message from another replica.
	Received struct{ Message Message }

	// Propose appends commands to the log if this replica is the leader.
	Propose struct{ Proposals []Proposal }

	// ReadIndex requests the index that a linearizable read must wait for.
	// All ids share one round of messages.
	ReadIndex struct{ IDs []uint64 }

	// ChangeMembership adds, promotes or removes one replica.
	ChangeMembership struct {
		ID     uint64
		Change MembershipChange
	}

	// TransferLeadership transfers leadership to another voter. An empty To
	// selects the voter with the longest matching log.
	TransferLeadership struct {
		ID uint64
		To corianderwing.InstanceID
	}

	// Persisted reports that the log is synced to disk up to the entry with
	// this index and term.
	Persisted struct {
		Index corianderwing.Index
		Term  corianderwing.Term
	}

	// Compacted passes in a serialized state of the machine that covers all
	// entries up to Index. The log before it is discarded, except for the
	// trailing entries.
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

// Proposal is a command with an id chosen by the caller.
type Proposal struct {
	ID   uint64
	Data []byte
}

// Op is the kind of a membership change.
type Op string

// The kinds of membership changes.
const (
	AddLearner Op = "learner" // adds a replica that receives the log but does not vote
	Promote    Op = "promote" // makes a learner that has caught up a voter
	Remove     Op = "remove"  // removes a voter or learner
)

// MembershipChange adds, promotes or removes one replica.
type MembershipChange struct {
	Op       Op                       `json:"op"`
	Instance corianderwing.InstanceID `json:"instance"`
}

// Role is the role of a replica in its group.
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

// Effects is what the driver must do after a Step, in this order:
//
//  1. send Immediate;
//  2. persist Vote, then Snapshot, then Entries, and sync them;
//  3. send Messages, and pass Persisted to Step if there were Entries;
//  4. restore the machine from Snapshot if Restore is set (or before 2, to store no
//     snapshot that it cannot decode), then apply Committed;
//  5. respond to the callers of Accepted, Rejected and Reads.
type Effects struct {
	Vote     *corianderwing.Vote
	Snapshot *corianderwing.Snapshot
	Restore  bool // Snapshot came from the leader and replaces the machine's state
	Entries  []corianderwing.Entry

	Immediate []Message // may be sent before anything is persisted
	Messages  []Message

	Committed  []corianderwing.Entry // of every kind, in order
	Accepted   []Accepted
	Rejected   []Rejected
	Reads      []Read
	RoleChange *RoleChange // set if the role, leader or term changed
}

// Accepted reports which log entry holds a proposal or membership change. The
// entry may still be replaced: the outcome is decided when the entry with this
// index is committed.
type Accepted struct {
	ID    uint64
	Index corianderwing.Index
	Term  corianderwing.Term
}

// Rejected reports that the event with this id had no effect, and why.
type Rejected struct {
	ID  uint64
	Err *corianderwing.Error
}

// Read reports that the read with this id is linearizable once the machine has
// applied Index.
type Read struct {
	ID    uint64
	Index corianderwing.Index
}

// RoleChange is a replica's role after a change. Leader is empty if it is
// unknown.
type RoleChange struct {
	Role   Role
	Leader corianderwing.InstanceID
	Term   corianderwing.Term
}
