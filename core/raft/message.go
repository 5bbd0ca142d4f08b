package raft

import (
	"encoding/json"
	"errors"
	"fmt"

	"corianderwing"
)

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

// validate returns an error if no correct replica sends such a message. Entries that
// do not fit each other would be stored, and the replica could not load its log
// again.
func (m *Message) validate() error {
	switch {
	case m.Kind < PreVoteRequest || m.Kind > TimeoutNow:
		return fmt.Errorf("kind %d is unknown", m.Kind)
	case m.Kind == InstallSnapshot:
		return m.validateSnapshot()
	case len(m.Entries) > 0 && m.Kind != Append:
		return fmt.Errorf("%s holds entries", m.Kind)
	}
	index, term := m.Index, m.LogTerm
	for i := range m.Entries {
		e := &m.Entries[i]
		if index++; index == 0 || e.Index != index || e.Term < term || e.Term > m.Term {
			return fmt.Errorf("entry (%d, term %d) follows (%d, term %d) in term %d", e.Index, e.Term, index-1, term, m.Term)
		}
		term = e.Term
		if err := validateEntry(e); err != nil {
			return fmt.Errorf("entry %d: %w", e.Index, err)
		}
	}
	return nil
}

func (m *Message) validateSnapshot() error {
	switch s := m.Snapshot; {
	case s == nil:
		return errors.New("the snapshot is missing")
	case s.Index == 0 || s.Term > m.Term:
		return fmt.Errorf("snapshot (%d, term %d) in term %d", s.Index, s.Term, m.Term)
	case len(s.Voters.Voters) == 0:
		return errors.New("the snapshot has no voters")
	}
	return nil
}

func validateEntry(e *corianderwing.Entry) error {
	switch e.Kind {
	case corianderwing.EntryData, corianderwing.EntryEmpty:
		return nil
	case corianderwing.EntryVoters:
		var v corianderwing.Membership
		if err := json.Unmarshal(e.Data, &v); err != nil {
			return err
		}
		if len(v.Voters) == 0 {
			return errors.New("the membership has no voters")
		}
		return nil
	}
	return fmt.Errorf("kind %d is unknown", e.Kind)
}
