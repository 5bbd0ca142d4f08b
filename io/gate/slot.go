package gate

import (
	"context"
	"time"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/io/follow"
	"corianderwing/io/plane"
)

// slot is a slot of an upstream that an attempt holds.
type slot struct {
	pool        *pool
	upstream    *model.Upstream
	id          place.ID
	source      follow.SlotSource // who handed it out; empty for this instance itself
	expected    time.Duration
	longest     time.Duration // 0 if not known
	objectKnown bool
	coldStart   bool
	newVersion  bool
	acquiredAt  time.Time
}

// acquire gets a slot for the request: from the control instance of the failure
// domain, which sees all requests there, or from the own desk while that one
// cannot be asked. A refusal says after which time to come back.
func (s *Server) acquire(ctx context.Context, p *pool, r place.Request, v *model.View, now time.Time) (*slot, time.Duration, *corianderwing.Error) {
	p.mu.Lock()
	r.Steady = p.moveStats.guard.Blocks(now)
	p.mu.Unlock()
	a, source, ok := s.cfg.Control.Acquire(ctx, &plane.Acquire{
		Pool:   p.name,
		Object: r.Object,
		Class:  r.Class,
		Rank:   r.Rank,
		Again:  r.Again,
		Goal:   corianderwing.Millis(r.Goal.Sub(now).Milliseconds()),
		Left:   corianderwing.Millis(r.Deadline.Sub(now).Milliseconds()),
		Homes:  r.Homes,
		Tried:  r.Tried,
		Steady: r.Steady,
	})
	if !ok {
		return s.acquireLocal(ctx, p, r)
	}
	if a.Error != nil {
		return nil, time.Duration(a.After) * time.Millisecond, a.Error
	}
	u, known := v.Upstream(a.Upstream)
	if !known || u.Incarnation != a.Incarnation {
		// The control instance has a later state than this one.
		if late, ok := s.cfg.Control.View(); ok {
			u, known = late.Upstream(a.Upstream)
		}
	}
	if !known || u.Incarnation != a.Incarnation {
		s.cfg.Control.Release(source, p.name, place.Outcome{ID: a.ID, Result: place.Dropped})
		return s.acquireLocal(ctx, p, r)
	}
	return &slot{
		pool:        p,
		upstream:    u,
		id:          a.ID,
		source:      source,
		expected:    time.Duration(a.Work) * time.Millisecond,
		longest:     time.Duration(a.Longest) * time.Millisecond,
		objectKnown: a.Known,
		coldStart:   a.Cold,
		newVersion:  a.Next,
		acquiredAt:  time.Now(),
	}, 0, nil
}

// acquireLocal gets a slot from the own desk.
func (s *Server) acquireLocal(ctx context.Context, p *pool, r place.Request) (*slot, time.Duration, *corianderwing.Error) {
	r.Stay = true
	ticket, after, err := s.desk.Acquire(ctx, p.name, r)
	if err != nil {
		return nil, after, err
	}
	return &slot{
		pool:        p,
		upstream:    ticket.Upstream,
		id:          ticket.ID,
		expected:    ticket.Work,
		longest:     ticket.Longest,
		objectKnown: ticket.Known,
		coldStart:   ticket.Cold,
		newVersion:  ticket.Next,
		acquiredAt:  time.Now(),
	}, 0, nil
}

// release gives a slot back with what the attempt showed.
func (s *Server) release(sl *slot, tracked *trackedAttempt, o place.Outcome) {
	o.ID = sl.id
	if tracked != nil {
		sl.pool.mu.Lock()
		sl.pool.moveStats.end(tracked, o.Result, time.Now())
		sl.pool.mu.Unlock()
	}
	if sl.source.Peer == "" {
		s.desk.Release(sl.pool.name, o)
		return
	}
	s.cfg.Control.Release(sl.source, sl.pool.name, o)
}

// startAttempt counts an attempt that is sent now. It returns nil without a move.
func (sl *slot) startAttempt(class corianderwing.RouteID, now time.Time) *trackedAttempt {
	sl.pool.mu.Lock()
	defer sl.pool.mu.Unlock()
	return sl.pool.moveStats.start(class, sl, now)
}
