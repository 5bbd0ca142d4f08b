// Package budget decides who may use the memory and the connections of a process, and
// whose connection is closed first when they are short.
//
// While there is room, nothing is closed, however slow a client is. When a reservation
// does not fit, the connections that make the least progress give way. Progress is
// measured in bytes per second over a window, and only while it is the client's turn:
// a request that waits for an upstream is never closed. If all clients make progress,
// the newcomer is refused.
package budget

import (
	"net/netip"
	"time"

	"corianderwing"
)

// Class is a kind of work with a reserve of its own.
type Class uint8

// Classes of work.
const (
	Callers Class = iota // requests that are forwarded to upstreams
	Control              // announcements of upstreams, and calls of operators
	Lookups              // callers that look up entry instances
	Status               // readiness checks and metrics
	NumClasses
)

// String returns the name of the class in logs and counters.
func (c Class) String() string {
	return [...]string{"callers", "control", "lookups", "status", ""}[min(c, NumClasses)]
}

const (
	// ConnCost is the memory of a connection and of a request with a short head and
	// no body: the stacks of its goroutines and the buffers of the HTTP server.
	ConnCost corianderwing.Bytes = 24 << 10
	// FieldCost is the memory of a header field besides its bytes.
	FieldCost corianderwing.Bytes = 160
	// DefaultMemory is assumed for a machine whose memory is not in the settings.
	DefaultMemory corianderwing.Bytes = 2 << 30

	// Window is the time over which progress is measured.
	Window = time.Second
	// minWindows is the number of windows after which progress is judged. In a single
	// one, a client that sends a packet in a second may send none.
	minWindows = 2
	// MinProgress is the progress per second below which a connection may be closed
	// in favor of another one. The slowest mobile links carry more.
	MinProgress corianderwing.BytesPerSecond = 1 << 10

	// baseMemory is the memory of a process without clients: its program and a small
	// state.
	baseMemory corianderwing.Bytes = 24 << 20
	// MinMemory is the smallest memory with which a process can serve.
	MinMemory = baseMemory + 8<<20
	// runtimeFraction is the part of the memory beyond baseMemory at which the garbage
	// collector works harder.
	runtimeFraction = 0.7
	// poolFraction is the part of the memory beyond baseMemory that connections may use.
	// The rest is for a larger state and garbage.
	poolFraction = 0.5
	// heldFraction is the part of the pool that heads, bodies and responses may use.
	// The rest is for further connections with short requests.
	heldFraction = 0.5
	// spareFraction is the part of Held up to which spare reservations are granted.
	spareFraction = 0.25
	// addrFraction is the part of the pool beyond which the connections of one address
	// give way to those of others, also if they make progress.
	addrFraction = 0.5
	// fileFraction is the part of the descriptors that accepted connections may use.
	// The rest is for upstreams, other instances and files.
	fileFraction = 0.75
	// rescanInterval bounds how often the connections are searched in vain.
	rescanInterval = 20 * time.Millisecond
)

// Limits are the limits of a pool.
type Limits struct {
	Memory corianderwing.Bytes // of connections and all they hold
	Held   corianderwing.Bytes // part of Memory for heads, bodies and responses
	Conns  corianderwing.Conns
}

// LimitsOf derives the limits of a process from the memory of its machine and the
// number of its descriptors; 0 if unknown.
func LimitsOf(memory corianderwing.Bytes, files int) Limits {
	if memory <= 0 {
		memory = DefaultMemory
	}
	memory = max(memory, MinMemory)
	l := Limits{Memory: corianderwing.Bytes(float64(memory-baseMemory) * poolFraction)}
	l.Held = corianderwing.Bytes(float64(l.Memory) * heldFraction)
	l.Conns = corianderwing.Conns(l.Memory / ConnCost)
	if files > 0 {
		l.Conns = min(l.Conns, corianderwing.Conns(float64(files)*fileFraction))
	}
	return l
}

// RuntimeLimit returns the memory limit of the Go runtime for a machine with the given
// memory. The runtime does not count the program itself, and allocates beyond its limit
// while it collects.
func RuntimeLimit(memory corianderwing.Bytes) corianderwing.Bytes {
	memory = max(memory, MinMemory)
	return corianderwing.Bytes(float64(memory-baseMemory)*runtimeFraction) + baseMemory/4
}

// shares are the reserves of the classes as fractions of each limit.
var shares = [NumClasses]float64{Control: 0.25, Lookups: 0.125, Status: 0.03125}

// Pool accounts for the connections of a process. It is not safe for concurrent use,
// except for the methods of Account that say so.
type Pool struct {
	limits   Limits
	memory   ledger
	held     ledger
	conns    ledger
	accounts []*Account
	byAddr   map[netip.Addr]int64     // memory by address, in bytes
	rescanAt [NumClasses][2]time.Time // by class and whether the address exceeds its share
}

// New returns a pool. Only the given classes get a reserve.
func New(l Limits, classes ...Class) *Pool {
	var reserved [NumClasses]float64
	for _, c := range classes {
		reserved[c] = shares[c]
	}
	return &Pool{
		limits: l,
		memory: newLedger(int64(l.Memory), reserved),
		held:   newLedger(int64(l.Held), reserved),
		conns:  newLedger(int64(l.Conns), reserved),
		byAddr: map[netip.Addr]int64{},
	}
}

// Usage is what the connections of a pool use.
type Usage struct {
	Memory corianderwing.Bytes
	Held   corianderwing.Bytes
	Conns  corianderwing.Conns
}

// Usage returns what is in use.
func (p *Pool) Usage() Usage {
	return Usage{
		Memory: corianderwing.Bytes(p.memory.total()),
		Held:   corianderwing.Bytes(p.held.total()),
		Conns:  corianderwing.Conns(p.conns.total()),
	}
}

// need is what a connection asks for.
type need struct {
	class Class
	addr  netip.Addr
	conns int64
	held  int64 // in bytes
	self  *Account
}

func (n need) memory() int64 { return n.conns*int64(ConnCost) + n.held }

// fits reports whether the need can be met.
func (p *Pool) fits(n need) bool {
	return p.memory.fits(n.class, n.memory()) && p.held.fits(n.class, n.held) && p.conns.fits(n.class, n.conns)
}

// Open admits a connection. If it does not fit, Open returns the accounts of
// connections that the caller must close, or false if the newcomer must be refused.
func (p *Pool) Open(c Class, addr netip.Addr, now time.Time) (a *Account, victims []*Account, ok bool) {
	n := need{class: c, addr: addr, conns: 1}
	victims, ok = p.makeRoom(n, now)
	if !ok {
		return nil, victims, false
	}
	a = &Account{class: c, addr: addr, phaseAt: now, markAt: now, index: len(p.accounts)}
	p.accounts = append(p.accounts, a)
	p.add(n, 1)
	return a, victims, true
}

// Reserve adds n to what the connection holds. If it does not fit, Reserve returns the
// accounts of connections that the caller must close, or false if the reservation must
// be refused.
func (p *Pool) Reserve(a *Account, n corianderwing.Bytes, now time.Time) (victims []*Account, ok bool) {
	if a.closed {
		return nil, false
	}
	q := need{class: a.class, addr: a.addr, held: int64(n), self: a}
	if victims, ok = p.makeRoom(q, now); ok {
		a.held += n
		p.add(q, 1)
	}
	return victims, ok
}

// ReserveSpare adds n to what the connection holds, for something that it can do without.
// It closes nothing, and leaves most of the room to others.
func (p *Pool) ReserveSpare(a *Account, n corianderwing.Bytes) bool {
	q := need{class: a.class, addr: a.addr, held: int64(n), self: a}
	room := int64(float64(p.limits.Held)*spareFraction) - p.held.total()
	if a.closed || int64(n) > room || !p.fits(q) {
		return false
	}
	a.held += n
	p.add(q, 1)
	return true
}

// Release takes n off what the connection holds, and at most all of it.
func (p *Pool) Release(a *Account, n corianderwing.Bytes) {
	if a.closed {
		return
	}
	n = min(n, a.held)
	a.held -= n
	p.add(need{class: a.class, addr: a.addr, held: int64(n)}, -1)
}

// Close releases all that the connection uses. Later calls do nothing.
func (p *Pool) Close(a *Account) {
	if a.closed {
		return
	}
	a.closed = true
	p.add(need{class: a.class, addr: a.addr, conns: 1, held: int64(a.held)}, -1)
	a.held = 0
	last := p.accounts[len(p.accounts)-1]
	p.accounts[a.index] = last
	last.index = a.index
	p.accounts[len(p.accounts)-1] = nil
	p.accounts = p.accounts[:len(p.accounts)-1]
}

// add books a need, or its release if sign is negative.
func (p *Pool) add(n need, sign int64) {
	p.memory.used[n.class] += sign * n.memory()
	p.held.used[n.class] += sign * n.held
	p.conns.used[n.class] += sign * n.conns
	p.byAddr[n.addr] += sign * n.memory()
	if p.byAddr[n.addr] == 0 {
		delete(p.byAddr, n.addr)
	}
}
