package quota

import (
	"maps"
	"slices"

	"corianderwing"
)

// Record is what the owner of an Allocator replicates, so that after a loss of every
// process that knew the holders a successor knows what they may have. It is changed
// before the holders get anything that it does not cover. A nil Record says nothing: the
// holders may have all tokens. Records are immutable.
type Record struct {
	Ceilings Ceilings                   `json:"ceilings"`
	Holders  []corianderwing.InstanceID `json:"holders"` // entry instances that may have tokens; sorted
}

// Ceilings holds the most tokens of each workspace that all its holders together may
// have, used or not. What lies above, a successor may hand out at once.
type Ceilings map[corianderwing.WorkspaceID]int

// RecordChange changes a Record.
type RecordChange struct {
	Set    Ceilings                   `json:"set,omitempty"` // 0 removes a workspace
	Add    []corianderwing.InstanceID `json:"add,omitempty"` // holders
	Remove []corianderwing.InstanceID `json:"remove,omitempty"`
}

// IsEmpty reports whether the change changes nothing.
func (c *RecordChange) IsEmpty() bool { return len(c.Set)+len(c.Add)+len(c.Remove) == 0 }

// Apply returns the record after a change, which is not nil.
func (r *Record) Apply(change *RecordChange) *Record {
	next := &Record{Ceilings: Ceilings{}}
	if r != nil {
		maps.Copy(next.Ceilings, r.Ceilings)
		next.Holders = slices.Clone(r.Holders)
	}
	for w, n := range change.Set {
		next.Ceilings[w] = n
	}
	maps.DeleteFunc(next.Ceilings, func(_ corianderwing.WorkspaceID, n int) bool { return n <= 0 })
	next.Holders = append(next.Holders, change.Add...)
	next.Holders = slices.DeleteFunc(next.Holders, func(h corianderwing.InstanceID) bool { return slices.Contains(change.Remove, h) })
	slices.Sort(next.Holders)
	next.Holders = slices.Compact(next.Holders)
	return next
}

// Covers reports whether a holder may have tokens.
func (r *Record) Covers(holder corianderwing.InstanceID) bool {
	if r == nil {
		return false
	}
	_, ok := slices.BinarySearch(r.Holders, holder)
	return ok
}
