package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"corianderwing"
)

const (
	pool            = "goods"
	upstreamVersion = "v1"
	workSlots       = 4
	// Work takes between workLeast and workMost.
	workLeast = 15 * time.Millisecond
	workMost  = 90 * time.Millisecond
	// Parts of the requests that an upstream declines, answers with an error,
	// or breaks off midway.
	declinePart = 0.01
	errorPart   = 0.01
	breakPart   = 0.005
	// pushbackPart is the part of the declined requests with which an upstream asks
	// for no others for pushbackTime.
	pushbackPart = 0.5
	pushbackTime = 2 * time.Second
	// leavePart is the part of the planned drains in which an upstream only calls to
	// leave.
	leavePart = 0.5
	// announceLead is how long an upstream says in its answers that it leaves
	// before it announces it to a control process.
	announceLead = drainBound + 1500*time.Millisecond
	// orderTime bounds an order to a control process.
	orderTime = time.Second
)

// Content returns the body with which every upstream answers a request.
func Content(id corianderwing.RequestID) string {
	h := fnv.New32a()
	h.Write([]byte(id))
	n := int(h.Sum32() % 20000)
	return fmt.Sprintf("%s %d %s", id, n, strings.Repeat(string(rune('a'+n%26)), n))
}

// Upstream is a stand-in upstream. Its address goes through the Proxy.
type Upstream struct {
	ID     corianderwing.UpstreamID
	Domain corianderwing.DomainID

	claim
	run    *run
	face   string
	bind   string
	mu     sync.Mutex
	rng    *rand.Rand
	server *http.Server
	born   corianderwing.Incarnation
	seq    uint64
	phase  corianderwing.Phase
	busy   map[corianderwing.RequestID]bool // requests in progress
	slots  chan struct{}
	slow   time.Duration // added to the work

	leaving bool // says in its answers that it leaves
}

// start serves, as a new life.
func (u *Upstream) start() error {
	l, err := net.Listen("tcp", u.bind)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.born = corianderwing.Incarnation(time.Now().UnixMilli())
	u.phase = corianderwing.Ready
	u.leaving = false
	u.run.ledger.Restarted(u.ID, "")
	u.slots = make(chan struct{}, workSlots)
	u.busy = map[corianderwing.RequestID]bool{}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve)}
	go u.server.Serve(l)
	return nil
}

// crash ends all connections.
func (u *Upstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.phase = ""
	for id := range u.busy {
		u.run.ledger.Broke(id)
	}
	if u.server != nil {
		u.server.Close()
	}
}

// beats announces the upstream until ctx ends.
func (u *Upstream) beats(ctx context.Context) {
	tick := time.NewTicker(beatEvery)
	defer tick.Stop()
	for {
		u.beat(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// beat announces the upstream once, and reports whether that was confirmed.
func (u *Upstream) beat(ctx context.Context) bool {
	u.mu.Lock()
	u.seq++
	h := corianderwing.Heartbeat{Upstream: corianderwing.Upstream{
		ID: u.ID, Incarnation: u.born, Seq: u.seq, Pool: pool, Version: upstreamVersion,
		Domain: u.Domain, Addr: u.face, Slots: workSlots, Phase: u.phase,
	}}
	u.mu.Unlock()
	if h.Phase == "" {
		return false
	}
	return u.run.order(ctx, func(ctx context.Context, addr string) error { return u.run.cfg.Wire.Beat(ctx, addr, h) }) == nil
}

// leave tells the system that the upstream leaves, and ends its heartbeats. It reports
// whether that was confirmed.
func (u *Upstream) leave(ctx context.Context) bool {
	u.setPhase("")
	return u.run.order(ctx, func(ctx context.Context, addr string) error { return u.run.cfg.Wire.Leave(ctx, addr, u.ID, 0) }) == nil
}

func (u *Upstream) setPhase(p corianderwing.Phase) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.phase = p
}

// announceLeaving makes the upstream say in its answers that it leaves.
func (u *Upstream) announceLeaving() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

func (u *Upstream) isLeaving() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.leaving
}

func (u *Upstream) setSlow(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slow = d
}

func (u *Upstream) chance(p float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rng.Float64() < p
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	wire, ledger := u.run.cfg.Wire, u.run.ledger
	a, err := wire.Arrival(r)
	if err != nil {
		return // the sender left before the whole request had come
	}
	mine := a.Expected == u.ID
	if mine && u.isLeaving() {
		wire.AnnounceLeaving(w.Header())
	}
	if !mine || u.chance(declinePart) {
		u.decline(w, a, mine)
		return
	}
	ledger.Arrived(a, u.ID, u.Domain, true, time.Now())
	u.mu.Lock()
	u.busy[a.ID] = true
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.busy, a.ID)
	}()
	u.slots <- struct{}{}
	defer func() { <-u.slots }()
	u.mu.Lock()
	running := len(u.busy)
	work := workLeast + time.Duration(u.rng.Int64N(int64(workMost-workLeast))) + u.slow
	u.mu.Unlock()
	time.Sleep(work)
	wire.Answer(w.Header(), a, running, workSlots)
	if u.chance(errorPart) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	body := Content(a.ID)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if u.chance(breakPart) {
		ledger.Broke(a.ID)
		w.Write([]byte(body[:len(body)/2]))
		panic(http.ErrAbortHandler)
	}
	w.Write([]byte(body))
}

// decline answers a request without running it.
func (u *Upstream) decline(w http.ResponseWriter, a Arrival, mine bool) {
	wire, ledger := u.run.cfg.Wire, u.run.ledger
	if mine {
		ledger.Arrived(a, u.ID, u.Domain, false, time.Now())
	}
	pushBack := mine && u.chance(pushbackPart)
	if pushBack {
		wire.PushBack(w.Header(), pushbackTime)
	}
	wire.Decline(w, a, mine)
	if pushBack {
		ledger.PushedBack(a.ID, u.ID, time.Now(), pushbackTime)
	}
}
