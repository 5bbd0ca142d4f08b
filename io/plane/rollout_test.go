package plane

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/quota"
	"corianderwing/core/shift"
)

// Guards against samples of a move that are lost with a report that no leader answered,
// or that are mixed with later ones under the number of the first report.
func TestUnansweredSamplesAreSentAgain(t *testing.T) {
	is := is.New(t)
	trial := func(n uint64) []Trial {
		return []Trial{{Pool: "goods", Move: "m", Samples: []shift.Sample{{Route: "r", Version: "new", Count: n}}}}
	}
	p := &Plane{heartbeats: newHeartbeatTracker(), quotaAllocator: quota.NewAllocator(time.Second, time.Time{}), trials: trial(1)}
	first := p.nextTrialBatch()
	is.Equal(first, trialBatch{no: 1, trials: trial(1)})
	p.restoreReport(&reportRequest{}, time.Time{})
	p.trials = append(p.trials, trial(2)...)
	is.Equal(p.nextTrialBatch(), first)
	p.restoreReport(&reportRequest{}, time.Time{})
	p.trials = append(p.trials, trial(3)...)
	p.applyReportResponse(time.Time{}, &reportResponse{})
	second := p.nextTrialBatch()
	is.Equal(second.no, uint64(2))
	is.Equal(mergeTrials(second.trials, p.runningRequests), trial(5))
}

// leaders are control instances that lead one after the other, with one replicated state.
type leaders struct {
	*leaderState
	term    corianderwing.Term
	machine *model.Machine
	index   corianderwing.Index
}

func newLeaders(t *testing.T, m corianderwing.Move) *leaders {
	l := &leaders{machine: model.NewMachine(time.Now)}
	l.commit(t, &model.Command{Move: &m})
	l.replace()
	return l
}

// replace makes another control instance the leader.
func (l *leaders) replace() {
	l.term++
	l.leaderState = newLeaderState(time.Second)
	l.rolloutRecord = l.machine.Rollout
}

func (l *leaders) commit(t *testing.T, c *model.Command) {
	t.Helper()
	data, err := model.Encode(c)
	if err != nil {
		t.Fatal(err)
	}
	l.index++
	r, err := model.DecodeResult(l.machine.Apply(l.index, data))
	if err != nil || r.Error != nil {
		t.Fatal(err, r.Error)
	}
}

// commitRecords commits the records of the rollouts and returns how many there were.
func (l *leaders) commitRecords(t *testing.T, now time.Time) int {
	t.Helper()
	list := l.nextRolloutRecords(l.term, l.machine.View(), now)
	for _, r := range list {
		l.commit(t, &model.Command{Rollout: r})
	}
	return len(list)
}

// report sends a batch of samples: n requests to the new version, of which some failed,
// and five times as many to the old one, of which none did. It returns the share.
func (l *leaders) report(no, n, failed uint64, now time.Time) float64 {
	q := &reportRequest{Replica: "c1", Incarnation: 7, Batch: no, Trials: []Trial{{Pool: "goods", Move: "m", Samples: []shift.Sample{
		{Route: "r", Version: "old", Count: 5 * n}, {Route: "r", Version: "new", Count: n, Errors: failed},
	}}}}
	for _, s := range l.recordTrials(l.term, q, l.machine.View(), now) {
		return s.Share
	}
	return -1
}

// Guards against a new leader that raises the share of a version by the time that has
// passed, without the evidence that had paused its predecessor.
func TestNewLeaderKeepsRolloutPaused(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	l := newLeaders(t, corianderwing.Move{ID: "m", Pool: "goods", From: "old", To: "new", Start: start, By: at(15 * time.Second)})
	share := 0.0
	for no := uint64(1); no <= 4; no++ { // 3 of 8 requests failed: suspicious, but no proof
		share = l.report(no, 2, min(no-1, 1), at(time.Duration(no)*time.Second))
	}
	is.Equal(l.commitRecords(t, at(4*time.Second)), 1)
	is.Equal(l.commitRecords(t, at(4*time.Second)), 0) // nothing has changed

	l.replace()
	is.Equal(len(l.endedMoves(l.term, l.machine.View(), at(20*time.Second))), 0) // before it knows anything
	for range 3 {                                                                // the answers to the last batch were lost
		is.Equal(l.report(4, 2, 1, at(10*time.Second)), share)
	}
	is.Equal(l.report(5, 2, 0, at(10*time.Second)), share) // still suspicious
	is.Equal(l.commitRecords(t, at(10*time.Second)), 1)

	l.replace()
	is.True(l.report(6, 8, 6, at(11*time.Second)) == 0)
	ended := l.endedMoves(l.term, l.machine.View(), at(11*time.Second))
	is.Equal(len(ended), 1)
	is.Equal(ended[0].Outcome, corianderwing.RolledBack)
	l.commit(t, &model.Command{EndMove: &ended[0]})
	is.True(l.machine.Rollout(ended[0]) == nil)
}
