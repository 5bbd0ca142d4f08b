package group

import (
	"time"

	"corianderwing"
	"corianderwing/core/raft"
)

// Status is a snapshot of the state of one replica.
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

	// MatchIndex is the highest index up to which each member's log is known to
	// match the leader's. It is set on the leader only.
	MatchIndex map[corianderwing.InstanceID]corianderwing.Index `json:"matches,omitempty"`

	// LastContact is when each member last replied. It is set on the leader only.
	LastContact map[corianderwing.InstanceID]time.Time `json:"heard,omitempty"`

	// Err is the error that stopped the replica, or nil.
	Err error `json:"-"`
}

// publish updates the status that callers read.
func (g *Group) publish() {
	c := g.node.Role()
	s := &Status{
		Group: g.cfg.Group, Self: g.cfg.Self,
		Role: c.Role, Leader: c.Leader, Term: c.Term,
		Commit: g.node.CommitIndex(), Applied: g.applied, LastIndex: g.node.LastIndex(),
		Snapshot: g.node.Snapshot().Index, Voters: g.node.Membership(), Err: g.stopErr,
	}
	if c.Role == raft.Leader {
		s.MatchIndex = make(map[corianderwing.InstanceID]corianderwing.Index)
		s.LastContact = make(map[corianderwing.InstanceID]time.Time)
		for _, list := range [][]corianderwing.InstanceID{s.Voters.Voters, s.Voters.Learners} {
			for _, id := range list {
				s.MatchIndex[id] = g.node.MatchIndex(id)
				s.LastContact[id] = g.node.LastContact(id)
			}
		}
	}
	g.status.Store(s)
}
