package usage

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against counts in wrong windows because the clock was wrong at the start or
// jumped, and against a late sample of the time that moves the windows.
func TestRecorderUsesTrueTime(t *testing.T) {
	is := is.New(t)
	const length = 5 * time.Second
	var r Recorder
	boot, truth := time.Unix(1000, 0), time.Unix(1_800_000_000, 0)
	pass := func(d time.Duration) { boot, truth = boot.Add(d), truth.Add(d) }
	check := func(want bool) {
		w, ok := r.Sent("a", boot)
		is.True(ok)
		is.Equal(w == At(truth, length), want)
	}
	r.Observe(truth.Add(-time.Hour), boot)
	_, ok := r.Sent("a", boot)
	is.True(!ok) // the length is unknown
	r.Configure(length, Sample{truth, boot, boot.Add(20 * time.Second)})
	check(false) // a thawed instance: the sample is old
	r.Configure(length, Sample{truth, boot.Add(-10 * time.Millisecond), boot.Add(10 * time.Millisecond)})
	check(true)
	is.True(r.Correction().Round(time.Minute) == time.Hour)
	pass(8 * time.Second)
	is.Equal(r.Observe(truth.Add(time.Minute), boot), truth.Add(-time.Hour)) // without the jump, uncorrected
	check(true)
}

// Guards against counts in windows of 1970, which no control instance accepts, while
// each response takes too long for a comparison of the clocks.
func TestRecorderCountsBeforeComparison(t *testing.T) {
	is := is.New(t)
	const length = 5 * time.Second
	var r Recorder
	boot, truth := time.Unix(1000, 0), time.Unix(1_800_000_000, 0)
	r.Observe(truth, boot)
	r.Configure(length, Sample{truth, boot.Add(-maxSampleTime - 1), boot})
	w, ok := r.Sent("a", boot)
	is.True(ok)
	is.Equal(w, At(truth, length))
}

// Guards against counts in windows of one length that are reported as those of
// another, and against counting that goes on after it was switched off.
func TestRecorderFollowsLength(t *testing.T) {
	is := is.New(t)
	var r Recorder
	boot := time.Unix(1000, 0)
	for _, length := range []time.Duration{5 * time.Second, 10 * time.Second} {
		r.Configure(length, Sample{})
		is.Equal(len(r.Report("x")), 0)
		r.Sent("a", boot)
		is.Equal(len(r.Report("x")), 1)
	}
	r.Configure(0, Sample{})
	_, ok := r.Sent("a", boot)
	is.True(!ok)
	is.Equal(len(r.Report("x")), 0)
}
