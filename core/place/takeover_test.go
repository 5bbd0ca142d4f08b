package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a failure domain with few upstreams that loses the slots which
// others lend it when control instances stop and others take over. These know
// neither how long requests take nor which upstream caches which object, and their
// first report tells of no requests or of too many: the loans ended, and the ramp
// delayed new ones for ten seconds, while half of the slots were free.
func TestReplayedTakeover(t *testing.T) {
	const (
		at       = 8 * sec
		affected = 8 * sec
		minRatio = 0.92 // of the value while the domains have new allocators to the value without
	)
	is := is.New(t)
	without := valueAfter(at, at+affected, func(*allocators) {})
	for _, reportTTL := range []time.Duration{0, 1500 * time.Millisecond} {
		with := valueAfter(at, at+affected, func(d *allocators) {
			for _, x := range d.w.domains {
				d.w.after(at, func() { d.takeOver(x.id, reportTTL) })
			}
		})
		t.Logf("reports count for %v: %.3f for %v after a takeover in all domains, %.3f without", reportTTL, with, time.Duration(affected), without)
		is.True(with >= minRatio*without)
	}
}

// valueAfter returns the part of the value that the requests of a time span got, on a
// busy day.
func valueAfter(from, to time.Duration, prepare func(*allocators)) float64 {
	w := newSimulation(unequal(330), 1)
	d := newAllocators(w)
	w.placer = d
	prepare(d)
	w.run()
	got, owed := 0.0, 0.0
	for _, x := range w.windows[from/window : to/window] {
		got += x.value
		owed += x.maxValue
	}
	return got / owed
}
