package route

import (
	"math"
	"time"

	"corianderwing"
)

// up is what the owner knows about one upstream. The fields that each choice
// reads come first, so that they share a cache line.
type up struct {
	open   bool // announced, ready and not drained
	warm   bool // the slow start is over and no trial is due
	spared bool // ejected, but let in by the floor
	trial  bool // the next request decides about a recovered upstream
	busy   corianderwing.Slots
	weight float64     // part of the score for each request in flight
	bias   float64     // fixed part of the score
	held   []time.Time // ends of slots kept after a cut-off request

	corianderwing.Upstream
	conns   corianderwing.Conns
	since   time.Time // start of the slow start
	seen    time.Time // last observation
	latency float64   // smoothed, in seconds
	errors  float64   // smoothed part of failed requests
	fails   int       // consecutive failures
	ejected int       // ejections in a row
	until   time.Time // end of the ejection
}

// restart forgets the observations about an earlier incarnation. An upstream
// announces itself once a second, so Seq tells for how long it has been
// running: a new pool owner does not slow-start upstreams that are warm.
func (u *up) restart(a corianderwing.Upstream, now time.Time) {
	u.since = now.Add(-time.Duration(min(a.Seq, 3600)) * time.Second)
	u.seen = time.Time{}
	u.latency, u.errors = 0, 0
	u.fails, u.ejected = 0, 0
	u.until = time.Time{}
	u.trial, u.warm = false, false
}

func (u *up) usable(now time.Time) bool {
	return u.open && (u.spared || !now.Before(u.until))
}

// full reports whether no slot may be taken.
func (u *up) full(warm time.Duration, now time.Time) bool {
	busy, slots := u.busy, u.Slots
	if len(u.held) > 0 {
		busy = u.taken(now)
	}
	if !u.warm {
		slots = u.room(warm, now)
	}
	return busy >= slots
}

// taken returns the slots in use, with those held after cut-off requests.
func (u *up) taken(now time.Time) corianderwing.Slots {
	kept := u.held[:0]
	for _, t := range u.held {
		if now.Before(t) {
			kept = append(kept, t)
		}
	}
	u.busy -= corianderwing.Slots(len(u.held) - len(kept))
	u.held = kept
	return u.busy
}

// room returns the slots that may be used: all of them, or a part that grows
// during the slow start. A recovered upstream gets one request until that has
// succeeded.
func (u *up) room(warm time.Duration, now time.Time) corianderwing.Slots {
	if u.trial {
		return 1
	}
	age := now.Sub(u.since)
	if age >= warm {
		u.warm = true
		return u.Slots
	}
	part := float64(u.Slots) * float64(age) / float64(warm)
	return min(u.Slots, max(1, corianderwing.Slots(math.Ceil(part))))
}

// weigh renews weight and bias. A request's score is the weight for each
// request in flight, itself included, plus the bias: an estimate of how long
// it would take. The reported load, which is the bias, only decides between
// upstreams that look alike to us.
func (u *up) weigh(mean float64, decay time.Duration, now time.Time) {
	u.bias = 0.05 * max(0, min(1, u.Load))
	u.weight = u.factor(mean, decay, now) / float64(max(1, u.Slots))
}

// factor compares the upstream with the pool's mean.
func (u *up) factor(mean float64, decay time.Duration, now time.Time) float64 {
	if u.seen.IsZero() {
		return 0.7 // find out about it before comparing it with the others
	}
	trust := u.trust(decay, now)
	slow := 1.0
	if mean > 0 && u.latency > 0 {
		slow = max(0.25, min(8, u.latency/mean))
	}
	slow = 1 + (slow-1)*trust
	bad := 1 + 4*(u.errors+float64(u.fails))*trust
	return slow * bad
}

// trust tells how much the observations still count: all when new, nothing
// after the decay time.
func (u *up) trust(decay time.Duration, now time.Time) float64 {
	return max(0, min(1, 1-float64(now.Sub(u.seen))/float64(decay)))
}

// Result is what became of a request at an upstream.
type Result uint8

// The results of a request.
const (
	Success          Result = iota // a complete answer to the request came
	Failure                        // the upstream or the connection failed
	ServerError                    // a complete answer came, with a status of 500 or more
	Overloaded                     // the upstream refused the request for lack of room
	Canceled                       // we ended the request early; it says nothing about the upstream
	FirstByteTimeout               // no first byte came in time; the request may still run
	Unused                         // the slot was not used
)

// Done returns a slot that Pick took. Took is the time to the first byte of
// the answer, or the time for which it was awaited.
func (p *Pool) Done(id corianderwing.UpstreamID, r Result, took time.Duration, now time.Time) {
	u, ok := p.byID[id]
	if !ok {
		p.cfg.Broken("slot returned for unknown upstream " + string(id))
		return
	}
	if r == Canceled || r == FirstByteTimeout {
		u.held = append(u.held, now.Add(p.cfg.SlotReleaseDelay))
	} else {
		u.busy--
	}
	if u.busy < 0 || int(u.busy) < len(u.held) {
		p.cfg.Broken("upstream " + string(id) + " has fewer requests in flight than none")
	}
	switch r {
	case Success:
		u.good(took, p.cfg.Decay, now)
	case Failure:
		p.bad(u, now, p.cfg.ConsecutiveFailures)
	case ServerError:
		p.bad(u, now, p.cfg.ConsecutiveServerErrors)
	case FirstByteTimeout:
		if took >= p.patience() {
			p.bad(u, now, p.cfg.ConsecutiveFailures)
		}
	case Overloaded:
		// The upstream has less room than announced: keep off for a moment.
		u.until = later(u.until, now.Add(p.cfg.SlotReleaseDelay))
		p.ejected = later(p.ejected, u.until)
		return
	default:
		return
	}
	if p.mean == 0 {
		p.mean = u.latency
	}
	u.weigh(p.mean, p.cfg.Decay, now)
}

// patience is the shortest silence that counts as a failure: a caller may set
// a deadline that no upstream can meet.
func (p *Pool) patience() time.Duration {
	mean := time.Duration(p.mean * float64(time.Second))
	return max(4*mean, 100*time.Millisecond)
}

func (u *up) good(took time.Duration, decay time.Duration, now time.Time) {
	s := took.Seconds()
	if u.latency == 0 || now.Sub(u.seen) > decay {
		u.latency = s
	} else {
		u.latency += (s - u.latency) / 8
	}
	u.errors *= u.trust(decay, now) * 7 / 8
	u.seen = now
	u.fails = 0
	if u.trial {
		u.trial, u.warm = false, false
		u.since = now // recovered: slow start
	}
	if u.ejected > 0 && now.Sub(u.since) > decay {
		u.ejected = 0
	}
}

// bad counts a failure, and ejects the upstream if that is the most-th in a
// row.
func (p *Pool) bad(u *up, now time.Time, most int) {
	u.errors *= u.trust(p.cfg.Decay, now)
	u.errors += (1 - u.errors) / 8
	u.seen = now
	u.fails++
	if now.Before(u.until) || u.fails < most && !u.trial {
		return
	}
	d := p.cfg.BaseEjectionTime << min(u.ejected, 16)
	u.until = now.Add(min(d, p.cfg.MaxEjectionTime))
	p.ejected = later(p.ejected, u.until)
	u.ejected++
	u.trial, u.warm = true, false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Has reports whether the pool still keeps state about an upstream.
func (p *Pool) Has(id corianderwing.UpstreamID) bool {
	_, ok := p.byID[id]
	return ok
}

// AddConn counts a new connection to an upstream. It returns false if the
// upstream's connection budget is used up.
func (p *Pool) AddConn(id corianderwing.UpstreamID) bool {
	u, ok := p.byID[id]
	if !ok {
		return false
	}
	if u.Conns > 0 && float64(u.conns+1) > max(1, float64(u.Conns)*p.cfg.ConnFraction) {
		return false
	}
	u.conns++
	return true
}

// RemoveConn counts the end of a connection.
func (p *Pool) RemoveConn(id corianderwing.UpstreamID) {
	u, ok := p.byID[id]
	if !ok {
		return
	}
	u.conns--
	if u.conns < 0 {
		p.cfg.Broken("upstream " + string(id) + " has fewer connections than none")
	}
}

// Load sums up the pool for other instances. Ejected upstreams do not count.
func (p *Pool) Load(now time.Time) (slots, busy corianderwing.Slots) {
	p.floor(now)
	for _, u := range p.ups {
		busy += u.taken(now)
		if u.usable(now) {
			slots += max(u.room(p.cfg.SlowStart, now), min(u.busy, u.Slots))
		}
	}
	return slots, busy
}
