package follow

import "time"

const (
	// leastWay and mostWay bound the time there and back that a call for a slot
	// is given. A small link that carries an answer of 30 KB delays a call by
	// 100 ms and more; an instance that is gone must not cost much more.
	leastWay = 80 * time.Millisecond
	mostWay  = 400 * time.Millisecond
	// wayPart and spreadPart are the weights of a new time, as for the
	// retransmission timeout of TCP.
	wayPart    = 0.125
	spreadPart = 0.25
	spreads    = 4
)

// way estimates the time that calls to one control instance take there and back,
// besides the time that they wait there. Its zero value knows nothing.
type way struct {
	mean     time.Duration
	spread   time.Duration
	answered time.Time // last answer
}

// answer takes an answer over.
func (w *way) answer(took time.Duration, now time.Time) {
	w.answered = now
	w.learn(took)
}

// lose takes a call over that had no answer after a time: an answer would have
// taken at least as long.
func (w *way) lose(after time.Duration) { w.learn(min(after, mostWay)) }

func (w *way) learn(took time.Duration) {
	if w.mean == 0 {
		w.mean, w.spread = took, took/2
		return
	}
	off := max(took-w.mean, w.mean-took)
	w.spread += time.Duration(spreadPart * float64(off-w.spread))
	w.mean += time.Duration(wayPart * float64(took-w.mean))
}

// timeout returns how long a call may take there and back.
func (w way) timeout() time.Duration {
	return min(max(w.mean+spreads*w.spread, leastWay), mostWay)
}
