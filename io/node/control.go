package node

import (
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"corianderwing"
	"corianderwing/core/budget"
	"corianderwing/core/duty"
	"corianderwing/io/plane"
	"corianderwing/io/quorum"
	"corianderwing/io/report"
)

func (n *Node) startControl() error {
	cfg := n.cfg
	var err error
	n.plane, err = plane.Open(plane.Config{
		Quorum: quorum.Config{
			PeerAddr:  cfg.peerAddr(),
			Domain:    cfg.Domain,
			Region:    cfg.Region,
			DataDir:   filepath.Join(cfg.DataDir, "site"),
			Seeds:     cfg.seedPeerAddrs(),
			Bootstrap: cfg.Bootstrap,
			NumVoters: 2*max(1, cfg.MaxLosses) + 1,
			Log:       n.log,
			OnViolation: func(invariant, _ string) {
				n.meter.RecordViolation(invariant) // io/group logs the detail
			},
		},
		RegionOf:          cfg.regionOf,
		HeartbeatInterval: time.Duration(cfg.HeartbeatInterval),
		LookupTTL:         min(time.Duration(cfg.Bounds.LookupTTL), maxLookupTTL),
		RateTolerance: plane.RateTolerance{
			Window:   time.Duration(cfg.Bounds.RateWindow),
			Fraction: cfg.Bounds.ToleranceFraction,
			Requests: cfg.Bounds.ToleranceRequests,
		},
		UsageWindow: cfg.Usage.window(),
		Log:         n.log,
	}, n.peerClient, n.peerServer)
	if err != nil {
		return eris.Wrap(err, "start control role")
	}
	if err := n.servePeers(cfg.peerAddr()); err != nil {
		return err
	}
	n.startReporter()
	if cfg.Listen.Admin != "" {
		h := n.adapter.Admin(n.plane, n.log)
		n.adminMeasurer, _ = h.(measurer)
		if _, err := n.serve(cfg.Listen.Admin, h, budget.Control, callTimeout); err != nil {
			return err
		}
	}
	if cfg.Listen.Lookup != "" {
		if _, err := n.serve(cfg.Listen.Lookup, n.adapter.Lookup(n.plane), budget.Lookups, callTimeout); err != nil {
			return err
		}
	}
	return nil
}

// startReporter starts the reports of usage, if the settings ask for them.
func (n *Node) startReporter() {
	u := &n.cfg.Usage
	if !u.Enabled() {
		return
	}
	n.reporter = report.Start(report.Config{
		Addr:      u.Receiver,
		SourceIP:  n.cfg.sourceIP(),
		Self:      duty.Holder{Instance: corianderwing.InstanceID(n.cfg.Name), Incarnation: n.plane.Incarnation()},
		Lease:     time.Duration(u.Lease),
		Window:    time.Duration(u.Window),
		Late:      time.Duration(u.Late),
		PerSecond: u.PerSecond,
		Dialect:   n.adapter,
		Log:       n.log,
		Meter:     n.meter,
	}, n.plane)
}

// maxLookupTTL is the maximum time for which callers may cache a lookup. It bounds
// how long they keep sending to a stopping instance. Each lookup costs a control
// instance about 0.2 ms.
const maxLookupTTL = 2 * time.Second
