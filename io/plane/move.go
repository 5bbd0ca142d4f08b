package plane

import (
	"context"
	"maps"
	"time"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/shift"
	"corianderwing/io/clock"
)

// moveReportInterval is the interval of reports to the leader while a move is in
// progress, and of checks for ended moves: requests fail until the leader learns
// of a fault in the new version.
const moveReportInterval = 150 * time.Millisecond

// rollout is the rollout of a move in progress, at the leader of the current term.
type rollout struct {
	*shift.Rollout
	running map[string]int           // requests in flight at the old version, by reporter
	batches map[string]model.BatchID // last batch of samples of each reporter
	// Share and requests in the last record.
	recordedShare, recordedTotal float64
}

// newRollout returns the rollout of a move, which goes on from the record of an earlier
// leader if there is one.
func newRollout(m corianderwing.Move, r *model.RolloutRecord, now time.Time) *rollout {
	opts := []shift.Option{shift.WithPace(shift.Quick)}
	n := &rollout{running: map[string]int{}, batches: map[string]model.BatchID{}}
	if r != nil {
		opts = append(opts, shift.WithRecord(r.Rollout, now))
		maps.Copy(n.batches, r.Batches)
	}
	n.Rollout = shift.New(m, opts...)
	return n
}

// observe records what a control instance reports of the move. A batch of samples that
// it sends again counts once.
func (r *rollout) observe(reporter string, b model.BatchID, t Trial, now time.Time) {
	r.running[reporter] = t.Running
	running := 0
	for _, n := range r.running {
		running += n
	}
	r.SetRunning(running)
	last := r.batches[reporter]
	if b.No != 0 && b.Incarnation == last.Incarnation && b.No <= last.No {
		return
	}
	r.batches[reporter] = b
	r.Observe(now, t.Samples)
}

// recordTrials records the samples reported by a control instance, and returns
// the current move shares. This instance must have applied all that was committed
// before the term.
func (l *leaderState) recordTrials(term corianderwing.Term, q *reportRequest, v *model.View, now time.Time) []MoveShare {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureTerm(term, clock.Boot())
	batch := model.BatchID{Incarnation: uint64(q.Incarnation), No: q.Batch}
	for _, t := range q.Trials {
		m, ok := v.LatestMove(t.Pool)
		if !ok || m.ID != t.Move || m.Outcome != corianderwing.Moving {
			continue
		}
		l.rollout(m, now).observe(string(q.Replica), batch, t, now)
	}
	var list []MoveShare
	v.EachMove(func(m corianderwing.Move) {
		if m.Outcome == corianderwing.Moving {
			list = append(list, MoveShare{m.Pool, m.ID, l.rollout(m, now).Share(now)})
		}
	})
	return list
}

// rollout returns the rollout of a move, and starts it if necessary. The caller
// must hold l.mu.
func (l *leaderState) rollout(m corianderwing.Move, now time.Time) *rollout {
	r, ok := l.rollouts[m.ID]
	if !ok || !r.Move().Start.Equal(m.Start) {
		r = newRollout(m, l.rolloutRecord(m), now)
		l.rollouts[m.ID] = r
	}
	return r
}

// eachRollout calls f with the rollouts of the moves in progress for which a report has
// been answered in this term. The caller must hold l.mu.
func (l *leaderState) eachRollout(v *model.View, f func(corianderwing.Move, *rollout)) {
	v.EachMove(func(m corianderwing.Move) {
		if r, ok := l.rollouts[m.ID]; ok && m.Outcome == corianderwing.Moving && r.Move().Start.Equal(m.Start) {
			f(m, r)
		}
	})
}

// endedMoves returns the moves whose rollouts have ended but whose outcome is
// not recorded yet.
func (l *leaderState) endedMoves(term corianderwing.Term, v *model.View, now time.Time) []corianderwing.Move {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureTerm(term, clock.Boot())
	var list []corianderwing.Move
	l.eachRollout(v, func(_ corianderwing.Move, r *rollout) {
		r.Share(now)
		if r.Move().Outcome != corianderwing.Moving {
			list = append(list, r.Move())
		}
	})
	return list
}

// nextRolloutRecords returns the records of rollouts that have changed since their last
// record.
func (l *leaderState) nextRolloutRecords(term corianderwing.Term, v *model.View, now time.Time) []*model.RolloutRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureTerm(term, clock.Boot())
	var list []*model.RolloutRecord
	l.eachRollout(v, func(m corianderwing.Move, r *rollout) {
		rec := r.Record(now)
		if rec.Share == r.recordedShare && rec.Total == r.recordedTotal {
			return
		}
		r.recordedShare, r.recordedTotal = rec.Share, rec.Total
		list = append(list, &model.RolloutRecord{Pool: m.Pool, Move: m.ID, Start: m.Start, Rollout: rec, Batches: maps.Clone(r.batches)})
	})
	return list
}

// recordInterval is the interval at which the leader commits the state of rollouts.
const recordInterval = 300 * time.Millisecond

// recordLoop commits what a successor must know of the rollouts in progress while this
// instance is the leader.
func (p *Plane) recordLoop() {
	for clock.Sleep(p.ctx, recordInterval) {
		term, ok := p.replica.IsLeader()
		if !ok {
			continue
		}
		for _, r := range p.leaderState.nextRolloutRecords(term, p.machine.View(), time.Now()) {
			ctx, cancel := context.WithTimeout(p.ctx, batchTimeout)
			err := p.proposeInTerm(ctx, term, &model.Command{Rollout: r})
			cancel()
			if err != nil {
				p.log.Debug().Str("pool", string(r.Pool)).Err(err).Msg("the state of a rollout is not committed")
			}
		}
	}
}

// moveLoop records the outcomes of moves while this instance is the leader.
func (p *Plane) moveLoop() {
	for clock.Sleep(p.ctx, moveReportInterval) {
		term, ok := p.replica.IsLeader()
		if !ok {
			continue
		}
		for _, m := range p.leaderState.endedMoves(term, p.machine.View(), time.Now()) {
			ctx, cancel := context.WithTimeout(p.ctx, batchTimeout)
			err := p.proposeInTerm(ctx, term, &model.Command{EndMove: &m})
			cancel()
			p.log.Info().Str("pool", string(m.Pool)).Str("version", string(m.To)).Str("outcome", string(m.Outcome)).
				Str("evidence", m.Evidence).Err(err).Msg("move ended")
		}
	}
}

// moveInProgress reports whether any move is in progress.
func moveInProgress(v *model.View) (inProgress bool) {
	v.EachMove(func(m corianderwing.Move) { inProgress = inProgress || m.Outcome == corianderwing.Moving })
	return inProgress
}

// trialBatch holds the samples in a report. They are sent again with the same number
// until a leader answers, as one that does not may have counted them.
type trialBatch struct {
	no       uint64
	trials   []Trial
	answered bool
}

// nextTrialBatch returns the samples for the next report. The caller must hold p.mu.
func (p *Plane) nextTrialBatch() trialBatch {
	if p.sentTrials.answered || p.sentTrials.no == 0 {
		p.sentTrials = trialBatch{no: p.sentTrials.no + 1, trials: p.trials}
		p.trials = nil
	}
	return p.sentTrials
}

// mergeTrials merges the samples of several entry instances. The running
// function returns the total number of requests in flight at the old version of
// a move.
func mergeTrials(list []Trial, running func(corianderwing.RequestID) int) []Trial {
	type key struct {
		move    corianderwing.RequestID
		route   string
		version corianderwing.VersionID
	}
	var out []Trial
	indexes := map[corianderwing.RequestID]int{}
	samples := map[key]int{}
	for _, t := range list {
		i, ok := indexes[t.Move]
		if !ok {
			i = len(out)
			indexes[t.Move] = i
			out = append(out, Trial{Pool: t.Pool, Move: t.Move, Running: running(t.Move)})
		}
		for _, s := range t.Samples {
			k := key{t.Move, s.Route, s.Version}
			if j, ok := samples[k]; ok {
				out[i].Samples[j].Add(s)
				continue
			}
			samples[k] = len(out[i].Samples)
			out[i].Samples = append(out[i].Samples, s)
		}
	}
	return out
}

// runningRequests returns the number of requests that the local entry instances
// have in flight at the old version of a move. The caller must hold p.mu.
func (p *Plane) runningRequests(m corianderwing.RequestID) (n int) {
	for _, b := range p.localEntries {
		for _, t := range b.trials {
			if t.Move == m {
				n += t.Running
			}
		}
	}
	return n
}
