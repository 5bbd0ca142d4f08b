package state_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"corianderwing"
	"corianderwing/core/state"
)

// Guards against readers that see a partially applied change or miss the last one, and
// against a snapshot that changes while it is encoded. The race detector reports shared
// data that is written.
func TestConcurrentReaders(t *testing.T) {
	const changes = 300
	o := newReplica(t)
	var readers sync.WaitGroup
	for range 3 {
		readers.Go(func() {
			v := state.NewView("north")
			for v.Revision() < changes+1 {
				changed := o.m.Changed()
				updates, ok := o.m.Updates(v.Revision())
				if !ok {
					t.Error("the update window is too small for the test")
					return
				}
				for _, u := range updates {
					next, err := v.Update(u)
					if err != nil {
						t.Error(err)
						return
					}
					v = next
				}
				if n := len(v.Drains()); n != max(int(v.Revision()), 1)-1 {
					t.Errorf("revision %d has %d drains", v.Revision(), n)
				}
				if len(updates) > 0 {
					continue
				}
				select {
				case <-changed:
				case <-time.After(30 * time.Second):
					t.Errorf("no update after revision %d", v.Revision())
					return
				}
			}
		})
	}
	o.ok("claim", order(corianderwing.ClaimOrder, "k", "", nil))
	index, encode := o.m.Freeze()
	frozen := make(chan []byte, 1)
	readers.Go(func() {
		data, err := encode()
		if err != nil {
			t.Error(err)
		}
		frozen <- data
	})
	for i := range changes {
		o.ok(fmt.Sprint("d", i), drain(fmt.Sprint("u", i)))
		o.ok(fmt.Sprint("c", i), order(corianderwing.ClaimOrder, fmt.Sprint("k", i), "", nil))
	}
	readers.Wait()
	other := state.New("north")
	if err := other.Restore(<-frozen); err != nil || index != 2 || other.View().Revision() != 1 {
		t.Fatalf("the state frozen at entry %d has revision %d (%v)", index, other.View().Revision(), err)
	}
}

// Guards against heap allocations on the request path.
func TestLookupsDoNotAllocate(t *testing.T) {
	o := newReplica(t)
	key := corianderwing.Key{ID: "k", Workspace: "reef", Hash: corianderwing.KeyHash{1}}
	o.ok("a", corianderwing.Command{Kind: corianderwing.AddKey, Key: &key})
	n := testing.AllocsPerRun(100, func() {
		v := o.m.View()
		_, known := v.Key(key.Hash)
		_, routed := v.Route("reef", "order-desk", "/a/b")
		_, moved := v.Move("order-desk")
		if !known || routed || moved || v.Drained("u1") {
			t.Fatal("wrong view")
		}
	})
	if n != 0 {
		t.Fatalf("lookups allocate %v times", n)
	}
}
