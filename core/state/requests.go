package state

import (
	"container/list"
	"time"

	"corianderwing"
)

// Limits of a requestTable.
const (
	requestTTL  = 24 * time.Hour
	maxRequests = 100_000
)

// appliedRequest is an applied request with its result.
type appliedRequest struct {
	Kind        corianderwing.CommandKind `json:"kind,omitempty"` // set only for ClaimOrder and ResolveOrder
	Request     corianderwing.RequestID   `json:"request"`
	Fingerprint uint64                    `json:"print"`
	AppliedAt   time.Time                 `json:"at"`
	Result      corianderwing.Result      `json:"result"`
}

type requestKey struct {
	kind    corianderwing.CommandKind
	request corianderwing.RequestID
}

// requestTable stores the results of applied requests for deduplication, oldest first.
// Operators' changes and order commands have separate tables, so that a burst of orders
// does not evict the results of changes.
type requestTable struct {
	byKey map[requestKey]*list.Element
	byAge *list.List // of *appliedRequest
	limit int
}

func newRequestTable(limit int) *requestTable {
	return &requestTable{byKey: map[requestKey]*list.Element{}, byAge: list.New(), limit: limit}
}

// requestKeyOf returns the deduplication key of a command. It includes the kind of an
// order command, because ClaimOrder and ResolveOrder may both use the id of the
// caller's request.
func requestKeyOf(c *corianderwing.Command) requestKey {
	if isOrderCommand(c.Kind) {
		return requestKey{c.Kind, c.Request}
	}
	return requestKey{request: c.Request}
}

func (a *requestTable) find(c *corianderwing.Command) *appliedRequest {
	e := a.byKey[requestKeyOf(c)]
	if e == nil {
		return nil
	}
	return e.Value.(*appliedRequest)
}

func (a *requestTable) add(r *appliedRequest) {
	a.byKey[requestKey{r.Kind, r.Request}] = a.byAge.PushBack(r)
	for a.byAge.Len() > a.limit {
		a.removeOldest()
	}
}

// expire removes requests that were applied at least requestTTL ago.
func (a *requestTable) expire(now time.Time) {
	for e := a.byAge.Front(); e != nil && now.Sub(e.Value.(*appliedRequest).AppliedAt) >= requestTTL; e = a.byAge.Front() {
		a.removeOldest()
	}
}

func (a *requestTable) removeOldest() {
	e := a.byAge.Front()
	r := e.Value.(*appliedRequest)
	delete(a.byKey, requestKey{r.Kind, r.Request})
	a.byAge.Remove(e)
}

func (a *requestTable) list() []*appliedRequest {
	all := make([]*appliedRequest, 0, a.byAge.Len())
	for e := a.byAge.Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(*appliedRequest))
	}
	return all
}
