package budget

import (
	"net/netip"
	"sync/atomic"
	"time"

	"corianderwing"
)

// Phase is the part of an exchange that a connection is in.
type Phase int32

// Phases of a connection.
const (
	Head Phase = iota // the head of a request is read; also before the first one
	Work              // a request is handled, from its head to the end of its response
	Idle              // between requests
)

// Account is the share of one connection in a pool.
type Account struct {
	class  Class
	addr   netip.Addr
	held   corianderwing.Bytes
	index  int // in Pool.accounts
	closed bool

	phase   atomic.Int32
	phases  atomic.Int64 // number of phases begun
	waiting atomic.Int32 // reads and writes in progress while a request is handled
	moved   atomic.Int64 // bytes read and written

	phaseAt    time.Time // when the phase was first seen
	markAt     time.Time // start of the window
	markMoved  int64     // moved at markAt
	markPhases int64     // phases at markAt
	windows    int       // whole windows within the phase
	last       float64   // progress in the last window, in bytes per second
	rate       float64   // mean of the last two windows
}

// SetPhase begins a phase. It is safe for concurrent use.
func (a *Account) SetPhase(p Phase) {
	if a.phase.Swap(int32(p)) != int32(p) {
		a.phases.Add(1)
	}
}

// Phase returns the current phase. It is safe for concurrent use.
func (a *Account) Phase() Phase { return Phase(a.phase.Load()) }

// BeginWait records that the handler of a request waits for the client to send or to
// take bytes. It is safe for concurrent use.
func (a *Account) BeginWait() { a.waiting.Add(1) }

// EndWait ends what BeginWait began. It is safe for concurrent use.
func (a *Account) EndWait() { a.waiting.Add(-1) }

// hasTurn reports whether the process waits for the client, rather than for an upstream.
func (a *Account) hasTurn() bool { return a.Phase() != Work || a.waiting.Load() > 0 }

// Move records bytes that were read or written. It is safe for concurrent use.
func (a *Account) Move(n int) { a.moved.Add(int64(n)) }

// Moved returns the number of bytes that were recorded. It is safe for concurrent use.
func (a *Account) Moved() int64 { return a.moved.Load() }

// Class returns the class of the connection.
func (a *Account) Class() Class { return a.class }

// Addr returns the address of the client.
func (a *Account) Addr() netip.Addr { return a.addr }

// Sample measures the progress of the connections. It must be called about once in a
// Window.
func (p *Pool) Sample(now time.Time) {
	for _, a := range p.accounts {
		a.sample(now)
	}
}

// sample ends the account's window if it is over, or if another phase has begun. While
// the client does not have the turn, its progress is not judged.
func (a *Account) sample(now time.Time) {
	moved, phases := a.moved.Load(), a.phases.Load()
	elapsed := now.Sub(a.markAt)
	switch {
	case phases != a.markPhases:
		a.windows, a.phaseAt = 0, now
	case !a.hasTurn():
		a.windows = 0
	case elapsed < Window:
		return
	default:
		r := float64(moved-a.markMoved) / elapsed.Seconds()
		a.rate, a.last = (a.last+r)/2, r
		a.windows++
	}
	a.markAt, a.markMoved, a.markPhases = now, moved, phases
}

// makeRoom closes accounts until the need fits. Those that it closed before it found no
// further one stay closed.
func (p *Pool) makeRoom(n need, now time.Time) (victims []*Account, ok bool) {
	if p.fits(n) {
		return nil, true
	}
	greedy := 0
	if p.exceedsShare(n.addr) {
		greedy = 1
	}
	if now.Before(p.rescanAt[n.class][greedy]) {
		return nil, false
	}
	for !p.fits(n) {
		v := p.victim(n, now)
		if v == nil {
			p.rescanAt[n.class][greedy] = now.Add(rescanInterval)
		}
		if v == nil || v == n.self {
			return victims, false
		}
		victims = append(victims, v)
		p.Close(v)
	}
	return victims, true
}

// victim returns the account to close next for the need, or nil. It may be the one that
// asks, which then gets nothing at the expense of the others.
func (p *Pool) victim(n need, now time.Time) *Account {
	var worst *Account
	var worstRank rank
	short := p.shortage(n)
	greedy := p.exceedsShare(n.addr)
	for _, a := range p.accounts {
		if short == &p.held && a.held == 0 || !short.frees(a.class, n.class) || greedy && a.addr != n.addr {
			continue
		}
		a.sample(now)
		r, ok := a.rank(p.exceedsShare(a.addr) && a.addr != n.addr)
		if ok && (worst == nil || r.before(worstRank)) {
			worst, worstRank = a, r
		}
	}
	return worst
}

// shortage returns the ledger that lacks room for the need.
func (p *Pool) shortage(n need) *ledger {
	switch {
	case !p.conns.fits(n.class, n.conns):
		return &p.conns
	case !p.held.fits(n.class, n.held):
		return &p.held
	}
	return &p.memory
}

// exceedsShare reports whether the connections of an address use so much that they
// give way to those of others. A single address may use all.
func (p *Pool) exceedsShare(addr netip.Addr) bool {
	return len(p.byAddr) > 1 && float64(p.byAddr[addr]) > addrFraction*float64(p.limits.Memory)
}

// rank orders accounts: those that close first come first.
type rank struct {
	group int       // 0: too slow; 1: idle; 2: of an address that uses more than its share
	rate  float64   // in bytes per second
	since time.Time // start of the phase
}

func (r rank) before(o rank) bool {
	switch {
	case r.group != o.group:
		return r.group < o.group
	case r.rate != o.rate:
		return r.rate < o.rate
	}
	return r.since.Before(o.since)
}

// rank returns the account's rank, and whether it may be closed at all. The account of
// an address that exceeds its share may be closed as long as it is the client's turn.
func (a *Account) rank(exceeds bool) (rank, bool) {
	r := rank{rate: a.rate, since: a.phaseAt}
	switch phase := a.Phase(); {
	case !a.hasTurn():
		return r, false
	case phase == Idle:
		r.group, r.rate = 1, 0
		return r, true
	case a.windows >= minWindows && a.rate < float64(MinProgress):
		return r, true
	}
	r.group = 2
	return r, exceeds
}
