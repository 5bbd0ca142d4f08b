// Package queue decides which waiting request gets the next free slot of a
// pool. Urgent requests go first, then normal, then bulk ones; within a class
// workspaces take turns, so that a workspace with a long backlog does not
// delay the others. The package reads no clock and starts no goroutine.
package queue

import (
	"time"

	"corianderwing"
)

// Config bounds a queue.
type Config struct {
	// MaxWaiting is the largest number of waiting requests. Default 1024.
	MaxWaiting int
	// MaxPerWorkspace is the largest number of waiting requests of one workspace.
	// Default half of Total.
	MaxPerWorkspace int
}

// Item is a request that waits for a slot.
type Item struct {
	ID           uint64
	Workspace    corianderwing.WorkspaceID
	Class        corianderwing.Class
	Deadline     time.Time // of the whole request
	WaitDeadline time.Time // end of the allowed wait
}

// Kind is the kind of an Event.
type Kind uint8

// The kinds of events.
const (
	Arrive     Kind = iota // Item joins the queue
	Cancel                 // the request with Item.ID no longer waits
	SlotsFreed             // Free slots can be given out
	Finish                 // a request held its slot for Took
	Tick                   // time has passed
)

// Event is a change that the queue reacts to. Only the fields of its Kind are
// set. It is a plain struct so that passing one does not allocate.
type Event struct {
	Kind      Kind
	Item      Item
	FreeSlots int
	PoolSlots int // with Arrive: slots of the pool, for the estimate of the wait
	HoldTime  time.Duration
}

// Effect tells the caller to start a request (Code is OK) or to refuse it.
type Effect struct {
	ID   uint64
	Code corianderwing.Code
}

// Queue holds the waiting requests of one pool. It owns them, and is not safe
// for concurrent use.
type Queue struct {
	cfg     Config
	lanes   [3]lane
	waiting map[corianderwing.WorkspaceID]int
	items   map[uint64]*node
	service float64 // smoothed time for which a request holds its slot, in seconds
	out     []Effect
}

// lane holds the requests of one class. The workspaces with a backlog are in
// turn order: one that was served or is new goes to the end.
type lane struct {
	flows map[corianderwing.WorkspaceID]*flow
	turn  []*flow
	size  int
}

type flow struct {
	workspace corianderwing.WorkspaceID
	items     []*node
}

type node struct {
	Item
	lane int
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
		items:   make(map[uint64]*node),
	}
	for i := range q.lanes {
		q.lanes[i].flows = make(map[corianderwing.WorkspaceID]*flow)
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Waiting returns the number of waiting requests of a workspace.
func (q *Queue) Waiting(w corianderwing.WorkspaceID) int { return q.waiting[w] }

// Update applies an event and returns what follows from it. The returned slice
// is valid until the next call.
func (q *Queue) Update(e Event, now time.Time) []Effect {
	q.out = q.out[:0]
	switch e.Kind {
	case Arrive:
		q.arrive(e.Item, e.PoolSlots, now)
	case Cancel:
		if n, ok := q.items[e.Item.ID]; ok {
			q.remove(n)
		}
	case SlotsFreed:
		q.start(e.FreeSlots, now)
	case Finish:
		q.observe(e.HoldTime)
	case Tick:
		q.expire(now)
	}
	return q.out
}

func (q *Queue) arrive(it Item, slots int, now time.Time) {
	if !now.Before(it.Deadline) || q.late(it, slots, now) {
		q.refuse(it.ID, corianderwing.DeadlineUnreachable)
		return
	}
	if q.waiting[it.Workspace] >= q.cfg.MaxPerWorkspace {
		q.refuse(it.ID, corianderwing.QueueFull)
		return
	}
	if len(q.items) >= q.cfg.MaxWaiting && !q.evict(it) {
		q.refuse(it.ID, corianderwing.QueueFull)
		return
	}
	q.push(it)
}

// late reports whether the wait alone would outlast the deadline. The time in
// the slot is left out: a request that needs less than the mean would
// otherwise be refused without need. With nobody ahead the answer is no, so
// some requests always run and keep the estimate up to date.
func (q *Queue) late(it Item, slots int, now time.Time) bool {
	ahead := q.ahead(it)
	if ahead == 0 || slots <= 0 || q.service == 0 {
		return false
	}
	wait := float64(ahead) * q.service / float64(slots)
	return now.Add(time.Duration(wait * float64(time.Second))).After(it.Deadline)
}

// ahead counts the waiting requests that would start before it.
func (q *Queue) ahead(it Item) int {
	l := laneOf(it.Class)
	n := 0
	for i := 0; i < l; i++ {
		n += q.lanes[i].size
	}
	own := 0
	if f, ok := q.lanes[l].flows[it.Workspace]; ok {
		own = len(f.items)
	}
	for _, f := range q.lanes[l].turn {
		n += min(len(f.items), own+1)
	}
	return n
}

// evict makes room in a full queue: the workspace with the most waiting
// requests loses its newest one of the least urgent class, if it has more than
// the arriving one would have.
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
	for l := len(q.lanes) - 1; l >= 0; l-- {
		f, ok := q.lanes[l].flows[worst]
		if !ok {
			continue
		}
		n := f.items[len(f.items)-1]
		q.remove(n)
		q.refuse(n.ID, corianderwing.QueueFull)
		return true
	}
	return false
}

// start gives out free slots.
func (q *Queue) start(free int, now time.Time) {
	for free > 0 {
		n := q.first()
		if n == nil {
			return
		}
		q.remove(n)
		if code := expired(n.Item, now); code != corianderwing.OK {
			q.refuse(n.ID, code)
			continue
		}
		q.out = append(q.out, Effect{ID: n.ID, Code: corianderwing.OK})
		free--
	}
}

// first returns the request whose turn it is, and moves the turn on.
func (q *Queue) first() *node {
	for i := range q.lanes {
		l := &q.lanes[i]
		if len(l.turn) == 0 {
			continue
		}
		f := l.turn[0]
		copy(l.turn, l.turn[1:])
		l.turn[len(l.turn)-1] = f
		return f.items[0]
	}
	return nil
}

// expired returns why a request must not start any more, or OK.
func expired(it Item, now time.Time) corianderwing.Code {
	switch {
	case !now.Before(it.Deadline):
		return corianderwing.DeadlineUnreachable
	case !now.Before(it.WaitDeadline):
		return corianderwing.NoCapacity
	}
	return corianderwing.OK
}

func (q *Queue) expire(now time.Time) {
	for i := range q.lanes {
		for _, f := range q.lanes[i].turn {
			for _, n := range f.items {
				if code := expired(n.Item, now); code != corianderwing.OK {
					q.refuse(n.ID, code)
				}
			}
		}
	}
	for _, e := range q.out {
		q.remove(q.items[e.ID])
	}
}

// observe smooths the time for which requests hold a slot over about 16 of
// them.
func (q *Queue) observe(took time.Duration) {
	s := took.Seconds()
	if q.service == 0 {
		q.service = s
		return
	}
	q.service += (s - q.service) / 16
}

func (q *Queue) refuse(id uint64, c corianderwing.Code) {
	q.out = append(q.out, Effect{ID: id, Code: c})
}

func (q *Queue) push(it Item) {
	i := laneOf(it.Class)
	l := &q.lanes[i]
	f, ok := l.flows[it.Workspace]
	if !ok {
		f = &flow{workspace: it.Workspace}
		l.flows[it.Workspace] = f
		l.turn = append(l.turn, f)
	}
	n := &node{Item: it, lane: i}
	f.items = append(f.items, n)
	l.size++
	q.items[it.ID] = n
	q.waiting[it.Workspace]++
}

func (q *Queue) remove(n *node) {
	l := &q.lanes[n.lane]
	f := l.flows[n.Workspace]
	for i, x := range f.items {
		if x == n {
			f.items = append(f.items[:i], f.items[i+1:]...)
			break
		}
	}
	l.size--
	if len(f.items) == 0 {
		l.drop(f)
	}
	delete(q.items, n.ID)
	q.waiting[n.Workspace]--
	if q.waiting[n.Workspace] == 0 {
		delete(q.waiting, n.Workspace)
	}
}

// drop takes out a workspace without a backlog.
func (l *lane) drop(f *flow) {
	delete(l.flows, f.workspace)
	for i, x := range l.turn {
		if x == f {
			l.turn = append(l.turn[:i], l.turn[i+1:]...)
			return
		}
	}
}

func laneOf(c corianderwing.Class) int {
	switch c {
	case corianderwing.Urgent:
		return 0
	case corianderwing.Bulk:
		return 2
	}
	return 1
}

// MeanHoldTime returns the smoothed time for which a request holds its slot, 0 if
// none has finished yet.
func (q *Queue) MeanHoldTime() time.Duration {
	return time.Duration(q.service * float64(time.Second))
}
