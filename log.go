package corianderwing

// Types of a group's replicated log, as a replica stores it.

// Term numbers the leaderships of a group.
type Term uint64

// Index numbers the entries of a group's log, from 1.
type Index uint64

// EntryKind tells what an Entry holds.
type EntryKind uint8

// The kinds of entries.
const (
	EntryData   EntryKind = iota // Data is a command
	EntryEmpty                   // a new leader's first entry
	EntryVoters                  // Data is a membership of the group
)

// Entry is one record of a group's log.
type Entry struct {
	Index Index     `json:"index"`
	Term  Term      `json:"term"`
	Kind  EntryKind `json:"kind"`
	Data  []byte    `json:"data,omitempty"`
}

// Vote is what a replica must not forget: its term and whom it voted for.
type Vote struct {
	Term Term       `json:"term"`
	For  InstanceID `json:"for,omitempty"`
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

// StoredState is what a replica finds on its disk when it starts.
type StoredState struct {
	Vote      Vote
	Snapshot  Snapshot
	Entries   []Entry // those after Snapshot.Index
	Truncated bool    // a torn tail was cut
}
