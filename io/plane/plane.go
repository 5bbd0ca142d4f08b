// Package plane implements the control plane role of an instance: it receives
// heartbeats from upstreams and commands from operators, pushes updates to
// entry instances, and tells callers which entry instances to use. Every
// control instance serves all requests; decisions that must be made once are
// made by the leader of the group.
package plane

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/fresh"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/core/quota"
	"corianderwing/core/steer"
	"corianderwing/io/clock"
	"corianderwing/io/peer"
	"corianderwing/io/quorum"
)

// Config configures a control instance.
type Config struct {
	Quorum quorum.Config
	// HeartbeatInterval is the interval at which upstreams send heartbeats.
	HeartbeatInterval time.Duration
	// LookupTTL is how long callers may cache the result of LocateEntries.
	LookupTTL     time.Duration
	RateTolerance RateTolerance
	// RegionOf returns the region of a failure domain.
	RegionOf func(corianderwing.DomainID) corianderwing.RegionID
	// UsageWindow is the length of a window in which entry instances count the
	// requests that upstreams began to run; 0 if they count none.
	UsageWindow time.Duration
	Log         *log.Logger
}

// Plane is a running control instance. It implements
// corianderwing.ControlPlane.
type Plane struct {
	cfg         Config
	log         *log.Logger
	machine     *model.Machine
	replica     *quorum.Replica
	peer        *peer.Client
	batch       *batch
	heartbeats  *heartbeatTracker
	confirmer   *confirmer
	confirmed   func(context.Context) (*model.View, error) // see confirmedView
	knowsLeader func() bool                                // the replica hears from a leader
	leaderState *leaderState
	incarnation corianderwing.Incarnation
	allocators  *allocators
	usage       usageState

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	waitingMu sync.Mutex
	waiting   map[place.ID]waitingRequest // requests waiting for a slot between two calls

	mu                sync.Mutex
	localEntries      map[corianderwing.InstanceID]entryRecord // entry instances that send heartbeats to this instance
	entries           []corianderwing.Instance                 // all live entry instances, as last reported by the leader
	controls          []ControlInstance
	instancesVersion  uint64               // of entries and controls
	lastLeaderAddr    string               // address of the last known leader
	quotaAllocator    *quota.Allocator     // divides this instance's token shares among entry instances
	reserve           *quota.Limiter       // fraction of the shares from which entry instances borrow
	loans             []steer.UpstreamLoan // slots that failure domains lend each other
	loansVersion      uint64
	borrowed          map[corianderwing.DomainID]borrowedList // by borrower
	trials            []Trial                                 // received from entry instances, in no report yet
	sentTrials        trialBatch                              // in the last report
	moveShares        []MoveShare                             // last received from the leader
	coldLeases        coldLeases
	sharesValidUntil  time.Time // boot time at which the shares of quotaAllocator expire
	confirmedAt       time.Time // boot time of the last confirmation by the leader, reached or not
	confirmedRevision corianderwing.Revision
	freshness         fresh.Tracker // how recently the state of this instance was the newest
}

var _ corianderwing.ControlPlane = (*Plane)(nil)

// entryRecord is an entry instance that sends heartbeats to this control
// instance.
type entryRecord struct {
	entry         corianderwing.Instance
	lastHeartbeat time.Time
	trials        []Trial
	// sharesElsewhere is set if it has valid shares from other control instances.
	sharesElsewhere bool
}

// Open starts a control instance and registers its RPCs with a peer server,
// which the caller must start serving soon after.
func Open(cfg Config, pc *peer.Client, ps *peer.Server) (*Plane, error) {
	p := &Plane{
		cfg:          cfg,
		log:          cfg.Log,
		machine:      model.NewMachine(time.Now),
		peer:         pc,
		heartbeats:   newHeartbeatTracker(),
		localEntries: map[corianderwing.InstanceID]entryRecord{},
		// Shares granted by a previous incarnation of this process do not count
		// against the shares of this one, so no grace period is needed.
		quotaAllocator: quota.NewAllocator(cfg.RateTolerance.Window, time.Time{}),
		reserve:        quota.NewLimiter(cfg.RateTolerance.Window),
		waiting:        map[place.ID]waitingRequest{},
		coldLeases:     coldLeases{},
		incarnation:    corianderwing.Incarnation(time.Now().UnixNano()),
	}
	p.usage.init(cfg.UsageWindow, p.incarnation, cfg.Log)
	p.quotaAllocator.SetReserve(reserveHolder)
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.allocators = newAllocators(p.ctx, cfg.Quorum.Domain, cfg.RegionOf)
	p.leaderState = newLeaderState(cfg.HeartbeatInterval)
	p.leaderState.tolerance, p.leaderState.regionOf = cfg.RateTolerance, cfg.RegionOf
	p.leaderState.revision = func() corianderwing.Revision { return p.machine.View().Revision() }
	p.leaderState.knownLoans = func() []steer.UpstreamLoan {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.loans
	}
	p.leaderState.quotaRecord, p.leaderState.rolloutRecord = p.machine.Quota, p.machine.Rollout
	p.leaderState.members = func() []string { return p.replica.MemberAddrs() }
	p.leaderState.founded = cfg.Quorum.Bootstrap
	p.leaderState.logLifts = func(list []steer.Lift) {
		p.log.Info().Any("lifts", list).Msg("ramp of loans lifted or in force")
	}
	p.register(ps)
	var err error
	p.replica, err = quorum.Open(cfg.Quorum, p.machine, pc, ps, func() {})
	if err != nil {
		p.cancel()
		return nil, err
	}
	p.batch = newBatch(p.commit)
	p.confirmed = p.confirmedView
	p.knowsLeader = func() bool { return p.replica.LeaderAddr() != "" }
	p.confirmer = newConfirmer(p.ctx, p.replica.Confirm)
	p.wg.Go(p.reportLoop)
	p.wg.Go(p.expireLoop)
	p.wg.Go(p.quotaLoop)
	p.wg.Go(p.moveLoop)
	p.wg.Go(p.recordLoop)
	p.wg.Go(p.syncLoop)
	p.wg.Go(p.tallyLoop)
	return p, nil
}

func (p *Plane) register(ps *peer.Server) {
	peer.Handle(ps, HeartbeatMethod, func(_ context.Context, b *HeartbeatRequest) (*HeartbeatResponse, error) {
		return p.handleHeartbeat(b), nil
	})
	peer.Handle(ps, AcquireMethod, p.acquire)
	peer.Handle(ps, ReleaseMethod, func(_ context.Context, q *ReleaseRequest) (*emptyResponse, error) {
		p.release(q)
		return &emptyResponse{}, nil
	})
	peer.Handle(ps, BorrowMethod, func(_ context.Context, b *BorrowRequest) (*BorrowResponse, error) {
		return p.borrow(b), nil
	})
	peer.Handle(ps, SuspectMethod, p.handleSuspects)
	peer.Handle(ps, reportMethod, func(ctx context.Context, q *reportRequest) (*reportResponse, error) {
		return p.handleReport(ctx, q)
	})
	peer.HandleStream(ps, WatchMethod, func(ctx context.Context, q *watchRequest, send func(*model.Update) error) error {
		return p.handleWatch(ctx, q, send)
	})
}

// propose commits a command. It returns an error if the state machine rejects
// the command.
func (p *Plane) propose(ctx context.Context, c *model.Command) error {
	_, err := p.commit(ctx, c)
	return err
}

// commit commits a command and returns the revision that includes it.
func (p *Plane) commit(ctx context.Context, c *model.Command) (corianderwing.Revision, error) {
	return commit(c, func(data []byte) ([]byte, error) { return p.replica.Propose(ctx, data) })
}

// proposeInTerm commits a decision of the leader of a term, unless another term has
// begun.
func (p *Plane) proposeInTerm(ctx context.Context, term corianderwing.Term, c *model.Command) error {
	_, err := commit(c, func(data []byte) ([]byte, error) { return p.replica.ProposeInTerm(ctx, term, data) })
	return err
}

func commit(c *model.Command, propose func([]byte) ([]byte, error)) (corianderwing.Revision, error) {
	data, err := model.Encode(c)
	if err != nil {
		return 0, corianderwing.Errorf(corianderwing.InvalidInput, "encoding a command: %v", err)
	}
	reply, err := propose(data)
	if err != nil {
		return 0, err
	}
	result, err := model.DecodeResult(reply)
	if err != nil {
		return 0, err
	}
	if result.Error != nil {
		return 0, result.Error
	}
	return result.Revision, nil
}

// watchInterval is the minimum time between two updates of a watch. Changes that
// come faster are combined: when a large deployment starts, hundreds of batches
// of upstreams are registered within seconds, and each update costs every entry
// instance a copy of its view.
const watchInterval = 100 * time.Millisecond

// handleWatch streams the updates after a revision until ctx is done.
func (p *Plane) handleWatch(ctx context.Context, q *watchRequest, send func(*model.Update) error) error {
	after := q.After
	updatesAfter := p.machine.Updates
	if q.Packed {
		updatesAfter = p.machine.PackedUpdates
	}
	for {
		changed := p.machine.Changed()
		updates, err := updatesAfter(after)
		if err != nil {
			return err
		}
		if q.Combined {
			updates = model.Combine(updates)
		}
		for i := range updates {
			if err := send(&updates[i]); err != nil {
				return err
			}
			after = updates[i].Revision
		}
		if len(updates) > 0 && !clock.Sleep(ctx, watchInterval) {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-p.ctx.Done():
			return nil
		}
	}
}

// handleHeartbeat handles a heartbeat from an entry instance.
func (p *Plane) handleHeartbeat(b *HeartbeatRequest) *HeartbeatResponse {
	now := clock.Boot()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.localEntries[b.Entry.ID] = entryRecord{entry: b.Entry, lastHeartbeat: now, trials: b.Trials, sharesElsewhere: hasSharesElsewhere(b.Demands)}
	r := &HeartbeatResponse{}
	if n := p.usage.handleHeartbeat(b, r, time.Now(), now); n > 0 {
		p.log.Warn().Str("entry", string(b.Entry.ID)).Int("windows", n).Msg("ignored usage of windows that are too old or in the future")
	}
	// A revision that this instance has not reached must not be confirmed: the entry
	// instance would wait here for changes that do not come.
	p.freshness = p.freshness.Reach(p.machine.View().Revision())
	if c, ok := p.freshness.Latest(); ok {
		r.Confirmed, r.Revision = true, c.Revision
		r.Age = corianderwing.Millis(now.Sub(c.At).Milliseconds() + 1)
	}
	p.listInstances(b, r)
	p.listLoans(b, r, now)
	p.allocateShares(b, r, now)
	p.trials = append(p.trials, b.Trials...)
	if now.Sub(p.confirmedAt) <= moveShareTTL {
		r.MoveShares = p.moveShares // without a leader's confirmation they must expire
	}
	return r
}

// listInstances adds the control instances and the neighbors of an entry instance
// to a response, unless the entry instance has them. In a large deployment the
// lists are far longer than the rest of the response. The caller must hold p.mu.
func (p *Plane) listInstances(b *HeartbeatRequest, r *HeartbeatResponse) {
	r.InstancesVersion = p.instancesVersion
	if r.InstancesVersion != 0 && r.InstancesVersion == b.InstancesVersion {
		return
	}
	r.Controls = p.controls
	if len(r.Controls) == 0 {
		for _, addr := range p.replica.PeerAddrs() {
			r.Controls = append(r.Controls, ControlInstance{PeerAddr: addr})
		}
	}
	for _, e := range p.entries {
		if e.Domain == b.Entry.Domain && e.ID != b.Entry.ID {
			r.Neighbors = append(r.Neighbors, e)
		}
	}
	r.Relays = relaysFor(b.Entry, p.entries)
}

// Measure reports the gauges of this instance.
func (p *Plane) Measure(gauge func(name string, v int64)) {
	gauge("revision", int64(p.machine.View().Revision()))
	gauge("upstreams", int64(p.machine.View().NumUpstreams()))
	suspects := p.machine.View().Suspects()
	gauge("suspects", int64(suspects.Len()))
	gauge("quarantined", int64(suspects.Quarantined()))
	leads := int64(0)
	if _, ok := p.replica.IsLeader(); ok {
		leads = 1
	}
	gauge("leader", leads)
	now := clock.Boot()
	p.mu.Lock()
	gauge("lag", int64(p.confirmedRevision)-int64(p.machine.View().Revision()))
	gauge("confirmed.ms", now.Sub(p.confirmedAt).Milliseconds())
	gauge("shares.ms", max(0, p.sharesValidUntil.Sub(now).Milliseconds()))
	gauge("entries", int64(len(p.localEntries)))
	gauge("coldleases", int64(p.coldLeases.valid(now)))
	p.mu.Unlock()
	for _, d := range p.allocators.loads() {
		for _, l := range d.Loads {
			name := string(d.Domain) + "." + string(l.Pool) + "."
			gauge(name+"slots", int64(l.Slots))
			gauge(name+"busy", int64(l.InFlight))
			gauge(name+"waiting", int64(l.Waiting))
			gauge(name+"pace", int64(l.Pace))
			gauge(name+"over", int64(l.OverShare))
			gauge(name+"coldpeak", int64(l.ColdPeak))
		}
	}
}

// SetSeeds replaces the control instances that are contacted to discover the
// group.
func (p *Plane) SetSeeds(seeds []string) { p.replica.SetSeeds(seeds) }

// Close transfers leadership and stops the instance.
func (p *Plane) Close(ctx context.Context) error {
	err := p.replica.Close(ctx)
	p.cancel()
	p.wg.Wait()
	p.allocators.close()
	return err
}
