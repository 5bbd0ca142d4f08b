package fresh

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"corianderwing"
)

// Guards against vouching for a state that does not have what was confirmed.
func TestConfirmationOfUnreachedRevision(t *testing.T) {
	is := is.New(t)
	at := func(s int) time.Time { return time.Unix(int64(1000+s), 0) }
	var tr Tracker
	_, ok := tr.Latest(5)
	is.True(!ok) // never confirmed
	tr.Confirm(Confirmation{3, at(1)})
	tr.Confirm(Confirmation{7, at(2)})
	c, ok := tr.Latest(5)
	is.True(ok)
	is.Equal(c, Confirmation{3, at(1)})
	tr.Confirm(Confirmation{9, at(3)})
	c, _ = tr.Latest(8)
	is.Equal(c, Confirmation{7, at(2)})
	c, _ = tr.Latest(9)
	is.Equal(c, Confirmation{9, at(3)})
	tr.Confirm(Confirmation{8, at(1)}) // late
	c, _ = tr.Latest(9)
	is.Equal(c, Confirmation{9, at(3)})
}

// Guards against a state that counts as old for ever because each confirmation is
// replaced by one of a newer revision before the state reaches it.
func TestStateThatTrailsIsConfirmed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		trails := rapid.IntRange(0, 3).Draw(t, "confirmations behind")
		var tr Tracker
		for n := 1; n <= 200; n++ {
			now := time.Unix(int64(1000+n), 0)
			tr.Confirm(Confirmation{corianderwing.Revision(10 * n), now})
			c, ok := tr.Latest(corianderwing.Revision(10 * max(0, n-trails)))
			if n <= trails {
				is.True(!ok)
				continue
			}
			is.True(ok)
			is.Equal(now.Sub(c.At), time.Duration(trails)*time.Second)
			is.True(len(tr.pending) <= maxPending)
		}
	})
}
