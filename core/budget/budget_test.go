package budget

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"corianderwing"
)

var start = time.Unix(1000, 0)

func addr(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}) }

// world plays clients of a pool in virtual time.
type world struct {
	t      *testing.T
	pool   *Pool
	now    time.Time
	honest *Account // makes progress whenever time passes
}

func newWorld(t *testing.T, l Limits, classes ...Class) *world {
	return &world{t: t, pool: New(l, classes...), now: start}
}

// open opens n connections, each from an address of its own.
func (w *world) open(c Class, n int) (list []*Account) {
	for i := range n {
		a, _, ok := w.pool.Open(c, addr(int(c)<<12+i), w.now)
		if !ok {
			break
		}
		list = append(list, a)
	}
	return list
}

// hold reserves n for each account in the given phase, and returns how many got it.
func (w *world) hold(list []*Account, p Phase, n corianderwing.Bytes) (held int) {
	for _, a := range list {
		if a.closed {
			continue
		}
		a.SetPhase(p)
		if p == Work {
			a.BeginWait()
		}
		a.Move(int(n))
		if _, ok := w.pool.Reserve(a, n, w.now); ok {
			held++
		}
	}
	return held
}

// pass lets seconds pass in which each of the accounts moves rate bytes a second.
func (w *world) pass(seconds int, rate int, list ...*Account) {
	for range seconds * 4 {
		w.now = w.now.Add(time.Second / 4)
		for _, a := range list {
			a.Move(rate / 4)
		}
		if w.honest != nil {
			w.honest.Move(int(MinProgress))
		}
		w.pool.Sample(w.now)
	}
}

var small = Limits{Memory: 100 * ConnCost, Held: 50 * ConnCost, Conns: 80}

// Guards against crowds that leave no room for an ordinary client: of each, the
// connections without progress are closed for it.
func TestCrowdGivesWay(t *testing.T) {
	for name, crowd := range map[string]struct {
		phase Phase
		held  corianderwing.Bytes
		rate  int // bytes per second
	}{
		"bodies that stop":          {Work, ConnCost, 0},
		"bodies that trickle":       {Work, ConnCost, 10},
		"heads of many fields":      {Head, ConnCost, 0},
		"requests sent ahead":       {Idle, ConnCost, 0},
		"connections that say none": {Head, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, small)
			honest := w.open(Callers, 1)
			is.Equal(w.hold(honest, Work, ConnCost), 1)
			list := w.open(Callers, 200)
			w.hold(list, crowd.phase, crowd.held)
			w.honest = honest[0]
			w.pass(3, crowd.rate, list...)
			late := w.open(Callers, 1)
			is.Equal(len(late), 1)
			is.Equal(w.hold(late, Work, ConnCost), 1)
			is.True(!honest[0].closed)
		})
	}
}

// Guards against closing anything while there is room, however slow it is.
func TestCalmClosesNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, small)
	list := w.open(Callers, 40)
	is.Equal(w.hold(list, Work, ConnCost), 40)
	w.pass(60, 1, list...)
	is.Equal(len(w.open(Callers, 5)), 5)
	is.Equal(w.pool.Usage().Conns, corianderwing.Conns(45))
}

// Guards against a crowd that keeps up its progress: nobody is closed for a newcomer,
// which is refused; and a request that waits for its upstream is never closed.
func TestProgressIsKept(t *testing.T) {
	for _, upstream := range []bool{false, true} {
		is := is.New(t)
		w := newWorld(t, Limits{Memory: 120 * ConnCost, Held: 50 * ConnCost, Conns: 80})
		list := w.open(Callers, 50)
		is.Equal(w.hold(list, Work, ConnCost), 50)
		rate := 4 * int(MinProgress)
		for _, a := range list {
			if upstream {
				a.EndWait()
				rate = 0
			}
		}
		w.pass(5, rate, list...)
		late := w.open(Callers, 1)
		is.Equal(w.hold(late, Work, ConnCost), 0)
		is.Equal(w.pool.Usage().Conns, corianderwing.Conns(51))
	}
}

// Guards against closing a client that did not have the turn until now: while the
// upstream worked, nothing was sent or taken, which counted as a lack of progress.
func TestProgressIsMeasuredInTurn(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, Limits{Memory: 120 * ConnCost, Held: 2 * ConnCost, Conns: 80})
	list := w.open(Callers, 2)
	is.Equal(w.hold(list, Work, ConnCost), 2)
	list[0].EndWait()
	w.pass(10, 4*int(MinProgress), list[1]) // the upstream works for list[0]
	list[0].BeginWait()                     // its response is written
	late := w.open(Callers, 1)
	is.Equal(w.hold(late, Work, ConnCost), 0)
	is.True(!list[0].closed)
	w.pass(4, 4*int(MinProgress), list[1]) // the client takes nothing of it
	is.Equal(w.hold(late, Work, ConnCost), 1)
	is.True(list[0].closed)
}

// Guards against one address that takes all: it gives way to another one although its
// connections make progress, and closes none of the other's.
func TestAddressGivesWay(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, Limits{Memory: 100 * ConnCost, Held: 70 * ConnCost, Conns: 200})
	other := w.open(Callers, 1)
	w.hold(other, Work, 1)
	var greedy []*Account
	for range 35 {
		a, _, ok := w.pool.Open(Callers, addr(999), w.now)
		is.True(ok)
		greedy = append(greedy, a)
	}
	w.hold(greedy, Work, 2*ConnCost)
	w.pass(3, 8*int(MinProgress), append(greedy, other...)...)
	w.hold(greedy, Work, 2*ConnCost)
	is.True(!other[0].closed)
	is.Equal(w.hold(other, Work, 4*ConnCost), 1)
}

// Guards against a crowd at one door that starves another one.
func TestReserves(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, small, Control, Lookups, Status)
	crowd := w.open(Lookups, 1000)
	w.hold(crowd, Work, 4*ConnCost)
	control := w.open(Control, 20)
	is.Equal(len(control), 20)
	is.Equal(w.hold(control, Work, ConnCost/4), 20)
	is.Equal(len(w.open(Status, 2)), 2)
}

// Guards against too few connections on the smallest machine in use, and against more
// than its descriptors allow.
func TestLimitsOf(t *testing.T) {
	is := is.New(t)
	l := LimitsOf(184<<20, 4096)
	is.True(l.Conns >= 2500 && l.Conns <= 3900)
	is.True(corianderwing.Bytes(l.Conns)*ConnCost <= l.Memory)
	is.True(LimitsOf(0, 0).Conns >= 10_000)
}

// Guards against accounts that do not add up: over their limits, or not given back.
func TestLedgersAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := New(small, Control, Lookups, Status), start
		var open []*Account
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			c := Class(rapid.IntRange(0, int(NumClasses)-1).Draw(t, "class"))
			if a, _, ok := p.Open(c, addr(rapid.IntRange(0, 3).Draw(t, "addr")), now); ok {
				open = append(open, a)
			}
			if len(open) == 0 {
				continue
			}
			a := open[rapid.IntRange(0, len(open)-1).Draw(t, "account")]
			n := corianderwing.Bytes(rapid.IntRange(1, int(8*ConnCost)).Draw(t, "bytes"))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				p.Release(a, n)
			case 1:
				p.Close(a)
			case 2:
				a.SetPhase(Phase(rapid.IntRange(0, int(Idle)).Draw(t, "phase")))
				a.Move(int(n))
			case 3:
				p.ReserveSpare(a, n)
			default:
				p.Reserve(a, n, now)
			}
			checkSums(t, p)
		}
		for _, a := range open {
			p.Close(a)
		}
		if u := p.Usage(); u != (Usage{}) || len(p.byAddr) != 0 || len(p.accounts) != 0 {
			t.Fatalf("left over: %+v, %v", u, p.byAddr)
		}
	})
}

func checkSums(t *rapid.T, p *Pool) {
	var held, conns [NumClasses]int64
	for _, a := range p.accounts {
		held[a.class] += int64(a.held)
		conns[a.class]++
	}
	if held != p.held.used || conns != p.conns.used {
		t.Fatalf("accounts hold %v, %v; booked %v, %v", held, conns, p.held.used, p.conns.used)
	}
	for name, l := range map[string]*ledger{"memory": &p.memory, "held": &p.held, "conns": &p.conns} {
		var others int64
		for c, used := range l.used {
			others += max(0, used-l.reserve[c])
		}
		var reserved int64
		for _, r := range l.reserve {
			reserved += r
		}
		if l.total() > l.limit || others > l.limit-reserved {
			t.Fatalf("%s over its limit: %s", name, fmt.Sprint(*l))
		}
	}
}
