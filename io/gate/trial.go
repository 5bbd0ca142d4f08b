package gate

import (
	"time"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/core/shift"
	"corianderwing/io/plane"
)

// trial counts what a pool's requests show of the version that a move leads to.
// The pool's lock guards it.
type trial struct {
	move    corianderwing.Move
	share   float64 // that the leader told
	heard   time.Time
	guard   shift.Guard
	samples map[sampleKey]*shift.Sample
	running map[*attempt]struct{}
}

type sampleKey struct {
	route corianderwing.RouteID
	next  bool
}

// attempt is a request at an upstream during a move.
type attempt struct {
	route corianderwing.RouteID
	next  bool
	late  time.Time // counts as late if it has not ended by then
	told  bool      // its lateness has been counted
}

const (
	// lateFactor is how many times longer than expected a request must take to
	// count against a version, and lateSlack what is added for short ones.
	lateFactor = 3
	lateSlack  = 200 * time.Millisecond
	// shareFor is how long a share counts without news from the leader.
	shareFor = 3 * time.Second
)

// follow takes over the pool's move. It returns the move, if one is under way,
// and the share of its new version.
func (t *trial) follow(v *model.View, name corianderwing.PoolID, now time.Time) (corianderwing.RequestID, float64) {
	m, ok := v.Move(name)
	if !ok || m.Outcome != corianderwing.Moving {
		if t.move.ID != "" {
			*t = trial{}
		}
		return "", 0
	}
	if t.move.ID != m.ID || !t.move.Start.Equal(m.Start) {
		*t = trial{move: m, samples: map[sampleKey]*shift.Sample{}, running: map[*attempt]struct{}{}}
	}
	share := t.share
	if now.Sub(t.heard) > shareFor {
		share = min(share, shift.Quick.Small)
	}
	if t.guard.Blocks(now) {
		share = 0
	}
	return m.ID, share
}

// begin counts an attempt that is sent now. It returns nil without a move.
func (t *trial) begin(class corianderwing.RouteID, s *slot, now time.Time) *attempt {
	if t.move.ID == "" {
		return nil
	}
	a := &attempt{route: class, next: s.next, late: now.Add(lateFactor*s.work + lateSlack), told: s.cold}
	t.running[a] = struct{}{}
	return a
}

// end counts the outcome of an attempt.
func (t *trial) end(a *attempt, result place.Result, now time.Time) {
	if _, ok := t.running[a]; !ok {
		return // of an earlier move
	}
	delete(t.running, a)
	if result == place.Shed || result == place.Moved || result == place.Dropped {
		return
	}
	s := t.sample(a)
	s.Count++
	failed := result != place.Good
	if failed {
		s.Errors++
	}
	late := !a.told && now.After(a.late)
	if late {
		s.Late++
	}
	t.observe(s, a, failed || late, now)
}

// observe shows an outcome to the guard.
func (t *trial) observe(s *shift.Sample, a *attempt, bad bool, now time.Time) {
	switch {
	case !a.next:
		t.guard.ObserveOld(bad)
	case t.guard.Observe(string(a.route), bad, now):
		s.Trips++
	}
}

func (t *trial) sample(a *attempt) *shift.Sample {
	key := sampleKey{a.route, a.next}
	s, ok := t.samples[key]
	if !ok {
		s = &shift.Sample{Route: string(a.route), Version: t.move.From}
		if a.next {
			s.Version = t.move.To
		}
		t.samples[key] = s
	}
	return s
}

// take returns what was counted since the last call. Requests that are late
// already count at once.
func (t *trial) take(name corianderwing.PoolID, now time.Time) (plane.Trial, bool) {
	if t.move.ID == "" {
		return plane.Trial{}, false
	}
	out := plane.Trial{Pool: name, Move: t.move.ID}
	for a := range t.running {
		if !a.next {
			out.Running++
		}
		if !a.told && now.After(a.late) {
			a.told = true
			s := t.sample(a)
			s.Count++
			s.Late++
			t.observe(s, a, true, now)
		}
	}
	for _, s := range t.samples {
		out.Samples = append(out.Samples, *s)
	}
	clear(t.samples)
	return out, true
}

// TakeTrials returns what was counted for moves since the last call.
func (s *Server) TakeTrials() []plane.Trial {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []plane.Trial
	for _, p := range s.pools {
		p.mu.Lock()
		if t, ok := p.trial.take(p.name, now); ok {
			list = append(list, t)
		}
		p.mu.Unlock()
	}
	return list
}

// SetShares takes over the shares that the leader gives to new versions.
func (s *Server) SetShares(list []plane.MoveShare) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range list {
		p := s.pools[m.Pool]
		if p == nil {
			continue
		}
		p.mu.Lock()
		if p.trial.move.ID == m.Move {
			p.trial.share, p.trial.heard = m.Share, now
		}
		p.mu.Unlock()
	}
}
