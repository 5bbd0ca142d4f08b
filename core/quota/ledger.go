package quota

import (
	"cmp"
	"slices"
)

// ledger holds what the holders of one workspace's tokens last reported, sorted by
// holder. The shares of a workspace depend on all of its holders, and a large
// deployment has hundreds of workspaces and dozens of holders of each, so these
// loops run over consecutive memory.
type ledger []holding

// holding is the last report of a holder on one workspace.
type holding struct {
	holder      string
	rate        float64 // requests per second
	used        int
	outstanding int // tokens that the holder may be using
}

// find returns the index of a holder, or where to insert it.
func (l ledger) find(holder string) (int, bool) {
	return slices.BinarySearchFunc(l, holder, func(n holding, name string) int { return cmp.Compare(n.holder, name) })
}

// set adds or replaces the holding of a holder.
func (l ledger) set(n holding) ledger {
	i, ok := l.find(n.holder)
	if ok {
		l[i] = n
		return l
	}
	return slices.Insert(l, i, n)
}

// remove removes the holding of a holder, if there is one.
func (l ledger) remove(holder string) ledger {
	if i, ok := l.find(holder); ok {
		return slices.Delete(l, i, i+1)
	}
	return l
}

// expectedUse returns the number of tokens that the holder is expected to use
// soon.
func (n holding) expectedUse() float64 {
	return float64(n.used) + n.rate*demandHorizon.Seconds() + spareTokens
}
