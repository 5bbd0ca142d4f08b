package soak

import (
	"time"

	"corianderwing"
)

// pair is an upstream and an entry process.
type pair struct {
	upstream corianderwing.UpstreamID
	entry    string
}

// pushback is a time in which an upstream wants no requests from an entry process.
type pushback struct {
	from, until time.Time
	reached     int
}

// said is what upstreams said of themselves in their answers to entry processes.
type said struct {
	leaving map[pair]time.Time // when a caller got the first answer that says so
	pushed  map[pair]*pushback // the last one
}

func newSaid() said {
	return said{leaving: map[pair]time.Time{}, pushed: map[pair]*pushback{}}
}

const (
	// pushbackGrace is the time after a pushback in which requests do not count.
	pushbackGrace = 500 * time.Millisecond
	// pushbackMost is how many may arrive in the rest of it.
	pushbackMost = 2
)

// checkSaid checks a request that arrives against what its upstream said. Faults do
// not excuse one that reaches an upstream that leaves.
func (l *Ledger) checkSaid(q *sent, u corianderwing.UpstreamID, now time.Time) {
	q.upstream = u
	p := pair{u, q.Entry}
	if t, ok := l.said.leaving[p]; ok && q.at.Sub(t) > drainBound {
		l.breaks(Told, now, q.ID, "%s got it from %s, sent %v after that one had passed on that it leaves", u, q.Entry, q.at.Sub(t))
	}
	b := l.said.pushed[p]
	if b == nil || now.Before(b.from) || now.After(b.until) || !l.quiet(b.from) {
		return
	}
	if b.reached++; b.reached > pushbackMost {
		l.breaks(Pushback, now, q.ID, "%s got request %d from %s, %v after it asked for none", u, b.reached, q.Entry, now.Sub(b.from)+pushbackGrace)
	}
}

// heardLeaving notes that an entry process has passed on that an upstream leaves.
func (l *Ledger) heardLeaving(q *sent, r Reply, now time.Time) {
	p := pair{q.upstream, r.Entry}
	if _, ok := l.said.leaving[p]; !ok && r.Leaving && r.Entry != "" {
		l.said.leaving[p] = now
		l.counts["told that an upstream leaves"]++
	}
}

// PushedBack notes that an upstream declined a request and wants no others for d.
func (l *Ledger) PushedBack(id corianderwing.RequestID, u corianderwing.UpstreamID, now time.Time, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.sent[id]
	if q == nil || q.Entry == "" {
		return
	}
	l.said.pushed[pair{u, q.Entry}] = &pushback{from: now.Add(pushbackGrace), until: now.Add(d)}
	l.counts["pushbacks"]++
}

// Restarted notes that an upstream or an entry process is about to start: what was
// said to it, or by it, no longer binds.
func (l *Ledger) Restarted(u corianderwing.UpstreamID, entry string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	gone := func(p pair) bool { return p.upstream == u || p.entry == entry }
	for p := range l.said.leaving {
		if gone(p) {
			delete(l.said.leaving, p)
		}
	}
	for p := range l.said.pushed {
		if gone(p) {
			delete(l.said.pushed, p)
		}
	}
}
