package ctrl

import (
	"context"
	"sync"
	"time"

	"corianderwing"
	"corianderwing/core/link"
	"corianderwing/core/share"
	"corianderwing/core/shift"
	"corianderwing/core/state"
	"corianderwing/io/group"
)

// hostedReplica is this control instance's replica of one group.
type hostedReplica struct {
	id          corianderwing.GroupID
	self        corianderwing.InstanceID // this replica; see processID
	group       *group.Group
	machine     *state.Machine
	leases      leaseTable
	onViolation func(invariant, detail string)
	links       []corianderwing.LinkCap

	mu              sync.Mutex
	term            corianderwing.Term     // of grantor
	grantor         *share.Grantor         // owned by the leader of term
	grantorRevision corianderwing.Revision // of the view when the grantor was created
	configuredView  *state.View            // view of the grantor's current configuration

	rolloutMu   sync.Mutex
	rolloutTerm corianderwing.Term
	rollouts    map[corianderwing.RequestID]*shift.Rollout // owned by the leader of rolloutTerm
}

// leaderTerm returns the term in which this instance leads the group. Otherwise it
// returns a NoLeader error with the known leader.
func (h *hostedReplica) leaderTerm() (corianderwing.Term, error) {
	leader, term := h.group.Leader()
	if leader == h.self {
		return term, nil
	}
	err := corianderwing.Errorf(corianderwing.NoLeader, "%s does not lead group %s", h.self, h.id)
	err.Leader = processID(leader)
	return 0, err
}

// propose commits a command with Now set to this instance's clock.
func (h *hostedReplica) propose(ctx context.Context, c corianderwing.Command) (*corianderwing.Result, error) {
	if _, err := h.leaderTerm(); err != nil {
		return nil, err
	}
	c.Now = time.Now()
	data, err := state.EncodeCommand(c)
	if err != nil {
		return nil, corianderwing.Errorf(corianderwing.InvalidInput, "encode command: %v", err)
	}
	reply, err := h.group.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	result, err := state.DecodeResult(reply)
	if err != nil {
		return nil, corianderwing.Errorf(corianderwing.Internal, "decode result: %v", err)
	}
	return &result, nil
}

// renew grants a freshness lease and tokens. The lease is recorded before the view
// is read: a revision that is reported in force before that is included in the
// response, and a later one is not in force until this lease confirms it.
func (h *hostedReplica) renew(ctx context.Context, r *corianderwing.RenewRequest) (*corianderwing.RenewResponse, error) {
	if _, err := h.group.Confirm(ctx); err != nil {
		return nil, err
	}
	term, err := h.leaderTerm()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	h.leases.startTerm(term, now)
	h.leases.grant(r.Instance, r.Revision, now)
	view := h.machine.View()
	grants, recovering := h.grant(term, view, r)
	return &corianderwing.RenewResponse{
		Revision:      view.Revision(),
		LeaseDuration: corianderwing.Millis(FreshnessLeaseDuration.Milliseconds()),
		Grants:        grants,
		Term:          term,
		Recovering:    recovering,
	}, nil
}

// grant moves tokens to the instance that requests them. Recovering is true while
// grants of an earlier leader may be in use. Only instances with a seat get
// tokens, so that the next leader knows which instances to recover grants from.
func (h *hostedReplica) grant(term corianderwing.Term, view *state.View, r *corianderwing.RenewRequest) (grants []corianderwing.Grant, recovering bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if h.grantor == nil || h.term != term {
		h.newGrantor(now, term, view)
	}
	if h.configuredView != view {
		h.configureGrantor(now, view)
	}
	if _, seated := view.Seat(r.Instance); !seated {
		return nil, h.grantor.InGracePeriod(now)
	}
	if r.Term == term && r.Revision >= h.grantorRevision {
		h.grantor.RecoverGrants(now, r.Instance, r.Incarnation, r.Seq, r.Reports)
	}
	before := h.grantor.Violations()
	grants = h.grantor.Update(now, r.Instance, r.Incarnation, r.Seq, r.Reports)
	if h.grantor.Violations() != before {
		h.onViolation("share", "a pool and its grants exceed the burst in group "+string(h.id))
	}
	return grants, h.grantor.InGracePeriod(now)
}

// newGrantor creates the token pools for a new term. Every instance that an
// earlier leader can have granted tokens to has a seat in the view. The replica
// does not store the time of the last limit change, so it assumes that the limits
// have just changed.
func (h *hostedReplica) newGrantor(now time.Time, term corianderwing.Term, view *state.View) {
	var holders []corianderwing.InstanceID
	for _, seat := range view.Seats() {
		holders = append(holders, seat.Instance)
	}
	h.grantor = share.NewGrantor(share.GraceEnd(now, now), holders...)
	h.term = term
	h.grantorRevision = view.Revision()
	h.configuredView = nil
}

// configureGrantor applies the rate and link limits of the view to the grantor.
func (h *hostedReplica) configureGrantor(now time.Time, view *state.View) {
	for _, w := range view.Workspaces() {
		e, ok := view.Tree().Effective(corianderwing.Path{Workspace: w})
		if !ok {
			continue
		}
		_, pool := share.Split(e.Rate, e.Burst, e.Fixed, view.TotalSeats())
		h.grantor.Configure(now, corianderwing.RateBound(w), pool)
	}
	for _, c := range h.links {
		if c.Group == h.id {
			_, pool := link.Limits(c.Cap, view.SeatsIn(c.Domains))
			h.grantor.Configure(now, corianderwing.LinkBound(c.From, c.To), pool)
		}
	}
	h.removeStaleBounds(view)
	h.configuredView = view
}

// removeStaleBounds removes the bounds of workspaces that are no longer in the view.
func (h *hostedReplica) removeStaleBounds(view *state.View) {
	if h.configuredView == nil {
		return
	}
	for _, w := range h.configuredView.Workspaces() {
		if !view.HasWorkspace(w) {
			h.grantor.Remove(corianderwing.RateBound(w))
		}
	}
}

// leaderStatus returns the group's status if this instance is its leader.
func (h *hostedReplica) leaderStatus(ctx context.Context) (*LeaderStatus, error) {
	if _, err := h.group.Confirm(ctx); err != nil {
		return nil, err
	}
	term, err := h.leaderTerm()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	h.leases.startTerm(term, now)
	l := &LeaderStatus{Leader: processID(h.self), Term: term, Revision: h.machine.View().Revision()}
	l.InForce, l.Leases = h.leases.inForce(l.Revision, now)
	return l, nil
}

// watch sends the updates after a revision until ctx is done.
func (h *hostedReplica) watch(ctx context.Context, after corianderwing.Revision, send func(*corianderwing.Update) error) error {
	for {
		changed := h.machine.Changed()
		updates, err := h.updates(after)
		if err != nil {
			return err
		}
		for i := range updates {
			if err := send(&updates[i]); err != nil {
				return err
			}
			after = updates[i].Revision
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// updates returns the deltas from a revision to the current one, or a snapshot if
// the deltas are no longer available.
func (h *hostedReplica) updates(after corianderwing.Revision) ([]corianderwing.Update, error) {
	updates, ok := h.machine.Updates(after)
	if ok {
		return updates, nil
	}
	snapshot, err := h.machine.View().Snapshot()
	if err != nil {
		return nil, err
	}
	return []corianderwing.Update{snapshot}, nil
}
