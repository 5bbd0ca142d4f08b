package duty

import "maps"

// Table is the state of all duties. It is immutable; the zero value holds none.
type Table struct {
	states map[Name]State
}

// State returns the state of a duty.
func (t Table) State(n Name) State { return t.states[n] }

// Apply returns the table after a change of one duty.
func (t Table) Apply(c *Change) (Table, error) {
	next, err := t.states[c.Name].Apply(c)
	if err != nil {
		return t, err
	}
	states := maps.Clone(t.states)
	if states == nil {
		states = map[Name]State{}
	}
	states[c.Name] = next
	return Table{states}, nil
}

// Save returns the states for a snapshot.
func (t Table) Save() map[Name]State { return t.states }

// Load returns the table of states that Save returned.
func Load(states map[Name]State) Table { return Table{states} }
