package raft

import "corianderwing"

// MessageKind tells what a Message asks or answers.
type MessageKind uint8

// The kinds of messages.
const (
	PreVoteRequest  MessageKind = iota + 1 // would you vote for me in Term?
	PreVoteReply                           // Term is the asked-for term if granted
	VoteRequest                            // vote for me in Term
	VoteReply                              //
	Append                                 // entries after Index, or none as a heartbeat
	AppendReply                            // Index is the last matching entry
	InstallSnapshot                        // a snapshot in place of compacted entries
	TimeoutNow                             // campaign at once, for a transfer of leadership
)

var kindNames = [...]string{"none", "prevote", "prevotereply", "vote", "votereply", "append", "appendreply", "install", "timeoutnow"}

// String returns the kind's name.
func (k MessageKind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "invalid"
}

// Message is what one replica of a group sends to another. The transport may
// lose, delay, repeat and reorder messages, but must not alter them.
type Message struct {
	Group corianderwing.GroupID    `json:"group"`
	Kind  MessageKind              `json:"kind"`
	From  corianderwing.InstanceID `json:"from"`
	To    corianderwing.InstanceID `json:"to"`
	Term  corianderwing.Term       `json:"term"`

	// Index and LogTerm are the candidate's last entry (PreVoteRequest, VoteRequest), the
	// entry before Entries (Append), or the entry that the reply is about.
	Index   corianderwing.Index `json:"index,omitempty"`
	LogTerm corianderwing.Term  `json:"logterm,omitempty"`

	Commit   corianderwing.Index     `json:"commit,omitempty"`   // Append: the leader's commit index
	Entries  []corianderwing.Entry   `json:"entries,omitempty"`  // Append
	Snapshot *corianderwing.Snapshot `json:"snapshot,omitempty"` // Install
	Round    uint64                  `json:"round,omitempty"`    // Append, Install: number of the leader's round; echoed in the reply

	Reject   bool                `json:"reject,omitempty"`
	Hint     corianderwing.Index `json:"hint,omitempty"`     // rejecting AppendReply: entry from which the logs may match
	HintTerm corianderwing.Term  `json:"hintterm,omitempty"` // term of the entry at Hint
	Force    bool                `json:"force,omitempty"`    // VoteRequest: the leader asked for this election
}
