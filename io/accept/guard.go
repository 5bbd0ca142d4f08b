package accept

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/budget"
	"corianderwing/io/meter"
)

// Guard owns the budget of a process: it admits the connections of all its listeners,
// charges what they hold, and closes those that give way.
type Guard struct {
	log   *log.Logger
	meter *meter.Meter
	stop  chan struct{}
	done  chan struct{}

	limits   budget.Limits
	loggedAt [numOutcomes]atomic.Int64 // in ns

	mu    sync.Mutex
	pool  *budget.Pool
	conns map[*budget.Account]*conn
}

// NewGuard returns a guard that runs until Close.
func NewGuard(l budget.Limits, lg *log.Logger, m *meter.Meter, classes ...budget.Class) *Guard {
	g := &Guard{
		log:    lg,
		meter:  m,
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
		limits: l,
		pool:   budget.New(l, classes...),
		conns:  map[*budget.Account]*conn{},
	}
	go g.run()
	return g
}

// run measures the progress of the connections.
func (g *Guard) run() {
	defer close(g.done)
	tick := time.NewTicker(budget.Window)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			g.mu.Lock()
			g.pool.Sample(now)
			g.mu.Unlock()
		case <-g.stop:
			return
		}
	}
}

// Close ends the measurements. It closes no connection.
func (g *Guard) Close() {
	close(g.stop)
	<-g.done
}

// Usage returns what the connections use.
func (g *Guard) Usage() budget.Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Usage()
}

// Wrap returns a listener whose connections read ahead and are charged to a class.
func (g *Guard) Wrap(l net.Listener, c budget.Class) *Listener {
	return &Listener{Listener: l, guard: g, class: c}
}

// open admits a connection, or returns nil.
func (g *Guard) open(nc net.Conn, class budget.Class) *conn {
	addr := addrOf(nc)
	g.mu.Lock()
	a, victims, ok := g.pool.Open(class, addr, time.Now())
	var c *conn
	if ok {
		c = newConn(nc)
		c.guard, c.account = g, a
		g.conns[a] = c
	}
	closing := g.take(victims)
	g.mu.Unlock()
	g.evict(closing)
	if !ok {
		g.report(refusedConn, class, addr)
	}
	return c
}

// reserve adds n to what c holds, if need be at the expense of other connections.
func (g *Guard) reserve(c *conn, n corianderwing.Bytes) bool {
	g.mu.Lock()
	victims, ok := g.pool.Reserve(c.account, n, time.Now())
	closing := g.take(victims)
	g.mu.Unlock()
	g.evict(closing)
	return ok
}

// reserveSpare adds n to what c holds, if there is room.
func (g *Guard) reserveSpare(c *conn, n corianderwing.Bytes) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.ReserveSpare(c.account, n)
}

func (g *Guard) release(c *conn, n corianderwing.Bytes) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Release(c.account, n)
}

func (g *Guard) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Close(c.account)
	delete(g.conns, c.account)
}

// take returns the connections of accounts. The caller must hold g.mu.
func (g *Guard) take(accounts []*budget.Account) (list []*conn) {
	for _, a := range accounts {
		if c := g.conns[a]; c != nil {
			list = append(list, c)
		}
	}
	return list
}

// evict closes connections that give way to others.
func (g *Guard) evict(list []*conn) {
	for _, c := range list {
		c.reset()
		g.report(closedConn, c.account.Class(), c.account.Addr())
	}
}

// outcome is what happened to a client when a limit was reached.
type outcome int

const (
	closedConn     outcome = iota // closed in favor of another one
	refusedConn                   // closed when it was opened
	refusedRequest                // closed or refused because what it sent did not fit
	numOutcomes
)

var counters = [numOutcomes]string{"clients.closed", "clients.refused", "clients.short"}

// logInterval is the minimum interval of the log lines of each outcome.
const logInterval = 10 * time.Second

// report counts an outcome and logs it, at most once in logInterval.
func (g *Guard) report(o outcome, class budget.Class, addr netip.Addr) {
	counter := g.meter.Counter(counters[o] + "." + class.String())
	counter.Inc(1)
	now, last := time.Now().UnixNano(), g.loggedAt[o].Load()
	if now-last < int64(logInterval) || !g.loggedAt[o].CompareAndSwap(last, now) {
		return
	}
	u := g.Usage()
	g.log.Warn().Str("what", counters[o]).Str("class", class.String()).Str("client", addr.String()).Int64("count", counter.Count()).
		Int64("memory", int64(u.Memory)).Int64("memory_limit", int64(g.limits.Memory)).
		Int64("held", int64(u.Held)).Int64("held_limit", int64(g.limits.Held)).
		Int("conns", int(u.Conns)).Int("conns_limit", int(g.limits.Conns)).
		Msg("a limit on clients is reached")
}

// addrOf returns the IP address of the client.
func addrOf(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}
