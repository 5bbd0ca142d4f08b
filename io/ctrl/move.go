package ctrl

import (
	"context"
	"time"

	"corianderwing"
	"corianderwing/core/shift"
	"corianderwing/io/clock"
	"corianderwing/io/peer"
)

var sampleMethod = peer.Method[SampleRequest, SampleResponse]{Name: "Sample"}

// SampleRequest reports the samples that an entry instance has collected for the
// moves of a group since its last report.
type SampleRequest struct {
	Group   corianderwing.GroupID `json:"group"`
	Reports []MoveReport          `json:"reports"`
}

// MoveReport holds the samples of one move.
type MoveReport struct {
	Pool    corianderwing.PoolID    `json:"pool"`
	Move    corianderwing.RequestID `json:"move"`
	Samples []shift.Sample          `json:"samples,omitempty"`
}

// SampleResponse holds the traffic share of the new version for each reported move
// that is in progress.
type SampleResponse struct {
	Shares []MoveShare `json:"shares"`
}

// MoveShare is the traffic share of a move's new version, from 0 to 1.
type MoveShare struct {
	Move  corianderwing.RequestID `json:"move"`
	Share float64                 `json:"share"`
}

// endMovesInterval is the interval between checks for moves that have to end.
const endMovesInterval = 100 * time.Millisecond

// ReportSamples sends samples to the leader of a group.
func (c *Client) ReportSamples(ctx context.Context, req SampleRequest) (SampleResponse, error) {
	reply, err := callLeader(ctx, c, req.Group, func(ctx context.Context, addr string) (*SampleResponse, error) {
		return peer.Call(ctx, c.peer, addr, sampleMethod, &req)
	})
	if err != nil {
		return SampleResponse{}, err
	}
	return *reply, nil
}

// observeSamples feeds samples to the version comparison of their moves and returns
// the new shares.
func (h *hostedReplica) observeSamples(ctx context.Context, r *SampleRequest) (*SampleResponse, error) {
	if _, err := h.group.Confirm(ctx); err != nil {
		return nil, err
	}
	term, err := h.leaderTerm()
	if err != nil {
		return nil, err
	}
	h.rolloutMu.Lock()
	defer h.rolloutMu.Unlock()
	now := time.Now()
	reply := new(SampleResponse)
	for _, report := range r.Reports {
		m, ok := h.machine.View().Move(report.Pool)
		if !ok || m.ID != report.Move || m.Outcome != corianderwing.Moving {
			continue
		}
		p := h.rollout(term, m)
		p.Observe(now, report.Samples)
		reply.Shares = append(reply.Shares, MoveShare{Move: m.ID, Share: p.Share(now)})
	}
	return reply, nil
}

// rollout returns the rollout of a move, creating it if needed. Rollouts are not
// replicated, so a new leader restarts the comparison from scratch.
func (h *hostedReplica) rollout(term corianderwing.Term, m corianderwing.Move) *shift.Rollout {
	if h.rolloutTerm != term {
		h.rollouts, h.rolloutTerm = map[corianderwing.RequestID]*shift.Rollout{}, term
	}
	p := h.rollouts[m.ID]
	if p == nil {
		p = shift.New(m)
		h.rollouts[m.ID] = p
	}
	return p
}

// endMoves commits the outcome of moves while this instance leads the group.
func (h *hostedReplica) endMoves(ctx context.Context) {
	for clock.Sleep(ctx, endMovesInterval) {
		term, err := h.leaderTerm()
		if err != nil {
			continue
		}
		for _, m := range h.endedMoves(term) {
			c := corianderwing.Command{
				Request:  corianderwing.RequestID("end-" + string(m.ID) + "-" + string(m.Outcome)),
				Operator: "corianderwing",
				Kind:     corianderwing.EndMove,
				Move:     &m,
			}
			proposeCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
			// On failure, the leader at the time of the next check retries.
			_, _ = h.propose(proposeCtx, c)
			cancel()
		}
	}
}

// endedMoves returns the moves that are done or rolled back but whose outcome is
// not committed yet.
func (h *hostedReplica) endedMoves(term corianderwing.Term) []corianderwing.Move {
	h.rolloutMu.Lock()
	defer h.rolloutMu.Unlock()
	now := time.Now()
	var ended []corianderwing.Move
	for _, m := range h.machine.View().Moves() {
		if m.Outcome != corianderwing.Moving {
			delete(h.rollouts, m.ID)
			continue
		}
		p := h.rollout(term, m)
		p.Share(now)
		if end := p.Move(); end.Outcome != corianderwing.Moving {
			ended = append(ended, end)
		}
	}
	return ended
}
