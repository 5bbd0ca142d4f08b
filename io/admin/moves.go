package admin

import (
	"context"
	"time"

	"corianderwing"
	"corianderwing/core/state"
)

// MoveInfo is the latest move of a pool with its group.
type MoveInfo struct {
	Group corianderwing.GroupID `json:"group"`
	corianderwing.Move
}

// MoveQuery selects the latest moves by pool and group. Empty fields match all.
type MoveQuery struct {
	Group corianderwing.GroupID
	Pool  corianderwing.PoolID
}

func (q *MoveQuery) read(in *input) {
	q.Group = corianderwing.GroupID(in.query("group"))
	q.Pool = corianderwing.PoolID(in.query("pool"))
}

// MoveList lists the latest move of each pool.
type MoveList struct {
	Moves []MoveInfo `json:"moves"`
}

func (a *API) listMoves(_ context.Context, q *MoveQuery) (MoveList, error) {
	list := MoveList{Moves: []MoveInfo{}}
	err := a.eachView(q.Group, func(v *state.View) {
		for _, m := range v.Moves() {
			if q.Pool == "" || m.Pool == q.Pool {
				list.Moves = append(list.Moves, MoveInfo{v.Group(), m})
			}
		}
	})
	return list, err
}

// StartMove starts a version move of a pool. Its id is the request id.
type StartMove struct {
	Change
	Pool  corianderwing.PoolID    `json:"pool"`
	From  corianderwing.VersionID `json:"from"`
	To    corianderwing.VersionID `json:"to"`
	Start time.Time               `json:"start,omitzero"` // default: now
	By    time.Time               `json:"by"`
}

func (m *StartMove) read(in *input) {
	in.body(m)
	m.check(in)
	m.requireBase(in)
}

func (a *API) startMove(ctx context.Context, m *StartMove) (Accepted, error) {
	g, err := a.resolveGroup(m.Group, "")
	if err != nil {
		return Accepted{}, err
	}
	c := m.command(corianderwing.StartMove)
	c.Move = &corianderwing.Move{ID: m.Request, Pool: m.Pool, From: m.From, To: m.To, Start: m.Start, By: m.By}
	return a.propose(ctx, g, c)
}
