package raft

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"corianderwing"
)

// drawMessage draws a message to a replica as no sender makes it: any kind, with
// indexes, terms and entries that need not fit each other.
func drawMessage(t *rapid.T, to corianderwing.InstanceID) Message {
	small := rapid.Uint64Range(0, 8)
	index := func(name string) corianderwing.Index {
		if rapid.IntRange(0, 9).Draw(t, name+"far") == 0 {
			return corianderwing.Index(rapid.Uint64().Draw(t, name))
		}
		return corianderwing.Index(small.Draw(t, name))
	}
	term := func(name string) corianderwing.Term { return corianderwing.Term(small.Draw(t, name)) }
	m := Message{
		Group: "g", To: to,
		Kind:    MessageKind(rapid.IntRange(0, int(TimeoutNow)+2).Draw(t, "kind")),
		From:    rapid.SampledFrom([]corianderwing.InstanceID{"a", "b", "c", "x", ""}).Draw(t, "from"),
		Term:    term("term"),
		Index:   index("index"),
		LogTerm: term("logterm"),
		Commit:  index("commit"),
		Round:   small.Draw(t, "round"),
		Reject:  rapid.Bool().Draw(t, "reject"),
		Hint:    index("hint"),
		Force:   rapid.Bool().Draw(t, "force"),
	}
	for range rapid.IntRange(0, 3).Draw(t, "entries") {
		m.Entries = append(m.Entries, corianderwing.Entry{
			Index: index("entry"), Term: term("entryterm"),
			Kind: corianderwing.EntryKind(rapid.IntRange(0, 4).Draw(t, "entrykind")),
			Data: rapid.SampledFrom([][]byte{nil, []byte("x"), []byte(`{}`), []byte(`{"voters":["a"]}`)}).Draw(t, "data"),
		})
	}
	if rapid.Bool().Draw(t, "snapshot") {
		m.Snapshot = &corianderwing.Snapshot{Index: index("snap"), Term: term("snapterm")}
	}
	return m
}

// Guards against a replica that ends its process, or writes a log that it cannot
// load again, because of one malformed message.
func TestMalformedMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Group: "g", Self: "a", InitialMembership: corianderwing.Membership{Voters: []corianderwing.InstanceID{"a", "b", "c"}}}
		n, err := New(cfg, storedLog(1, 1, 2), epoch)
		if err != nil {
			t.Fatal(err)
		}
		if rapid.Bool().Draw(t, "leads") {
			now := epoch.Add(10 * defaultElectionTimeout)
			n.Step(now, Tick{})
			n.Step(now, Received{Message{Group: "g", Kind: PreVoteReply, From: "b", To: "a", Term: n.vote.Term + 1}})
			n.Step(now, Received{Message{Group: "g", Kind: VoteReply, From: "b", To: "a", Term: n.vote.Term}})
			if n.role != Leader {
				t.Fatalf("role %v", n.role)
			}
		}
		for range rapid.IntRange(1, 6).Draw(t, "messages") {
			n.Step(n.now, Received{drawMessage(t, "a")})
		}
		stored := corianderwing.StoredState{Vote: n.vote, Snapshot: n.snapshot, Entries: n.log.entries}
		if _, err = New(cfg, stored, epoch); err != nil {
			t.Fatalf("the log cannot be loaded again: %v", err)
		}
	})
}

// Guards against a leader that serves reads without asking a majority, because a
// reply echoed a round that has not begun.
func TestReplyToFutureRoundConfirmsNothing(t *testing.T) {
	is := is.New(t)
	s := newScriptedCluster(t, "abc", disabledRules{}, nil)
	s.timeout("a")
	s.deliver(func(Message) bool { return true })
	a := s.nodes["a"]
	s.step("a", Received{Message{Group: "g", Kind: AppendReply, From: "b", To: "a", Term: a.vote.Term, Index: a.log.lastIndex(), Round: 1 << 40}})
	e := a.Step(s.now, ReadIndex{[]uint64{7}})
	is.Equal(len(e.Reads), 0)
}
