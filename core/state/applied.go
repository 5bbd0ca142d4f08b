package state

import (
	"container/list"
	"time"

	"corianderwing"
)

// Bounds of the tables of applied requests.
const (
	keepApplied = 24 * time.Hour
	maxApplied  = 100_000
)

// record is one applied request with its first result.
type record struct {
	Kind    corianderwing.CommandKind `json:"kind,omitempty"` // of ClaimOrder and ResolveOrder only
	Request corianderwing.RequestID   `json:"request"`
	Print   uint64                    `json:"print"`
	At      time.Time                 `json:"at"`
	Result  corianderwing.Result      `json:"result"`
}

type requestKey struct {
	kind    corianderwing.CommandKind
	request corianderwing.RequestID
}

// applied holds the first results of requests, oldest first. Operators'
// changes and order commands have a table each, so that a burst of orders
// does not push out the results of changes.
type applied struct {
	byKey map[requestKey]*list.Element
	age   *list.List // of *record
	most  int
}

func newApplied(most int) *applied {
	return &applied{byKey: map[requestKey]*list.Element{}, age: list.New(), most: most}
}

// keyOf returns the key of a command. A claim and its settlement may carry the
// same request id, which is that of the caller's request.
func keyOf(c *corianderwing.Command) requestKey {
	if ofOrder(c.Kind) {
		return requestKey{c.Kind, c.Request}
	}
	return requestKey{request: c.Request}
}

func (a *applied) find(c *corianderwing.Command) *record {
	e := a.byKey[keyOf(c)]
	if e == nil {
		return nil
	}
	return e.Value.(*record)
}

func (a *applied) add(r *record) {
	a.byKey[requestKey{r.Kind, r.Request}] = a.age.PushBack(r)
	for a.age.Len() > a.most {
		a.removeOldest()
	}
}

// expire drops results that are older than keepApplied.
func (a *applied) expire(now time.Time) {
	for e := a.age.Front(); e != nil && now.Sub(e.Value.(*record).At) >= keepApplied; e = a.age.Front() {
		a.removeOldest()
	}
}

func (a *applied) removeOldest() {
	e := a.age.Front()
	r := e.Value.(*record)
	delete(a.byKey, requestKey{r.Kind, r.Request})
	a.age.Remove(e)
}

func (a *applied) records() []*record {
	all := make([]*record, 0, a.age.Len())
	for e := a.age.Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(*record))
	}
	return all
}
