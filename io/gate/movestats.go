package gate

import (
	"time"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/core/shift"
	"corianderwing/io/plane"
)

// moveStats collects the outcomes of a pool's requests, per version, while a move
// shifts traffic to a new version. It is guarded by the pool's mutex.
type moveStats struct {
	move    corianderwing.Move
	share   float64   // of the new version, as set by the leader
	shareAt time.Time // when the leader last set it
	guard   shift.Breaker
	samples map[sampleKey]*shift.Sample
	running map[*trackedAttempt]struct{}
}

type sampleKey struct {
	route      corianderwing.RouteID
	newVersion bool
}

// trackedAttempt is an attempt in progress during a move.
type trackedAttempt struct {
	route       corianderwing.RouteID
	newVersion  bool
	lateAfter   time.Time // an attempt that ends later counts as late
	lateCounted bool      // already counted as late, or exempt because of a cold start
}

const (
	// An attempt counts as late once it takes longer than lateFactor times the
	// expected time plus lateSlack, which allows for short requests.
	lateFactor = 3
	lateSlack  = 200 * time.Millisecond
	// shareTTL is how long a share is used in full without an update from the
	// leader.
	shareTTL = 3 * time.Second
)

// update synchronizes with the pool's move in the state. It returns the ID of the
// move in progress, if any, and the share of its new version.
func (ms *moveStats) update(v *model.View, name corianderwing.PoolID, now time.Time) (corianderwing.RequestID, float64) {
	m, ok := v.LatestMove(name)
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
		share = min(share, shift.Quick.InitialShare)
	}
	if ms.guard.Blocks(now) {
		share = 0
	}
	return m.ID, share
}

// start tracks an attempt that is sent now. It returns nil if there is no move.
func (ms *moveStats) start(class corianderwing.RouteID, s *slot, now time.Time) *trackedAttempt {
	if ms.move.ID == "" {
		return nil
	}
	a := &trackedAttempt{route: class, newVersion: s.newVersion, lateAfter: now.Add(lateFactor*s.expected + lateSlack), lateCounted: s.coldStart}
	ms.running[a] = struct{}{}
	return a
}

// end records the outcome of an attempt.
func (ms *moveStats) end(a *trackedAttempt, result place.Result, now time.Time) {
	if _, ok := ms.running[a]; !ok {
		return // started under an earlier move
	}
	delete(ms.running, a)
	if result == place.Overloaded || result == place.AddressReused || result == place.Canceled {
		return
	}
	s := ms.sample(a)
	s.Count++
	failed := result != place.Succeeded
	if failed {
		s.Errors++
	}
	late := !a.lateCounted && now.After(a.lateAfter)
	if late {
		s.Late++
	}
	ms.observe(s, a, failed || late, now)
}

// observe reports an outcome to the guard.
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

// collect returns and clears the counts since the last call. Attempts that are
// already late are counted before they end.
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

// TakeTrials returns and clears the counts of all moves since the last call.
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

// SetShares stores the shares of new versions that the leader set.
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
