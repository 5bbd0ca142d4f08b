package share_test

import (
	"fmt"
	"time"

	"corianderwing"
	"corianderwing/core/share"
)

// An instance without tokens reports that a request is waiting, and the grantor
// answers with tokens from the pool.
func Example() {
	now := time.Unix(1e9, 0)
	bound := corianderwing.RateBound("resort")
	seat, pool := share.Split(200, 200, 0.5, 12)

	grantor := share.NewGrantor(now) // a leader that takes over uses share.GraceEnd
	grantor.Configure(now, bound, pool)
	holder := share.NewHolder(now)
	b := holder.Configure(now, bound, seat)

	now = now.Add(time.Second) // the pool fills
	fmt.Println("taken:", b.Take(now))
	b.AddWaiting(1)
	if holder.NeedsRenewal(now) {
		seq, spends := holder.Report(now)
		grants := grantor.Update(now, "entry-1", 1, seq, spends)
		holder.ApplyGrants(now, seq, grants)
	}
	fmt.Println("taken:", b.Poll(now))
	b.AddWaiting(-1)
	// Output:
	// taken: false
	// taken: true
}
