package state

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"corianderwing"
)

// snapshotVersion is the version of the snapshot format. It changes when older
// programs cannot read new snapshots.
const snapshotVersion = 1

// machineSnapshot is the encoded form of a Machine. It does not include the update
// window: watchers of a restored replica get a snapshot of the view.
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

// Save returns the encoded state. Replicas with the same state return the same bytes.
func (m *Machine) Save() ([]byte, error) {
	_, encode := m.Freeze()
	return encode()
}

// Freeze captures the current state. It returns the last applied index and a function
// that encodes the captured state, even if commands are applied meanwhile. With 100,000
// orders, capturing takes 13 ms and encoding 0.5 s (BenchmarkFreeze, BenchmarkSave), so
// a group can call Freeze between commands and encode on another goroutine: a leader
// that is blocked for a second loses its leadership.
func (m *Machine) Freeze() (corianderwing.Index, func() ([]byte, error)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// Views, applied requests and orders are immutable, so it is enough to copy
	// the pointers to them.
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

// Restore replaces the state with one that Save returned. It rejects a snapshot of
// another group and one that is behind the replica. On an error the state does not
// change.
func (m *Machine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	var s machineSnapshot
	if err := snapshotDecoding.Unmarshal(data, &s); err != nil {
		return snapshotError(err)
	}
	if s.Version != snapshotVersion {
		return fmt.Errorf("snapshot has format version %d, this program supports version %d", s.Version, snapshotVersion)
	}
	old := m.published.Load()
	if s.View.Group != old.view.group {
		return fmt.Errorf("snapshot of group %q for a replica of group %q", s.View.Group, old.view.group)
	}
	if s.Index < m.index || s.View.Revision < old.view.revision {
		m.reportViolation("revision order", "snapshot at revision %d, entry %d was restored after revision %d, entry %d",
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
