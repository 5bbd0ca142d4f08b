package share

import (
	"errors"
	"flag"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"corianderwing"
)

// TestMain fixes the seed of rapid, so that every run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var start = time.Unix(1e9, 0)

// Guards against tokens created by rounding, by a new limit or by a change of
// depth: the level must never exceed that of an exact bucket.
func TestBucketNeverCreatesTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Custom(func(t *rapid.T) Limit {
			return Limit{corianderwing.TokensPerSecond(rapid.Float64Range(0, 1e6).Draw(t, "rate")), rapid.Float64Range(0, 1e4).Draw(t, "burst")}
		})
		l := limit.Draw(t, "limit")
		now, b, exact, held := start, NewBucket(l, start), 0.0, corianderwing.Tokens(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			d := time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "wait"))
			now = now.Add(d)
			exact = min(l.Burst, exact+float64(l.Rate)*d.Seconds())
			n := corianderwing.Tokens(rapid.Int64Range(1, 20).Draw(t, "n"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if b.Take(now, n) {
					exact -= float64(n)
				}
			case 1:
				next := limit.Draw(t, "next")
				b, exact, held = b.replace(next, now), min(exact, next.Burst), 0
				l = next
			case 2:
				if b.reserve(now, n) {
					held += n
				}
			case 3:
				if b.tokenCost > 0 {
					b.setDepth(now, int64(l.Burst*b.nsPerToken))
				}
				held = 0
				exact = min(exact, l.Burst)
			}
			if level := float64(b.Level(now) + held); level > exact+1e-6 {
				t.Fatalf("level %v exceeds %v", level, exact)
			}
		}
	})
}

// Guards against tokens taken twice by goroutines that compete for them.
func TestTakeByManyGoroutines(t *testing.T) {
	is := is.New(t)
	h := NewHolder(start)
	b := h.Configure(start, testBound, Limit{1000, 500})
	b.AddWaiting(300)
	seq, _ := h.Report(start)
	h.ApplyGrants(start, seq, []corianderwing.Grant{{Bound: testBound, Tokens: 300, ExpiresIn: 60000}})
	now := start.Add(4 * time.Second)
	h.Report(now)
	now = now.Add(time.Second) // the fixed part has filled
	h.AddLoan(now, now, testBound, 100, 500)
	var taken atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for b.Take(now) {
				taken.Add(1)
			}
		})
	}
	lent, _ := h.Lend(now, testBound, 50)
	wg.Wait()
	is.True(taken.Load()+int64(lent) <= 900)
	is.True(taken.Load()+int64(lent) >= 700) // a loan may cost the fixed part tokens, never the grants
}

// Guards against an allocation on the request path.
func TestTakeDoesNotAllocate(t *testing.T) {
	h := NewHolder(start)
	h.Configure(start, testBound, Limit{})
	is.New(t).Equal(testing.AllocsPerRun(100, func() { h.Take(start, testBound) }), 0.0)
}

func BenchmarkTake(b *testing.B) {
	h := NewHolder(start)
	h.Configure(start, testBound, Limit{})
	seq, _ := h.Report(start)
	bound := h.Bound(testBound)
	h.ApplyGrants(start, seq, []corianderwing.Grant{{Bound: testBound, Tokens: maxBatch, ExpiresIn: 60000}})
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			bound.Take(start)
		}
	})
}
