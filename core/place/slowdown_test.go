package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/place"
)

// Guards against refusing a class of requests for good: long requests of a class
// that is fast otherwise make an upstream look so slow that no request of another
// class is expected to be in time, and without requests nothing is measured.
func TestSlowdownFades(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p, _ := newRegionPair(t, 1)
	id := place.ID(0)
	ask := func(class corianderwing.RouteID) []place.Effect {
		id++
		return p.Submit(place.Request{ID: id, Class: class, NoForward: true, Goal: now.Add(2 * time.Second), Deadline: now.Add(2400 * time.Millisecond)}, now)
	}
	for _, took := range []time.Duration{time.Millisecond, 900 * time.Millisecond} {
		is.True(ask("fetch")[0].Err == nil)
		now = now.Add(took)
		p.Release(place.Outcome{ID: id, Result: place.Succeeded, Latency: took}, now)
	}
	is.Equal(ask("order")[0].Err.Code, corianderwing.NoCapacity)
	now = now.Add(10 * time.Second)
	is.True(ask("order")[0].Err == nil)
}
