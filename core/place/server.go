package place

import (
	"cmp"
	"container/list"
	"math"
	"slices"
	"time"

	"corianderwing/core/model"
)

const (
	// fadeTime is the time in which the told load of others fades to a third:
	// about as long as a request takes.
	fadeTime = 400 * time.Millisecond
	// firstEject is how long an upstream gets no request after it failed, and
	// mostEject the longest after it failed again and again.
	firstEject = 250 * time.Millisecond
	mostEject  = 4 * time.Second
	// firstKeep is the number of objects that an upstream is thought to remember
	// until its answers tell, and leastKeep and mostKeep bound that number.
	firstKeep = 32.0
	leastKeep = 4.0
	mostKeep  = 256
	// leastSlow and mostSlow bound the measured slowness of an upstream, in units
	// of the usual time.
	leastSlow = 0.5
	mostSlow  = 20.0
	// coldBurst is the number of requests that a starting upstream may get at
	// once.
	coldBurst = 2.0
)

// server is what a Pool knows of an upstream.
type server struct {
	up     *model.Upstream
	open   bool // announced
	ready  bool // may get requests
	remote bool // in another failure domain: its slots are borrowed
	room   int  // slots for this Pool
	lent   int  // slots of it that others use
	busy   int  // requests of this Pool in flight

	foreign float64 // requests of others beyond the lent slots, as of told
	told    time.Time
	until   time.Time // gets no request before
	streak  int       // failures in a row
	broken  int       // broken connections in a row
	objects *list.List
	index   map[uint64]*list.Element // of objects, the latest at the front
	tokens  float64                  // requests that it may get while it starts
	filled  time.Time
	faults  float64 // recent part of answers that were errors or refusals, 0 to 1
	slow    float64 // recent time of answers in units of the usual one
}

func newServer(u *model.Upstream) *server {
	return &server{up: u, objects: list.New(), index: map[uint64]*list.Element{}, tokens: coldBurst, slow: 1}
}

func sortServers(list []*server) {
	slices.SortFunc(list, func(a, b *server) int { return cmp.Compare(a.up.ID, b.up.ID) })
}

// usable reports whether the upstream may get a request, if it has room.
func (s *server) usable(now time.Time) bool { return s.open && s.ready && !now.Before(s.until) }

// isCold reports whether the upstream still starts.
func (s *server) isCold(now time.Time) bool { return now.Before(s.up.Cold) }

// isNew reports whether the upstream has joined and had no request yet. It gets
// the first one for which it is first in order, although others know the object:
// else it would stay idle while they have room.
func (s *server) isNew(now time.Time) bool {
	return !s.remote && s.objects.Len() == 0 && !s.isCold(now)
}

// others returns how many requests of others the upstream is thought to have
// beyond the slots that were lent to them.
func (s *server) others(now time.Time) float64 {
	if s.foreign == 0 {
		return 0
	}
	return s.foreign * math.Exp(-float64(now.Sub(s.told))/float64(fadeTime))
}

// report takes the load over that the upstream told with an answer, after the
// answered request had given its slot back.
func (s *server) report(r LoadReport, now time.Time) {
	if !r.Valid {
		return
	}
	s.foreign = max(0, float64(r.Running+r.Waiting-s.busy-s.lent))
	s.told = now
}

// knows reports whether the upstream is thought to remember an object, if it
// remembers the given number of them, and how many came after it: -1 if it has
// had no request for it.
func (s *server) knows(object uint64, keep float64) (bool, int) {
	e, ok := s.index[object]
	if !ok || object == 0 {
		return false, -1
	}
	depth := 0
	for x := s.objects.Front(); x != e; x = x.Next() {
		depth++
	}
	return float64(depth) < keep, depth
}

// touch notes that the upstream gets a request for an object.
func (s *server) touch(object uint64) {
	if object == 0 {
		return
	}
	if e, ok := s.index[object]; ok {
		s.objects.MoveToFront(e)
		return
	}
	s.index[object] = s.objects.PushFront(object)
	if s.objects.Len() > mostKeep {
		oldest := s.objects.Back()
		delete(s.index, s.objects.Remove(oldest).(uint64))
	}
}

// forget notes that the upstream turned out not to know an object.
func (s *server) forget(object uint64) {
	if e, ok := s.index[object]; ok {
		s.objects.Remove(e)
		delete(s.index, object)
	}
}

// fill adds the tokens that a starting upstream gained.
func (s *server) fill(rate float64, now time.Time) {
	if s.filled.IsZero() {
		s.filled = now
	}
	s.tokens = min(coldBurst, s.tokens+rate*now.Sub(s.filled).Seconds())
	s.filled = now
}

// failed ejects the upstream, for longer each time.
func (s *server) failed(now time.Time) {
	d := min(firstEject<<min(s.streak, 8), mostEject)
	s.streak++
	s.until = now.Add(d)
}

// broke notes a broken connection. One may be the fault of the way; several in a
// row mean that the upstream is gone.
func (s *server) broke(now time.Time) {
	s.broken++
	if s.broken >= brokenMost || s.streak > 0 {
		s.failed(now)
	}
}

// brokenMost is the number of broken connections in a row that eject an
// upstream.
const brokenMost = 2

// free returns how many more requests the upstream can take now.
func (p *Pool) free(s *server, now time.Time) float64 {
	room := float64(s.room)
	if s.remote {
		// A borrowed slot is idle while answer and next request are on their way.
		room = math.Ceil(room * p.stretch(s))
	}
	if p.cfg.Allocators > 1 && !s.remote && s.told.IsZero() {
		room = math.Ceil(room / float64(p.cfg.Allocators))
	}
	if s.streak > 0 {
		room = min(room, 1) // one request shows whether it works again
	}
	if s.isCold(now) {
		// Many that decide alone would start it with one request each at once.
		if s.remote || p.cfg.Allocators > 1 {
			return 0
		}
		s.fill(p.set.ColdRate, now)
		room = min(room, float64(s.busy)+math.Floor(s.tokens))
	}
	return room - float64(s.busy) - math.Floor(s.others(now)+0.5)
}

// stretch returns how many requests must be in flight for one borrowed slot.
func (p *Pool) stretch(s *server) float64 {
	usual := p.usual()
	if usual <= 0 {
		return 1
	}
	return 1 + p.delay(s).Seconds()/usual
}

// weight returns the upstream's part of the objects. One that fails or is slow
// gets fewer; small differences count for nothing, because an object that moves
// is unknown at its new place.
func (s *server) weight(usualSlow float64) float64 {
	w := float64(s.room)
	if s.faults > 0.1 {
		w *= (1 - s.faults) * (1 - s.faults)
	}
	if s.slow > slowFrom*usualSlow {
		w *= usualSlow / s.slow
	}
	return w
}
