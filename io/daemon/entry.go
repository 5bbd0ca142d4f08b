package daemon

import (
	"cmp"
	"context"
	"errors"
	"hash/maphash"
	"net/http"
	"slices"
	"time"

	"corianderwing"
	"corianderwing/core/member"
	"corianderwing/io/agent"
	"corianderwing/io/ctrl"
	"corianderwing/io/entry"
	"corianderwing/io/fleet"
	"corianderwing/io/peer"
	"corianderwing/io/record"
)

// entryRole is the entry role of a process.
type entryRole struct {
	server   *entry.Server
	fleet    *fleet.Fleet
	records  *record.Buffer
	agent    *agent.Agent
	peers    *peer.Server
	public   *http.Server
	internal *http.Server
}

// maxHeader is the largest request header that net/http reads, in bytes. It
// is above the entry role's own limit, which answers with a result code.
const maxHeader = 64 << 10

func (d *Daemon) startEntry() error {
	e := &entryRole{peers: peer.NewServer(d.cfg.Secret)}
	d.entry = e
	client := ctrl.NewClient(d.peer, d.voters())
	incarnation := corianderwing.Incarnation(time.Now().UnixNano())
	if err := d.startFleet(e, incarnation); err != nil {
		return err
	}
	e.agent = agent.New(agent.Config{
		Self:        d.process.ID,
		Incarnation: incarnation,
		Domain:      d.process.Domain,
		Region:      d.cfg.Region(d.process.Domain),
		Links:       d.cfg.LinkCaps(),
		Groups:      client.Groups(),
		Control:     client,
		Log:         d.log,
		Samples:     sampleReporter{client},
		Lenders:     func() []agent.Lender { return lenders(e.fleet, d.peer) },
	})
	peer.Handle(e.peers, borrowMethod, func(_ context.Context, r *borrowRequest) (*borrowResponse, error) {
		n, left := e.agent.Lend(r.Bound, r.Requested)
		return &borrowResponse{Tokens: n, LeaseDuration: left}, nil
	})
	d.wg.Go(func() { e.agent.Run(d.ctx) })
	e.records = record.NewBuffer(record.BufferConfig{
		Instance:    d.process.ID,
		Incarnation: incarnation,
		Holders:     d.recordHolders,
		Shipper:     ctrl.NewRecordClient(d.peer, d.controlAddrs()),
		Log:         d.log,
	})
	return d.startServing(e, client)
}

func (d *Daemon) startFleet(e *entryRole, incarnation corianderwing.Incarnation) error {
	p := d.process
	cfg := fleet.Config{Exchanger: exchanger{d.peer}}
	cfg.Self = corianderwing.Instance{
		ID:           p.ID,
		Incarnation:  incarnation,
		Domain:       p.Domain,
		Region:       d.cfg.Region(p.Domain),
		PublicAddr:   p.Entry.PublicAddr,
		InternalAddr: p.Entry.InternalAddr,
		PeerAddr:     p.Entry.PeerAddr,
		Phase:        corianderwing.Ready,
	}
	cfg.SoleInstance = d.isSoleInstance()
	cfg.Seeds = d.gossipSeeds()
	cfg.RandSeed = maphash.String(maphash.MakeSeed(), string(p.ID))
	cfg.Regions = map[corianderwing.DomainID]corianderwing.RegionID{}
	cfg.Delays = map[corianderwing.DomainID]time.Duration{}
	for _, other := range d.cfg.Domains {
		cfg.Regions[other.Name] = other.Region
		if ms, ok := d.cfg.Delay(p.Domain, other.Name); ok {
			cfg.Delays[other.Name] = time.Duration(ms * float64(time.Millisecond))
		}
	}
	f, err := fleet.New(cfg)
	if err != nil {
		return err
	}
	e.fleet = f
	peer.Handle(e.peers, gossipMethod, func(_ context.Context, m *member.Gossip) (*member.Gossip, error) {
		reply := f.HandleExchange(*m)
		return &reply, nil
	})
	if err := d.servePeers(p.Entry.PeerAddr, e.peers); err != nil {
		return err
	}
	d.wg.Go(func() { f.Run(d.ctx) })
	return nil
}

// controlAddrs returns the peer address of every control instance.
func (d *Daemon) controlAddrs() map[corianderwing.InstanceID]string {
	all := map[corianderwing.InstanceID]string{}
	for _, p := range d.cfg.Processes {
		if p.Control != nil {
			all[p.ID] = p.Control.PeerAddr
		}
	}
	return all
}

// recordHolders returns the control instances that hold this instance's records,
// preferred first: the nearest, then those of other failure domains.
func (d *Daemon) recordHolders() []corianderwing.InstanceID {
	var ids []corianderwing.InstanceID
	delay := map[corianderwing.InstanceID]float64{}
	for _, p := range d.cfg.Processes {
		if p.Control == nil {
			continue
		}
		ids = append(ids, p.ID)
		delay[p.ID], _ = d.cfg.Delay(d.process.Domain, p.Domain)
	}
	slices.SortStableFunc(ids, func(a, b corianderwing.InstanceID) int {
		return cmp.Compare(delay[a], delay[b])
	})
	return ids
}

// isSoleInstance reports whether this is the only entry instance of its failure domain.
func (d *Daemon) isSoleInstance() bool {
	n := 0
	for _, p := range d.cfg.Processes {
		if p.Entry != nil && p.Domain == d.process.Domain {
			n++
		}
	}
	return n == 1
}

// gossipSeeds returns the gossip addresses of the other entry instances.
func (d *Daemon) gossipSeeds() []string {
	var all []string
	for _, p := range d.cfg.Processes {
		if p.Entry != nil && p.ID != d.process.ID {
			all = append(all, p.Entry.PeerAddr)
		}
	}
	return all
}

func (d *Daemon) startServing(e *entryRole, client *ctrl.Client) error {
	srv, err := entry.New(entry.Config{
		Settings: e.agent,
		Limiter:  e.agent,
		Control:  client,
		Fleet:    e.fleet,
		Recorder: e.records,
		Links:    e.agent,
		Secret:   d.cfg.Secret,
		HomeGroup: func(w corianderwing.WorkspaceID) corianderwing.GroupID {
			g, _ := e.agent.Home(w)
			return g
		},
		SetPhase:   e.fleet.SetPhase,
		ShiftShare: e.agent.NewVersionShare,
		Observe: func(s entry.Sample) {
			if at, ok := moveEvidence(s); ok {
				e.agent.Observe(at)
			}
		},
		Metrics: d.opts.metrics,
	}, entry.WithLookupTTL(d.opts.lookupTTL))
	if err != nil {
		return err
	}
	e.server = srv
	if e.internal, err = d.serveHTTP(d.process.Entry.InternalAddr, srv.Internal(), maxHeader); err != nil {
		return err
	}
	e.public, err = d.serveHTTP(d.process.Entry.PublicAddr, srv.Public(), maxHeader)
	return err
}

// close withdraws the instance from lookups, finishes the running requests and only then closes
// the listeners.
func (e *entryRole) close(ctx context.Context) error {
	var all []error
	if e.server != nil {
		all = append(all, e.server.Close(ctx), e.records.Close(ctx))
	}
	for _, s := range []*http.Server{e.public, e.internal} {
		if s != nil {
			all = append(all, s.Shutdown(ctx))
		}
	}
	e.peers.Stop()
	return errors.Join(all...)
}

func (e *entryRole) kill() {
	for _, s := range []*http.Server{e.public, e.internal} {
		if s != nil {
			s.Close()
		}
	}
	e.peers.Stop()
	if e.server != nil {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_ = e.server.Close(ended) // a crash reports nothing
		_ = e.records.Close(ended)
	}
}
