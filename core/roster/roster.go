// Package roster decides which replicas of a control group vote. Every control
// instance holds a replica; an odd number of them, spread over the regions,
// votes, and the others learn the log and take over from voters that are lost.
package roster

import (
	"cmp"
	"slices"
	"time"

	"corianderwing"
	"corianderwing/core/raft"
)

const (
	// lostAfter is how long a member must be silent before another one takes
	// its place. A process that is killed is back within about a second, and
	// a change of the membership costs two commits.
	lostAfter = 2500 * time.Millisecond
	// forgetAfter is how long a member must be silent before the group does
	// without it. A learner is then removed, and joins again when it is back.
	forgetAfter = 10 * time.Second
	// mostLag is the number of entries that a learner may lack when it is to
	// vote.
	mostLag = 64
)

// Member is what the leader knows of one replica.
type Member struct {
	ID     corianderwing.InstanceID
	Addr   string // replicas at the same address are lives of the same instance
	Domain corianderwing.DomainID
	Region corianderwing.RegionID
	Voter  bool
	Heard  time.Time
	Lag    corianderwing.Index // entries that its log lacks
}

// Target returns how many replicas vote, so that the loss of the given number
// leaves a majority.
func Target(losses int) int { return 2*max(losses, 1) + 1 }

// Next returns the next change of the membership towards want voters, if one
// is due. One change is made at a time.
func Next(members []Member, self corianderwing.InstanceID, want int, now time.Time) (raft.MembershipChange, bool) {
	p := plan{members: members, self: self, now: now}
	present := 0
	for _, m := range members {
		if m.Voter {
			p.voters++
		}
		if p.alive(m) || now.Sub(m.Heard) < forgetAfter {
			present++
		}
	}
	// An even number of voters bears no more losses than one less.
	p.want = min(want, present)
	if p.want%2 == 0 && p.want > 1 {
		p.want--
	}
	for _, step := range []func() (raft.MembershipChange, bool){p.replaced, p.grow, p.shrink, p.forget} {
		if c, ok := step(); ok {
			return c, true
		}
	}
	return raft.MembershipChange{}, false
}

type plan struct {
	members []Member
	self    corianderwing.InstanceID
	now     time.Time
	voters  int
	want    int
}

func (p *plan) alive(m Member) bool { return m.ID == p.self || p.now.Sub(m.Heard) < lostAfter }

// replaced removes a replica whose instance came back with an empty disk: its
// former life is over for certain.
func (p *plan) replaced() (raft.MembershipChange, bool) {
	for _, old := range p.members {
		if p.alive(old) && old.ID != p.self || old.ID == p.self {
			continue
		}
		for _, m := range p.members {
			if m.ID != old.ID && m.Addr == old.Addr && p.alive(m) {
				return raft.MembershipChange{Op: raft.Remove, Instance: old.ID}, true
			}
		}
	}
	return raft.MembershipChange{}, false
}

// grow promotes a learner while voters are missing or lost.
func (p *plan) grow() (raft.MembershipChange, bool) {
	liveVoters := 0
	for _, m := range p.members {
		if m.Voter && p.alive(m) {
			liveVoters++
		}
	}
	// Voters that are lost still count for the majority, so at most one more
	// than wanted is added before one of them is removed.
	if liveVoters >= p.want || p.voters > p.want {
		return raft.MembershipChange{}, false
	}
	best := -1
	for i, m := range p.members {
		if m.Voter || !p.alive(m) || m.Lag > mostLag {
			continue
		}
		if best < 0 || p.rank(m) < p.rank(p.members[best]) {
			best = i
		}
	}
	if best < 0 {
		return raft.MembershipChange{}, false
	}
	return raft.MembershipChange{Op: raft.Promote, Instance: p.members[best].ID}, true
}

// rank orders learners: one in a region, and then in a failure domain, with
// few voters comes first.
func (p *plan) rank(m Member) int {
	inRegion, inDomain := 0, 0
	for _, v := range p.members {
		if !v.Voter || !p.alive(v) || v.ID == m.ID {
			continue
		}
		if v.Region == m.Region {
			inRegion++
		}
		if v.Domain == m.Domain {
			inDomain++
		}
	}
	return inRegion*len(p.members) + inDomain
}

// shrink removes a voter while there are too many: one that is lost, or else
// the one in the region with most voters.
func (p *plan) shrink() (raft.MembershipChange, bool) {
	if p.voters <= p.want || p.voters < 3 {
		return raft.MembershipChange{}, false
	}
	var voters []Member
	for _, m := range p.members {
		if m.Voter && m.ID != p.self {
			voters = append(voters, m)
		}
	}
	slices.SortFunc(voters, func(a, b Member) int {
		if p.alive(a) != p.alive(b) {
			if p.alive(b) {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(p.rank(b), p.rank(a)), cmp.Compare(a.ID, b.ID))
	})
	// A voter that may be back in a moment is only removed for another one.
	first := voters[0]
	if !p.alive(first) && p.liveVoters() < p.want {
		return raft.MembershipChange{}, false
	}
	return raft.MembershipChange{Op: raft.Remove, Instance: first.ID}, true
}

func (p *plan) liveVoters() (n int) {
	for _, m := range p.members {
		if m.Voter && p.alive(m) {
			n++
		}
	}
	return n
}

// forget removes learners that have been silent for long.
func (p *plan) forget() (raft.MembershipChange, bool) {
	for _, m := range p.members {
		if !m.Voter && m.ID != p.self && p.now.Sub(m.Heard) >= forgetAfter {
			return raft.MembershipChange{Op: raft.Remove, Instance: m.ID}, true
		}
	}
	return raft.MembershipChange{}, false
}
