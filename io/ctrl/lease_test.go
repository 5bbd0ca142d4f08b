package ctrl

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against reporting a revision in force while an instance still acts
// on an older one, or while leases of the previous leader may be in use.
func TestInForceWaitsForEveryLease(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var l leases
	l.lead(1, now)
	l.grant("a", 7, now)
	l.grant("b", 6, now)
	is.True(!l.force(6, now).Force) // leases of an earlier leader may be in use

	now = now.Add(FreshFor + FreshFor/10)
	l.grant("a", 7, now)
	l.grant("b", 6, now)
	is.True(l.force(6, now).Force)
	is.Equal(len(l.force(7, now).Behind), 1)

	l.grant("b", 7, now)
	is.True(l.force(7, now).Force)

	l.grant("a", 8, now)
	now = now.Add(FreshFor + FreshFor/10)
	is.True(l.force(9, now).Force) // every lease has expired
}
