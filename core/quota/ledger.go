package quota

import (
	"cmp"
	"slices"
)

// ledger holds what the holders of one workspace's tokens last reported, sorted by
// holder. The shares of a workspace depend on all of its holders, and a large
// deployment has hundreds of workspaces and dozens of holders of each, so these
// loops run over consecutive memory.
type ledger []entry

// entry is the last report of a holder on one workspace.
type entry struct {
	holder      string
	rate        float64 // requests per second
	used        int
	outstanding int // tokens that the holder may be using
}

// find returns the index of a holder, or where to insert it.
func (l ledger) find(holder string) (int, bool) {
	return slices.BinarySearchFunc(l, holder, func(n entry, name string) int { return cmp.Compare(n.holder, name) })
}

// set adds or replaces the entry of a holder.
func (l ledger) set(n entry) ledger {
	i, ok := l.find(n.holder)
	if ok {
		l[i] = n
		return l
	}
	return slices.Insert(l, i, n)
}

// remove removes the entry of a holder, if there is one.
func (l ledger) remove(holder string) ledger {
	if i, ok := l.find(holder); ok {
		return slices.Delete(l, i, i+1)
	}
	return l
}

// expectedUse returns the number of tokens that the holder is expected to use
// soon.
func (n entry) expectedUse() float64 {
	return float64(n.used) + n.rate*demandHorizon.Seconds() + spareTokens
}
