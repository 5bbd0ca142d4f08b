// Package ctrl implements the control role: it hosts replicas of the consensus
// groups, grants freshness leases and rate shares, distributes settings and stores
// records. Entry instances and operators access the groups through Client.
package ctrl

import (
	"corianderwing"
	"corianderwing/core/raft"
	"corianderwing/io/peer"
	"corianderwing/io/record"
)

// The RPC methods of a control instance.
var (
	stepMethod    = peer.Method[stepRequest, empty]{Name: "Step"}
	proposeMethod = peer.Method[proposeRequest, corianderwing.Result]{Name: "Propose"}
	renewMethod   = peer.Method[corianderwing.RenewRequest, corianderwing.RenewResponse]{Name: "Renew"}
	watchMethod   = peer.Stream[watchRequest, corianderwing.Update]{Name: "Watch"}
	statusMethod  = peer.Method[empty, Status]{Name: "Status"}
	leadMethod    = peer.Method[leadRequest, LeaderStatus]{Name: "Lead"}
	shipMethod    = peer.Method[record.Batch, empty]{Name: "Ship"}
	findMethod    = peer.Method[corianderwing.Query, record.QueryResult]{Name: "Find"}
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

// LeaderStatus is the status of a group as seen by its leader, which has confirmed
// its leadership by a read-index round.
type LeaderStatus struct {
	Leader   corianderwing.InstanceID `json:"leader"` // process of the leader
	Term     corianderwing.Term       `json:"term"`
	Revision corianderwing.Revision   `json:"revision"` // accepted
	InForce  corianderwing.Revision   `json:"force"`    // confirmed by every unexpired lease
	Leases   int                      `json:"leases"`   // unexpired
}
