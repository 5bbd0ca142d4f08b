package plane

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/crash"
)

// Guards against two entry instances that probe a quarantined request at the same
// time, and against a report of crashes that is taken for a claim.
func TestProbeIsGrantedOnce(t *testing.T) {
	is := is.New(t)
	var list []crash.Event
	for i := range 3 {
		list = append(list, crash.Event{Kind: crash.Crashed, Fingerprint: "f", Upstream: crash.Upstream{ID: "u", Incarnation: corianderwing.Incarnation(i)}})
	}
	claim := func(by corianderwing.InstanceID) []crash.Event {
		return []crash.Event{{Kind: crash.Probe, Fingerprint: "f", By: by}}
	}
	now := time.Unix(1000, 0)
	table := (*crash.Table)(nil).Apply(list, now).Apply(claim("e-1"), now).Apply(claim("e-2"), now)
	is.True(granted(table, claim("e-1")))
	is.True(!granted(table, claim("e-2")))
	is.True(!granted(table, list))
	is.True(!granted(nil, claim("e-1"))) // answered meanwhile
}
