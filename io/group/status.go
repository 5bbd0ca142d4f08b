package group

import (
	"time"

	"corianderwing"
	"corianderwing/core/raft"
)

// Status is the state of one replica at one moment.
type Status struct {
	Group     corianderwing.GroupID    `json:"group"`
	Self      corianderwing.InstanceID `json:"self"`
	Role      raft.Role                `json:"role"`
	Leader    corianderwing.InstanceID `json:"leader,omitempty"`
	Term      corianderwing.Term       `json:"term"`
	Commit    corianderwing.Index      `json:"commit"`
	Applied   corianderwing.Index      `json:"applied"`
	LastIndex corianderwing.Index      `json:"last"`
	Snapshot  corianderwing.Index      `json:"snapshot"`
	Voters    corianderwing.Membership `json:"voters"`

	// MatchIndex tells how far the log of each member is known to match. Only
	// the leader knows it for others.
	MatchIndex map[corianderwing.InstanceID]corianderwing.Index `json:"matches,omitempty"`

	// LastContact tells when each member last answered. Only the leader knows it.
	LastContact map[corianderwing.InstanceID]time.Time `json:"heard,omitempty"`

	// Err is why the replica stopped by itself, or nil.
	Err error `json:"-"`
}

// publish makes the state of the loop visible to callers.
func (g *Group) publish() {
	c := g.node.Role()
	s := &Status{
		Group: g.cfg.Group, Self: g.cfg.Self,
		Role: c.Role, Leader: c.Leader, Term: c.Term,
		Commit: g.node.Commit(), Applied: g.applied, LastIndex: g.node.Last(),
		Snapshot: g.node.Snapshot().Index, Voters: g.node.Voters(), Err: g.stopErr,
	}
	if c.Role == raft.Leader {
		s.MatchIndex = make(map[corianderwing.InstanceID]corianderwing.Index)
		s.LastContact = make(map[corianderwing.InstanceID]time.Time)
		for _, list := range [][]corianderwing.InstanceID{s.Voters.Voters, s.Voters.Learners} {
			for _, id := range list {
				s.MatchIndex[id] = g.node.Match(id)
				s.LastContact[id] = g.node.Heard(id)
			}
		}
	}
	g.status.Store(s)
}
