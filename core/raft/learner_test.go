package raft

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// newLearnerCluster starts five voters, the first of which leads, and the given
// number of learners.
func newLearnerCluster(t *testing.T, learners int) *scriptedCluster {
	s := newScriptedCluster(t, "abcde", disabledRules{}, nil)
	s.cfg.MaxBatch = defaultMaxBatch
	for k := range learners {
		s.cfg.InitialMembership.Learners = append(s.cfg.InitialMembership.Learners, corianderwing.InstanceID(rune('A'+k)))
	}
	for _, id := range members(s.cfg.InitialMembership) {
		s.start(id, disabledRules{}, corianderwing.StoredState{})
	}
	s.timeout("a")
	s.deliver(func(Message) bool { return true })
	return s
}

// advance moves the clock and delivers all messages that are due. It returns the
// number of messages from the leader to learners.
func (s *scriptedCluster) advance(d time.Duration) int {
	s.now = s.now.Add(d)
	if !s.now.Before(s.nodes["a"].NextTick()) {
		s.step("a", Tick{})
	}
	sent := 0
	s.deliver(func(m Message) bool {
		if m.From == "a" && !isVoter(s.cfg.InitialMembership, m.To) {
			sent++
		}
		return true
	})
	return sent
}

// Guards against a leader whose messages to the learners of a large group cost
// several times as much as those that commit. A deployment of 27 control instances
// and 760 upstreams commits hundreds of commands while it starts, and each was sent
// to 22 learners twice: with its entry and with its commit index.
func TestLearnersShareMessages(t *testing.T) {
	is := is.New(t)
	const learners, commands = 20, 200
	s := newLearnerCluster(t, learners)
	sent := 0
	for k := range commands {
		s.step("a", Propose{[]Proposal{{ID: uint64(k), Data: []byte("x")}}})
		sent += s.advance(time.Millisecond)
	}
	sent += s.advance(learnerInterval)
	sent += s.advance(learnerInterval)
	rounds := int(commands*time.Millisecond/learnerInterval) + 3
	t.Logf("%d messages to %d learners for %d commands", sent, learners, commands)
	is.True(sent <= rounds*learners)
	for _, id := range s.cfg.InitialMembership.Learners {
		is.Equal(s.nodes[id].commit, s.nodes["a"].commit) // all of it arrives all the same
	}
	is.True(s.nodes["a"].commit > commands)
	is.Equal(s.violations, nil)
}

// Guards against a learner that gets one message in each interval while it lacks
// thousands of entries: a replaced instance must catch up before it may vote.
func TestLearnerCatchesUpWithoutWaiting(t *testing.T) {
	is := is.New(t)
	s := newLearnerCluster(t, 1)
	var list []Proposal
	for k := range 8 * defaultMaxBatch {
		list = append(list, Proposal{ID: uint64(k), Data: []byte("x")})
	}
	s.step("a", Propose{list})
	s.advance(learnerInterval)
	s.advance(learnerInterval)
	s.advance(learnerInterval)
	is.Equal(s.nodes["A"].commit, s.nodes["a"].commit)
}
