package gate

import (
	"context"
	"slices"
	"time"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/core/usage"
	"corianderwing/io/follow"
	"corianderwing/io/plane"
)

// slot is a concurrency slot at an upstream, held for one attempt.
type slot struct {
	pool        *pool
	upstream    *model.Upstream
	id          place.ID
	source      follow.SlotSource // empty if allocated by this instance
	expected    time.Duration     // until the first byte
	longest     time.Duration     // expected time if the upstream does not know the object; 0 if unknown
	objectKnown bool
	coldStart   bool
	newVersion  bool
	acquiredAt  time.Time
	revision    corianderwing.Revision // of the state that allowed the upstream
	stateAge    time.Duration          // of that state

	// Set for the attempt at the upstream.
	exchange *exchange
	notice   *upstreamNotice
	info     corianderwing.ResponseInfo // of the response
	trial    bool                       // the attempt tests a pushback
	counted  bool                       // the attempt is counted in window
	window   usage.Window
}

// refusal says why a request got no slot.
type refusal struct {
	err    *corianderwing.Error
	after  time.Duration     // delay after which the caller should retry
	source follow.SlotSource // allocator that refused; empty if this instance did
}

// acquire gets a slot for the request from the control instance of the failure
// domain, which sees all requests there. While that instance is unreachable, the
// slot comes from the local allocator.
func (s *Server) acquire(ctx context.Context, p *pool, r place.Request, now time.Time) (*slot, *refusal) {
	p.mu.Lock()
	r.CurrentVersionOnly = p.moveStats.guard.Blocks(now)
	p.mu.Unlock()
	a, source, ok := s.cfg.Control.Acquire(ctx, &plane.AcquireRequest{
		Pool:               p.name,
		Object:             r.Object,
		Class:              r.Class,
		Workspace:          r.Workspace,
		Rank:               r.Rank,
		Retried:            r.Retried,
		Goal:               corianderwing.Millis(r.Goal.Sub(now).Milliseconds()),
		Timeout:            corianderwing.Millis(r.Deadline.Sub(now).Milliseconds()),
		HomeRegions:        r.HomeRegions,
		ExcludedUpstreams:  r.ExcludedUpstreams,
		CurrentVersionOnly: r.CurrentVersionOnly,
		NoForward:          r.NoForward,
	})
	if !ok {
		return s.acquireLocal(ctx, p, r)
	}
	if a.Error != nil {
		return nil, &refusal{a.Error, time.Duration(a.RetryAfter) * time.Millisecond, source}
	}
	u, revision, ok := s.usableUpstream(p.name, a.Upstream, a.Incarnation)
	if !ok || isTakenForWarm(u, a.ColdStart, time.Now()) {
		s.cfg.Control.Release(source, p.name, place.Outcome{ID: a.ID, Result: place.Canceled})
		return s.acquireLocal(ctx, p, r)
	}
	return &slot{
		pool:        p,
		upstream:    u,
		id:          a.ID,
		source:      source,
		expected:    time.Duration(a.ExpectedLatency) * time.Millisecond,
		longest:     time.Duration(a.MissLatency) * time.Millisecond,
		objectKnown: a.ExpectHit,
		coldStart:   a.ColdStart,
		newVersion:  a.NextVersion,
		acquiredAt:  time.Now(),
		revision:    revision,
		stateAge:    s.cfg.Control.StateAge(),
	}, nil
}

// usableUpstream returns an upstream if this instance's state allows new work of the pool
// there, and the revision of that state. Whoever granted the slot may be behind: a control instance that was paused
// grants slots of upstreams that have left or drain since, or whose version was rolled
// back, the allocator of this instance follows its state a moment later, and the state
// may have changed while the request waited.
func (s *Server) usableUpstream(pool corianderwing.PoolID, id corianderwing.UpstreamID, i corianderwing.Incarnation) (*model.Upstream, corianderwing.Revision, bool) {
	view, _ := s.cfg.Control.View()
	u, ok := view.Upstream(id)
	if !ok || u.Pool != pool || u.Incarnation != i || !servesPool(view, u) {
		return nil, 0, false
	}
	return u, view.Revision(), u.Phase == corianderwing.Ready && !view.Evacuated(u.Domain)
}

// maxStateDelay is how much later than a control instance this instance may receive a
// change of the state while nothing is wrong.
const maxStateDelay = 250 * time.Millisecond

// isTakenForWarm reports whether a slot was granted by a state in which a cold upstream
// is warm. Whoever granted it lags behind, and may grant many more.
func isTakenForWarm(u *model.Upstream, coldStart bool, now time.Time) bool {
	return !coldStart && u.WarmupUntil.Sub(now) > maxStateDelay
}

// acquireLocal gets a slot from the allocator of this instance.
func (s *Server) acquireLocal(ctx context.Context, p *pool, r place.Request) (*slot, *refusal) {
	r.NoForward = true
	for range maxUpstreamsTried {
		ticket, after, err := s.allocator.Acquire(ctx, p.name, r)
		if err != nil {
			return nil, &refusal{err: err, after: after}
		}
		u, revision, ok := s.usableUpstream(p.name, ticket.Upstream.ID, ticket.Upstream.Incarnation)
		if !ok || isTakenForWarm(u, ticket.ColdStart, time.Now()) {
			s.allocator.Release(p.name, place.Outcome{ID: ticket.ID, Result: place.Canceled})
			r.ExcludedUpstreams = append(slices.Clip(r.ExcludedUpstreams), ticket.Upstream.ID)
			continue
		}
		return &slot{
			pool:        p,
			upstream:    u,
			id:          ticket.ID,
			expected:    ticket.ExpectedLatency,
			longest:     ticket.MissLatency,
			objectKnown: ticket.ExpectHit,
			coldStart:   ticket.ColdStart,
			newVersion:  ticket.NextVersion,
			acquiredAt:  time.Now(),
			revision:    revision,
			stateAge:    s.cfg.Control.StateAge(),
		}, nil
	}
	return nil, &refusal{err: corianderwing.Errorf(corianderwing.NoUpstream, "the upstreams of pool %s that were granted are gone", p.name)}
}

// release returns a slot to its source and reports the outcome of the attempt.
func (s *Server) release(sl *slot, tracked *trackedAttempt, o place.Outcome) {
	o.ID = sl.id
	sl.endTrial()
	o.Leaving = sl.isLeaving()
	if tracked != nil {
		sl.pool.mu.Lock()
		sl.pool.moveStats.end(tracked, o.Result, time.Now())
		sl.pool.mu.Unlock()
	}
	if sl.source.Peer == "" {
		s.allocator.Release(sl.pool.name, o)
		return
	}
	s.cfg.Control.Release(sl.source, sl.pool.name, o)
}

// startAttempt starts tracking an attempt that is sent now. It returns nil if the
// pool has no move.
func (sl *slot) startAttempt(class corianderwing.RouteID, now time.Time) *trackedAttempt {
	sl.pool.mu.Lock()
	defer sl.pool.mu.Unlock()
	return sl.pool.moveStats.start(class, sl, now)
}
