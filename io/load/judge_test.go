package load

import (
	"flag"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"corianderwing"
)

// Every run has the same verdict.
func init() { _ = flag.Set("rapid.seed", "1") }

// Guards against an excess that is blamed on a system that admitted requests
// late, and against one that goes unseen.
func TestExcess(t *testing.T) {
	is := is.New(t)
	var at, late []span
	for i := range 30 {
		done := time.Duration(max(0, i-9)) * 100 * time.Millisecond
		at = append(at, span{0, 0})
		late = append(late, span{0, done})
	}
	is.Equal(excess(10, 10, nil), 0.0)
	is.Equal(excess(10, 10, at), 20.0)
	is.Equal(excess(10, 10, late), 0.0)
	late[29].done -= 100 * time.Millisecond
	is.Equal(excess(10, 10, late), 1.0)
	idle := []span{{0, 0}, {100 * time.Second, 100 * time.Second}}
	is.Equal(excess(1, 1, idle), 0.0)
	is.Equal(excess(1, 1, append(idle, idle[1])), 1.0) // idle time saves no more than the burst
}

// Guards against a verdict of excess on any system that keeps to its bucket,
// whatever the delays before and after its admissions.
func TestExcessOfIdealBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 100).Draw(t, "rate")
		burst := float64(rapid.IntRange(1, 20).Draw(t, "burst"))
		ideal := newBucket(rate, burst)
		var now time.Duration
		var spans []span
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "gap")) * time.Millisecond
			ideal.level = min(burst, ideal.level+rate*(now-ideal.last).Seconds())
			ideal.last = now
			if ideal.level < 1 {
				continue
			}
			ideal.level--
			before := time.Duration(rapid.IntRange(0, 300).Draw(t, "before")) * time.Millisecond
			after := time.Duration(rapid.IntRange(0, 300).Draw(t, "after")) * time.Millisecond
			spans = append(spans, span{max(0, now-before), now + after})
		}
		if e := excess(rate, burst, spans); e > 1e-6 {
			t.Fatalf("excess of %v", e)
		}
	})
}

// Guards against a fast search that misses the worst window.
func TestExcessOfAllWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(1, 50).Draw(t, "rate"))
		burst := float64(rapid.IntRange(1, 5).Draw(t, "burst"))
		var spans []span
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			sent := time.Duration(rapid.IntRange(0, 1000).Draw(t, "sent")) * time.Millisecond
			spans = append(spans, span{sent, sent + time.Duration(rapid.IntRange(0, 200).Draw(t, "length"))*time.Millisecond})
		}
		worst := 0.0
		for _, a := range spans {
			for _, b := range spans {
				n := 0
				for _, s := range spans {
					if s.sent >= a.sent && s.done <= b.done {
						n++
					}
				}
				if b.done >= a.sent {
					worst = max(worst, float64(n)-rate*(b.done-a.sent).Seconds()-burst)
				}
			}
		}
		if e := excess(rate, burst, spans); math.Abs(e-worst) > 1e-6 {
			t.Fatalf("excess of %v, want %v", e, worst)
		}
	})
}

// Guards against refusals that are counted as wrongful although the workspace
// had no token, and against refusals for other reasons that go uncounted.
func TestJudge(t *testing.T) {
	is := is.New(t)
	refusal := func(c corianderwing.Code) outcome { return outcome{code: c, run: c.Execution()} }
	ok := refusal(corianderwing.OK)
	b := newBucket(1, 2)
	is.Equal(b.judge(0, ok), fair)
	is.Equal(b.judge(0, refusal(corianderwing.StaleSettings)), turned) // takes no token
	is.Equal(b.judge(0, refusal(corianderwing.NoShare)), wrongful)
	is.Equal(b.judge(0, refusal(corianderwing.RateExceeded)), fair)
	is.Equal(b.judge(0, ok), fair) // in debt
	is.Equal(b.judge(time.Second, refusal(corianderwing.RateExceeded)), fair)
	is.Equal(b.judge(2*time.Second, refusal(corianderwing.QueueFull)), turned) // takes a token
	is.Equal(b.judge(2*time.Second, refusal(corianderwing.RateExceeded)), fair)
	is.Equal(b.judge(9*time.Second, refusal(corianderwing.InvalidKey)), fair)
	is.Equal(b.level, 2.0)
	for _, c := range corianderwing.Codes() {
		if c.Execution() == corianderwing.NotExecuted {
			is.True(!refusal(c).admitted()) // else refusals count as an excess of rate
		}
	}
}
