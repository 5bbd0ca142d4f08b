package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against retrying a non-idempotent request that may have run, and
// against retries after a client error, after the deadline or without attempts
// left.
func TestClassify(t *testing.T) {
	is := is.New(t)
	for _, code := range corianderwing.Codes() {
		for _, run := range []corianderwing.Execution{corianderwing.NotExecuted, corianderwing.ExecutionUnknown, corianderwing.Executed} {
			attempt := Attempt{Code: code, Execution: run, AttemptsLeft: 1, Deadline: epoch.Add(1), Replayable: true}
			got := Classify(attempt, epoch)
			if code < 300 || code >= 600 || code == corianderwing.RateExceeded || code == corianderwing.DeadlineExceeded {
				is.Equal(got, NoRetry)
			}
			for _, change := range []func(*Attempt){
				func(t *Attempt) { t.Deadline = epoch },
				func(t *Attempt) { t.Replayable = false },
				func(t *Attempt) { t.NonIdempotent, t.Execution = true, corianderwing.ExecutionUnknown },
				func(t *Attempt) { t.NonIdempotent, t.Execution = true, corianderwing.Executed },
			} {
				worse := attempt
				change(&worse)
				is.Equal(Classify(worse, epoch), NoRetry)
			}
			attempt.AttemptsLeft = 0
			is.True(Classify(attempt, epoch) != OtherUpstream)
		}
	}
	attempt := Attempt{Code: corianderwing.Shed, Execution: corianderwing.NotExecuted, NonIdempotent: true, AttemptsLeft: 1, Deadline: epoch.Add(1), Replayable: true}
	is.Equal(Classify(attempt, epoch), OtherUpstream)
	attempt.Code, attempt.AttemptsLeft = corianderwing.NoUpstream, 0
	is.Equal(Classify(attempt, epoch), OtherDomain)
}

// Guards against retries that multiply the load of a failing pool, one workspace
// exhausting the budget of another, and an unbounded number of buckets.
func TestBudget(t *testing.T) {
	is := is.New(t)
	b := NewBudget(Config{})
	spent := 0
	for range 1000 {
		b.Deposit("p", "w", epoch)
		if b.Withdraw("p", "w", epoch) {
			spent++
		}
	}
	is.True(spent >= 200 && spent <= 210) // a fifth of the requests plus the burst
	is.True(!b.Withdraw("p", "w", epoch))
	is.True(b.Withdraw("p", "other", epoch))
	is.True(b.Withdraw("p", "w", epoch.Add(time.Second)))
	for i := range 10000 {
		b.Withdraw("p", corianderwing.WorkspaceID(rune(i)), epoch.Add(time.Duration(i)*time.Second))
	}
	is.True(len(b.buckets) <= 4097)
}
