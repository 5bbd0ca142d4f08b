// Package queue decides which waiting request gets the next free slot of a
// pool. Urgent requests go first, then normal, then bulk. Within a class,
// workspaces are served round-robin, so that a workspace with a long backlog
// does not delay the others. The package reads no clock and starts no
// goroutine.
package queue

import (
	"time"

	"corianderwing"
)

// Config bounds a Queue. Zero fields get defaults.
type Config struct {
	// MaxWaiting is the maximum number of waiting requests. The default is 1024.
	MaxWaiting int
	// MaxPerWorkspace is the maximum number of waiting requests of one
	// workspace. The default is half of MaxWaiting.
	MaxPerWorkspace int
}

// Item is a request that waits for a slot.
type Item struct {
	ID           uint64
	Workspace    corianderwing.WorkspaceID
	Class        corianderwing.Class
	Deadline     time.Time // deadline of the whole request
	WaitDeadline time.Time // latest time to start
}

// Kind is the kind of an Event.
type Kind uint8

// The kinds of events.
const (
	Arrive     Kind = iota // Item joins the queue
	Cancel                 // the request with Item.ID no longer waits
	SlotsFreed             // FreeSlots slots can be assigned
	Finish                 // a request has held its slot for HoldTime
	Tick                   // time has passed
)

// Event is an input of the queue. Only the fields of its Kind are set. It is a
// plain struct so that passing one does not allocate.
type Event struct {
	Kind      Kind
	Item      Item
	FreeSlots int
	PoolSlots int // with Arrive: slots of the pool, to estimate the wait
	HoldTime  time.Duration
}

// Effect tells the caller to start a request, if Code is OK, or to reject it.
type Effect struct {
	ID   uint64
	Code corianderwing.Code
}

// Queue holds the waiting requests of one pool. It is not safe for concurrent
// use.
type Queue struct {
	cfg      Config
	classes  [3]classQueue
	waiting  map[corianderwing.WorkspaceID]int
	entries  map[uint64]*entry
	meanHold float64 // moving average of the time a request holds its slot, in seconds
	effects  []Effect
}

// classQueue holds the requests of one class. The workspaces with a backlog
// are in round-robin order: one that is new or was just served goes to the
// end.
type classQueue struct {
	flows      map[corianderwing.WorkspaceID]*flow
	roundRobin []*flow
	size       int
}

type flow struct {
	workspace corianderwing.WorkspaceID
	items     []*entry
}

type entry struct {
	Item
	classIndex int
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	if cfg.MaxWaiting <= 0 {
		cfg.MaxWaiting = 1024
	}
	if cfg.MaxPerWorkspace <= 0 {
		cfg.MaxPerWorkspace = max(1, cfg.MaxWaiting/2)
	}
	q := &Queue{
		cfg:     cfg,
		waiting: make(map[corianderwing.WorkspaceID]int),
		entries: make(map[uint64]*entry),
	}
	for i := range q.classes {
		q.classes[i].flows = make(map[corianderwing.WorkspaceID]*flow)
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.entries) }

// Waiting returns the number of waiting requests of a workspace.
func (q *Queue) Waiting(w corianderwing.WorkspaceID) int { return q.waiting[w] }

// Update applies an event and returns the resulting effects. The returned
// slice is valid until the next call.
func (q *Queue) Update(e Event, now time.Time) []Effect {
	q.effects = q.effects[:0]
	switch e.Kind {
	case Arrive:
		q.arrive(e.Item, e.PoolSlots, now)
	case Cancel:
		if n, ok := q.entries[e.Item.ID]; ok {
			q.remove(n)
		}
	case SlotsFreed:
		q.dispatch(e.FreeSlots, now)
	case Finish:
		q.observeHoldTime(e.HoldTime)
	case Tick:
		q.expire(now)
	}
	return q.effects
}

func (q *Queue) arrive(it Item, slots int, now time.Time) {
	if !now.Before(it.Deadline) || q.missesDeadline(it, slots, now) {
		q.reject(it.ID, corianderwing.DeadlineUnreachable)
		return
	}
	if q.waiting[it.Workspace] >= q.cfg.MaxPerWorkspace {
		q.reject(it.ID, corianderwing.QueueFull)
		return
	}
	if len(q.entries) >= q.cfg.MaxWaiting && !q.evict(it) {
		q.reject(it.ID, corianderwing.QueueFull)
		return
	}
	q.push(it)
}

// missesDeadline reports whether the expected wait alone exceeds the deadline.
// The time in the slot is not counted: a request that takes less than the mean
// would otherwise be rejected needlessly. If no request is ahead, the result is false,
// so that some requests always run and keep the estimate up to date.
func (q *Queue) missesDeadline(it Item, slots int, now time.Time) bool {
	ahead := q.countAhead(it)
	if ahead == 0 || slots <= 0 || q.meanHold == 0 {
		return false
	}
	wait := float64(ahead) * q.meanHold / float64(slots)
	return now.Add(time.Duration(wait * float64(time.Second))).After(it.Deadline)
}

// countAhead counts the waiting requests that would start before it.
func (q *Queue) countAhead(it Item) int {
	l := classIndex(it.Class)
	n := 0
	for i := 0; i < l; i++ {
		n += q.classes[i].size
	}
	own := 0
	if f, ok := q.classes[l].flows[it.Workspace]; ok {
		own = len(f.items)
	}
	for _, f := range q.classes[l].roundRobin {
		n += min(len(f.items), own+1)
	}
	return n
}

// evict makes room in a full queue. It rejects the newest request of the least
// urgent class of the workspace with the most waiting requests, if that
// workspace has more than the workspace of the arriving request would have. It
// reports whether a request was evicted.
func (q *Queue) evict(it Item) bool {
	var worst corianderwing.WorkspaceID
	most := q.waiting[it.Workspace] + 1
	for w, n := range q.waiting {
		if n > most || n == most && worst != "" && w < worst {
			worst, most = w, n
		}
	}
	if worst == "" {
		return false
	}
	for l := len(q.classes) - 1; l >= 0; l-- {
		f, ok := q.classes[l].flows[worst]
		if !ok {
			continue
		}
		n := f.items[len(f.items)-1]
		q.remove(n)
		q.reject(n.ID, corianderwing.QueueFull)
		return true
	}
	return false
}

// dispatch assigns free slots to waiting requests.
func (q *Queue) dispatch(free int, now time.Time) {
	for free > 0 {
		n := q.next()
		if n == nil {
			return
		}
		q.remove(n)
		if code := rejectionCode(n.Item, now); code != corianderwing.OK {
			q.reject(n.ID, code)
			continue
		}
		q.effects = append(q.effects, Effect{ID: n.ID, Code: corianderwing.OK})
		free--
	}
}

// next returns the request to serve next and advances the round-robin order.
func (q *Queue) next() *entry {
	for i := range q.classes {
		l := &q.classes[i]
		if len(l.roundRobin) == 0 {
			continue
		}
		f := l.roundRobin[0]
		copy(l.roundRobin, l.roundRobin[1:])
		l.roundRobin[len(l.roundRobin)-1] = f
		return f.items[0]
	}
	return nil
}

// rejectionCode returns why a request must no longer start, or OK.
func rejectionCode(it Item, now time.Time) corianderwing.Code {
	switch {
	case !now.Before(it.Deadline):
		return corianderwing.DeadlineUnreachable
	case !now.Before(it.WaitDeadline):
		return corianderwing.NoCapacity
	}
	return corianderwing.OK
}

func (q *Queue) expire(now time.Time) {
	for i := range q.classes {
		for _, f := range q.classes[i].roundRobin {
			for _, n := range f.items {
				if code := rejectionCode(n.Item, now); code != corianderwing.OK {
					q.reject(n.ID, code)
				}
			}
		}
	}
	for _, e := range q.effects {
		q.remove(q.entries[e.ID])
	}
}

// observeHoldTime updates the moving average of the hold time, over about 16
// requests.
func (q *Queue) observeHoldTime(took time.Duration) {
	s := took.Seconds()
	if q.meanHold == 0 {
		q.meanHold = s
		return
	}
	q.meanHold += (s - q.meanHold) / 16
}

func (q *Queue) reject(id uint64, c corianderwing.Code) {
	q.effects = append(q.effects, Effect{ID: id, Code: c})
}

func (q *Queue) push(it Item) {
	i := classIndex(it.Class)
	l := &q.classes[i]
	f, ok := l.flows[it.Workspace]
	if !ok {
		f = &flow{workspace: it.Workspace}
		l.flows[it.Workspace] = f
		l.roundRobin = append(l.roundRobin, f)
	}
	n := &entry{Item: it, classIndex: i}
	f.items = append(f.items, n)
	l.size++
	q.entries[it.ID] = n
	q.waiting[it.Workspace]++
}

func (q *Queue) remove(n *entry) {
	l := &q.classes[n.classIndex]
	f := l.flows[n.Workspace]
	for i, x := range f.items {
		if x == n {
			f.items = append(f.items[:i], f.items[i+1:]...)
			break
		}
	}
	l.size--
	if len(f.items) == 0 {
		l.removeFlow(f)
	}
	delete(q.entries, n.ID)
	q.waiting[n.Workspace]--
	if q.waiting[n.Workspace] == 0 {
		delete(q.waiting, n.Workspace)
	}
}

// removeFlow removes a workspace without a backlog.
func (l *classQueue) removeFlow(f *flow) {
	delete(l.flows, f.workspace)
	for i, x := range l.roundRobin {
		if x == f {
			l.roundRobin = append(l.roundRobin[:i], l.roundRobin[i+1:]...)
			return
		}
	}
}

func classIndex(c corianderwing.Class) int {
	switch c {
	case corianderwing.Urgent:
		return 0
	case corianderwing.Bulk:
		return 2
	}
	return 1
}

// MeanHoldTime returns the moving average of the time a request holds its
// slot, or 0 if none has finished yet.
func (q *Queue) MeanHoldTime() time.Duration {
	return time.Duration(q.meanHold * float64(time.Second))
}
