package share

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func runFaults(seed uint64, off string) error {
	f := newFleet(seed, off)
	f.run(40 * time.Second)
	if f.failure == nil && f.leader.Broken() > 0 {
		return fmt.Errorf("the pool and its grants exceeded the burst %d times", f.leader.Broken())
	}
	return f.failure
}

// Guards against any way to admit more than rate and burst: loss, repetition
// and reordering of messages, leader changes, restarts, freezes, drift and new
// divisions of the bound.
func TestNoWindowExceedsTheBound(t *testing.T) {
	seed, err := firstFailure(t, func(seed uint64) error { return runFaults(seed, "") })
	if err != nil {
		t.Fatalf("CORIANDER_SEED=%d: %v", seed, err)
	}
}

// Guards against a run that finds nothing: it must fail without each of the
// mechanisms.
func TestBoundNeedsEachMechanism(t *testing.T) {
	for _, off := range []string{"restart empty", "new leader waits", "recognise repeats", "latest answer only", "debts", "delayed increase", "drift margin"} {
		t.Run(off, func(t *testing.T) {
			seed, err := firstFailure(t, func(seed uint64) error { return runFaults(seed, off) })
			t.Logf("without %q seed %d: %v", off, seed, err)
			is.New(t).True(err != nil)
		})
	}
}
