package route

import (
	"math"
	"time"

	"corianderwing"
)

// up is what the owner knows about one upstream.
type up struct {
	corianderwing.Upstream

	open    bool // announced, ready and not drained
	busy    corianderwing.Slots
	held    []time.Time // ends of slots kept after a cut-off request
	conns   corianderwing.Conns
	since   time.Time // start of the slow start
	seen    time.Time // last observation
	latency float64   // smoothed, in seconds
	errors  float64   // smoothed part of failed requests
	fails   int       // consecutive failures
	ejected int       // ejections in a row
	until   time.Time // end of the ejection
	trial   bool      // the next request decides about a recovered upstream
	spared  bool      // ejected, but let in by the floor
	weight  float64   // what latency and errors make of the score
	warm    bool      // the slow start is over
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
	u.weight = 1
}

func (u *up) usable(now time.Time) bool {
	return u.open && (u.spared || !now.Before(u.until))
}

// taken returns the slots in use, with those held after cut-off requests.
func (u *up) taken(now time.Time) corianderwing.Slots {
	if len(u.held) == 0 {
		return u.busy
	}
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
	if u.warm {
		return u.Slots
	}
	age := now.Sub(u.since)
	if age >= warm {
		u.warm = true
		return u.Slots
	}
	part := float64(u.Slots) * float64(age) / float64(warm)
	return min(u.Slots, max(1, corianderwing.Slots(math.Ceil(part))))
}

// score estimates how long a request would take, relative to the pool's mean.
// The reported load only decides between upstreams that look alike to us.
func (u *up) score() float64 {
	return float64(u.busy+1)/float64(u.Slots)*u.weight + 0.05*max(0, min(1, u.Load))
}

// weigh renews the weight.
func (u *up) weigh(mean float64, decay time.Duration, now time.Time) {
	if u.seen.IsZero() {
		u.weight = 0.7 // find out about it before comparing it with the others
		return
	}
	trust := u.trust(decay, now)
	slow := 1.0
	if mean > 0 && u.latency > 0 {
		slow = max(0.25, min(8, u.latency/mean))
	}
	slow = 1 + (slow-1)*trust
	bad := 1 + 4*(u.errors+float64(u.fails))*trust
	u.weight = slow * bad
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
	Good   Result = iota // a complete answer to the request came
	Bad                  // the upstream or the connection failed
	Faulty               // a complete answer came, with a status of 500 or more
	Busy                 // the upstream refused the request for lack of room
	Cut                  // we ended the request early; it says nothing about the upstream
	Mute                 // no first byte came in time; the request may still run
	Unused               // the slot was not used
)

// Done returns a slot that Pick took. Took is the time to the first byte of
// the answer, or the time for which it was awaited.
func (p *Pool) Done(id corianderwing.UpstreamID, r Result, took time.Duration, now time.Time) {
	u, ok := p.byID[id]
	if !ok {
		p.cfg.Broken("slot returned for unknown upstream " + string(id))
		return
	}
	if r == Cut || r == Mute {
		u.held = append(u.held, now.Add(p.cfg.Linger))
	} else {
		u.busy--
	}
	if u.busy < 0 || int(u.busy) < len(u.held) {
		p.cfg.Broken("upstream " + string(id) + " has fewer requests in flight than none")
	}
	switch r {
	case Good:
		u.good(took, p.cfg.Decay, now)
	case Bad:
		p.bad(u, now, p.cfg.Fails)
	case Faulty:
		p.bad(u, now, p.cfg.Faults)
	case Mute:
		if took >= p.patience() {
			p.bad(u, now, p.cfg.Fails)
		}
	case Busy:
		// The upstream has less room than announced: keep off for a moment.
		u.until = later(u.until, now.Add(p.cfg.Linger))
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
	d := p.cfg.Eject << min(u.ejected, 16)
	u.until = now.Add(min(d, p.cfg.Longer))
	p.ejected = later(p.ejected, u.until)
	u.ejected++
	u.trial = true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Known reports whether the pool still keeps state about an upstream.
func (p *Pool) Known(id corianderwing.UpstreamID) bool {
	_, ok := p.byID[id]
	return ok
}

// Dial counts a new connection to an upstream. It returns false if the
// upstream's connection budget is used up.
func (p *Pool) Dial(id corianderwing.UpstreamID) bool {
	u, ok := p.byID[id]
	if !ok {
		return false
	}
	if u.Conns > 0 && float64(u.conns+1) > max(1, float64(u.Conns)*p.cfg.Conns) {
		return false
	}
	u.conns++
	return true
}

// Hangup counts the end of a connection.
func (p *Pool) Hangup(id corianderwing.UpstreamID) {
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
			slots += max(u.room(p.cfg.Warm, now), min(u.busy, u.Slots))
		}
	}
	return slots, busy
}
