// Package quorum runs the replica of a control instance in a consensus group that
// manages its own membership: the first instances bootstrap the group, others join,
// lost ones are replaced, and every instance can propose commands and read.
package quorum

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"corianderwing"
	"corianderwing/core/raft"
	"corianderwing/core/roster"
	"corianderwing/io/clock"
	"corianderwing/io/group"
	"corianderwing/io/peer"
	"corianderwing/io/store"
)

const (
	// callTimeout bounds one call to another control instance. The longest
	// round-trip time is 70 ms.
	callTimeout = 700 * time.Millisecond
	// retryDelay is the delay before a call to the leader is retried.
	retryDelay = 60 * time.Millisecond
	// reopenDelay is the delay before a replica whose disk failed is reopened.
	reopenDelay = 300 * time.Millisecond
	// heartbeatInterval and electionTimeout are the timing of consensus.
	// Between regions, a heartbeat and its response take 70 ms and about 300
	// bytes.
	heartbeatInterval = 150 * time.Millisecond
	electionTimeout   = 700 * time.Millisecond
	// snapshotInterval is the number of commands between snapshots. Restoring
	// a snapshot takes less time than applying that many commands.
	snapshotInterval = 400

	groupName corianderwing.GroupID = "site"
)

// Config configures a replica.
type Config struct {
	PeerAddr    string // address of this instance's peer server
	Domain      corianderwing.DomainID
	Region      corianderwing.RegionID
	DataDir     string
	Seeds       []string // peer addresses of instances to ask first
	Bootstrap   bool     // the group is new, and its first voters are the seeds
	NumVoters   int      // target number of voters
	Log         *log.Logger
	OnViolation func(invariant, detail string)
}

// Replica is this instance's member of the group. It owns the data directory.
type Replica struct {
	cfg     Config
	peer    *peer.Client
	machine corianderwing.StateMachine
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	sender  *sender

	self     corianderwing.InstanceID
	founders corianderwing.Membership

	group        atomic.Pointer[group.Group] // nil while the disk cannot be used
	onRoleChange func()                      // called after each role change
	joining      chan struct{}               // capacity 1; held while this leader adds a learner

	mu        sync.Mutex
	seeds     []string
	locations map[corianderwing.InstanceID]location // known locations of replicas
	closed    bool
}

// location is the failure domain and region in which a replica runs.
type location struct {
	Domain corianderwing.DomainID `json:"domain"`
	Region corianderwing.RegionID `json:"region"`
}

// Open starts the replica and registers its methods with a peer server, which must
// start serving soon. It calls onRoleChange after each role change of this replica;
// onRoleChange must not block.
func Open(cfg Config, m corianderwing.StateMachine, pc *peer.Client, ps *peer.Server, onRoleChange func()) (*Replica, error) {
	if cfg.OnViolation == nil {
		cfg.OnViolation = func(string, string) {}
	}
	r := &Replica{cfg: cfg, peer: pc, machine: m, onRoleChange: onRoleChange, seeds: cfg.Seeds, locations: map[corianderwing.InstanceID]location{}, joining: make(chan struct{}, 1)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.sender = newSender(r.ctx, pc)
	r.register(ps)
	if err := r.start(); err != nil {
		r.cancel()
		return nil, err
	}
	r.setLocation(r.self, location{cfg.Domain, cfg.Region})
	r.wg.Go(r.reopenAfterFailure)
	r.wg.Go(r.maintainMembership)
	r.wg.Go(r.maintainVoters)
	return r, nil
}

// start opens the data directory and starts the replica.
func (r *Replica) start() error {
	st, stored, err := r.openStore()
	if err != nil {
		return err
	}
	g, err := group.Open(group.Config{
		Group:       groupName,
		Self:        r.self,
		Voters:      r.founders,
		Seed:        uint64(time.Now().UnixNano()),
		Logger:      r.cfg.Log,
		OnViolation: func(detail string) { r.cfg.OnViolation("raft", detail) },
	}, loadedStore{st, stored}, r.machine, r.sender,
		group.WithTiming(electionTimeout, heartbeatInterval),
		group.WithSnapshotEvery(snapshotInterval),
		group.WithRoleChange(r.roleChanged))
	if err != nil {
		return errors.Join(err, st.Close())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return errors.Join(eris.New("replica is closed"), g.Close())
	}
	r.group.Store(g)
	r.cfg.Log.Info().Str("replica", string(r.self)).Uint64("applied", uint64(g.Status().Applied)).Msg("replica started")
	return nil
}

// roleChanged logs a role change and reports it to the caller of Open.
func (r *Replica) roleChanged(c raft.RoleChange) {
	r.cfg.Log.Info().Str("role", c.Role.String()).Str("leader", string(c.Leader)).Uint64("term", uint64(c.Term)).Msg("role changed")
	r.onRoleChange()
}

// loadedStore is a store that has already been loaded, because its identity must be
// known before the replica starts.
type loadedStore struct {
	*store.Store
	stored corianderwing.StoredState
}

// Load implements corianderwing.Store.
func (l loadedStore) Load() (corianderwing.StoredState, error) { return l.stored, nil }

// reopenAfterFailure reopens the replica each time its disk has failed, for example
// because it was full.
func (r *Replica) reopenAfterFailure() {
	for r.ctx.Err() == nil {
		g := r.group.Load()
		select {
		case <-g.Done():
		case <-r.ctx.Done():
			return
		}
		r.cfg.Log.Error().Err(g.Status().Err).Msg("replica stopped")
		r.onRoleChange()
		g.Close()
		for {
			if !clock.Sleep(r.ctx, reopenDelay) {
				return
			}
			err := r.start()
			if err == nil {
				break
			}
			r.cfg.Log.Warn().Err(err).Msg("failed to reopen replica; retrying")
		}
	}
}

// Self returns the ID of this replica.
func (r *Replica) Self() corianderwing.InstanceID { return r.self }

// Status returns the status of this replica.
func (r *Replica) Status() group.Status { return r.group.Load().Status() }

// IsLeader returns the current term and reports whether this replica leads in it.
func (r *Replica) IsLeader() (corianderwing.Term, bool) {
	g := r.group.Load()
	leader, term := g.Leader()
	return term, leader == r.self && g.Status().Err == nil
}

// LeaderAddr returns the peer address of the leader, or "" if none is known.
func (r *Replica) LeaderAddr() string {
	leader, _ := r.group.Load().Leader()
	if leader == "" {
		return ""
	}
	return AddrOf(leader)
}

// PeerAddrs returns the peer addresses of the members and the seeds.
func (r *Replica) PeerAddrs() []string {
	all := r.MemberAddrs()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, seed := range r.seeds {
		if !slices.Contains(all, seed) {
			all = append(all, seed)
		}
	}
	return all
}

// MemberAddrs returns the peer addresses of the members.
func (r *Replica) MemberAddrs() []string {
	var all []string
	v := r.Status().Voters
	for _, id := range slices.Concat(v.Voters, v.Learners) {
		if addr := AddrOf(id); !slices.Contains(all, addr) {
			all = append(all, addr)
		}
	}
	return all
}

// SetSeeds replaces the seed addresses, at which the replica asks to join.
func (r *Replica) SetSeeds(seeds []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeds = seeds
}

// SetLocation records the location of a replica, so that voters can be spread across
// regions and failure domains.
func (r *Replica) SetLocation(id corianderwing.InstanceID, d corianderwing.DomainID, region corianderwing.RegionID) {
	r.setLocation(id, location{d, region})
}

func (r *Replica) setLocation(id corianderwing.InstanceID, loc location) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.locations[id] = loc
}

// maintainVoters makes the membership changes that are due while this replica leads.
func (r *Replica) maintainVoters() {
	for clock.Sleep(r.ctx, heartbeatInterval) {
		for r.changeMembership() && clock.Sleep(r.ctx, changeDelay) {
		}
	}
}

// changeMembership makes the next membership change, if one is due. It reports
// whether another one may follow: until the last one, the group bears fewer losses.
func (r *Replica) changeMembership() bool {
	g := r.group.Load()
	s := g.Status()
	if s.Role != raft.Leader || s.Err != nil {
		return false
	}
	change, ok := roster.NextChange(r.rosterMembers(s), r.self, r.cfg.NumVoters, time.Now())
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	err := g.ChangeVoters(ctx, change)
	cancel()
	r.cfg.Log.Info().Str("op", string(change.Op)).Str("member", string(change.Instance)).
		Int("voters", len(s.Voters.Voters)).Int("learners", len(s.Voters.Learners)).Err(err).Msg("membership change")
	// On a conflict, the change of a replica that joins is pending.
	return err == nil || corianderwing.CodeOf(err) == corianderwing.RevisionConflict
}

// rosterMembers returns what this leader knows about the members.
func (r *Replica) rosterMembers(s group.Status) []roster.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []roster.Member
	add := func(ids []corianderwing.InstanceID, voter bool) {
		for _, id := range ids {
			loc := r.locations[id]
			m := roster.Member{ID: id, Addr: AddrOf(id), Domain: loc.Domain, Region: loc.Region, Voter: voter, LastContact: s.LastContact[id]}
			m.Match = s.MatchIndex[id]
			if m.Match < s.LastIndex {
				m.Lag = s.LastIndex - m.Match
			}
			list = append(list, m)
		}
	}
	add(s.Voters.Voters, true)
	add(s.Voters.Learners, false)
	return list
}

// Close transfers leadership if this replica leads, and stops the replica.
func (r *Replica) Close(ctx context.Context) error {
	g := r.group.Load()
	if _, ok := r.IsLeader(); ok {
		// Without a transfer, the others elect a leader only after a timeout.
		if err := g.Transfer(ctx); err != nil {
			r.cfg.Log.Info().Err(err).Msg("leadership was not transferred")
		}
	}
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.cancel()
	err := r.group.Load().Close()
	r.wg.Wait()
	return err
}
