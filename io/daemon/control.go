package daemon

import (
	"context"
	"errors"
	"net/http"
	"path/filepath"

	"corianderwing"
	"corianderwing/io/ctrl"
	"corianderwing/io/peer"
	"corianderwing/io/record"
)

// control is the control role of a process.
type control struct {
	server  *ctrl.Server
	records *record.Holder
	peers   *peer.Server
	admin   *http.Server
}

func (d *Daemon) startControl() error {
	p := d.process
	holder, err := record.NewHolder(record.HolderConfig{Dir: filepath.Join(p.Control.DataDir, "records"), Log: d.log})
	if err != nil {
		return err
	}
	srv, err := ctrl.NewServer(ctrl.Config{
		Self:        p.ID,
		DataDir:     p.Control.DataDir,
		Groups:      d.voters(),
		Log:         d.log,
		OnViolation: d.opts.onViolation,
		Records:     holder,
		Links:       d.cfg.LinkCaps(),
	}, d.peer)
	if err != nil {
		return errors.Join(err, holder.Close())
	}
	c := &control{server: srv, records: holder, peers: peer.NewServer(d.cfg.Secret)}
	d.control = c
	srv.Register(c.peers)
	if err := d.servePeers(p.Control.PeerAddr, c.peers); err != nil {
		return err
	}
	d.wg.Go(func() {
		if err := srv.Run(d.ctx); err != nil && d.ctx.Err() == nil {
			d.fail(err)
		}
	})
	if err := d.startAdmin(c); err != nil {
		return err
	}
	if d.opts.seed {
		for _, g := range d.cfg.VoterGroups(p.ID) {
			d.wg.Go(func() { d.seedGroup(g.Name) })
		}
	}
	return nil
}

// seedGroup applies the settings file's tree to a group that has none.
func (d *Daemon) seedGroup(g corianderwing.GroupID) {
	s := &seeder{
		group:    g,
		commands: append(d.seatCommands(g), d.cfg.SeedCommands(g)...),
		client:   ctrl.NewClient(d.peer, d.voters()),
		log:      d.log,
	}
	s.run(d.ctx)
}

// seatCommands returns the command that sets the number of seats of every failure
// domain, over which the fixed part of each bound is divided.
func (d *Daemon) seatCommands(g corianderwing.GroupID) []corianderwing.Command {
	seats := map[corianderwing.DomainID]int{}
	for _, domain := range d.cfg.Domains {
		seats[domain.Name] = domain.Seats
	}
	return []corianderwing.Command{{
		Request:  corianderwing.RequestID("seed-" + string(g) + "-seats"),
		Operator: "seed",
		Kind:     corianderwing.SetNode,
		Settings: &corianderwing.Settings{Seats: seats},
	}}
}

func (c *control) close(ctx context.Context) error {
	err := c.server.Close(ctx)
	if c.admin != nil {
		err = errors.Join(err, c.admin.Shutdown(ctx))
	}
	c.peers.Stop()
	return errors.Join(err, c.records.Close())
}

func (c *control) kill() {
	c.peers.Stop()
	if c.admin != nil {
		c.admin.Close()
	}
	c.server.Kill()
	c.records.Close()
}
