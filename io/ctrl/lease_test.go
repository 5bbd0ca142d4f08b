package ctrl

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// Guards against reporting a revision in force while an instance still acts
// on an older one, or while leases of the previous leader may be valid.
func TestInForceWaitsForEveryLease(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var l leaseTable
	inForce := func(accepted corianderwing.Revision) corianderwing.Revision {
		r, _ := l.inForce(accepted, now)
		return r
	}
	l.startTerm(1, now)
	l.grant("a", 7, now)
	l.grant("b", 6, now)
	is.Equal(inForce(7), corianderwing.Revision(0)) // leases of an earlier leader may be valid

	now = now.Add(FreshnessLeaseDuration + FreshnessLeaseDuration/10)
	l.grant("a", 7, now)
	l.grant("b", 6, now)
	is.Equal(inForce(7), corianderwing.Revision(6))

	l.grant("b", 7, now)
	is.Equal(inForce(7), corianderwing.Revision(7))

	l.grant("a", 8, now)
	now = now.Add(FreshnessLeaseDuration + FreshnessLeaseDuration/10)
	is.Equal(inForce(9), corianderwing.Revision(9)) // every lease has expired
}
