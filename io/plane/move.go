package plane

import (
	"context"
	"time"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/shift"
	"corianderwing/io/clock"
)

// movePulse is the interval of beats and pulses while a move is under way: a
// fault of the new version costs requests until the leader has learned of it.
const movePulse = 150 * time.Millisecond

// moves holds the plans of the moves under way. The leader of the term owns
// them; a new leader begins each move anew.
type moves struct {
	plans   map[corianderwing.RequestID]*shift.Rollout
	running map[corianderwing.RequestID]map[string]int // by reporter: requests of the old version
}

// observe takes what a control instance reports, and returns the shares.
func (l *lead) observe(term corianderwing.Term, from string, trials []Trial, v *model.View, now time.Time) []MoveShare {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin(term, clock.Boot())
	for _, t := range trials {
		m, ok := v.LatestMove(t.Pool)
		if !ok || m.ID != t.Move || m.Outcome != corianderwing.Moving {
			continue
		}
		l.plan(m).Observe(now, t.Samples)
		l.moves.running[m.ID][from] = t.Running
	}
	var list []MoveShare
	v.EachMove(func(m corianderwing.Move) {
		if m.Outcome == corianderwing.Moving {
			list = append(list, MoveShare{m.Pool, m.ID, l.plan(m).Share(now)})
		}
	})
	return list
}

// plan returns the plan of a move. The lock is held.
func (l *lead) plan(m corianderwing.Move) *shift.Rollout {
	p, ok := l.moves.plans[m.ID]
	if !ok || !p.Move().Start.Equal(m.Start) {
		p = shift.New(m, shift.WithPace(shift.Quick))
		l.moves.plans[m.ID] = p
		l.moves.running[m.ID] = map[string]int{}
	}
	running := 0
	for _, n := range l.moves.running[m.ID] {
		running += n
	}
	p.SetRunning(running)
	return p
}

// ended returns the moves whose plans have come to an end.
func (l *lead) ended(term corianderwing.Term, v *model.View, now time.Time) []corianderwing.Move {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin(term, clock.Boot())
	var list []corianderwing.Move
	v.EachMove(func(m corianderwing.Move) {
		if m.Outcome != corianderwing.Moving {
			return
		}
		p := l.plan(m)
		p.Share(now)
		if p.Move().Outcome != corianderwing.Moving {
			list = append(list, p.Move())
		}
	})
	return list
}

// keepMoving records the outcomes of moves while this instance leads.
func (p *Plane) keepMoving() {
	for clock.Sleep(p.ctx, movePulse) {
		term, ok := p.replica.IsLeader()
		if !ok {
			continue
		}
		for _, m := range p.lead.ended(term, p.machine.View(), time.Now()) {
			ctx, cancel := context.WithTimeout(p.ctx, batchTimeout)
			err := p.propose(ctx, &model.Command{EndMove: &m})
			cancel()
			p.log.Info().Str("pool", string(m.Pool)).Str("version", string(m.To)).Str("outcome", string(m.Outcome)).
				Str("evidence", m.Evidence).Err(err).Msg("move ended")
		}
	}
}

// moving reports whether a move is under way.
func moving(v *model.View) (yes bool) {
	v.EachMove(func(m corianderwing.Move) { yes = yes || m.Outcome == corianderwing.Moving })
	return yes
}

// merge adds up what several entry instances counted. Running tells how many
// requests of the old version each of them has now.
func merge(list []Trial, running func(corianderwing.RequestID) int) []Trial {
	type key struct {
		move    corianderwing.RequestID
		route   string
		version corianderwing.VersionID
	}
	var out []Trial
	at := map[corianderwing.RequestID]int{}
	samples := map[key]int{}
	for _, t := range list {
		i, ok := at[t.Move]
		if !ok {
			i = len(out)
			at[t.Move] = i
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

// runningOf returns how many requests the entry instances that beat here have
// at the old version of a move. The lock is held.
func (p *Plane) runningOf(m corianderwing.RequestID) (n int) {
	for _, b := range p.beats {
		for _, t := range b.trials {
			if t.Move == m {
				n += t.Running
			}
		}
	}
	return n
}
