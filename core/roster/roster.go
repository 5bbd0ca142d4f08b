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
	// replaceAfter is how long a member must be silent before another one takes
	// its place. A process that is killed is back within about a second, and
	// a change of the membership costs two commits.
	replaceAfter = 2500 * time.Millisecond
	// removeAfter is how long a member must be silent before the group does
	// without it. A learner is then removed, and joins again when it is back.
	removeAfter = 10 * time.Second
	// maxLag is the number of entries that a learner may lack when it is to
	// vote.
	maxLag = 64
)

// Member is what the leader knows of one replica.
type Member struct {
	ID          corianderwing.InstanceID
	Addr        string // replicas at the same address are lives of the same instance
	Domain      corianderwing.DomainID
	Region      corianderwing.RegionID
	Voter       bool
	LastContact time.Time
	Lag         corianderwing.Index // entries that its log lacks
}

// VoterCount returns how many replicas vote, so that the loss of the given number
// leaves a majority.
func VoterCount(losses int) int { return 2*max(losses, 1) + 1 }

// NextChange returns the next change of the membership towards want voters, if one
// is due. One change is made at a time.
func NextChange(members []Member, self corianderwing.InstanceID, target int, now time.Time) (raft.Change, bool) {
	p := planner{members: members, self: self, now: now}
	present := 0
	for _, m := range members {
		if m.Voter {
			p.voters++
		}
		if p.alive(m) || now.Sub(m.LastContact) < removeAfter {
			present++
		}
	}
	// An even number of voters bears no more losses than one less.
	p.want = min(target, present)
	if p.want%2 == 0 && p.want > 1 {
		p.want--
	}
	for _, step := range []func() (raft.Change, bool){p.removeReplaced, p.promoteLearner, p.removeVoter, p.removeLearner} {
		if c, ok := step(); ok {
			return c, true
		}
	}
	return raft.Change{}, false
}

type planner struct {
	members []Member
	self    corianderwing.InstanceID
	now     time.Time
	voters  int
	want    int
}

func (p *planner) alive(m Member) bool {
	return m.ID == p.self || p.now.Sub(m.LastContact) < replaceAfter
}

// removeReplaced removes a replica whose instance came back with an empty disk: its
// former life is over for certain.
func (p *planner) removeReplaced() (raft.Change, bool) {
	for _, old := range p.members {
		if p.alive(old) && old.ID != p.self || old.ID == p.self {
			continue
		}
		for _, m := range p.members {
			if m.ID != old.ID && m.Addr == old.Addr && p.alive(m) {
				return raft.Change{Op: raft.Remove, Instance: old.ID}, true
			}
		}
	}
	return raft.Change{}, false
}

// promoteLearner promotes a learner while voters are missing or lost.
func (p *planner) promoteLearner() (raft.Change, bool) {
	liveVoters := 0
	for _, m := range p.members {
		if m.Voter && p.alive(m) {
			liveVoters++
		}
	}
	// Voters that are lost still count for the majority, so at most one more
	// than wanted is added before one of them is removed.
	if liveVoters >= p.want || p.voters > p.want {
		return raft.Change{}, false
	}
	best := -1
	for i, m := range p.members {
		if m.Voter || !p.alive(m) || m.Lag > maxLag {
			continue
		}
		if best < 0 || p.crowding(m) < p.crowding(p.members[best]) {
			best = i
		}
	}
	if best < 0 {
		return raft.Change{}, false
	}
	return raft.Change{Op: raft.Promote, Instance: p.members[best].ID}, true
}

// crowding orders learners: one in a region, and then in a failure domain, with
// few voters comes first.
func (p *planner) crowding(m Member) int {
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

// removeVoter removes a voter while there are too many: one that is lost, or else
// the one in the region with most voters.
func (p *planner) removeVoter() (raft.Change, bool) {
	if p.voters <= p.want || p.voters < 3 {
		return raft.Change{}, false
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
		return cmp.Or(cmp.Compare(p.crowding(b), p.crowding(a)), cmp.Compare(a.ID, b.ID))
	})
	// A voter that may be back in a moment is only removed for another one.
	candidate := voters[0]
	if !p.alive(candidate) && p.liveVoters() < p.want {
		return raft.Change{}, false
	}
	return raft.Change{Op: raft.Remove, Instance: candidate.ID}, true
}

func (p *planner) liveVoters() (n int) {
	for _, m := range p.members {
		if m.Voter && p.alive(m) {
			n++
		}
	}
	return n
}

// removeLearner removes learners that have been silent for long.
func (p *planner) removeLearner() (raft.Change, bool) {
	for _, m := range p.members {
		if !m.Voter && m.ID != p.self && p.now.Sub(m.LastContact) >= removeAfter {
			return raft.Change{Op: raft.Remove, Instance: m.ID}, true
		}
	}
	return raft.Change{}, false
}
