package follow

import "time"

const (
	// minRTTTimeout and maxRTTTimeout bound the round-trip time allowed for a slot
	// request. On a slow link, a response of 30 KB delays a call by 100 ms and more;
	// waiting for a dead instance must not take much longer than that.
	minRTTTimeout = 80 * time.Millisecond
	maxRTTTimeout = 400 * time.Millisecond
	// srttGain, rttvarGain and rttvarFactor are alpha, beta and K of the TCP
	// retransmission timeout (RFC 6298).
	srttGain     = 0.125
	rttvarGain   = 0.25
	rttvarFactor = 4
)

// rttEstimator estimates the round-trip time of calls to one control instance,
// without the time that they wait in its queue. The zero value has no samples.
type rttEstimator struct {
	srtt      time.Duration
	rttvar    time.Duration
	lastReply time.Time
}

// observe adds the round-trip time of a call that got a reply.
func (e *rttEstimator) observe(took time.Duration, now time.Time) {
	e.lastReply = now
	e.addSample(took)
}

// observeLoss adds a call that got no reply within a time. A reply would have taken
// at least as long.
func (e *rttEstimator) observeLoss(after time.Duration) { e.addSample(min(after, maxRTTTimeout)) }

func (e *rttEstimator) addSample(took time.Duration) {
	if e.srtt == 0 {
		e.srtt, e.rttvar = took, took/2
		return
	}
	deviation := max(took-e.srtt, e.srtt-took)
	e.rttvar += time.Duration(rttvarGain * float64(deviation-e.rttvar))
	e.srtt += time.Duration(srttGain * float64(took-e.srtt))
}

// timeout returns the time allowed for the round trip of a call.
func (e rttEstimator) timeout() time.Duration {
	return min(max(e.srtt+rttvarFactor*e.rttvar, minRTTTimeout), maxRTTTimeout)
}
