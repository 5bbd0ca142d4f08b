package plane

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"corianderwing"
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
