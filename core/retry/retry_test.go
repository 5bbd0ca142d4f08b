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
			try := Attempt{Code: code, Ran: run, AttemptsLeft: 1, Deadline: epoch.Add(1), Replayable: true}
			got := Classify(try, epoch)
			if code < 300 || code >= 600 || code == corianderwing.RateExceeded || code == corianderwing.DeadlineExceeded {
				is.Equal(got, NoRetry)
			}
			for _, change := range []func(*Attempt){
				func(t *Attempt) { t.Deadline = epoch },
				func(t *Attempt) { t.Replayable = false },
				func(t *Attempt) { t.NonIdempotent, t.Ran = true, corianderwing.ExecutionUnknown },
				func(t *Attempt) { t.NonIdempotent, t.Ran = true, corianderwing.Executed },
			} {
				worse := try
				change(&worse)
				is.Equal(Classify(worse, epoch), NoRetry)
			}
			try.AttemptsLeft = 0
			is.True(Classify(try, epoch) != OtherUpstream)
		}
	}
	try := Attempt{Code: corianderwing.Shed, Ran: corianderwing.NotExecuted, NonIdempotent: true, AttemptsLeft: 1, Deadline: epoch.Add(1), Replayable: true}
	is.Equal(Classify(try, epoch), OtherUpstream)
	try.Code, try.AttemptsLeft = corianderwing.NoUpstream, 0
	is.Equal(Classify(try, epoch), OtherDomain)
}

// Guards against retries that multiply the load of a failing pool, and against
// a budget that one workspace uses up for others.
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
	is.True(spent >= 200 && spent <= 210) // a fifth of the requests, and the burst
	is.True(!b.Withdraw("p", "w", epoch))
	is.True(b.Withdraw("p", "other", epoch))
	is.True(b.Withdraw("p", "w", epoch.Add(time.Second)))
	for i := range 10000 {
		b.Withdraw("p", corianderwing.WorkspaceID(rune(i)), epoch.Add(time.Duration(i)*time.Second))
	}
	is.True(len(b.tokens) <= 4097)
}
