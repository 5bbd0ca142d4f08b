package plane

import (
	"context"
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

// rollouts holds the rollouts of the moves in progress. It belongs to the
// leader of the current term; a new leader restarts each rollout.
type rollouts struct {
	byMove  map[corianderwing.RequestID]*shift.Rollout
	running map[corianderwing.RequestID]map[string]int // requests in flight at the old version, by reporter
}

// recordTrials records the samples reported by a control instance, and returns
// the current move shares.
func (l *leaderState) recordTrials(term corianderwing.Term, reporter string, trials []Trial, v *model.View, now time.Time) []MoveShare {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureTerm(term, clock.Boot())
	for _, t := range trials {
		m, ok := v.LatestMove(t.Pool)
		if !ok || m.ID != t.Move || m.Outcome != corianderwing.Moving {
			continue
		}
		l.rollout(m).Observe(now, t.Samples)
		l.rollouts.running[m.ID][reporter] = t.Running
	}
	var list []MoveShare
	v.EachMove(func(m corianderwing.Move) {
		if m.Outcome == corianderwing.Moving {
			list = append(list, MoveShare{m.Pool, m.ID, l.rollout(m).Share(now)})
		}
	})
	return list
}

// rollout returns the rollout of a move, and starts it if necessary. The caller
// must hold l.mu.
func (l *leaderState) rollout(m corianderwing.Move) *shift.Rollout {
	p, ok := l.rollouts.byMove[m.ID]
	if !ok || !p.Move().Start.Equal(m.Start) {
		p = shift.New(m, shift.WithPace(shift.Quick))
		l.rollouts.byMove[m.ID] = p
		l.rollouts.running[m.ID] = map[string]int{}
	}
	running := 0
	for _, n := range l.rollouts.running[m.ID] {
		running += n
	}
	p.SetRunning(running)
	return p
}

// endedMoves returns the moves whose rollouts have ended but whose outcome is
// not recorded yet.
func (l *leaderState) endedMoves(term corianderwing.Term, v *model.View, now time.Time) []corianderwing.Move {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureTerm(term, clock.Boot())
	var list []corianderwing.Move
	v.EachMove(func(m corianderwing.Move) {
		if m.Outcome != corianderwing.Moving {
			return
		}
		p := l.rollout(m)
		p.Share(now)
		if p.Move().Outcome != corianderwing.Moving {
			list = append(list, p.Move())
		}
	})
	return list
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
