package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"corianderwing"
	"corianderwing/core/model"
)

const (
	// fadeTime is the time in which the reported load of others fades to a
	// third: requests take about that long.
	fadeTime = 400 * time.Millisecond
	// firstEject is how long an upstream gets no request after it failed, and
	// mostEject the longest after it failed again and again.
	firstEject = 300 * time.Millisecond
	mostEject  = 5 * time.Second
	// mostKept is the number of objects of an upstream that are remembered.
	mostKept = 256
	// coldBurst is the number of requests that a cold upstream may get at once
	// from one entry instance.
	coldBurst = 1.0
)

// server is what this entry instance knows of an upstream.
type server struct {
	up   *model.Upstream
	open bool
	own  int // requests of this entry instance in flight

	foreign  float64 // requests of others, as of told
	told     time.Time
	until    time.Time // gets no request before
	streak   int       // failures in a row
	objects  map[uint64]time.Time
	tokens   float64 // requests that it may get while it is cold
	filled   time.Time
	faults   float64 // recent part of answers that were errors, 0 to 1
	slowness float64 // recent time of answers in units of the usual, 1 is usual
}

func newServer(u *model.Upstream) *server {
	return &server{up: u, objects: map[uint64]time.Time{}, tokens: coldBurst, slowness: 1}
}

func sortServers(list []*server) {
	slices.SortFunc(list, func(a, b *server) int { return cmp.Compare(a.up.ID, b.up.ID) })
}

// load returns how many requests the upstream is thought to have.
func (s *server) load(now time.Time) float64 {
	fade := math.Exp(-float64(now.Sub(s.told)) / float64(fadeTime))
	return float64(s.own) + s.foreign*fade
}

// report takes the load over that the upstream told.
func (s *server) report(r Report, now time.Time) {
	if !r.Known {
		return
	}
	s.foreign = max(0, float64(r.Running+r.Waiting-s.own))
	s.told = now
}

// remember notes that the upstream has handled an object.
func (s *server) remember(object uint64, now time.Time) {
	if object == 0 {
		return
	}
	s.objects[object] = now
	if len(s.objects) <= mostKept {
		return
	}
	var oldest uint64
	at := now
	for o, t := range s.objects {
		if !t.After(at) {
			oldest, at = o, t
		}
	}
	delete(s.objects, oldest)
}

func (s *server) knows(object uint64) bool {
	_, ok := s.objects[object]
	return ok
}

// usable reports whether the upstream may get a request.
func (s *server) usable(now time.Time) bool { return s.open && !now.Before(s.until) }

// isCold reports whether the upstream still starts.
func (s *server) isCold(now time.Time) bool { return now.Before(s.up.Cold) }

// fill adds the tokens that a cold upstream gained.
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

// work is how long the requests of a class take, learned from answers.
type work struct {
	warm float64 // seconds
	cold float64
}

// smoothing is the weight of a new observation.
const smoothing = 0.1

func smooth(old, v float64) float64 {
	if old == 0 {
		return v
	}
	return old + (v-old)*smoothing
}

// Work estimates before anything was observed, and the ratio between objects
// that an upstream knows and others.
const (
	firstWork = 0.3
	warmPart  = 0.35
)

func (w *work) of(warm bool) float64 {
	switch {
	case warm && w.warm > 0:
		return w.warm
	case warm && w.cold > 0:
		return w.cold * warmPart
	case w.cold > 0:
		return w.cold
	case w.warm > 0:
		return w.warm / warmPart
	case warm:
		return firstWork * warmPart
	}
	return firstWork
}

func (p *Pool) workOf(class corianderwing.RouteID) *work {
	w, ok := p.work[class]
	if !ok {
		w = &work{}
		p.work[class] = w
	}
	return w
}
