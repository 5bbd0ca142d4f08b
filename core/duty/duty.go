// Package duty is a leased singleton task with a fencing token: work that at most one
// process does at a time. The lease and the token are part of a replicated state, and
// a Member decides for one process when it may take the lease and act under it.
//
// No two clocks are compared. A holder counts its lease from before it proposed the
// grant, all others count it from when they saw the grant applied, so that the holder
// stops first. Both need a clock that advances while the machine is suspended.
package duty

import "corianderwing"

// Name identifies a duty.
type Name string

// Token is a fencing token. It increases each time another process takes the duty.
type Token uint64

// Seq counts the changes of one duty.
type Seq uint64

// Holder identifies the process that holds a duty. A process that starts again is
// another holder: its machine may have been replaced under the same name.
type Holder struct {
	Instance    corianderwing.InstanceID  `json:"instance"`
	Incarnation corianderwing.Incarnation `json:"incarnation"`
}

// State is the replicated state of one duty. The zero value was never held.
type State struct {
	Token  Token  `json:"token"`
	Seq    Seq    `json:"seq"`
	Holder Holder `json:"holder"`
	// Lease is a duration, not a time, because the clocks of processes differ.
	Lease corianderwing.Millis `json:"lease"`
	// Data is what the holder keeps for its successors, in an encoding of its own.
	Data []byte `json:"data,omitempty"`
}

// Change takes or renews the lease of a duty.
type Change struct {
	Name   Name                 `json:"name"`
	Expect Seq                  `json:"expect"` // the change applies only to the state with this number
	Holder Holder               `json:"holder"`
	Lease  corianderwing.Millis `json:"lease"`
	Data   []byte               `json:"data,omitempty"` // replaces State.Data, unless empty
}

// Apply returns the state after a change. It returns a RevisionConflict if the change
// was made for another state.
func (s State) Apply(c *Change) (State, error) {
	if c.Holder == (Holder{}) || c.Lease <= 0 {
		return s, corianderwing.Errorf(corianderwing.InvalidInput, "change of duty %q has no holder or no lease", c.Name)
	}
	if c.Expect != s.Seq {
		return s, corianderwing.Errorf(corianderwing.RevisionConflict, "duty %q is at change %d, not %d", c.Name, s.Seq, c.Expect)
	}
	if c.Holder != s.Holder {
		s.Token++
	}
	s.Seq++
	s.Holder, s.Lease = c.Holder, c.Lease
	if len(c.Data) > 0 {
		s.Data = c.Data
	}
	return s, nil
}
