package gate

import (
	"time"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/core/shift"
	"corianderwing/io/plane"
)

// moveStats counts what a pool's requests show of the version that a move leads to.
// The pool's lock guards it.
type moveStats struct {
	move    corianderwing.Move
	share   float64 // that the leader told
	shareAt time.Time
	guard   shift.Guard
	samples map[sampleKey]*shift.Sample
	running map[*trackedAttempt]struct{}
}

type sampleKey struct {
	route      corianderwing.RouteID
	newVersion bool
}

// trackedAttempt is a request at an upstream during a move.
type trackedAttempt struct {
	route       corianderwing.RouteID
	newVersion  bool
	lateAfter   time.Time // counts as late if it has not ended by then
	lateCounted bool      // its lateness has been counted
}

const (
	// lateFactor is how many times longer than expected a request must take to
	// count against a version, and lateSlack what is added for short ones.
	lateFactor = 3
	lateSlack  = 200 * time.Millisecond
	// shareTTL is how long a share counts without news from the leader.
	shareTTL = 3 * time.Second
)

// update takes over the pool's move. It returns the move, if one is under way,
// and the share of its new version.
func (ms *moveStats) update(v *model.View, name corianderwing.PoolID, now time.Time) (corianderwing.RequestID, float64) {
	m, ok := v.Move(name)
	if !ok || m.Outcome != corianderwing.Moving {
		if ms.move.ID != "" {
			*ms = moveStats{}
		}
		return "", 0
	}
	if ms.move.ID != m.ID || !ms.move.Start.Equal(m.Start) {
		*ms = moveStats{move: m, samples: map[sampleKey]*shift.Sample{}, running: map[*trackedAttempt]struct{}{}}
	}
	share := ms.share
	if now.Sub(ms.shareAt) > shareTTL {
		share = min(share, shift.Quick.Small)
	}
	if ms.guard.Blocks(now) {
		share = 0
	}
	return m.ID, share
}

// start counts an attempt that is sent now. It returns nil without a move.
func (ms *moveStats) start(class corianderwing.RouteID, s *slot, now time.Time) *trackedAttempt {
	if ms.move.ID == "" {
		return nil
	}
	a := &trackedAttempt{route: class, newVersion: s.newVersion, lateAfter: now.Add(lateFactor*s.expected + lateSlack), lateCounted: s.coldStart}
	ms.running[a] = struct{}{}
	return a
}

// end counts the outcome of an attempt.
func (ms *moveStats) end(a *trackedAttempt, result place.Result, now time.Time) {
	if _, ok := ms.running[a]; !ok {
		return // of an earlier move
	}
	delete(ms.running, a)
	if result == place.Shed || result == place.Moved || result == place.Dropped {
		return
	}
	s := ms.sample(a)
	s.Count++
	failed := result != place.Good
	if failed {
		s.Errors++
	}
	late := !a.lateCounted && now.After(a.lateAfter)
	if late {
		s.Late++
	}
	ms.observe(s, a, failed || late, now)
}

// observe shows an outcome to the guard.
func (ms *moveStats) observe(s *shift.Sample, a *trackedAttempt, bad bool, now time.Time) {
	switch {
	case !a.newVersion:
		ms.guard.ObserveOld(bad)
	case ms.guard.Observe(string(a.route), bad, now):
		s.Trips++
	}
}

func (ms *moveStats) sample(a *trackedAttempt) *shift.Sample {
	key := sampleKey{a.route, a.newVersion}
	s, ok := ms.samples[key]
	if !ok {
		s = &shift.Sample{Route: string(a.route), Version: ms.move.From}
		if a.newVersion {
			s.Version = ms.move.To
		}
		ms.samples[key] = s
	}
	return s
}

// collect returns what was counted since the last call. Requests that are late
// already count at once.
func (ms *moveStats) collect(name corianderwing.PoolID, now time.Time) (plane.Trial, bool) {
	if ms.move.ID == "" {
		return plane.Trial{}, false
	}
	out := plane.Trial{Pool: name, Move: ms.move.ID}
	for a := range ms.running {
		if !a.newVersion {
			out.Running++
		}
		if !a.lateCounted && now.After(a.lateAfter) {
			a.lateCounted = true
			s := ms.sample(a)
			s.Count++
			s.Late++
			ms.observe(s, a, true, now)
		}
	}
	for _, s := range ms.samples {
		out.Samples = append(out.Samples, *s)
	}
	clear(ms.samples)
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
		if t, ok := p.moveStats.collect(p.name, now); ok {
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
		if p.moveStats.move.ID == m.Move {
			p.moveStats.share, p.moveStats.shareAt = m.Share, now
		}
		p.mu.Unlock()
	}
}
