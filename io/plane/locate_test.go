package plane

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/io/clock"
)

// Guards against lookups that callers reject: after the loss of a failure domain,
// the region of a large deployment has more entry instances than a response may
// hold. All of them must be used, or some would be overloaded.
func TestLookupIsBounded(t *testing.T) {
	is := is.New(t)
	var list []corianderwing.Instance
	for i := range 100 {
		list = append(list, corianderwing.Instance{Domain: "n-b", Region: "n", Phase: corianderwing.Ready, PublicAddr: fmt.Sprint(i)})
	}
	seen := map[string]bool{}
	for range 50 {
		addrs := nearestEntries(list, "n", "n-a")
		is.Equal(len(addrs), 64)
		for _, addr := range addrs {
			seen[addr] = true
		}
	}
	is.Equal(len(seen), len(list)) // misses one of them with a probability below 1e-20
	is.Equal(len(nearestEntries(list[:64], "n", "n-a")), 64)
}

// Guards against a control instance that is cut off from the leader and sends callers to
// the entry instances that are cut off with it, which refuse their requests.
func TestLookupWhileCutOff(t *testing.T) {
	is := is.New(t)
	entry := func(id corianderwing.InstanceID, d corianderwing.DomainID) corianderwing.Instance {
		return corianderwing.Instance{ID: id, Domain: d, Region: "n", Phase: corianderwing.Ready, PublicAddr: string(id)}
	}
	here, there := entry("here", "n-a"), entry("there", "n-b")
	now := clock.Boot()
	p := &Plane{
		entries:      []corianderwing.Instance{here, there},
		localEntries: map[corianderwing.InstanceID]entryRecord{"here": {entry: here, lastHeartbeat: now}},
		confirmedAt:  now,
	}
	locate := func() []string {
		addrs, _, err := p.LocateEntries("n", "n-a")
		is.NoErr(err)
		return addrs
	}
	is.Equal(locate(), []string{"here"})
	p.confirmedAt = now.Add(-maxLocateAge - time.Second)
	is.Equal(locate(), []string{"there"})
	p.entries = nil // it has just started
	is.Equal(locate(), []string{"here"})
}
