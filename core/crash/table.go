package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"corianderwing"
)

const (
	// quarantineCrashes is the number of upstreams that a request must have crashed to
	// be quarantined. The other requests that ran at a crashed upstream are suspects
	// too, and rarely lose two upstreams in a row.
	quarantineCrashes = 3
	// retryCrashes is the number of crashes from which on an attempt that crashed its
	// upstream is not retried at another one.
	retryCrashes = 2
	// suspectTTL is how long after its last change a suspect is forgotten. It exceeds
	// the longest delay of a probe, so that a quarantine does not end while its request
	// still comes.
	suspectTTL = 3 * time.Hour
	// maxSuspects bounds the suspects that are remembered.
	maxSuspects = 1024
)

// probeDelays is how long after the last change of a quarantined suspect one attempt
// is allowed, by the number of probes that crashed an upstream; the last delay repeats.
// The first is short because the crashes may have another cause: if all upstreams of a
// pool crash at once, the most frequent requests have run at several of them. A request
// that goes on crashing upstreams reaches three in the first hour.
var probeDelays = [...]time.Duration{time.Second, 15 * time.Second, time.Minute, time.Hour}

// Upstream identifies one incarnation of an upstream.
type Upstream struct {
	ID          corianderwing.UpstreamID  `json:"id"`
	Incarnation corianderwing.Incarnation `json:"incarnation"`
}

// Kind is the kind of an Event.
type Kind string

const (
	Crashed  Kind = "crashed"  // an upstream crashed while it ran the request
	Answered Kind = "answered" // an upstream answered the request
	Probe    Kind = "probe"    // an entry instance claims the next probe
	Expired  Kind = "expired"  // the suspect has not changed for suspectTTL
)

// Event is an observation of requests with one fingerprint.
type Event struct {
	Kind        Kind                     `json:"kind"`
	Fingerprint Fingerprint              `json:"request"`
	Upstream    Upstream                 `json:"upstream,omitzero"` // of Crashed; of Answered: the last one that crashed before
	By          corianderwing.InstanceID `json:"by,omitempty"`      // of Probe
	Probes      int                      `json:"probes,omitempty"`  // of Probe: number of probes before
}

// Suspect is what is known of requests with one fingerprint, of which none was
// answered since the first crash.
type Suspect struct {
	Crashes []Upstream               `json:"crashes"`          // the first quarantineCrashes upstreams that crashed
	Last    Upstream                 `json:"last"`             // the latest one
	Probes  int                      `json:"probes,omitempty"` // number of probes so far
	Failed  int                      `json:"failed,omitempty"` // probes that a crash followed
	Judged  int                      `json:"judged,omitempty"` // number of probes when Failed last changed
	ProbeBy corianderwing.InstanceID `json:"by,omitempty"`     // entry instance that may make the latest probe
	// CrashedAt is when the latest upstream crashed, and Changed when the suspect last
	// changed. Each process counts from when it received the event.
	CrashedAt time.Time `json:"-"`
	Changed   time.Time `json:"-"`
}

// Quarantined reports whether the requests may only be sent as probes.
func (s *Suspect) Quarantined() bool { return len(s.Crashes) >= quarantineCrashes }

// Retryable reports whether an attempt that failed may be retried.
func (s *Suspect) Retryable() bool { return len(s.Crashes) < retryCrashes }

// NextProbe returns when the next probe of a quarantined request is due. A probe that
// ended without a crash or an answer, because its caller left or its upstream was full,
// proves nothing and delays the next one no further.
func (s *Suspect) NextProbe() time.Time {
	return s.Changed.Add(probeDelays[min(s.Failed, len(probeDelays)-1)])
}

// Granted reports whether an entry instance holds the probe that it claimed after
// the given number of earlier ones.
func (s *Suspect) Granted(by corianderwing.InstanceID, probes int) bool {
	return s.ProbeBy == by && s.Probes == probes+1
}

// Table holds the suspects of a site. It is immutable; nil is an empty table.
type Table struct {
	suspects map[Fingerprint]*Suspect
	order    []Fingerprint // oldest first
}

// Len returns the number of suspects.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return len(t.suspects)
}

// Quarantined returns the number of quarantined suspects.
func (t *Table) Quarantined() int {
	n := 0
	if t != nil {
		for _, s := range t.suspects {
			if s.Quarantined() {
				n++
			}
		}
	}
	return n
}

// Lookup returns the suspect with a fingerprint. The caller must not modify it.
func (t *Table) Lookup(f Fingerprint) (*Suspect, bool) {
	if t == nil {
		return nil, false
	}
	s, ok := t.suspects[f]
	return s, ok
}

// Expired returns an event for each suspect that has not changed for suspectTTL.
func (t *Table) Expired(now time.Time) []Event {
	var list []Event
	if t == nil {
		return nil
	}
	for _, f := range t.order {
		if now.Sub(t.suspects[f].Changed) >= suspectTTL {
			list = append(list, Event{Kind: Expired, Fingerprint: f})
		}
	}
	return list
}

// Apply returns the table after events that were received at now. The result
// depends on now only in the times of changes.
func (t *Table) Apply(list []Event, now time.Time) *Table {
	next := t.clone()
	for i := range list {
		next.apply(&list[i], now)
	}
	return next.orNil()
}

// Observation is an event and the time at which it was received.
type Observation struct {
	Event
	At time.Time
}

// Replay returns the table after observations, each at its own time.
func (t *Table) Replay(list []Observation) *Table {
	next := t.clone()
	for i := range list {
		next.apply(&list[i].Event, list[i].At)
	}
	return next.orNil()
}

// clone returns a copy that may be changed.
func (t *Table) clone() *Table {
	if t == nil {
		return &Table{suspects: map[Fingerprint]*Suspect{}}
	}
	return &Table{suspects: maps.Clone(t.suspects), order: slices.Clone(t.order)}
}

// orNil returns the table, or nil if it is empty.
func (t *Table) orNil() *Table {
	if len(t.suspects) == 0 {
		return nil
	}
	return t
}

func (t *Table) apply(e *Event, now time.Time) {
	old, known := t.suspects[e.Fingerprint]
	switch e.Kind {
	case Answered:
		// An answer reported late says nothing of crashes since.
		if known && (e.Upstream == old.Last || e.Upstream == Upstream{}) {
			t.remove(e.Fingerprint)
		}
	case Expired:
		t.remove(e.Fingerprint)
	case Probe:
		if known && old.Probes == e.Probes {
			next := *old
			next.Probes, next.ProbeBy, next.Changed = e.Probes+1, e.By, now
			t.suspects[e.Fingerprint] = &next
		}
	case Crashed:
		if !known {
			t.add(e.Fingerprint)
			old = &Suspect{}
		}
		if next, changed := old.crashed(e.Upstream, now); changed {
			t.suspects[e.Fingerprint] = next
		}
	}
}

// Crashed reports whether it is known that the request crashed an upstream.
func (s *Suspect) Crashed(u Upstream) bool { return s.Last == u || slices.Contains(s.Crashes, u) }

// crashed returns the suspect after a crash, unless that is known.
func (s *Suspect) crashed(u Upstream, now time.Time) (*Suspect, bool) {
	if s.Crashed(u) {
		return s, false
	}
	next := *s
	next.Last, next.CrashedAt, next.Changed = u, now, now
	if !s.Quarantined() {
		next.Crashes = append(slices.Clip(s.Crashes), u)
	} else if s.Probes > s.Judged {
		next.Failed, next.Judged = s.Failed+1, s.Probes
	}
	return &next, true
}

func (t *Table) remove(f Fingerprint) {
	delete(t.suspects, f)
	if i := slices.Index(t.order, f); i >= 0 {
		t.order = slices.Delete(t.order, i, i+1)
	}
}

// add makes room for a suspect. If the table is full, the oldest of those with the
// fewest crashes is forgotten.
func (t *Table) add(f Fingerprint) {
	if len(t.order) >= maxSuspects {
		t.remove(slices.MinFunc(t.order, func(a, b Fingerprint) int {
			return cmp.Compare(len(t.suspects[a].Crashes), len(t.suspects[b].Crashes))
		}))
	}
	t.order = append(t.order, f)
}

// Saved is a suspect in a snapshot.
type Saved struct {
	Fingerprint Fingerprint `json:"request"`
	Suspect
}

// Save returns the suspects for a snapshot, oldest first.
func (t *Table) Save() []Saved {
	if t == nil {
		return nil
	}
	list := make([]Saved, len(t.order))
	for i, f := range t.order {
		list[i] = Saved{f, *t.suspects[f]}
	}
	return list
}

// Load returns the table of a snapshot that was received at now.
func Load(list []Saved, now time.Time) *Table {
	if len(list) == 0 {
		return nil
	}
	t := &Table{suspects: map[Fingerprint]*Suspect{}}
	for i := range list {
		s := list[i].Suspect
		s.CrashedAt, s.Changed = now, now
		t.suspects[list[i].Fingerprint] = &s
		t.order = append(t.order, list[i].Fingerprint)
	}
	return t
}
