// Package roster decides which replicas of a control group are voters. Every
// control instance holds a replica. An odd number of them, spread across the
// regions, are voters; the others are learners, which replace voters that fail.
package roster

import (
	"cmp"
	"slices"
	"time"

	"corianderwing"
	"corianderwing/core/raft"
)

const (
	// replaceAfter is how long a member must be silent before another one
	// replaces it. A killed process is back within about a second, and a
	// membership change costs two commits.
	replaceAfter = 2500 * time.Millisecond
	// removeAfter is how long a learner must be silent before it is removed. It
	// rejoins when it is back.
	removeAfter = 10 * time.Second
	// maxLag is the number of log entries that a learner may lack when it is
	// promoted to voter.
	maxLag = 64
)

// Member is what the leader knows about one replica.
type Member struct {
	ID          corianderwing.InstanceID
	Addr        string // replicas at one address are incarnations of the same instance
	Domain      corianderwing.DomainID
	Region      corianderwing.RegionID
	Voter       bool
	LastContact time.Time
	Match       corianderwing.Index // index up to which its log is known to match; 0 until it replies
	Lag         corianderwing.Index // log entries that the replica lacks
}

// VoterCount returns the number of voters that keeps a majority after the given
// number of losses, at least one.
func VoterCount(losses int) int { return 2*max(losses, 1) + 1 }

// NextChange returns the next membership change towards the target number of
// voters, if one is due. Only one change is made at a time.
func NextChange(members []Member, self corianderwing.InstanceID, target int, now time.Time) (raft.MembershipChange, bool) {
	p := planner{members: members, self: self, now: now}
	instances := map[string]bool{} // addresses, because an instance may have several replicas
	for _, m := range members {
		if m.Voter {
			p.voters++
		}
		instances[m.Addr] = true
	}
	// Silent instances count: with fewer voters, a commit would be on fewer disks, and
	// the loss of as many disks as must be borne could take all of them.
	//
	// An even number of voters tolerates no more losses than one voter fewer.
	p.want = min(target, len(instances))
	if p.want%2 == 0 && p.want > 1 {
		p.want--
	}
	for _, step := range []func() (raft.MembershipChange, bool){p.removeReplaced, p.promoteLearner, p.removeVoter, p.removeLearner} {
		if c, ok := step(); ok {
			return c, true
		}
	}
	return raft.MembershipChange{}, false
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

// removeReplaced removes a replica whose instance came back with an empty disk and
// a new ID. The old replica cannot return. At most one voter fewer than the target is
// left, so that every commit is on as many disks as before; a learner is promoted
// before the next one is removed.
func (p *planner) removeReplaced() (raft.MembershipChange, bool) {
	for _, old := range p.members {
		if old.ID == p.self || old.Voter && p.voters < p.want {
			continue
		}
		for _, m := range p.members {
			if replaces(m, old) {
				return raft.MembershipChange{Op: raft.Remove, Instance: old.ID}, true
			}
		}
	}
	return raft.MembershipChange{}, false
}

// replaces reports whether m is a later incarnation of the instance of old: only one
// replica runs at an address, and m was the last to reply.
func replaces(m, old Member) bool {
	return m.ID != old.ID && m.Addr == old.Addr && m.Match > 0 && m.LastContact.After(old.LastContact)
}

// promoteLearner promotes a learner while there are too few live voters.
func (p *planner) promoteLearner() (raft.MembershipChange, bool) {
	// Lost voters still count towards the majority, so at most one voter above
	// the target is added before a lost one is removed.
	if p.liveVoters() >= p.want || p.voters > p.want {
		return raft.MembershipChange{}, false
	}
	best := -1
	for i, m := range p.members {
		if m.Voter || !p.alive(m) || m.Match == 0 || m.Lag > maxLag {
			continue
		}
		if best < 0 || p.crowding(m) < p.crowding(p.members[best]) {
			best = i
		}
	}
	if best < 0 {
		return raft.MembershipChange{}, false
	}
	return raft.MembershipChange{Op: raft.Promote, Instance: p.members[best].ID}, true
}

// crowding counts the other live voters in the member's region and failure domain.
// The region weighs more. The learner with the lowest value is promoted first.
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

// removeVoter removes a voter while there are too many: a lost one, in whose place a
// live one was promoted, or else one in the region with the most voters.
func (p *planner) removeVoter() (raft.MembershipChange, bool) {
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
		return cmp.Or(cmp.Compare(p.crowding(b), p.crowding(a)), cmp.Compare(a.ID, b.ID))
	})
	return raft.MembershipChange{Op: raft.Remove, Instance: voters[0].ID}, true
}

func (p *planner) liveVoters() (n int) {
	for _, m := range p.members {
		if m.Voter && p.alive(m) {
			n++
		}
	}
	return n
}

// removeLearner removes a learner that has been silent for removeAfter.
func (p *planner) removeLearner() (raft.MembershipChange, bool) {
	for _, m := range p.members {
		if !m.Voter && m.ID != p.self && p.now.Sub(m.LastContact) >= removeAfter {
			return raft.MembershipChange{Op: raft.Remove, Instance: m.ID}, true
		}
	}
	return raft.MembershipChange{}, false
}
