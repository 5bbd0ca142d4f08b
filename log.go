package corianderwing

// Types of a group's replicated log as stored by a replica.

// Term is a Raft term of a group.
type Term uint64

// Index is the position of an entry in a group's log, starting at 1.
type Index uint64

// EntryKind is the kind of an Entry.
type EntryKind uint8

// Entry kinds.
const (
	EntryData   EntryKind = iota // Data holds a Command
	EntryEmpty                   // no-op entry that a new leader appends first
	EntryVoters                  // Data holds the group's Membership
)

// Entry is one entry of a group's log.
type Entry struct {
	Index Index     `json:"index"`
	Term  Term      `json:"term"`
	Kind  EntryKind `json:"kind"`
	Data  []byte    `json:"data,omitempty"`
}

// Vote is the durable voting state of a replica: its current term and the
// candidate it voted for in that term.
type Vote struct {
	Term      Term       `json:"term"`
	Candidate InstanceID `json:"for,omitempty"`
}

// Membership is the membership of a group. Learners receive the log and do not
// vote.
type Membership struct {
	Voters   []InstanceID `json:"voters"`
	Learners []InstanceID `json:"learners,omitempty"`
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index  Index      `json:"index"`
	Term   Term       `json:"term"`
	Voters Membership `json:"voters"`
	Data   []byte     `json:"data"`
}

// StoredState is the state that a replica loads from disk when it starts.
type StoredState struct {
	Vote      Vote
	Snapshot  Snapshot
	Entries   []Entry // entries after Snapshot.Index
	Truncated bool    // an incomplete entry at the end of the log was truncated
}
