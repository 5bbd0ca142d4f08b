package model

import (
	"maps"
	"time"

	"corianderwing"
	"corianderwing/core/shift"
)

// RolloutRecord is what the leader replicates of the rollout of a move.
type RolloutRecord struct {
	Pool    corianderwing.PoolID    `json:"pool"`
	Move    corianderwing.RequestID `json:"move"`
	Start   time.Time               `json:"start"` // of the move
	Rollout shift.Record            `json:"rollout"`
	// Batches are the last batches of samples that the record includes, by reporter.
	Batches map[string]BatchID `json:"batches,omitempty"`
}

// BatchID identifies a batch of samples of one reporter.
type BatchID struct {
	Incarnation uint64 `json:"incarnation"` // of the reporter
	No          uint64 `json:"no"`          // ascending
}

// Of reports whether the record is that of a move.
func (r *RolloutRecord) Of(m corianderwing.Move) bool {
	return r != nil && r.Pool == m.Pool && r.Move == m.ID && r.Start.Equal(m.Start)
}

// rolloutRecords holds the records of the moves in progress. They are immutable.
type rolloutRecords map[corianderwing.PoolID]*RolloutRecord

// with returns the records with a new one.
func (list rolloutRecords) with(r *RolloutRecord, v *View) rolloutRecords {
	next := maps.Clone(list)
	if next == nil {
		next = rolloutRecords{}
	}
	next[r.Pool] = r
	return next.inProgress(v)
}

// inProgress returns the records without those of moves that are not in progress.
func (list rolloutRecords) inProgress(v *View) rolloutRecords {
	next := maps.Clone(list)
	maps.DeleteFunc(next, func(pool corianderwing.PoolID, r *RolloutRecord) bool {
		m, ok := v.LatestMove(pool)
		return !ok || m.Outcome != corianderwing.Moving || !r.Of(m)
	})
	return next
}
