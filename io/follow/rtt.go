package follow

import "time"

const (
	// minRTTTimeout and mostWay bound the time there and back that a call for a slot
	// is given. A small link that carries an answer of 30 KB delays a call by
	// 100 ms and more; an instance that is gone must not cost much more.
	minRTTTimeout = 80 * time.Millisecond
	maxRTTTimeout = 400 * time.Millisecond
	// srttGain and spreadPart are the weights of a new time, as for the
	// retransmission timeout of TCP.
	srttGain     = 0.125
	rttvarGain   = 0.25
	rttvarFactor = 4
)

// rttEstimator estimates the time that calls to one control instance take there and back,
// besides the time that they wait there. Its zero value knows nothing.
type rttEstimator struct {
	srtt      time.Duration
	rttvar    time.Duration
	lastReply time.Time // last answer
}

// observe takes an observe over.
func (e *rttEstimator) observe(took time.Duration, now time.Time) {
	e.lastReply = now
	e.addSample(took)
}

// observeLoss takes a call over that had no answer after a time: an answer would have
// taken at least as long.
func (e *rttEstimator) observeLoss(after time.Duration) { e.addSample(min(after, maxRTTTimeout)) }

func (e *rttEstimator) addSample(took time.Duration) {
	if e.srtt == 0 {
		e.srtt, e.rttvar = took, took/2
		return
	}
	off := max(took-e.srtt, e.srtt-took)
	e.rttvar += time.Duration(rttvarGain * float64(off-e.rttvar))
	e.srtt += time.Duration(srttGain * float64(took-e.srtt))
}

// timeout returns how long a call may take there and back.
func (e rttEstimator) timeout() time.Duration {
	return min(max(e.srtt+rttvarFactor*e.rttvar, minRTTTimeout), maxRTTTimeout)
}
