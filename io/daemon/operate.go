package daemon

import (
	"corianderwing"
	"corianderwing/io/admin"
	"corianderwing/io/ctrl"
)

// operated gives the operators' API what it needs of the control groups. It
// implements admin.Groups.
type operated struct{ *ctrl.Mirror }

// State implements admin.Groups. A group without a reachable leader has an
// empty Leader.
func (o operated) State(g corianderwing.GroupID) admin.GroupState {
	s := admin.GroupState{Group: g}
	lead, err := o.Lead(g)
	if err != nil {
		return s
	}
	s.Leader, s.Term = lead.Leader, lead.Term
	s.Revision, s.Confirmed, s.Leases = lead.Revision, lead.Force, lead.Leases
	return s
}

// startAdmin serves the operators' API.
func (d *Daemon) startAdmin(c *control) error {
	client := ctrl.NewClient(d.peer, d.voters())
	mirror := ctrl.NewMirror(client)
	d.wg.Go(func() { mirror.Run(d.ctx) })
	api := admin.New(operated{mirror}, ctrl.NewHolders(d.peer, d.controls()), d.cfg.Secret)
	var err error
	c.admin, err = d.serveHTTP(d.process.Control.Admin, api, maxHeader)
	return err
}
