package state

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"corianderwing"
)

// snapshotVersion changes when an older program could not read a snapshot.
const snapshotVersion = 1

// machineSnapshot is the encoded form of a Machine. The window of updates is
// not part of it: a watcher of a restored replica gets a snapshot of the view.
type machineSnapshot struct {
	Version        int                    `json:"version"`
	Index          corianderwing.Index    `json:"index"`
	Now            time.Time              `json:"now,omitzero"`
	View           viewSnapshot           `json:"view"`
	ChangeRequests []*appliedRequest      `json:"changes,omitempty"`
	OrderRequests  []*appliedRequest      `json:"claims,omitempty"`
	Claimed        []*corianderwing.Order `json:"held,omitempty"`
	Free           []*corianderwing.Order `json:"free,omitempty"`
}

// Save returns the whole state, encoded. Two replicas with the same state
// return the same bytes.
func (m *Machine) Save() ([]byte, error) {
	_, encode := m.Freeze()
	return encode()
}

// Freeze returns the last applied index and a function that encodes the state
// as it is now, whatever is applied meanwhile. With 100,000 orders, freezing
// takes 13 ms and encoding 0.5 s (BenchmarkFreeze, BenchmarkSave), so a group
// freezes where it applies and encodes elsewhere: a leader that is held up for
// a second loses its place.
func (m *Machine) Freeze() (corianderwing.Index, func() ([]byte, error)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// Views, records and orders are never written again, so the lists of
	// pointers are enough.
	view := m.View()
	s := machineSnapshot{
		Version:        snapshotVersion,
		Index:          m.index,
		Now:            m.now,
		ChangeRequests: m.changeRequests.list(),
		OrderRequests:  m.orderRequests.list(),
		Claimed:        m.orders.list(m.orders.claimed),
		Free:           m.orders.list(m.orders.free),
	}
	return s.Index, func() ([]byte, error) {
		s := s
		s.View = view.snapshot()
		data, err := encoding.Marshal(s)
		if err != nil {
			return nil, fmt.Errorf("encoding a snapshot: %w", err)
		}
		return data, nil
	}
}

// Restore replaces the whole state by what Save returned. On an error the
// state is as before. It refuses the snapshot of another group and one that is
// behind the replica.
func (m *Machine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	var s machineSnapshot
	if err := snapshotDecoding.Unmarshal(data, &s); err != nil {
		return snapshotError(err)
	}
	if s.Version != snapshotVersion {
		return fmt.Errorf("snapshot has version %d, this program reads %d", s.Version, snapshotVersion)
	}
	old := m.published.Load()
	if s.View.Group != old.view.group {
		return fmt.Errorf("snapshot of group %q for a replica of group %q", s.View.Group, old.view.group)
	}
	if s.Index < m.index || s.View.Revision < old.view.revision {
		m.reportViolation("revision order", "restored revision %d, entry %d after revision %d, entry %d",
			s.View.Revision, s.Index, old.view.revision, m.index)
		return fmt.Errorf("snapshot at entry %d is behind the replica at entry %d", s.Index, m.index)
	}
	view, err := s.View.view()
	if err != nil {
		return err
	}
	changes, err := loadRequestTable(m.changeRequests.limit, s.ChangeRequests)
	if err != nil {
		return err
	}
	claims, err := loadRequestTable(m.orderRequests.limit, s.OrderRequests)
	if err != nil {
		return err
	}
	orders, err := loadOrderTable(m.orders.limit, s.Claimed, s.Free)
	if err != nil {
		return err
	}
	m.index, m.now = s.Index, s.Now.UTC()
	m.changeRequests, m.orderRequests, m.orders = changes, claims, orders
	m.checkSeats(view)
	m.published.Store(&publishedState{view: view, changed: make(chan struct{})})
	close(old.changed)
	return nil
}

func loadRequestTable(limit int, records []*appliedRequest) (*requestTable, error) {
	a := newRequestTable(limit)
	for _, r := range records {
		if r == nil || a.byKey[requestKey{r.Kind, r.Request}] != nil {
			return nil, snapshotError(errors.New("a request is empty or listed twice"))
		}
		a.add(r)
	}
	return a, nil
}

func loadOrderTable(limit int, claimed, free []*corianderwing.Order) (*orderTable, error) {
	o := newOrderTable(limit)
	for _, order := range slices.Concat(claimed, free) {
		if order == nil || o.find(order.Workspace, order.Key) != nil {
			return nil, snapshotError(errors.New("an order is empty or listed twice"))
		}
		o.put(order)
	}
	return o, nil
}
