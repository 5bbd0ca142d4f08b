package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against an order that is tried again although it may have run, and
// against retries after the caller's fault, the deadline or the last attempt.
func TestClassify(t *testing.T) {
	is := is.New(t)
	for _, code := range corianderwing.Codes() {
		for _, run := range []corianderwing.Execution{corianderwing.NotExecuted, corianderwing.ExecutionUnknown, corianderwing.Executed} {
			try := Try{Code: code, Run: run, Left: 1, Until: epoch.Add(1), Replay: true}
			got := Classify(try, epoch)
			if code < 300 || code >= 600 || code == corianderwing.RateExceeded || code == corianderwing.DeadlineExceeded {
				is.Equal(got, Never)
			}
			for _, change := range []func(*Try){
				func(t *Try) { t.Until = epoch },
				func(t *Try) { t.Replay = false },
				func(t *Try) { t.Once, t.Run = true, corianderwing.ExecutionUnknown },
				func(t *Try) { t.Once, t.Run = true, corianderwing.Executed },
			} {
				worse := try
				change(&worse)
				is.Equal(Classify(worse, epoch), Never)
			}
			try.Left = 0
			is.True(Classify(try, epoch) != Upstream)
		}
	}
	try := Try{Code: corianderwing.Shed, Run: corianderwing.NotExecuted, Once: true, Left: 1, Until: epoch.Add(1), Replay: true}
	is.Equal(Classify(try, epoch), Upstream)
	try.Code, try.Left = corianderwing.NoUpstream, 0
	is.Equal(Classify(try, epoch), Domain)
}

// Guards against retries that multiply the load of a failing pool, and against
// a budget that one workspace uses up for others.
func TestBudget(t *testing.T) {
	is := is.New(t)
	b := NewBudget(Config{})
	spent := 0
	for range 1000 {
		b.Earn("p", "w", epoch)
		if b.Spend("p", "w", epoch) {
			spent++
		}
	}
	is.True(spent >= 200 && spent <= 210) // a fifth of the requests, and the burst
	is.True(!b.Spend("p", "w", epoch))
	is.True(b.Spend("p", "other", epoch))
	is.True(b.Spend("p", "w", epoch.Add(time.Second)))
	for i := range 10000 {
		b.Spend("p", corianderwing.WorkspaceID(rune(i)), epoch.Add(time.Duration(i)*time.Second))
	}
	is.True(len(b.tokens) <= 4097)
}
