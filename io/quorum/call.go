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

// joinRequest asks the leader to list a replica as a member.
type joinRequest struct {
	ID corianderwing.InstanceID `json:"id"`
	place
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
	peer.Handle(ps, stepMethod, func(_ context.Context, q *stepRequest) (*empty, error) {
		if g := r.group.Load(); g != nil {
			for _, m := range q.Messages {
				if m.To == r.self {
					g.Receive(m)
				}
			}
		}
		return &empty{}, nil
	})
	peer.Handle(ps, proposeMethod, func(ctx context.Context, q *proposeRequest) (*proposeReply, error) {
		data, err := r.proposeHere(ctx, q.Data)
		return &proposeReply{data}, err
	})
	peer.Handle(ps, confirmMethod, func(ctx context.Context, _ *empty) (*confirmReply, error) {
		i, err := r.confirmHere(ctx)
		return &confirmReply{i}, err
	})
	peer.Handle(ps, joinMethod, func(ctx context.Context, q *joinRequest) (*empty, error) {
		return &empty{}, r.join(ctx, q)
	})
}

// leading returns the group if this replica leads, or NoLeader with the leader
// that it knows of.
func (r *Replica) leading() error {
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

func (r *Replica) proposeHere(ctx context.Context, data []byte) ([]byte, error) {
	if err := r.leading(); err != nil {
		return nil, err
	}
	return r.group.Load().Propose(ctx, data)
}

func (r *Replica) confirmHere(ctx context.Context) (corianderwing.Index, error) {
	if err := r.leading(); err != nil {
		return 0, err
	}
	return r.group.Load().Confirm(ctx)
}

// Propose commits a command through the leader and returns what the machine
// answered. It tries again until ctx ends, so the command must be idempotent.
func (r *Replica) Propose(ctx context.Context, data []byte) ([]byte, error) {
	var out []byte
	err := r.onLeader(ctx, func(ctx context.Context, addr string) error {
		if addr == r.cfg.Addr {
			var err error
			out, err = r.proposeHere(ctx, data)
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

// Confirm returns an index that covers every command that was committed before
// the call. The machine of this replica may not have applied it yet.
func (r *Replica) Confirm(ctx context.Context) (corianderwing.Index, error) {
	var out corianderwing.Index
	err := r.onLeader(ctx, func(ctx context.Context, addr string) error {
		if addr == r.cfg.Addr {
			var err error
			out, err = r.confirmHere(ctx)
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

// onLeader calls f with the leader's peer address until it succeeds or ctx
// ends. An error that is neither NoLeader nor a failure of the way is final.
func (r *Replica) onLeader(ctx context.Context, f func(ctx context.Context, addr string) error) error {
	last := error(corianderwing.Errorf(corianderwing.NoLeader, "no leader is known"))
	for {
		if addr := r.Leader(); addr != "" {
			tryCtx, cancel := context.WithTimeout(ctx, callTimeout)
			err := f(tryCtx, addr)
			cancel()
			if err == nil || !again(err) {
				return err
			}
			last = err
		}
		if !clock.Sleep(ctx, retryPause) {
			return last
		}
	}
}

// again reports whether another try at the leader may succeed.
func again(err error) bool {
	switch corianderwing.CodeOf(err) {
	case corianderwing.NoLeader, corianderwing.NoQuorum, corianderwing.Internal:
		return true
	}
	return false
}

// joinedFor is how long a replica may hear of no leader before it asks to be a
// member again: it may have been removed while it was away.
const joinedFor = 1500 * time.Millisecond

// keepJoined asks the leader to list this replica as a member while it hears
// of no leader or is not listed.
func (r *Replica) keepJoined() {
	heard := time.Now()
	for clock.Sleep(r.ctx, heartbeat) {
		s := r.Status()
		if s.Leader != "" && listed(s.Voters, r.self) {
			heard = time.Now()
			continue
		}
		if listed(s.Voters, r.self) && time.Since(heard) < joinedFor {
			continue
		}
		r.askToJoin()
	}
}

func listed(v corianderwing.Membership, id corianderwing.InstanceID) bool {
	for _, list := range [][]corianderwing.InstanceID{v.Voters, v.Learners} {
		for _, member := range list {
			if member == id {
				return true
			}
		}
	}
	return false
}

// askToJoin asks every known instance, and the leader that one of them names.
func (r *Replica) askToJoin() {
	asked := map[string]bool{r.cfg.Addr: true}
	todo := r.Peers()
	for len(todo) > 0 {
		addr := todo[0]
		todo = todo[1:]
		if asked[addr] {
			continue
		}
		asked[addr] = true
		ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
		_, err := peer.Call(ctx, r.peer, addr, joinMethod, &joinRequest{ID: r.self, place: place{r.cfg.Domain, r.cfg.Region}})
		cancel()
		if err == nil {
			r.cfg.Log.Info().Str("replica", string(r.self)).Str("via", addr).Msg("joined the group")
			return
		}
		var e *corianderwing.Error
		if errors.As(err, &e) && e.Leader != "" {
			todo = append([]string{AddrOf(e.Leader)}, todo...)
		}
	}
}

// join lists a replica as a member.
func (r *Replica) join(ctx context.Context, q *joinRequest) error {
	if err := r.leading(); err != nil {
		return err
	}
	r.note(q.ID, q.place)
	if listed(r.Status().Voters, q.ID) {
		return nil
	}
	return r.group.Load().ChangeVoters(ctx, raft.MembershipChange{Op: raft.AddLearner, Instance: q.ID})
}
