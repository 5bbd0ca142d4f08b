package state

import (
	"fmt"

	"corianderwing"
)

// The checks in this file assert what must hold after every command. They are
// part of the product's build, cost no more than the change itself, and report
// a broken invariant instead of stopping the replica.

func (m *Machine) reportViolation(invariant, format string, args ...any) {
	m.onViolation(invariant, fmt.Sprintf(format, args...))
}

// checkView checks an accepted change.
func (m *Machine) checkView(before, after *View) {
	if after.revision != before.revision+1 {
		m.reportViolation("revision order", "revision %d after %d", after.revision, before.revision)
	}
	if after.treeRevision < before.treeRevision || after.treeRevision > after.revision {
		m.reportViolation("revision order", "tree revision %d after %d, at revision %d", after.treeRevision, before.treeRevision, after.revision)
	}
	m.checkSeats(after)
}

// checkSeats checks that no two instances share a seat and that no seat lies
// beyond the number of its domain: else the fixed parts of a bound together
// would exceed the bound.
func (m *Machine) checkSeats(v *View) {
	type seatID struct {
		domain corianderwing.DomainID
		index  int
	}
	taken := make(map[seatID]corianderwing.InstanceID, len(v.seats))
	for _, s := range v.seats {
		p := seatID{s.Domain, s.Index}
		if other, ok := taken[p]; ok {
			m.reportViolation("seat taken once", "seat %d of %s has instances %s and %s", s.Index, s.Domain, other, s.Instance)
		}
		taken[p] = s.Instance
		if n := v.tree.Seats(s.Domain); s.Index < 0 || s.Index >= n {
			m.reportViolation("seat in range", "instance %s has seat %d of %d in %s", s.Instance, s.Index, n, s.Domain)
		}
	}
}

// checkOrder checks one step of an order: nil > open > done or free, and free
// > open. A done order never changes, else an order could run twice.
func (m *Machine) checkOrder(before, after *corianderwing.Order) {
	if before == after || after == nil {
		return
	}
	from := corianderwing.OrderFree
	if before != nil {
		from = before.State
	}
	to := after.State
	claimed := from == corianderwing.OrderFree && to == corianderwing.OrderOpen
	resolved := from == corianderwing.OrderOpen && to != corianderwing.OrderOpen && before.Holder == after.Holder
	if !claimed && !resolved {
		m.reportViolation("order step", "order %s/%q went from %s to %s", after.Workspace, after.Key, from, to)
	}
}

func (m *Machine) checkTableSizes() {
	if n := len(m.changeRequests.byKey); n > m.changeRequests.limit || n != m.changeRequests.byAge.Len() {
		m.reportViolation("applied bound", "%d changes remembered, %d by age, allowed %d", n, m.changeRequests.byAge.Len(), m.changeRequests.limit)
	}
	if n := len(m.orderRequests.byKey); n > m.orderRequests.limit || n != m.orderRequests.byAge.Len() {
		m.reportViolation("applied bound", "%d claims remembered, %d by age, allowed %d", n, m.orderRequests.byAge.Len(), m.orderRequests.limit)
	}
	if n := len(m.orders.byID); n > m.orders.limit || n != m.orders.claimed.Len()+m.orders.free.Len() {
		m.reportViolation("order bound", "%d orders, %d held, %d free, allowed %d", n, m.orders.claimed.Len(), m.orders.free.Len(), m.orders.limit)
	}
}
