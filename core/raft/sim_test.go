package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"corianderwing"
)

// sim runs replicas in virtual time on an unreliable network and unreliable disks.
// A run is determined by its seed.
type sim struct {
	rng        *rand.Rand
	disabled   disabledMechanisms
	now        time.Time
	queue      []timedEvent // latest first: the next event is the last element, so that insertions shift few
	replicas   []*replica
	membership corianderwing.Membership

	cut               map[[2]corianderwing.InstanceID]bool
	loss, duplication float64
	delay             time.Duration
	crashes           float64 // probability of a crash at each disk write

	leaders   map[corianderwing.Term]corianderwing.InstanceID
	committed map[corianderwing.Index]corianderwing.Entry
	fault     string
	trace     []string
	tracing   bool
}

// disabledMechanisms lists the mechanisms that a run does without, to show that
// the checks detect their absence.
type disabledMechanisms struct {
	disabledRules
	forgetVote      bool // the disk keeps the term of the vote but not the candidate
	replyBeforeSync bool // replies are sent before the state that they acknowledge is synced
	reuseIdentity   bool // a replica that lost its disk restarts under its old id
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type timedEvent struct {
	at time.Time
	do func()
}

func newSim(seed uint64, n int, off disabledMechanisms, tracing bool) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), disabled: off, now: epoch, tracing: tracing, delay: 5 * time.Millisecond,
		cut: map[[2]corianderwing.InstanceID]bool{}, leaders: map[corianderwing.Term]corianderwing.InstanceID{}, committed: map[corianderwing.Index]corianderwing.Entry{}}
	for k := range n {
		s.membership.Voters = append(s.membership.Voters, corianderwing.InstanceID(rune('a'+k)))
	}
	for _, id := range s.membership.Voters {
		s.add(id)
	}
	return s
}

func (s *sim) add(id corianderwing.InstanceID) *replica {
	r := &replica{s: s, id: id, clockRate: 0.97 + 0.06*s.rng.Float64(), snapshotInterval: corianderwing.Index(3 + s.rng.IntN(20))}
	s.replicas = append(s.replicas, r)
	r.start()
	return r
}

func (s *sim) log(format string, args ...any) {
	if s.tracing {
		s.trace = append(s.trace, fmt.Sprintf("%9.3f ", s.now.Sub(epoch).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (s *sim) fail(format string, args ...any) {
	if s.fault == "" {
		s.fault = fmt.Sprintf(format, args...)
		s.log("FAULT %s", s.fault)
	}
}

func (s *sim) after(d time.Duration, do func()) {
	at := s.now.Add(d)
	k := sort.Search(len(s.queue), func(k int) bool { return !s.queue[k].at.After(at) })
	s.queue = slices.Insert(s.queue, k, timedEvent{at, do})
}

// run executes the events of the next d, and stops early with true once done
// returns true.
func (s *sim) run(d time.Duration, done func() bool) bool {
	end := s.now.Add(d)
	for s.fault == "" {
		last := len(s.queue) - 1
		if last < 0 || s.queue[last].at.After(end) {
			break
		}
		o := s.queue[last]
		s.queue = s.queue[:last]
		s.now = o.at
		o.do()
		if done != nil && done() {
			return true
		}
	}
	s.now = end
	return false
}

func (s *sim) randomDuration(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d)) + 1)
}

// downtime returns how long a crashed process stays down. Half of the time it is
// short enough that the process returns within the same election.
func (s *sim) downtime() time.Duration {
	if s.rng.IntN(2) == 0 {
		return s.randomDuration(50 * time.Millisecond)
	}
	return s.randomDuration(2 * time.Second)
}

func (s *sim) find(id corianderwing.InstanceID) *replica {
	for _, r := range s.replicas {
		if r.id == id {
			return r
		}
	}
	return nil
}

// leader returns the running leader with the highest term.
func (s *sim) leader() *replica {
	var best *replica
	for _, r := range s.replicas {
		if r.node != nil && r.node.role == Leader && (best == nil || r.node.vote.Term > best.node.vote.Term) {
			best = r
		}
	}
	return best
}

func (s *sim) transmit(list []Message) {
	for _, m := range list {
		copies := 1
		if s.rng.Float64() < s.duplication {
			copies = 2
		}
		for range copies {
			if s.cut[[2]corianderwing.InstanceID{m.From, m.To}] || s.rng.Float64() < s.loss {
				s.log("%s -> %s lost %s", m.From, m.To, m.Kind)
				continue
			}
			d := s.randomDuration(s.delay)
			if s.loss > 0 && s.rng.IntN(20) == 0 {
				d += s.randomDuration(time.Second)
			}
			s.after(d, func() {
				if r := s.find(m.To); r != nil {
					r.deliver(Received{m})
				}
			})
		}
	}
}

func brief(m Message) string {
	s := fmt.Sprintf("%s term %d at (%d, %d) round %d", m.Kind, m.Term, m.Index, m.LogTerm, m.Round)
	if len(m.Entries) > 0 {
		s += fmt.Sprintf(" +%d commit %d", len(m.Entries), m.Commit)
	}
	if m.Snapshot != nil {
		s += fmt.Sprintf(" snapshot %d", m.Snapshot.Index)
	}
	if m.Reject {
		s += fmt.Sprintf(" reject, hint (%d, %d)", m.Hint, m.HintTerm)
	}
	return s
}
