package plane

import (
	"context"
	"time"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/shift"
	"corianderwing/io/clock"
)

// moveReportInterval is the interval of beats and pulses while a move is under way: a
// fault of the new version costs requests until the leader has learned of it.
const moveReportInterval = 150 * time.Millisecond

// rollouts holds the plans of the rollouts under way. The leader of the term owns
// them; a new leader begins each move anew.
type rollouts struct {
	byMove  map[corianderwing.RequestID]*shift.Rollout
	running map[corianderwing.RequestID]map[string]int // by reporter: requests of the old version
}

// recordTrials takes what a control instance reports, and returns the shares.
func (l *leaderState) recordTrials(term corianderwing.Term, reporter string, trials []Trial, v *model.View, now time.Time) []MoveShare {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureTerm(term, clock.Boot())
	for _, t := range trials {
		m, ok := v.Move(t.Pool)
		if !ok || m.ID != t.Move || m.Outcome != corianderwing.Moving {
			continue
		}
		l.rollout(m).Observe(now, t.Samples)
		l.rollouts.running[m.ID][reporter] = t.Running
	}
	var list []MoveShare
	v.Moves(func(m corianderwing.Move) {
		if m.Outcome == corianderwing.Moving {
			list = append(list, MoveShare{m.Pool, m.ID, l.rollout(m).Share(now)})
		}
	})
	return list
}

// rollout returns the rollout of a move. The lock is held.
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

// endedMoves returns the moves whose plans have come to an end.
func (l *leaderState) endedMoves(term corianderwing.Term, v *model.View, now time.Time) []corianderwing.Move {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureTerm(term, clock.Boot())
	var list []corianderwing.Move
	v.Moves(func(m corianderwing.Move) {
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

// moveLoop records the outcomes of moves while this instance leads.
func (p *Plane) moveLoop() {
	for clock.Sleep(p.ctx, moveReportInterval) {
		term, ok := p.replica.Leads()
		if !ok {
			continue
		}
		for _, m := range p.leaderState.endedMoves(term, p.machine.View(), time.Now()) {
			ctx, cancel := context.WithTimeout(p.ctx, batchTimeout)
			err := p.propose(ctx, &model.Command{EndMove: &m})
			cancel()
			p.log.Info().Str("pool", string(m.Pool)).Str("version", string(m.To)).Str("outcome", string(m.Outcome)).
				Str("evidence", m.Evidence).Err(err).Msg("move ended")
		}
	}
}

// moveInProgress reports whether a move is under way.
func moveInProgress(v *model.View) (inProgress bool) {
	v.Moves(func(m corianderwing.Move) { inProgress = inProgress || m.Outcome == corianderwing.Moving })
	return inProgress
}

// mergeTrials adds up what several entry instances counted. Running tells how many
// requests of the old version each of them has now.
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

// runningRequests returns how many requests the entry instances that beat here have
// at the old version of a move. The lock is held.
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
