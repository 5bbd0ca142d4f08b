package ctrl

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"corianderwing"
	"corianderwing/io/clock"
	"corianderwing/io/peer"
)

// Voter is a voting replica of a group, with the peer address of its control
// instance.
type Voter struct {
	ID   corianderwing.InstanceID
	Addr string
}

// Client implements corianderwing.ControlClient over the replicas of every group.
// It caches the leader of each group and tries the other replicas when that one
// no longer leads or does not respond.
type Client struct {
	peer   *peer.Client
	voters map[corianderwing.GroupID][]Voter

	mu     sync.Mutex
	leader map[corianderwing.GroupID]int // index into voters
}

var _ corianderwing.ControlClient = (*Client)(nil)

const (
	// attemptTimeout bounds one call, so that an unresponsive or partitioned
	// replica does not use up the whole deadline. It is well above the longest
	// round trip of the deployments, 70 ms.
	attemptTimeout = 500 * time.Millisecond
	// retryDelay is the delay after every replica has rejected or failed the
	// call, which happens during an election.
	retryDelay = 50 * time.Millisecond
)

// NewClient returns a client for the given groups.
func NewClient(pc *peer.Client, voters map[corianderwing.GroupID][]Voter) *Client {
	return &Client{peer: pc, voters: voters, leader: map[corianderwing.GroupID]int{}}
}

// Propose implements corianderwing.ControlClient.
func (c *Client) Propose(ctx context.Context, g corianderwing.GroupID, cmd corianderwing.Command) (corianderwing.Result, error) {
	req := &proposeRequest{Group: g, Command: cmd}
	maybeProposed := false
	result, err := callLeader(ctx, c, g, func(ctx context.Context, addr string) (*corianderwing.Result, error) {
		r, err := peer.Call(ctx, c.peer, addr, proposeMethod, req)
		if err != nil && corianderwing.CodeOf(err) != corianderwing.NoLeader {
			maybeProposed = true
		}
		return r, err
	})
	if err != nil {
		return corianderwing.Result{}, proposeError(err, maybeProposed)
	}
	return *result, nil
}

// proposeError returns NoLeader only if no replica can have proposed the command,
// and NoQuorum if the outcome of the command is unknown.
func proposeError(err error, maybeProposed bool) error {
	code := corianderwing.CodeOf(err)
	if code == corianderwing.NoLeader && !maybeProposed {
		return err
	}
	if code != corianderwing.Internal && code != corianderwing.NoLeader {
		return err
	}
	if !maybeProposed {
		return corianderwing.Errorf(corianderwing.NoLeader, "no replica accepted the command: %v", err)
	}
	return corianderwing.Errorf(corianderwing.NoQuorum, "the outcome of the command is unknown: %v", err)
}

// Renew implements corianderwing.ControlClient.
func (c *Client) Renew(ctx context.Context, r corianderwing.RenewRequest) (corianderwing.RenewResponse, error) {
	reply, err := callLeader(ctx, c, r.Group, func(ctx context.Context, addr string) (*corianderwing.RenewResponse, error) {
		return peer.Call(ctx, c.peer, addr, renewMethod, &r)
	})
	if err != nil {
		return corianderwing.RenewResponse{}, err
	}
	return *reply, nil
}

// LeaderStatus returns the status of a group from its leader.
func (c *Client) LeaderStatus(ctx context.Context, g corianderwing.GroupID) (LeaderStatus, error) {
	reply, err := callLeader(ctx, c, g, func(ctx context.Context, addr string) (*LeaderStatus, error) {
		return peer.Call(ctx, c.peer, addr, leadMethod, &leadRequest{Group: g})
	})
	if err != nil {
		return LeaderStatus{}, err
	}
	return *reply, nil
}

// Watch implements corianderwing.ControlClient. It streams from one replica and
// returns when that one fails; the caller resumes after the revision it has reached.
func (c *Client) Watch(ctx context.Context, g corianderwing.GroupID, after corianderwing.Revision, f func(corianderwing.Update) error) error {
	v, err := c.pickReplica(g)
	if err != nil {
		return err
	}
	req := &watchRequest{Group: g, After: after}
	err = peer.CallStream(ctx, c.peer, v.Addr, watchMethod, req, func(u *corianderwing.Update) error {
		return f(*u)
	})
	if err != nil && ctx.Err() == nil {
		c.advance(g, v)
	}
	return err
}

// Status returns the status of one control instance.
func (c *Client) Status(ctx context.Context, addr string) (Status, error) {
	reply, err := peer.Call(ctx, c.peer, addr, statusMethod, &empty{})
	if err != nil {
		return Status{}, err
	}
	return *reply, nil
}

// Groups returns the ids of all groups, sorted.
func (c *Client) Groups() []corianderwing.GroupID {
	ids := make([]corianderwing.GroupID, 0, len(c.voters))
	for g := range c.voters {
		ids = append(ids, g)
	}
	slices.Sort(ids)
	return ids
}

// callLeader calls f with the address of the last known leader, then of the other
// replicas, until a call succeeds, fails with a final error or ctx is done.
func callLeader[T any](ctx context.Context, c *Client, g corianderwing.GroupID, f func(context.Context, string) (*T, error)) (*T, error) {
	var lastErr error
	for attempt := 1; ; attempt++ {
		v, err := c.pickReplica(g)
		if err != nil {
			return nil, err
		}
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		reply, err := f(attemptCtx, v.Addr)
		cancel()
		if err == nil {
			return reply, nil
		}
		if isFinal(err) {
			return nil, err
		}
		lastErr = err
		c.redirect(g, v, err)
		if ctx.Err() != nil {
			return nil, lastErr
		}
		if attempt%len(c.voters[g]) == 0 && !clock.Sleep(ctx, retryDelay) {
			return nil, lastErr
		}
	}
}

// isFinal reports whether another replica would return the same error.
func isFinal(err error) bool {
	var e *corianderwing.Error
	if !errors.As(err, &e) {
		return false
	}
	return e.Code != corianderwing.NoLeader && e.Code != corianderwing.NoQuorum
}

func (c *Client) pickReplica(g corianderwing.GroupID) (Voter, error) {
	voters := c.voters[g]
	if len(voters) == 0 {
		return Voter{}, corianderwing.Errorf(corianderwing.NotFound, "group %q is not in the settings", g)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return voters[c.leader[g]%len(voters)], nil
}

// redirect selects the leader named in err, or else the next replica.
func (c *Client) redirect(g corianderwing.GroupID, from Voter, err error) {
	var e *corianderwing.Error
	if !errors.As(err, &e) || e.Leader == "" || e.Leader == from.ID {
		c.advance(g, from)
		return
	}
	i := slices.IndexFunc(c.voters[g], func(v Voter) bool { return v.ID == e.Leader })
	if i < 0 {
		c.advance(g, from)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader[g] = i
}

// advance selects the next replica, unless a concurrent call has already moved
// on from this one.
func (c *Client) advance(g corianderwing.GroupID, from Voter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	voters := c.voters[g]
	if voters[c.leader[g]%len(voters)] == from {
		c.leader[g] = (c.leader[g] + 1) % len(voters)
	}
}
