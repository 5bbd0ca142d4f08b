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
	latest := func() Confirmation {
		c, _ := tr.Latest()
		return c
	}
	_, ok := tr.Reach(5).Latest()
	is.True(!ok) // never confirmed
	tr = tr.Confirm(Confirmation{3, at(1)}, 5).Confirm(Confirmation{7, at(2)}, 5)
	_, ok = tr.Latest()
	is.True(ok)
	is.Equal(latest(), Confirmation{3, at(1)})
	tr = tr.Confirm(Confirmation{9, at(3)}, 8)
	is.Equal(latest(), Confirmation{7, at(2)})
	is.Equal(tr.Newest(), Confirmation{9, at(3)})
	tr = tr.Reach(9)
	is.Equal(latest(), Confirmation{9, at(3)})
	tr = tr.Confirm(Confirmation{8, at(1)}, 9) // late
	is.Equal(latest(), Confirmation{9, at(3)})
}

// Guards against a state that counts as old for ever because each confirmation is
// replaced by one of a newer revision before the state reaches it. Nobody needs to ask
// in between.
func TestStateThatTrailsIsConfirmed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		trails := rapid.IntRange(0, maxPending-1).Draw(t, "confirmations behind")
		asks := rapid.Bool().Draw(t, "asks after each confirmation")
		var tr Tracker
		for n := 1; n <= 200; n++ {
			now := time.Unix(int64(1000+n), 0)
			tr = tr.Confirm(Confirmation{corianderwing.Revision(10 * n), now}, corianderwing.Revision(10*max(0, n-trails)))
			is.True(len(tr.pending) <= maxPending)
			if !asks && n < 200 {
				continue
			}
			c, ok := tr.Latest()
			is.Equal(ok, n > trails)
			if ok {
				is.Equal(now.Sub(c.At), time.Duration(trails)*time.Second)
			}
		}
	})
}

// Guards against a state that catches up after a long lag and still counts as old: the
// earliest confirmations are kept, and the newest.
func TestStateThatCatchesUp(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	at := func(n int) time.Time { return time.Unix(int64(1000+n), 0) }
	for n := 1; n <= 100; n++ {
		tr = tr.Confirm(Confirmation{corianderwing.Revision(n), at(n)}, 0)
		is.True(len(tr.pending) <= maxPending)
	}
	c, _ := tr.Reach(5).Latest()
	is.Equal(c.At, at(5))
	c, _ = tr.Reach(100).Latest()
	is.Equal(c.At, at(100))
}

// Guards against copies of a tracker that change each other.
func TestTrackerIsImmutable(t *testing.T) {
	is := is.New(t)
	base := Tracker{}.Confirm(Confirmation{5, time.Unix(1005, 0)}, 0)
	a := base.Confirm(Confirmation{6, time.Unix(1006, 0)}, 0)
	b := base.Confirm(Confirmation{7, time.Unix(1007, 0)}, 0)
	is.Equal(a.Newest().Revision, corianderwing.Revision(6))
	is.Equal(b.Newest().Revision, corianderwing.Revision(7))
	_, ok := base.Reach(5).Latest()
	is.True(ok)
	_, ok = base.Latest()
	is.True(!ok)
}

// Guards against relying on an older state that replaces a discarded one.
func TestDiscardedState(t *testing.T) {
	is := is.New(t)
	tr := Tracker{}.Confirm(Confirmation{5, time.Unix(1005, 0)}, 5).Confirm(Confirmation{7, time.Unix(1007, 0)}, 6).Discard()
	_, ok := tr.Reach(6).Latest()
	is.True(!ok)
	c, ok := tr.Reach(7).Latest()
	is.True(ok)
	is.Equal(c.At, time.Unix(1007, 0))
	_, ok = Tracker{}.Discard().Reach(9).Latest()
	is.True(!ok) // never confirmed
}
