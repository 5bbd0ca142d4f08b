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
	pool     *pool
	upstream *model.Upstream
	id       place.ID
	from     follow.SlotSource // who handed it out; empty for this instance itself
	work     time.Duration
	longest  time.Duration // 0 if not known
	known    bool
	cold     bool
	next     bool
	at       time.Time
}

// acquire gets a slot for the request: from the control instance of the failure
// domain, which sees all requests there, or from the own desk while that one
// cannot be asked. A refusal says after which time to come back.
func (s *Server) acquire(ctx context.Context, p *pool, r place.Request, v *model.View, now time.Time) (*slot, time.Duration, *corianderwing.Error) {
	p.mu.Lock()
	r.Steady = p.trial.guard.Blocks(now)
	p.mu.Unlock()
	a, from, ok := s.cfg.Control.Acquire(ctx, &plane.Acquire{
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
		return s.ownSlot(ctx, p, r)
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
		s.cfg.Control.Release(from, p.name, place.Outcome{ID: a.ID, Result: place.Dropped})
		return s.ownSlot(ctx, p, r)
	}
	return &slot{
		pool:     p,
		upstream: u,
		id:       a.ID,
		from:     from,
		work:     time.Duration(a.Work) * time.Millisecond,
		longest:  time.Duration(a.Longest) * time.Millisecond,
		known:    a.Known,
		cold:     a.Cold,
		next:     a.Next,
		at:       time.Now(),
	}, 0, nil
}

// ownSlot gets a slot from the own desk.
func (s *Server) ownSlot(ctx context.Context, p *pool, r place.Request) (*slot, time.Duration, *corianderwing.Error) {
	r.Stay = true
	t, after, err := s.desk.Acquire(ctx, p.name, r)
	if err != nil {
		return nil, after, err
	}
	return &slot{
		pool:     p,
		upstream: t.Upstream,
		id:       t.ID,
		work:     t.Work,
		longest:  t.Longest,
		known:    t.Known,
		cold:     t.Cold,
		next:     t.Next,
		at:       time.Now(),
	}, 0, nil
}

// release gives a slot back with what the attempt showed.
func (s *Server) release(t *slot, trial *attempt, o place.Outcome) {
	o.ID = t.id
	if trial != nil {
		t.pool.mu.Lock()
		t.pool.trial.end(trial, o.Result, time.Now())
		t.pool.mu.Unlock()
	}
	if t.from.Peer == "" {
		s.desk.Release(t.pool.name, o)
		return
	}
	s.cfg.Control.Release(t.from, t.pool.name, o)
}

// begin counts an attempt that is sent now. It returns nil without a move.
func (t *slot) begin(class corianderwing.RouteID, now time.Time) *attempt {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	return t.pool.trial.begin(class, t, now)
}
