package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"corianderwing"
)

// Promise names what the soak checks.
type Promise string

// The promises.
const (
	OwnAnswer  Promise = "answer"   // an answer is the upstream's whole answer to this request
	OwnRequest Promise = "request"  // an upstream gets what its caller sent, with the workspace of its key and no key
	RunOnce    Promise = "once"     // an order runs at most once
	NotRun     Promise = "notrun"   // an order that was refused as not run never runs
	Revoked    Promise = "revoked"  // no request with a revoked key runs after the bound
	Drained    Promise = "drained"  // no request reaches a drained upstream after the bound
	Told       Promise = "told"     // none reaches it from an entry process that passed on that it leaves
	Pushback   Promise = "pushback" // nor more than two from one that it asked for none for some time
	Emptied    Promise = "emptied"  // nor one in an evacuated failure domain
	InBounds   Promise = "bounds"   // a workspace runs no more than its rate and burst allow
	Applied    Promise = "applied"  // a confirmed change is in force after the bound
	Allowed    Promise = "allowed"  // no caller is denied what all settings allow
	Kept       Promise = "kept"     // what was confirmed is there at the end
	Checked    Promise = "checked"  // an invalid change is refused, a repeated one is not
	Whole      Promise = "whole"    // a planned stop cuts no request off
	Reported   Promise = "usage"    // each window of usage is reported with one count, also after all faults
	OneHolder  Promise = "holder"   // one machine at a time reports, under a token of its own
	Recovered  Promise = "recover"  // requests are served again after all faults have ended
	InMemory   Promise = "memory"   // a process that clients crowd stays within its memory
	Alive      Promise = "alive"    // no process ends by itself, or in a planned stop with an error
)

// Promises lists all promises.
var Promises = []Promise{OwnAnswer, OwnRequest, RunOnce, NotRun, Revoked, Drained, Told, Pushback, Emptied, InBounds, Applied, Allowed, Kept, Checked, Whole, Reported, OneHolder, Recovered, InMemory, Alive}

// Breach is a broken promise.
type Breach struct {
	Promise Promise                 `json:"promise"`
	At      corianderwing.Millis    `json:"at"` // since the start
	ID      corianderwing.RequestID `json:"id,omitempty"`
	Detail  string                  `json:"detail"`
}

const (
	// contact is how long no fault may have worked before a bound on time holds.
	contact = 4 * time.Second
	// drainBound is the time after a confirmed drain or evacuation from which on
	// no request may arrive.
	drainBound = 2500 * time.Millisecond
	emptyBound = 5 * time.Second
	// breachMost bounds the breaches that are kept.
	breachMost = 100
)

// sent is a request and what became of it.
type sent struct {
	Query
	workspace corianderwing.WorkspaceID
	order     bool
	at        time.Time
	upstream  corianderwing.UpstreamID // at which it arrived last
	runs      int
	refused   bool // as not run
	broken    bool // its upstream broke its answer off
}

// Ledger holds what callers and upstreams saw, and checks it against the
// promises as it comes in. It decides from times and facts alone.
type Ledger struct {
	mu      sync.Mutex
	start   time.Time
	sent    map[corianderwing.RequestID]*sent
	ran     map[corianderwing.WorkspaceID][]time.Time
	limits  map[corianderwing.WorkspaceID]int
	revoked map[string]time.Time
	added   map[string]time.Time // keys that were added on the way
	drained map[corianderwing.UpstreamID]time.Time
	said    said
	emptied map[corianderwing.DomainID]time.Time
	reports reports
	acting  int       // faults at work
	calm    time.Time // end of the last fault
	breach  []Breach
	more    int // breaches that were not kept
	counts  map[string]int
}

// NewLedger returns an empty Ledger. Limits are the most requests of a
// workspace that may run in any time of the window.
func NewLedger(start time.Time, limits map[corianderwing.WorkspaceID]int) *Ledger {
	return &Ledger{
		start:   start,
		sent:    map[corianderwing.RequestID]*sent{},
		ran:     map[corianderwing.WorkspaceID][]time.Time{},
		limits:  limits,
		revoked: map[string]time.Time{},
		added:   map[string]time.Time{},
		drained: map[corianderwing.UpstreamID]time.Time{},
		said:    newSaid(),
		emptied: map[corianderwing.DomainID]time.Time{},
		reports: newReports(),
		counts:  map[string]int{},
	}
}

// Break records a broken promise.
func (l *Ledger) Break(p Promise, now time.Time, id corianderwing.RequestID, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaks(p, now, id, format, args...)
}

func (l *Ledger) breaks(p Promise, now time.Time, id corianderwing.RequestID, format string, args ...any) {
	if len(l.breach) >= breachMost {
		l.more++
		return
	}
	l.breach = append(l.breach, Breach{p, corianderwing.Millis(now.Sub(l.start).Milliseconds()), id, fmt.Sprintf(format, args...)})
}

// Fault notes that a fault begins. The returned function ends it.
func (l *Ledger) Fault() (end func(now time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acting++
	return func(now time.Time) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.acting--
		if now.After(l.calm) {
			l.calm = now
		}
	}
}

// quiet reports whether no fault worked since a time, nor in the contact time
// before it.
func (l *Ledger) quiet(since time.Time) bool {
	return l.acting == 0 && since.Sub(l.calm) > contact
}

// Sent notes a request before it is sent.
func (l *Ledger) Sent(q Query, w corianderwing.WorkspaceID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[q.ID] = &sent{Query: q, workspace: w, order: q.Body != "", at: now}
	l.counts["sent"]++
}

// Arrived notes a request that an upstream got for itself. With run, it begins
// to work on it.
func (l *Ledger) Arrived(a Arrival, u corianderwing.UpstreamID, d corianderwing.DomainID, run bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.sent[a.ID]
	if q == nil {
		l.breaks(OwnRequest, now, a.ID, "%s got a request that nobody sent", u)
		return
	}
	l.checkContent(q, a, u, now)
	if t, ok := l.drained[u]; ok && now.Sub(t) > drainBound && l.quiet(t) {
		l.breaks(Drained, now, a.ID, "%s got it %v after its drain was confirmed", u, now.Sub(t))
	}
	l.checkSaid(q, u, now)
	if t, ok := l.emptied[d]; ok && now.Sub(t) > emptyBound && l.quiet(t) {
		l.breaks(Emptied, now, a.ID, "%s got it %v after the evacuation of %s was confirmed", u, now.Sub(t), d)
	}
	if run {
		l.run(q, u, now)
	}
}

func (l *Ledger) checkContent(q *sent, a Arrival, u corianderwing.UpstreamID, now time.Time) {
	if a.Key != "" {
		l.breaks(OwnRequest, now, a.ID, "%s got the caller's key", u)
	}
	if a.Workspace != q.workspace {
		l.breaks(OwnRequest, now, a.ID, "%s got it for workspace %q, sent with a key of %q", u, a.Workspace, q.workspace)
	}
	if a.Path != q.Path || a.Body != q.Body {
		l.breaks(OwnRequest, now, a.ID, "%s got path %q and a body of %d bytes, sent %q and %d", u, a.Path, len(a.Body), q.Path, len(q.Body))
	}
}

func (l *Ledger) run(q *sent, u corianderwing.UpstreamID, now time.Time) {
	q.runs++
	l.counts["runs"]++
	if q.order && q.runs > 1 {
		l.breaks(RunOnce, now, q.ID, "%s runs the order, run number %d", u, q.runs)
	}
	if q.order && q.refused {
		l.breaks(NotRun, now, q.ID, "%s runs the order after its caller was told that it has not run", u)
	}
	if t, ok := l.revoked[q.Key]; ok && q.at.Sub(t) > revokeBound {
		l.breaks(Revoked, now, q.ID, "%s runs it, sent %v after its key was revoked", u, q.at.Sub(t))
	}
	if most := l.limits[q.workspace]; most > 0 {
		l.bound(q, most, now)
	}
}

// bound checks the bound of a workspace: only requests count that were sent and
// ran within the window.
func (l *Ledger) bound(q *sent, most int, now time.Time) {
	list := append(l.ran[q.workspace], q.at)
	list = slices.DeleteFunc(list, func(t time.Time) bool { return now.Sub(t) > windowBound })
	l.ran[q.workspace] = list
	if len(list) > most {
		l.breaks(InBounds, now, q.ID, "%d requests of %s within %v, allowed %d", len(list), q.workspace, windowBound, most)
		l.ran[q.workspace] = nil
	}
}

// Broke notes that an upstream breaks its answer off.
func (l *Ledger) Broke(id corianderwing.RequestID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if q := l.sent[id]; q != nil {
		q.broken = true
	}
}

// Reply is what a caller got.
type Reply struct {
	ID       corianderwing.RequestID
	Entry    string // name of the entry process
	Status   int    // 0 without a whole answer
	Body     string
	Leaving  bool // it says that its upstream leaves
	Failure  string
	Stopping time.Time // when the entry process was told to stop; zero if it was not
}

// Answered notes the end of a request at its caller.
func (l *Ledger) Answered(r Reply, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.sent[r.ID]
	l.counts[fmt.Sprintf("status %d", r.Status)]++
	l.heardLeaving(q, r, now)
	switch r.Status {
	case 200:
		if r.Body != Content(r.ID) || q.runs == 0 {
			l.breaks(OwnAnswer, now, r.ID, "%s answered with %d bytes, run %d times: %.40q", r.Entry, len(r.Body), q.runs, r.Body)
		}
	case 429, 503:
		q.refused = true
		if q.order && q.runs > 0 {
			l.breaks(NotRun, now, r.ID, "%s said that the order has not run", r.Entry)
		}
	case 401, 403, 404:
		l.denied(q, r, now)
	case 0:
		l.cut(q, r, now)
	}
}

// denied checks a refusal for which the settings give no reason.
func (l *Ledger) denied(q *sent, r Reply, now time.Time) {
	if _, ok := l.revoked[q.Key]; ok {
		return
	}
	if t, ok := l.added[q.Key]; ok {
		if l.acting == 0 && q.at.Sub(l.calm) > contact && q.at.Sub(t) > applyBound {
			l.breaks(Applied, now, q.ID, "%s answered %d, sent %v after its key was confirmed: %s", r.Entry, r.Status, q.at.Sub(t), r.Body)
		}
		return
	}
	l.breaks(Allowed, now, q.ID, "%s answered %d: %s", r.Entry, r.Status, r.Body)
}

// cut checks a request that ended without an answer at an entry process that
// was told to stop.
func (l *Ledger) cut(q *sent, r Reply, now time.Time) {
	if r.Stopping.IsZero() || q.runs == 0 || q.broken || now.Sub(r.Stopping) > graceBound+time.Second || !l.quiet(r.Stopping) {
		return
	}
	l.breaks(Whole, now, q.ID, "%s ended it %v after it was told to stop: %s", r.Entry, now.Sub(r.Stopping), r.Failure)
}

// Revoke notes that the withdrawal of a key was confirmed.
func (l *Ledger) Revoke(key string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revoked[key] = now
}

// Revoking notes that a key is about to be withdrawn: a refusal is right from
// now on.
func (l *Ledger) Revoking(key string, now time.Time) {
	l.Revoke(key, now.Add(24*time.Hour))
}

// Add notes that a new key was confirmed.
func (l *Ledger) Add(key string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.added[key] = now
}

// Drain notes that the drain of an upstream was confirmed.
func (l *Ledger) Drain(u corianderwing.UpstreamID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drained[u] = now
}

// Undrain notes that an upstream is about to serve again.
func (l *Ledger) Undrain(u corianderwing.UpstreamID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.drained, u)
}

// Empty notes that the evacuation of a failure domain was confirmed, or that it
// is about to be taken back.
func (l *Ledger) Empty(d corianderwing.DomainID, on bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !on {
		delete(l.emptied, d)
		return
	}
	l.emptied[d] = now
}

// Quiet reports whether a bound on time holds for what happened at since.
func (l *Ledger) Quiet(since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.quiet(since)
}

// Breaches returns what is broken, and how many breaches were not kept.
func (l *Ledger) Breaches() ([]Breach, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.breach), l.more
}

// Counts returns how many requests were sent, ran and got each status.
func (l *Ledger) Counts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]int{}
	for k, v := range l.counts {
		out[k] = v
	}
	return out
}
