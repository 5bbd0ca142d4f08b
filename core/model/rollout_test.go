package model

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/shift"
)

// Guards against the state of a rollout that is lost with a snapshot, that goes on to
// another move of the pool, or that becomes a revision which every entry instance receives.
func TestRolloutRecordSurvivesSnapshot(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	m := NewMachine(time.Now)
	index := corianderwing.Index(0)
	apply := func(c *Command) {
		t.Helper()
		data, err := Encode(c)
		is.NoErr(err)
		index++
		r, err := DecodeResult(m.Apply(index, data))
		is.NoErr(err)
		is.True(r.Error == nil)
	}
	move := corianderwing.Move{ID: "m-1", Pool: "goods", From: "v1", To: "v2", Start: start, By: start.Add(time.Minute)}
	apply(&Command{Move: &move})
	is.True(m.Rollout(move) == nil)
	revision := m.View().Revision()
	want := RolloutRecord{
		Pool: "goods", Move: "m-1", Start: start, Batches: map[string]BatchID{"c1": {Incarnation: 7, No: 3}},
		Rollout: shift.Record{Share: 0.25, Trips: 1, Total: 40, Routes: map[string]shift.RouteRecord{"r": {
			Compared: time.Second, Requests: [2]shift.Tally{{Count: 30}, {Count: 10, Errors: 3, Late: 1}}, Baseline: shift.Tally{Count: 28.5},
			Errors: shift.Evidence{Starts: 4, Sums: [4]float64{1, 2, 3, 4}, Value: 2.5, Max: 3.5},
		}}},
	}
	apply(&Command{Rollout: &RolloutRecord{Pool: "goods", Move: "m-0", Start: start}}) // of no move
	is.True(m.Rollout(move) == nil)
	apply(&Command{Rollout: &want})
	is.Equal(m.View().Revision(), revision)

	saved, err := m.Save()
	is.NoErr(err)
	restored := NewMachine(time.Now)
	is.NoErr(restored.Restore(saved))
	got := restored.Rollout(move)
	is.True(got.Start.Equal(start))
	got.Start = start
	is.Equal(*got, want)

	again := move
	again.Start = start.Add(time.Hour)
	is.True(m.Rollout(again) == nil)
	move.Outcome = corianderwing.Done
	apply(&Command{EndMove: &move})
	is.True(m.Rollout(move) == nil)
}
