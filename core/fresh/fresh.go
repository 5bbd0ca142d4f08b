// Package fresh tells how old a replicated state may be. Somebody who knows the
// newest revision confirms it from time to time; a confirmation proves nothing about
// a state that has not reached its revision.
package fresh

import (
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

// Tracker keeps the latest confirmation that a state has reached. The zero value is
// a state that was never confirmed. It is not safe for concurrent use.
type Tracker struct {
	reached Confirmation
	pending []Confirmation // not reached yet, in order of arrival
}

// Confirm records a confirmation.
func (t *Tracker) Confirm(c Confirmation) {
	if len(t.pending) == maxPending {
		// The earlier ones are the first that the state can reach.
		t.pending = t.pending[:maxPending-1]
	}
	t.pending = append(t.pending, c)
}

// Latest returns the latest confirmation that a state of the given revision has
// reached, and whether there is one.
func (t *Tracker) Latest(r corianderwing.Revision) (Confirmation, bool) {
	waiting := t.pending[:0]
	for _, c := range t.pending {
		switch {
		case c.Revision > r:
			waiting = append(waiting, c)
		case c.At.After(t.reached.At):
			t.reached = c
		}
	}
	t.pending = waiting
	return t.reached, !t.reached.At.IsZero()
}
