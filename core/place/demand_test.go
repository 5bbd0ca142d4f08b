package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing/core/place"
)

// Guards against loans that come late at the start of a day: responses that take
// longer than the first plan were not measured yet, and the demand of a failure
// domain in overload was reported as a fraction of what it was.
func TestDemandBeforeFirstResponse(t *testing.T) {
	is := is.New(t)
	p, _ := newRegionPair(t, 1)
	now := time.Unix(1000, 0)
	const (
		goal = 600 * time.Millisecond
		gap  = 10 * time.Millisecond
	)
	for id := range place.ID(50) {
		now = now.Add(gap)
		p.Submit(place.Request{ID: id + 1, Class: "order", NoForward: true, Goal: now.Add(goal), Deadline: now.Add(5 * time.Second)}, now)
	}
	demand := p.Load(now).Demand
	is.True(demand >= 0.8*goal.Seconds()/gap.Seconds())
	is.True(demand <= 1.2*goal.Seconds()/gap.Seconds())
}
