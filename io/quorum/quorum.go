// Package quorum runs the replica of a control instance in a group whose
// members find each other: the first instances found it, others join, lost
// ones are replaced, and every instance can propose and read.
package quorum

import (
	"context"
	"errors"
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
	// callTimeout bounds one call to another control instance. The longest way
	// there and back takes 70 ms.
	callTimeout = 700 * time.Millisecond
	// retryPause is the pause after a call that found no leader.
	retryPause = 60 * time.Millisecond
	// reopenPause is the pause before a replica whose disk failed is opened
	// again.
	reopenPause = 300 * time.Millisecond
	// heartbeat and election are the timing of consensus. Between regions a
	// heartbeat and its answer take 70 ms and cost about 300 bytes.
	heartbeat = 150 * time.Millisecond
	election  = 700 * time.Millisecond
	// snapshotEvery is the number of commands between snapshots. Restoring a
	// snapshot takes less time than applying so many commands.
	snapshotEvery = 400

	groupName corianderwing.GroupID = "site"
)

// Config describes a replica.
type Config struct {
	Addr   string // of this instance's peer server
	Domain corianderwing.DomainID
	Region corianderwing.RegionID
	Data   string
	Seeds  []string // peer addresses of instances to ask first
	Found  bool     // the group is new: the seeds found it
	Voters int      // replicas that shall vote
	Log    *log.Logger
	Broken func(invariant, detail string)
}

// Replica is this instance's part of the group. It owns the data directory.
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

	group   atomic.Pointer[group.Group] // nil while the disk cannot be used
	changed func()                      // called after each change of role

	mu      sync.Mutex
	seeds   []string
	members map[corianderwing.InstanceID]place // where replicas are, as far as known
	closed  bool
}

// place is where a replica runs.
type place struct {
	Domain corianderwing.DomainID `json:"domain"`
	Region corianderwing.RegionID `json:"region"`
}

// Open starts the replica and registers its calls with a peer server, which
// must begin to serve soon. Changed is called after each change of the role of
// this replica; it must not block.
func Open(cfg Config, m corianderwing.StateMachine, pc *peer.Client, ps *peer.Server, changed func()) (*Replica, error) {
	if cfg.Broken == nil {
		cfg.Broken = func(string, string) {}
	}
	r := &Replica{cfg: cfg, peer: pc, machine: m, changed: changed, seeds: cfg.Seeds, members: map[corianderwing.InstanceID]place{}}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.sender = newSender(r.ctx, pc)
	r.register(ps)
	if err := r.start(); err != nil {
		r.cancel()
		return nil, err
	}
	r.note(r.self, place{cfg.Domain, cfg.Region})
	r.wg.Go(r.keepOpen)
	r.wg.Go(r.keepJoined)
	r.wg.Go(r.keepRoster)
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
		OnViolation: func(detail string) { r.cfg.Broken("raft", detail) },
	}, loaded{st, stored}, r.machine, r.sender,
		group.WithTiming(election, heartbeat),
		group.WithSnapshotEvery(snapshotEvery),
		group.WithRoleChange(r.roleChanged))
	if err != nil {
		return errors.Join(err, st.Close())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return errors.Join(eris.New("the replica was closed"), g.Close())
	}
	r.group.Store(g)
	r.cfg.Log.Info().Str("replica", string(r.self)).Uint64("applied", uint64(g.Status().Applied)).Msg("replica started")
	return nil
}

// roleChanged logs who leads.
func (r *Replica) roleChanged(c raft.RoleChange) {
	r.cfg.Log.Info().Str("role", c.Role.String()).Str("leader", string(c.Leader)).Uint64("term", uint64(c.Term)).Msg("role changed")
	r.changed()
}

// loaded is a store that has been loaded, so that its identity could be read
// before the replica starts.
type loaded struct {
	*store.Store
	stored corianderwing.StoredState
}

// Load implements corianderwing.Store.
func (l loaded) Load() (corianderwing.StoredState, error) { return l.stored, nil }

// keepOpen opens the replica again after its disk failed, for example because
// it was full.
func (r *Replica) keepOpen() {
	for r.ctx.Err() == nil {
		g := r.group.Load()
		select {
		case <-g.Done():
		case <-r.ctx.Done():
			return
		}
		r.cfg.Log.Error().Err(g.Status().Err).Msg("replica stopped")
		r.changed()
		g.Close()
		for {
			if !clock.Sleep(r.ctx, reopenPause) {
				return
			}
			err := r.start()
			if err == nil {
				break
			}
			r.cfg.Log.Warn().Err(err).Msg("replica cannot be opened yet")
		}
	}
}

// Self returns the id of this replica.
func (r *Replica) Self() corianderwing.InstanceID { return r.self }

// Status returns the state of this replica.
func (r *Replica) Status() group.Status { return r.group.Load().Status() }

// Leads reports whether this replica leads, and in which term.
func (r *Replica) Leads() (corianderwing.Term, bool) {
	g := r.group.Load()
	leader, term := g.Leader()
	return term, leader == r.self && g.Status().Err == nil
}

// Leader returns the peer address of the leader, or "" if it is not known.
func (r *Replica) Leader() string {
	leader, _ := r.group.Load().Leader()
	if leader == "" {
		return ""
	}
	return AddrOf(leader)
}

// Peers returns the peer addresses of the members and the seeds.
func (r *Replica) Peers() []string {
	seen := map[string]bool{}
	var all []string
	add := func(addr string) {
		if !seen[addr] {
			seen[addr] = true
			all = append(all, addr)
		}
	}
	v := r.Status().Voters
	for _, list := range [][]corianderwing.InstanceID{v.Voters, v.Learners} {
		for _, id := range list {
			add(AddrOf(id))
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, seed := range r.seeds {
		add(seed)
	}
	return all
}

// SetSeeds replaces the instances that are asked for the group.
func (r *Replica) SetSeeds(seeds []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeds = seeds
}

// Note remembers where a replica is, so that voters can be spread.
func (r *Replica) Note(id corianderwing.InstanceID, d corianderwing.DomainID, region corianderwing.RegionID) {
	r.note(id, place{d, region})
}

// note remembers where a replica is.
func (r *Replica) note(id corianderwing.InstanceID, p place) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members[id] = p
}

// keepRoster changes the membership while this replica leads.
func (r *Replica) keepRoster() {
	for clock.Sleep(r.ctx, heartbeat) {
		g := r.group.Load()
		s := g.Status()
		if s.Role != raft.Leader || s.Err != nil {
			continue
		}
		change, ok := roster.Next(r.roster(s), r.self, r.cfg.Voters, time.Now())
		if !ok {
			continue
		}
		ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
		err := g.ChangeVoters(ctx, change)
		cancel()
		r.cfg.Log.Info().Str("op", string(change.Op)).Str("member", string(change.Instance)).
			Int("voters", len(s.Voters.Voters)).Int("learners", len(s.Voters.Learners)).Err(err).Msg("membership change")
	}
}

// roster returns what this leader knows of the members.
func (r *Replica) roster(s group.Status) []roster.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []roster.Member
	add := func(ids []corianderwing.InstanceID, voter bool) {
		for _, id := range ids {
			p := r.members[id]
			m := roster.Member{ID: id, Addr: AddrOf(id), Domain: p.Domain, Region: p.Region, Voter: voter, Heard: s.LastContact[id]}
			if match := s.MatchIndex[id]; match < s.LastIndex {
				m.Lag = s.LastIndex - match
			}
			list = append(list, m)
		}
	}
	add(s.Voters.Voters, true)
	add(s.Voters.Learners, false)
	return list
}

// Close hands leadership over and stops the replica.
func (r *Replica) Close(ctx context.Context) error {
	g := r.group.Load()
	if _, ok := r.Leads(); ok {
		// Without a transfer the others elect a leader after a timeout.
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
