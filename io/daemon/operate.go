package daemon

import (
	"corianderwing"
	"corianderwing/io/admin"
	"corianderwing/io/ctrl"
)

// groupStates provides the state of the control groups to the operators' API.
// It implements admin.Groups.
type groupStates struct{ *ctrl.Mirror }

// State implements admin.Groups. A group without a reachable leader has an
// empty Leader.
func (o groupStates) State(g corianderwing.GroupID) admin.GroupState {
	s := admin.GroupState{Group: g}
	leader, err := o.LeaderStatus(g)
	if err != nil {
		return s
	}
	s.Leader, s.Term = leader.Leader, leader.Term
	s.Revision, s.Confirmed, s.Leases = leader.Revision, leader.InForce, leader.Leases
	return s
}

// startAdmin serves the operators' API.
func (d *Daemon) startAdmin(c *control) error {
	client := ctrl.NewClient(d.peer, d.voters())
	mirror := ctrl.NewMirror(client)
	d.wg.Go(func() { mirror.Run(d.ctx) })
	api := admin.New(groupStates{mirror}, ctrl.NewRecordClient(d.peer, d.controlAddrs()), d.cfg.Secret)
	var err error
	c.admin, err = d.serveHTTP(d.process.Control.AdminAddr, api, maxHeader)
	return err
}
