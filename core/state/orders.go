package state

import (
	"container/list"
	"time"

	"corianderwing"
)

// Limits of stored orders.
const (
	orderTTL         = 24 * time.Hour
	maxOrders        = 500_000
	maxOrderKey      = 256       // maximum length of an idempotency key in bytes
	maxResponseBytes = 256 << 20 // maximum size of all stored responses together
)

func isOrderCommand(k corianderwing.CommandKind) bool {
	return k == corianderwing.ClaimOrder || k == corianderwing.ResolveOrder
}

type orderID struct {
	workspace corianderwing.WorkspaceID
	key       string
}

// orderTable stores the claims on orders. A stored *Order is immutable: a change
// replaces it, so that results and snapshots can share it.
//
// An open or done order is removed only when it expires, because an order that is sent
// again after its claim was removed could be executed twice. If the table is full, free
// orders are evicted first; then new claims are rejected.
type orderTable struct {
	byID          map[orderID]*list.Element
	claimed       *list.List // open and done orders, sorted by Since
	free          *list.List // free orders, sorted by Since
	responseBytes int        // total size of stored responses
	limit         int
}

func newOrderTable(limit int) *orderTable {
	return &orderTable{byID: map[orderID]*list.Element{}, claimed: list.New(), free: list.New(), limit: limit}
}

func (o *orderTable) find(w corianderwing.WorkspaceID, key string) *corianderwing.Order {
	e := o.byID[orderID{w, key}]
	if e == nil {
		return nil
	}
	return e.Value.(*corianderwing.Order)
}

// put stores an order as the newest one and replaces the order with the same key.
func (o *orderTable) put(order *corianderwing.Order) {
	id := orderID{order.Workspace, order.Key}
	o.remove(o.byID[id])
	dst := o.claimed
	if order.State == corianderwing.OrderFree {
		dst = o.free
	}
	o.byID[id] = dst.PushBack(order)
	o.responseBytes += responseSize(order.Response)
}

func (o *orderTable) remove(e *list.Element) {
	if e == nil {
		return
	}
	order := e.Value.(*corianderwing.Order)
	delete(o.byID, orderID{order.Workspace, order.Key})
	o.claimed.Remove(e)
	o.free.Remove(e)
	o.responseBytes -= responseSize(order.Response)
}

func (o *orderTable) list(from *list.List) []*corianderwing.Order {
	all := make([]*corianderwing.Order, 0, from.Len())
	for e := from.Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(*corianderwing.Order))
	}
	return all
}

// expire removes orders that have not changed for orderTTL.
func (o *orderTable) expire(now time.Time) {
	for _, l := range []*list.List{o.claimed, o.free} {
		for e := l.Front(); e != nil && now.Sub(e.Value.(*corianderwing.Order).Since) >= orderTTL; e = l.Front() {
			o.remove(e)
		}
	}
}

// ensureRoom evicts free orders if the table is full, oldest first, and reports
// whether it has room for one more order.
func (o *orderTable) ensureRoom() bool {
	for len(o.byID) >= o.limit && o.free.Len() > 0 {
		o.remove(o.free.Front())
	}
	return len(o.byID) < o.limit
}

// claim executes a ClaimOrder command and returns the resulting order.
func (o *orderTable) claim(c *corianderwing.Command) (*corianderwing.Order, error) {
	want, err := checkedOrder(c)
	if err != nil {
		return nil, err
	}
	current := o.find(want.Workspace, want.Key)
	switch {
	case current == nil && !o.ensureRoom():
		return nil, corianderwing.Errorf(corianderwing.ClaimUndecided, "the table of orders is full at %d", o.limit)
	case current != nil && current.Fingerprint != want.Fingerprint:
		return nil, corianderwing.Errorf(corianderwing.ClaimMismatch, "idempotency key %q was claimed for another request", want.Key)
	case current != nil && current.State != corianderwing.OrderFree:
		return current, nil
	}
	claim := &corianderwing.Order{
		Workspace:   want.Workspace,
		Key:         want.Key,
		Fingerprint: want.Fingerprint,
		Holder:      want.Holder,
		State:       corianderwing.OrderOpen,
		Since:       c.Now,
	}
	o.put(claim)
	return claim, nil
}

// resolve executes a ResolveOrder command and returns the resulting order.
func (o *orderTable) resolve(c *corianderwing.Command) (*corianderwing.Order, error) {
	want, err := checkedOrder(c)
	if err != nil {
		return nil, err
	}
	done := want.State == corianderwing.OrderDone
	if !done && want.State != corianderwing.OrderFree {
		return nil, corianderwing.Errorf(corianderwing.InvalidInput, "state is %q, allowed: done or free", want.State)
	}
	if done && want.Response == nil {
		return nil, missingError("answer of a done order")
	}
	current := o.find(want.Workspace, want.Key)
	switch {
	case current == nil:
		return nil, corianderwing.Errorf(corianderwing.NotFound, "no claim on idempotency key %q", want.Key)
	case current.Holder != want.Holder:
		return current, corianderwing.Errorf(corianderwing.ClaimUndecided, "the claim on idempotency key %q is held by request %s", want.Key, current.Holder)
	case current.State == want.State:
		return current, nil
	case current.State != corianderwing.OrderOpen:
		return current, corianderwing.Errorf(corianderwing.ClaimUndecided, "the claim on idempotency key %q is already %s", want.Key, current.State)
	}
	updated := *current
	updated.State = want.State
	updated.Since = c.Now
	if done {
		updated.Response = o.storedResponse(want.Response)
	}
	o.put(&updated)
	return &updated, nil
}

// storedResponse returns the response in the form in which it is stored: only its
// status if it is too large or the table has no space left.
func (o *orderTable) storedResponse(a *corianderwing.StoredResponse) *corianderwing.StoredResponse {
	size := responseSize(a)
	if a.Truncated || size > int(corianderwing.MaxStoredResponse) || o.responseBytes+size > maxResponseBytes {
		return &corianderwing.StoredResponse{Status: a.Status, Truncated: true}
	}
	return a
}

func responseSize(a *corianderwing.StoredResponse) int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for name, values := range a.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

func checkedOrder(c *corianderwing.Command) (*corianderwing.Order, error) {
	o := c.Order
	if o == nil {
		return nil, missingError("order")
	}
	if o.Key == "" || len(o.Key) > maxOrderKey {
		return nil, corianderwing.Errorf(corianderwing.InvalidInput, "idempotency key has %d bytes, allowed: 1 to %d", len(o.Key), maxOrderKey)
	}
	if !corianderwing.ValidID(string(o.Holder)) {
		return nil, corianderwing.Errorf(corianderwing.InvalidInput, "holder is %q, allowed: an id", o.Holder)
	}
	return o, nil
}
