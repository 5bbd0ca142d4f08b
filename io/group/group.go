// Package group runs one replica of a Raft group: a raft node with its store,
// its transport and the replicated state machine.
package group

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"corianderwing"
	"corianderwing/core/raft"
)

const (
	defaultSnapshotEvery = 4096

	// maxInbox is the number of queued messages above which new ones are
	// dropped. Raft retransmits what it needs, and the queue of a loop that
	// lags this far must not grow without bound.
	maxInbox = 4096
)

// Config describes a replica.
type Config struct {
	Group  corianderwing.GroupID
	Self   corianderwing.InstanceID
	Voters corianderwing.Membership // initial membership, used while the log is empty
	Seed   uint64                   // seed of the random election timeouts

	Logger      *log.Logger  // default: no log
	OnViolation func(string) // called when a safety invariant is violated; default: only logged
}

// Sender carries messages to other replicas. Send must not block and may lose
// messages.
type Sender interface {
	Send(to corianderwing.InstanceID, m raft.Message)
}

// Option changes a default of a Group.
type Option func(*Group)

// WithSnapshotEvery sets the number of applied entries after which the state
// machine is saved in a snapshot and the log compacted. The default is 4096.
func WithSnapshotEvery(n int) Option {
	return func(g *Group) { g.snapshotEvery = corianderwing.Index(n) }
}

// WithTiming sets the minimum election timeout and the heartbeat interval.
// The defaults are those of package raft.
func WithTiming(election, heartbeat time.Duration) Option {
	return func(g *Group) { g.election, g.heartbeat = election, heartbeat }
}

// WithRoleChange registers f, which the loop calls after each change of role,
// leader or term, before it replies to any call made under the new role. f must
// not block and must not call the Group, other than Status and Leader.
func WithRoleChange(f func(raft.RoleChange)) Option {
	return func(g *Group) { g.onRoleChange = f }
}

// Group is one replica. One goroutine, the loop, owns the node and the state
// machine; callers reach it through a queue. Group owns the store and closes it.
type Group struct {
	cfg           Config
	node          *raft.Node
	store         corianderwing.Store
	machine       corianderwing.StateMachine
	sender        Sender
	snapshotEvery corianderwing.Index
	election      time.Duration
	heartbeat     time.Duration
	onRoleChange  func(raft.RoleChange)

	mu     sync.Mutex
	inbox  inbox
	closed bool

	wake      chan struct{} // buffered for one signal: the inbox is not empty
	stop      chan struct{}
	done      chan struct{}
	closeOnce sync.Once

	status atomic.Pointer[Status]

	// Owned by the loop.
	pending       pending
	calls         map[uint64]*call
	logged        map[corianderwing.Index]loggedCall
	replies       []callReply
	lastID        uint64
	applied       corianderwing.Index
	snapshotIndex corianderwing.Index // applied index of the last snapshot
	stopErr       error
}

// Open loads the store, restores the state machine and starts the replica. If
// it fails, the caller still owns the store.
//
// Only the loop calls the machine, which must itself synchronize data that other
// goroutines read.
func Open(cfg Config, s corianderwing.Store, m corianderwing.StateMachine, out Sender, opts ...Option) (*Group, error) {
	g := &Group{
		cfg: cfg, store: s, machine: m, sender: out,
		snapshotEvery: defaultSnapshotEvery,
		wake:          make(chan struct{}, 1),
		stop:          make(chan struct{}),
		done:          make(chan struct{}),
		calls:         make(map[uint64]*call),
		logged:        make(map[corianderwing.Index]loggedCall),
	}
	for _, o := range opts {
		o(g)
	}
	if g.cfg.Logger == nil {
		g.cfg.Logger = &log.Logger{Writer: log.WriterFunc(func(*log.Entry) (int, error) { return 0, nil })}
	}
	stored, err := s.Load()
	if err != nil {
		return nil, eris.Wrapf(err, "loading group %s", cfg.Group)
	}
	if stored.Truncated {
		g.cfg.Logger.Warn().Str("group", string(cfg.Group)).Msg("truncated an unsynced tail of the log")
	}
	if stored.Snapshot.Index > 0 {
		if err := m.Restore(stored.Snapshot.Data); err != nil {
			return nil, eris.Wrapf(err, "restoring group %s", cfg.Group)
		}
	}
	g.applied, g.snapshotIndex = stored.Snapshot.Index, stored.Snapshot.Index
	g.node, err = raft.New(g.raftConfig(), stored, time.Now())
	if err != nil {
		return nil, eris.Wrapf(err, "starting group %s", cfg.Group)
	}
	g.publish()
	go g.loop()
	return g, nil
}

func (g *Group) raftConfig() raft.Config {
	return raft.Config{
		Group: g.cfg.Group, Self: g.cfg.Self, InitialMembership: g.cfg.Voters, Seed: g.cfg.Seed,
		ElectionTimeout: g.election, HeartbeatInterval: g.heartbeat,
		OnViolation: func(what string) {
			g.cfg.Logger.Error().Str("group", string(g.cfg.Group)).Str("invariant", what).Msg("prevented an invariant violation")
			if g.cfg.OnViolation != nil {
				g.cfg.OnViolation(what)
			}
		},
	}
}

// Propose commits a command and returns the result of the machine's Apply.
//
// It fails with NoLeader if the command is not in the log and never will be,
// and with NoQuorum if it may still be committed.
func (g *Group) Propose(ctx context.Context, data []byte) ([]byte, error) {
	r := g.submit(ctx, &call{kind: callPropose, data: data})
	return r.data, r.asError()
}

// Confirm returns an index that the machine has applied and that covers every
// command committed before Confirm was called, anywhere in the group. It fails
// with NoLeader if this replica does not lead, and with NoQuorum if no majority
// replies before ctx ends.
func (g *Group) Confirm(ctx context.Context) (corianderwing.Index, error) {
	r := g.submit(ctx, &call{kind: callRead})
	return r.index, r.asError()
}

// ChangeVoters adds a learner, promotes one to voter, or removes a replica. It
// returns once the new membership is committed. Besides NoLeader and NoQuorum
// it fails with RevisionConflict while another change is in progress, and with
// InvalidChange if the change does not fit the membership or the learner lags
// too far.
func (g *Group) ChangeVoters(ctx context.Context, c raft.MembershipChange) error {
	return g.submit(ctx, &call{kind: callChange, change: c}).asError()
}

// Transfer transfers leadership to the voter with the longest log, before a
// planned stop. It returns once this replica no longer leads.
func (g *Group) Transfer(ctx context.Context) error {
	return g.submit(ctx, &call{kind: callTransfer}).asError()
}

// Receive queues a message from another replica. It does not block, and drops
// the message if the queue is full.
func (g *Group) Receive(m raft.Message) {
	g.mu.Lock()
	if len(g.inbox.messages) < maxInbox {
		g.inbox.messages = append(g.inbox.messages, m)
	}
	g.mu.Unlock()
	g.wakeLoop()
}

// Leader returns the leader, or "" if it is not known, and the term.
func (g *Group) Leader() (corianderwing.InstanceID, corianderwing.Term) {
	s := g.status.Load()
	return s.Leader, s.Term
}

// Status returns the state of this replica.
func (g *Group) Status() Status { return *g.status.Load() }

// Done returns a channel that is closed when the replica has stopped, by Close
// or because its store or machine failed. Status returns that error.
func (g *Group) Done() <-chan struct{} { return g.done }

// Close stops the replica and closes the store. It fails calls in progress; call
// Transfer first for a planned stop.
func (g *Group) Close() error {
	var err error
	g.closeOnce.Do(func() {
		close(g.stop)
		<-g.done
		err = g.store.Close()
	})
	return eris.Wrapf(err, "closing group %s", g.cfg.Group)
}

func (g *Group) wakeLoop() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
