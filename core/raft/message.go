package raft

import "corianderwing"

// MessageKind is the kind of a Message.
type MessageKind uint8

// The kinds of messages.
const (
	PreVoteRequest  MessageKind = iota + 1 // asks whether the replica would vote for the sender in Term
	PreVoteReply                           // Term is the requested term if the pre-vote is granted
	VoteRequest                            // requests a vote for the sender in Term
	VoteReply                              //
	Append                                 // entries after Index; without entries it is a heartbeat
	AppendReply                            // Index is the last matching entry, or the rejected one
	InstallSnapshot                        // snapshot that replaces compacted entries
	TimeoutNow                             // starts an election at once, for a transfer of leadership
)

var kindNames = [...]string{"none", "prevote", "prevotereply", "vote", "votereply", "append", "appendreply", "install", "timeoutnow"}

// String returns the kind's name.
func (k MessageKind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "invalid"
}

// Message is a message between two replicas of a group. The transport may lose,
// delay, duplicate and reorder messages, but must not alter them.
type Message struct {
	Group corianderwing.GroupID    `json:"group"`
	Kind  MessageKind              `json:"kind"`
	From  corianderwing.InstanceID `json:"from"`
	To    corianderwing.InstanceID `json:"to"`
	Term  corianderwing.Term       `json:"term"`

	// Index and LogTerm identify the candidate's last entry (PreVoteRequest,
	// VoteRequest) or the entry before Entries (Append). In an AppendReply,
	// Index is the entry that the reply refers to.
	Index   corianderwing.Index `json:"index,omitempty"`
	LogTerm corianderwing.Term  `json:"logterm,omitempty"`

	Commit   corianderwing.Index     `json:"commit,omitempty"`   // Append: the leader's commit index
	Entries  []corianderwing.Entry   `json:"entries,omitempty"`  // Append
	Snapshot *corianderwing.Snapshot `json:"snapshot,omitempty"` // InstallSnapshot
	Round    uint64                  `json:"round,omitempty"`    // Append, InstallSnapshot: the leader's round, which the reply echoes

	Reject   bool                `json:"reject,omitempty"`
	Hint     corianderwing.Index `json:"hint,omitempty"`     // rejecting AppendReply: last entry up to which the logs may match
	HintTerm corianderwing.Term  `json:"hintterm,omitempty"` // term of the entry at Hint
	Force    bool                `json:"force,omitempty"`    // VoteRequest: the leader requested this election
}
