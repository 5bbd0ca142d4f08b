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
	// sampleInterval is the interval between reports of samples. A faulty
	// version must stop receiving new requests within a second; three
	// reports fit into it.
	sampleInterval = 200 * time.Millisecond
	// shareTTL is how long a share stays valid without a reply from the
	// leader. It equals the length of a freshness lease.
	shareTTL = 3 * time.Second
)

// SampleReporter sends samples to the leader that compares the versions of a
// move.
type SampleReporter interface {
	// ReportSamples reports the samples since the last report and returns the
	// share of the new version of each move.
	ReportSamples(ctx context.Context, g corianderwing.GroupID, moves []MoveSamples) (map[corianderwing.RequestID]float64, error)
}

// MoveSamples are the samples that this instance counted for one move.
type MoveSamples struct {
	Pool    corianderwing.PoolID
	Move    corianderwing.RequestID
	Samples []shift.Sample
}

// Attempt is the outcome of one attempt at an upstream, from which the versions
// of a move are compared.
type Attempt struct {
	Pool      corianderwing.PoolID
	Route     corianderwing.Path
	Version   corianderwing.VersionID
	Failed    bool          // counts against the version
	FirstByte time.Duration // latency to the first byte of the response
}

// moveStats accumulates samples between two reports, and holds the shares that
// the leader returned.
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

// versionShare is the last share of a new version that the leader returned.
type versionShare struct {
	share float64
	until time.Time
}

// Observe counts an attempt if its pool has a move in progress.
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

// NewVersionShare returns the share of requests for the new version of a move.
// Once the last share from the leader has expired, it is at most
// shift.InitialShare.
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

// reportMoves reports the samples of the group's moves until ctx ends.
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
			f.agent.log.Debug().Str("group", string(f.group)).Err(err).Msg("sample report failed")
			continue
		}
		f.agent.moveStats.setShares(shares, sent.Add(shareTTL))
		f.agent.notifyChange()
	}
}

// takeSamples returns the samples of a pool and resets them.
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
