// Package ctrl is the control role: it hosts replicas of groups, grants
// freshness leases and shares, distributes settings, and holds records. Its
// Client is how entry instances and operators reach the groups.
package ctrl

import (
	"corianderwing"
	"corianderwing/core/raft"
	"corianderwing/io/peer"
	"corianderwing/io/record"
)

// The calls that a control instance serves.
var (
	stepMethod    = peer.Method[stepRequest, empty]{Name: "Step"}
	proposeMethod = peer.Method[proposeRequest, corianderwing.Result]{Name: "Propose"}
	renewMethod   = peer.Method[corianderwing.RenewRequest, corianderwing.RenewResponse]{Name: "Renew"}
	watchMethod   = peer.Stream[watchRequest, corianderwing.Update]{Name: "Watch"}
	statusMethod  = peer.Method[empty, Status]{Name: "Status"}
	leadMethod    = peer.Method[leadRequest, LeaderStatus]{Name: "Lead"}
	shipMethod    = peer.Method[record.Batch, empty]{Name: "Ship"}
	findMethod    = peer.Method[corianderwing.Query, record.Found]{Name: "Find"}
)

type empty struct{}

type stepRequest struct {
	Group    corianderwing.GroupID `json:"group"`
	Messages []raft.Message        `json:"messages"`
}

type proposeRequest struct {
	Group   corianderwing.GroupID `json:"group"`
	Command corianderwing.Command `json:"command"`
}

type watchRequest struct {
	Group corianderwing.GroupID  `json:"group"`
	After corianderwing.Revision `json:"after"`
}

type leadRequest struct {
	Group corianderwing.GroupID `json:"group"`
}

// LeaderStatus is what the leader of a group knows, after a read-index round.
type LeaderStatus struct {
	Leader   corianderwing.InstanceID `json:"leader"` // process of the leader
	Term     corianderwing.Term       `json:"term"`
	Revision corianderwing.Revision   `json:"revision"` // accepted
	InForce  corianderwing.Revision   `json:"force"`    // confirmed by every unexpired lease
	Leases   int                      `json:"leases"`   // unexpired
}
