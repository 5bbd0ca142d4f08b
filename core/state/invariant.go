package state

import (
	"fmt"

	"corianderwing"
)

// The checks in this file verify the invariants of the state after every command.
// They also run in production: they cost no more than the change itself, and report
// a violation instead of stopping the replica.

func (m *Machine) reportViolation(invariant, format string, args ...any) {
	m.onViolation(invariant, fmt.Sprintf(format, args...))
}

// checkView checks the revisions and seats of the view after an accepted change.
func (m *Machine) checkView(before, after *View) {
	if after.revision != before.revision+1 {
		m.reportViolation("revision order", "revision %d after %d", after.revision, before.revision)
	}
	if after.treeRevision < before.treeRevision || after.treeRevision > after.revision {
		m.reportViolation("revision order", "tree revision %d after %d, at revision %d", after.treeRevision, before.treeRevision, after.revision)
	}
	m.checkSeats(after)
}

// checkSeats checks that no two instances share a seat and that every seat index is
// below the seat count of its domain. Otherwise the fixed fractions of a limit
// together would exceed the limit.
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

// checkOrder checks a state transition of an order. Allowed are none or free to open,
// and open to done or free. A done order must never change, or the order could be
// executed twice.
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
		m.reportViolation("applied bound", "%d change requests stored, %d listed by age, allowed %d", n, m.changeRequests.byAge.Len(), m.changeRequests.limit)
	}
	if n := len(m.orderRequests.byKey); n > m.orderRequests.limit || n != m.orderRequests.byAge.Len() {
		m.reportViolation("applied bound", "%d order requests stored, %d listed by age, allowed %d", n, m.orderRequests.byAge.Len(), m.orderRequests.limit)
	}
	if n := len(m.orders.byID); n > m.orders.limit || n != m.orders.claimed.Len()+m.orders.free.Len() {
		m.reportViolation("order bound", "%d orders stored, %d claimed, %d free, allowed %d", n, m.orders.claimed.Len(), m.orders.free.Len(), m.orders.limit)
	}
}
