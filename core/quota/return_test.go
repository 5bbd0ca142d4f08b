package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a workspace that exceeds its limit after callers have left while they
// sent their bodies (review/5): the token of a request that ran was returned in place
// of the older one of the request that did not, and was used twice in its window.
func TestReturnedTokenIsThatOfItsRequest(t *testing.T) {
	is := is.New(t)
	const window = 5 * time.Second
	begin := time.Unix(1000, 0)
	l := NewLimiter(window)
	l.SetShares("c", []Share{{shop, 2}}, begin.Add(time.Hour), begin)
	is.True(l.Take(shop, begin)) // its caller leaves
	ran := begin.Add(4 * time.Second)
	is.True(l.Take(shop, ran))
	left := begin.Add(4500 * time.Millisecond)
	l.Return(shop, begin, left)
	is.True(l.Take(shop, left))
	is.True(!l.Take(shop, begin.Add(5100*time.Millisecond))) // two have run within the window
	l.Return(shop, begin, begin.Add(5200*time.Millisecond))  // once more
	is.True(!l.Take(shop, begin.Add(5300*time.Millisecond)))
}

// Guards the limit in any window for drawn orders of requests, some of which return
// their tokens seconds later.
func TestReturnsKeepLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, tokens = 5 * time.Second, 8
		now := time.Unix(1000, 0)
		l := NewLimiter(window)
		l.SetShares("c", []Share{{shop, tokens}}, now.Add(time.Hour), now)
		var waiting, ran []time.Time // when their tokens were taken
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			if l.Take(shop, now) {
				waiting = append(waiting, now)
			}
			if len(waiting) == 0 || rapid.Bool().Draw(t, "wait") {
				continue
			}
			i := rapid.IntRange(0, len(waiting)-1).Draw(t, "request")
			if rapid.Bool().Draw(t, "ran") {
				ran = append(ran, waiting[i])
			} else {
				l.Return(shop, waiting[i], now)
			}
			waiting = append(waiting[:i], waiting[i+1:]...)
		}
		ran = append(ran, waiting...)
		for _, from := range ran {
			n := 0
			for _, at := range ran {
				if !at.Before(from) && at.Sub(from) < window {
					n++
				}
			}
			if n > tokens {
				t.Fatalf("%d requests ran in %v, at most %d", n, window, tokens)
			}
		}
	})
}
