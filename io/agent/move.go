package agent

import (
	"context"
	"sync"
	"time"

	"corianderwing"
	"corianderwing/core/shift"
	"corianderwing/io/clock"
)

const (
	// sampleInterval is the time between two reports of samples. A fault must
	// stop new requests within a second; three periods fit into it.
	sampleInterval = 200 * time.Millisecond
	// shareTTL is how long a share counts without news from the leader. It
	// is the length of a freshness lease.
	shareTTL = 3 * time.Second
)

// SampleReporter is the way to the leader that compares the versions of a move.
type SampleReporter interface {
	// ReportSamples reports what was counted since the last report and returns the
	// shares of the new versions by move.
	ReportSamples(ctx context.Context, g corianderwing.GroupID, moves []MoveSamples) (map[corianderwing.RequestID]float64, error)
}

// MoveSamples is what this instance counted for one move.
type MoveSamples struct {
	Pool    corianderwing.PoolID
	Move    corianderwing.RequestID
	Samples []shift.Sample
}

// Attempt is the outcome of one attempt at an upstream, as evidence for a move.
type Attempt struct {
	Pool      corianderwing.PoolID
	Route     corianderwing.Path
	Version   corianderwing.VersionID
	Failed    bool          // counts against the version
	FirstByte time.Duration // to the first byte of the answer
}

// moveStats counts attempts between two reports.
type moveStats struct {
	mu     sync.Mutex
	counts map[sampleKey]*shift.Sample
	shares map[corianderwing.RequestID]versionShare
}

type sampleKey struct {
	pool    corianderwing.PoolID
	route   string
	version corianderwing.VersionID
}

// versionShare is the last share that the leader told.
type versionShare struct {
	share float64
	until time.Time
}

// Observe counts an attempt while its pool has a move under way.
func (a *Agent) Observe(at Attempt) {
	if !a.hasActiveMove(at.Pool) {
		return
	}
	key := sampleKey{at.Pool, at.Route.String(), at.Version}
	a.moveStats.mu.Lock()
	defer a.moveStats.mu.Unlock()
	s := a.moveStats.counts[key]
	if s == nil {
		s = &shift.Sample{Route: key.route, Version: key.version}
		a.moveStats.counts[key] = s
	}
	s.Count++
	if at.Failed {
		s.Errors++
	}
	s.Latency[shift.Bucket(at.FirstByte)]++
}

func (a *Agent) hasActiveMove(p corianderwing.PoolID) bool {
	for _, f := range a.followers {
		if m, ok := f.view.Load().Move(p); ok && m.Outcome == corianderwing.Moving {
			return true
		}
	}
	return false
}

// NewVersionShare returns the share of a move's new version. An instance without news
// from the leader keeps the share small.
func (a *Agent) NewVersionShare(m corianderwing.Move, now time.Time) float64 {
	a.moveStats.mu.Lock()
	defer a.moveStats.mu.Unlock()
	h, ok := a.moveStats.shares[m.ID]
	if !ok {
		return 0
	}
	if now.After(h.until) {
		return min(h.share, shift.InitialShare)
	}
	return h.share
}

// reportMoves reports samples of a group's moves until ctx ends.
func (f *follower) reportMoves(ctx context.Context) {
	for clock.Sleep(ctx, sampleInterval) {
		var moves []MoveSamples
		for _, m := range f.view.Load().Moves() {
			if m.Outcome == corianderwing.Moving {
				moves = append(moves, MoveSamples{Pool: m.Pool, Move: m.ID, Samples: f.agent.moveStats.takeSamples(m.Pool)})
			}
		}
		if len(moves) == 0 {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
		sent := time.Now()
		shares, err := f.agent.cfg.Samples.ReportSamples(callCtx, f.group, moves)
		cancel()
		if err != nil {
			f.agent.log.Debug().Str("group", string(f.group)).Err(err).Msg("samples were not taken")
			continue
		}
		f.agent.moveStats.setShares(shares, sent.Add(shareTTL))
		f.agent.notifyChange()
	}
}

// takeSamples returns the samples of a pool and starts new ones.
func (t *moveStats) takeSamples(p corianderwing.PoolID) []shift.Sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []shift.Sample
	for key, s := range t.counts {
		if key.pool == p {
			all = append(all, *s)
			delete(t.counts, key)
		}
	}
	return all
}

func (t *moveStats) setShares(shares map[corianderwing.RequestID]float64, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, share := range shares {
		t.shares[id] = versionShare{share, until}
	}
}
