package quorum

import (
	"context"
	"errors"
	"time"

	"corianderwing"
	"corianderwing/core/raft"
	"corianderwing/io/clock"
	"corianderwing/io/peer"
)

type empty struct{}

// proposeRequest asks the leader to commit a command.
type proposeRequest struct {
	Data []byte `json:"data"`
}

type proposeReply struct {
	Data []byte `json:"data"`
}

// confirmReply holds the index that a linearizable read must wait for.
type confirmReply struct {
	Index corianderwing.Index `json:"index"`
}

// joinRequest asks the leader to add a replica as a member.
type joinRequest struct {
	ID corianderwing.InstanceID `json:"id"`
	location
}

type stepRequest struct {
	Messages []raft.Message `json:"messages"`
}

var (
	stepMethod    = peer.Method[stepRequest, empty]{Name: "SiteStep"}
	proposeMethod = peer.Method[proposeRequest, proposeReply]{Name: "SitePropose"}
	confirmMethod = peer.Method[empty, confirmReply]{Name: "SiteConfirm"}
	joinMethod    = peer.Method[joinRequest, empty]{Name: "SiteJoin"}
)

func (r *Replica) register(ps *peer.Server) {
	peer.Handle(ps, stepMethod, func(_ context.Context, req *stepRequest) (*empty, error) {
		if g := r.group.Load(); g != nil {
			for _, m := range req.Messages {
				if m.To == r.self {
					g.Receive(m)
				}
			}
		}
		return &empty{}, nil
	})
	peer.Handle(ps, proposeMethod, func(ctx context.Context, req *proposeRequest) (*proposeReply, error) {
		data, err := r.proposeLocal(ctx, req.Data)
		return &proposeReply{data}, err
	})
	peer.Handle(ps, confirmMethod, func(ctx context.Context, _ *empty) (*confirmReply, error) {
		i, err := r.confirmLocal(ctx)
		return &confirmReply{i}, err
	})
	peer.Handle(ps, joinMethod, func(ctx context.Context, req *joinRequest) (*empty, error) {
		return &empty{}, r.handleJoin(ctx, req)
	})
}

// requireLeader returns nil if this replica leads, or else NoLeader with the leader
// that it knows of, if any.
func (r *Replica) requireLeader() error {
	g := r.group.Load()
	if g == nil {
		return corianderwing.Errorf(corianderwing.NoLeader, "this replica has not started")
	}
	leader, _ := g.Leader()
	if leader == r.self {
		return nil
	}
	err := corianderwing.Errorf(corianderwing.NoLeader, "%s does not lead", r.self)
	err.Leader = leader
	return err
}

func (r *Replica) proposeLocal(ctx context.Context, data []byte) ([]byte, error) {
	if err := r.requireLeader(); err != nil {
		return nil, err
	}
	return r.group.Load().Propose(ctx, data)
}

func (r *Replica) confirmLocal(ctx context.Context) (corianderwing.Index, error) {
	if err := r.requireLeader(); err != nil {
		return 0, err
	}
	return r.group.Load().Confirm(ctx)
}

// Propose commits a command through the leader and returns the result from its
// state machine. It retries until ctx ends, so the command must be idempotent.
func (r *Replica) Propose(ctx context.Context, data []byte) ([]byte, error) {
	var out []byte
	err := r.callLeader(ctx, func(ctx context.Context, addr string) error {
		if addr == r.cfg.PeerAddr {
			var err error
			out, err = r.proposeLocal(ctx, data)
			return err
		}
		reply, err := peer.Call(ctx, r.peer, addr, proposeMethod, &proposeRequest{data})
		if err == nil {
			out = reply.Data
		}
		return err
	})
	return out, err
}

// ProposeInTerm commits a command if this replica leads in the given term. Unlike
// Propose, it does not pass the command on to another leader: what a leader has
// decided, for example before it was suspended, must not be carried out by its
// successor, which knows better.
func (r *Replica) ProposeInTerm(ctx context.Context, term corianderwing.Term, data []byte) ([]byte, error) {
	if t, ok := r.IsLeader(); !ok || t != term {
		return nil, corianderwing.Errorf(corianderwing.NoLeader, "%s does not lead in term %d", r.self, term)
	}
	return r.group.Load().Propose(ctx, data)
}

// Confirm returns an index that covers every command committed before the call, for
// linearizable reads. This replica may not have applied it yet.
func (r *Replica) Confirm(ctx context.Context) (corianderwing.Index, error) {
	var out corianderwing.Index
	err := r.callLeader(ctx, func(ctx context.Context, addr string) error {
		if addr == r.cfg.PeerAddr {
			var err error
			out, err = r.confirmLocal(ctx)
			return err
		}
		reply, err := peer.Call(ctx, r.peer, addr, confirmMethod, &empty{})
		if err == nil {
			out = reply.Index
		}
		return err
	})
	return out, err
}

// callLeader calls f with the leader's peer address until it succeeds or ctx ends.
// Errors that are not retryable are returned at once.
func (r *Replica) callLeader(ctx context.Context, f func(ctx context.Context, addr string) error) error {
	last := error(corianderwing.Errorf(corianderwing.NoLeader, "no leader is known"))
	for {
		if addr := r.LeaderAddr(); addr != "" {
			tryCtx, cancel := context.WithTimeout(ctx, callTimeout)
			err := f(tryCtx, addr)
			cancel()
			if err == nil || !retryable(err) {
				return err
			}
			last = err
		}
		if !clock.Sleep(ctx, retryDelay) {
			return last
		}
	}
}

// retryable reports whether another call to the leader may succeed: there was no
// leader or no quorum, or the call failed on the way.
func retryable(err error) bool {
	switch corianderwing.CodeOf(err) {
	case corianderwing.NoLeader, corianderwing.NoQuorum, corianderwing.Internal:
		return true
	}
	return false
}

// rejoinAfter is how long a replica may know of no leader before it asks to join
// again. It may have been removed while it was unreachable.
const rejoinAfter = 1500 * time.Millisecond

// maintainMembership asks to join the group while this replica knows of no leader or
// is not a member.
func (r *Replica) maintainMembership() {
	lastContact := time.Now()
	for clock.Sleep(r.ctx, heartbeatInterval) {
		s := r.Status()
		if s.Leader != "" && isMember(s.Voters, r.self) {
			lastContact = time.Now()
			continue
		}
		if isMember(s.Voters, r.self) && time.Since(lastContact) < rejoinAfter {
			continue
		}
		r.requestJoin()
	}
}

func isMember(v corianderwing.Membership, id corianderwing.InstanceID) bool {
	for _, list := range [][]corianderwing.InstanceID{v.Voters, v.Learners} {
		for _, member := range list {
			if member == id {
				return true
			}
		}
	}
	return false
}

// requestJoin asks the known instances in turn to add this replica, and any leader
// that one of them names next.
func (r *Replica) requestJoin() {
	tried := map[string]bool{r.cfg.PeerAddr: true}
	pending := r.PeerAddrs()
	for len(pending) > 0 {
		addr := pending[0]
		pending = pending[1:]
		if tried[addr] {
			continue
		}
		tried[addr] = true
		ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
		_, err := peer.Call(ctx, r.peer, addr, joinMethod, &joinRequest{ID: r.self, location: location{r.cfg.Domain, r.cfg.Region}})
		cancel()
		if err == nil {
			r.cfg.Log.Info().Str("replica", string(r.self)).Str("via", addr).Msg("joined the group")
			return
		}
		var e *corianderwing.Error
		if errors.As(err, &e) && e.Leader != "" {
			pending = append([]string{AddrOf(e.Leader)}, pending...)
		}
	}
}

// handleJoin adds a replica as a learner unless it is a member already. Joins wait
// for each other: only one membership change may be pending, and when a
// deployment starts, dozens of replicas join at once.
func (r *Replica) handleJoin(ctx context.Context, req *joinRequest) error {
	if err := r.requireLeader(); err != nil {
		return err
	}
	r.setLocation(req.ID, req.location)
	select {
	case r.joining <- struct{}{}:
		defer func() { <-r.joining }()
	case <-ctx.Done():
		return corianderwing.Errorf(corianderwing.NoQuorum, "other replicas are joining")
	}
	for {
		if isMember(r.Status().Voters, req.ID) {
			return nil
		}
		err := r.group.Load().ChangeVoters(ctx, raft.MembershipChange{Op: raft.AddLearner, Instance: req.ID})
		if err == nil || corianderwing.CodeOf(err) != corianderwing.RevisionConflict {
			return err
		}
		// A change by maintainVoters is pending.
		if !clock.Sleep(ctx, changeDelay) {
			return err
		}
	}
}

// changeDelay is the delay before the next membership change, after another one that
// was made or is still pending: about a commit.
const changeDelay = 20 * time.Millisecond
