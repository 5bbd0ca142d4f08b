package report

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/duty"
	"corianderwing/core/usage"
	"corianderwing/io/meter"
	"corianderwing/platform"
)

// fakeGroup is a group of one instance that leads and commits at once.
type fakeGroup struct {
	ledger *usage.Ledger
	now    time.Time
	state  duty.State
}

func (g *fakeGroup) Leading() corianderwing.Term { return 1 }
func (g *fakeGroup) Duty(duty.Name) duty.State   { return g.state }
func (g *fakeGroup) Usage() *usage.Ledger        { return g.ledger }
func (g *fakeGroup) WallTime() time.Time         { return g.now }

func (g *fakeGroup) ChangeDuty(_ context.Context, _ corianderwing.Term, c *duty.Change) (err error) {
	g.state, err = g.state.Apply(c)
	return err
}

// count adds requests of a source in a window.
func (g *fakeGroup) count(w usage.Window, source corianderwing.InstanceID, n uint64) {
	g.ledger.Merge(usage.Report{
		Source:  usage.Source{Instance: source},
		Windows: []usage.WindowCounts{{Window: w, Counts: []usage.Count{{Workspace: "w", Sent: n}}}},
	}, w)
}

// receiver is a stand-in for the receiver of reports. It keeps the bodies that it got
// and answers with the next status, or breaks the connection at 0. In the end it accepts
// all.
type receiver struct {
	*httptest.Server
	mu       sync.Mutex
	bodies   []string
	tokens   []string
	statuses []int
}

func newReceiver(t *testing.T, statuses ...int) *receiver {
	r := &receiver{statuses: statuses}
	r.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.mu.Lock()
		defer r.mu.Unlock()
		body, _ := io.ReadAll(req.Body)
		r.bodies, r.tokens = append(r.bodies, string(body)), append(r.tokens, req.Header.Get("X-Fencing-Token"))
		status := http.StatusOK
		if len(r.statuses) > 0 {
			status, r.statuses = r.statuses[0], r.statuses[1:]
		}
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
	}))
	t.Cleanup(r.Close)
	return r
}

// calls returns the bodies and the fencing tokens of the calls.
func (r *receiver) calls() (bodies, tokens []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.bodies), slices.Clone(r.tokens)
}

// fixture is a reporter with a boot clock that the test advances.
type fixture struct {
	*Reporter
	group *fakeGroup
	now   time.Time
}

func newFixture(addr string, incarnation corianderwing.Incarnation, g *fakeGroup) *fixture {
	f := &fixture{group: g, now: time.Unix(100, 0)}
	f.Reporter = newReporter(Config{
		Addr: addr, Self: duty.Holder{Instance: "c1", Incarnation: incarnation}, Lease: 3 * time.Second,
		Window: 5 * time.Second, Late: 10 * time.Second, PerSecond: 50, Dialect: &platform.Adapter{},
		Log: &log.Logger{Level: log.PanicLevel}, Meter: meter.New(),
	}, g, func() time.Time { return f.now })
	return f
}

// run steps for a period of the boot clock and wall clock.
func (f *fixture) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		for f.step(context.Background()) {
		}
		f.now, f.group.now = f.now.Add(pollInterval), f.group.now.Add(pollInterval)
	}
}

// Guards against a repeat with other counts: after a refusal, a lost answer, and by the
// next incarnation of the holder.
func TestRepeatIsExact(t *testing.T) {
	is := is.New(t)
	rec := newReceiver(t, 429, 0, 0, 0, 0)
	g := &fakeGroup{ledger: usage.NewLedger(), now: usage.Window(1000).End(5 * time.Second).Add(-time.Second)}
	f := newFixture(rec.Listener.Addr().String(), 1, g)
	g.count(1000, "e1", 5)
	f.run(6 * time.Second)
	bodies, _ := rec.calls()
	is.True(len(bodies) > 1)
	g.count(1000, "e2", 7) // too late
	g.count(1001, "e1", 9)
	f = newFixture(rec.Listener.Addr().String(), 2, g)
	f.run(8 * time.Second)
	bodies, tokens := rec.calls()
	first, last := `{"windowId":1000,"counts":{"w":5}}`, len(bodies)-1
	for _, b := range bodies[:last] {
		is.Equal(b, first)
	}
	is.Equal(bodies[last], `{"windowId":1001,"counts":{"w":9}}`)
	is.Equal(tokens[0], "1")
	is.Equal(tokens[last], "2")
}

// Guards against a holder that was frozen between its decision and the first byte, and
// against one whose timers did not count the time.
func TestFrozenHolderSendsNothing(t *testing.T) {
	is := is.New(t)
	rec := newReceiver(t)
	g := &fakeGroup{ledger: usage.NewLedger(), now: usage.Window(1000).End(5 * time.Second).Add(-time.Second)}
	f := newFixture(rec.Listener.Addr().String(), 1, g)
	f.run(3 * time.Second)
	is.Equal(g.state.Seq, duty.Seq(1))
	boot, reads := f.boot, 0
	f.boot = func() time.Time {
		// The clock is read when the call is decided, begun and timed, then before the write.
		if g.state.Seq == 2 {
			reads++
		}
		if reads > 3 {
			return boot().Add(time.Minute)
		}
		return boot()
	}
	failed := f.cfg.Meter.Counter(countFailed)
	for range 30 {
		if failed.Count() == 0 {
			f.run(pollInterval)
		}
	}
	is.Equal(g.state.Seq, duty.Seq(2))
	bodies, _ := rec.calls()
	is.Equal(len(bodies), 0)
	f.run(5 * time.Second)
	bodies, _ = rec.calls()
	is.True(len(bodies) > 0) // with a new lease
}

// Guards against reports that are lost while the address of the receiver is wrong.
func TestWrongAddress(t *testing.T) {
	is := is.New(t)
	rec := newReceiver(t)
	g := &fakeGroup{ledger: usage.NewLedger(), now: usage.Window(1000).End(5 * time.Second).Add(-time.Second)}
	f := newFixture("nowhere", 1, g)
	f.run(12 * time.Second)
	is.True(f.cfg.Meter.Counter(countFailed).Count() > 0)
	f.SetAddr(rec.Listener.Addr().String())
	f.run(2 * time.Second)
	bodies, _ := rec.calls()
	is.Equal(bodies, []string{`{"windowId":1000,"counts":{}}`, `{"windowId":1001,"counts":{}}`})
}

// Guards against windows that are given up before they are recorded, where reports are
// due only many windows later.
func TestManyWindowsUntilLate(t *testing.T) {
	is := is.New(t)
	rec := newReceiver(t)
	g := &fakeGroup{ledger: usage.NewLedger(), now: usage.Window(1000).End(5 * time.Second).Add(-time.Second)}
	f := newFixture(rec.Listener.Addr().String(), 1, g)
	cfg := f.cfg
	cfg.Late = 40 * cfg.Window
	f.Reporter = newReporter(cfg, g, func() time.Time { return f.now })
	g.count(1000, "e1", 5)
	f.run(30 * time.Second)
	bodies, _ := rec.calls()
	is.Equal(bodies, []string{`{"windowId":1000,"counts":{"w":5}}`})
	f.run(30 * time.Second)
	is.Equal(cfg.Meter.Counter(countGivenUp).Count(), int64(0))
}

// Guards against a call to a receiver that does not answer that goes on, or whose bytes
// arrive later over a broken link.
func TestSilentReceiver(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { l.Close() })
	ended := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			_, err = io.Copy(io.Discard, conn)
		}
		ended <- err
	}()
	g := &fakeGroup{ledger: usage.NewLedger(), now: usage.Window(1000).End(5 * time.Second).Add(-time.Second)}
	f := newFixture(l.Addr().String(), 1, g)
	failed := f.cfg.Meter.Counter(countFailed)
	go func() {
		for failed.Count() == 0 {
			f.run(pollInterval)
		}
	}()
	select {
	case err := <-ended:
		is.True(errors.Is(err, syscall.ECONNRESET)) // not closed after bytes that wait
	case <-time.After(3 * time.Second):
		t.Fatal("the call goes on")
	}
}
