package state

import (
	"fmt"

	"corianderwing"
)

// The checks in this file assert what must hold after every command. They are
// part of the product's build, cost no more than the change itself, and report
// a broken invariant instead of stopping the replica.

func (m *Machine) broken(invariant, format string, args ...any) {
	m.report(invariant, fmt.Sprintf(format, args...))
}

// checkView checks an accepted change.
func (m *Machine) checkView(before, after *View) {
	if after.revision != before.revision+1 {
		m.broken("revision order", "revision %d after %d", after.revision, before.revision)
	}
	if after.changed < before.changed || after.changed > after.revision {
		m.broken("revision order", "tree revision %d after %d, at revision %d", after.changed, before.changed, after.revision)
	}
	m.checkSeats(after)
}

// checkSeats checks that no two instances share a seat and that no seat lies
// beyond the number of its domain: else the fixed parts of a bound together
// would exceed the bound.
func (m *Machine) checkSeats(v *View) {
	type place struct {
		domain corianderwing.DomainID
		index  int
	}
	taken := make(map[place]corianderwing.InstanceID, len(v.seats))
	for _, s := range v.seats {
		p := place{s.Domain, s.Index}
		if other, ok := taken[p]; ok {
			m.broken("seat taken once", "seat %d of %s has instances %s and %s", s.Index, s.Domain, other, s.Instance)
		}
		taken[p] = s.Instance
		if n := v.tree.Seats(s.Domain); s.Index < 0 || s.Index >= n {
			m.broken("seat in range", "instance %s has seat %d of %d in %s", s.Instance, s.Index, n, s.Domain)
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
	opened := from == corianderwing.OrderFree && to == corianderwing.OrderOpen
	settled := from == corianderwing.OrderOpen && to != corianderwing.OrderOpen && before.Holder == after.Holder
	if !opened && !settled {
		m.broken("order step", "order %s/%q went from %s to %s", after.Workspace, after.Key, from, to)
	}
}

func (m *Machine) checkBounds() {
	if n := len(m.changes.byKey); n > m.changes.most || n != m.changes.age.Len() {
		m.broken("applied bound", "%d changes remembered, %d by age, allowed %d", n, m.changes.age.Len(), m.changes.most)
	}
	if n := len(m.claims.byKey); n > m.claims.most || n != m.claims.age.Len() {
		m.broken("applied bound", "%d claims remembered, %d by age, allowed %d", n, m.claims.age.Len(), m.claims.most)
	}
	if n := len(m.orders.byID); n > m.orders.most || n != m.orders.held.Len()+m.orders.free.Len() {
		m.broken("order bound", "%d orders, %d held, %d free, allowed %d", n, m.orders.held.Len(), m.orders.free.Len(), m.orders.most)
	}
}
