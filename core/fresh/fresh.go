// Package fresh tells how old a replicated state may be. Somebody who knows the
// newest revision confirms it from time to time; a confirmation proves nothing about
// a state that has not reached its revision.
package fresh

import (
	"slices"
	"time"

	"corianderwing"
)

// Confirmation says that nothing newer than Revision was in force at the time At.
type Confirmation struct {
	Revision corianderwing.Revision
	At       time.Time
}

// maxPending bounds the confirmations that wait for the state. They arrive a few
// times a second, so that a state which is this far behind counts as old anyway.
const maxPending = 16

// Tracker is the confirmations of a state. It is immutable; the zero value is a state
// that was never confirmed.
type Tracker struct {
	reached Confirmation
	pending []Confirmation // not reached yet, in order of arrival
}

// Confirm returns the tracker after a confirmation of a state that has the given
// revision now.
func (t Tracker) Confirm(c Confirmation, have corianderwing.Revision) Tracker {
	t = t.Reach(have)
	if len(t.pending) == maxPending {
		// The earlier ones are the first that the state can reach.
		t.pending = t.pending[:maxPending-1]
	}
	t.pending = append(slices.Clip(t.pending), c)
	return t.Reach(have)
}

// Reach returns the tracker after the state has reached a revision.
func (t Tracker) Reach(have corianderwing.Revision) Tracker {
	if !slices.ContainsFunc(t.pending, func(c Confirmation) bool { return c.Revision <= have }) {
		return t
	}
	var waiting []Confirmation
	for _, c := range t.pending {
		switch {
		case c.Revision > have:
			waiting = append(waiting, c)
		case c.At.After(t.reached.At):
			t.reached = c
		}
	}
	t.pending = waiting
	return t
}

// Latest returns the latest confirmation that the state has reached, and whether there
// is one.
func (t Tracker) Latest() (Confirmation, bool) { return t.reached, !t.reached.At.IsZero() }

// Newest returns the confirmation of the highest revision, reached or not.
func (t Tracker) Newest() Confirmation {
	newest := t.reached
	for _, c := range t.pending {
		if c.Revision > newest.Revision || c.Revision == newest.Revision && c.At.After(newest.At) {
			newest = c
		}
	}
	return newest
}

// Discard returns the tracker after the state was discarded. The next state counts only
// once it has reached the newest confirmed revision.
func (t Tracker) Discard() Tracker {
	if c := t.Newest(); !c.At.IsZero() {
		return Tracker{pending: []Confirmation{c}}
	}
	return Tracker{}
}
