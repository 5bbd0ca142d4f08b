package alloc

import "corianderwing/core/place"

// Tally counts the decisions of an Allocator.
type Tally struct {
	Granted   int `json:"granted"`
	Refused   int `json:"refused"`
	Forwarded int `json:"forwarded"` // to the allocator of another failure domain
	Canceled  int `json:"canceled"`  // whose caller gave up or did not call again
}

// add counts a decision.
func (t *Tally) add(e place.Effect) {
	switch {
	case e.Err != nil:
		t.Refused++
	case e.ForwardTo != "":
		t.Forwarded++
	default:
		t.Granted++
	}
}

// TakeTally returns and clears the counts.
func (a *Allocator) TakeTally() Tally {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.tally
	a.tally = Tally{}
	return t
}
