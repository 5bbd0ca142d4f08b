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
	renewMethod   = peer.Method[corianderwing.Renew, corianderwing.Renewed]{Name: "Renew"}
	watchMethod   = peer.Stream[watchRequest, corianderwing.Update]{Name: "Watch"}
	statusMethod  = peer.Method[empty, Status]{Name: "Status"}
	forceMethod   = peer.Method[forceRequest, Force]{Name: "Force"}
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

type forceRequest struct {
	Group    corianderwing.GroupID  `json:"group"`
	Revision corianderwing.Revision `json:"revision"`
}

// Force tells how far a revision is in force.
type Force struct {
	Revision corianderwing.Revision     `json:"revision"`
	Force    bool                       `json:"force"`            // every unexpired lease has confirmed it
	Behind   []corianderwing.InstanceID `json:"behind,omitempty"` // instances that have not
}
