package state

import (
	"sync"
	"sync/atomic"
	"time"

	"corianderwing"
)

// defaultWindowSize is the default number of accepted changes that a Machine keeps
// for watchers. At 1,700 changes a day it covers 14 hours.
const defaultWindowSize = 1024

// Machine is one replica of a group's state. It implements
// corianderwing.StateMachine. Apply, Freeze and Restore hold a mutex, and so does Save
// while it captures the state; View, Updates and Changed are safe for concurrent use
// and take no lock.
//
// All mutable state of this package belongs to a Machine. Its clock advances only by the times in commands, so every replica
// computes the same results.
type Machine struct {
	mu             sync.Mutex
	index          corianderwing.Index
	now            time.Time     // latest Now of any command; never decreases
	changeRequests *requestTable // requests of all other kinds
	orderRequests  *requestTable // requests of ClaimOrder and ResolveOrder
	orders         *orderTable
	published      atomic.Pointer[publishedState]

	windowSize  int
	onViolation func(invariant, detail string)
}

var _ corianderwing.StateMachine = (*Machine)(nil)

// publishedState is the state that readers load without a lock. It is immutable and is
// replaced by each accepted change. Later states share the backing array of window,
// but write only past the end of this slice.
type publishedState struct {
	view    *View
	window  []corianderwing.Update
	changed chan struct{} // closed when this state is replaced
}

// Option configures a Machine.
type Option func(*Machine)

// WithUpdateWindow sets the number of accepted changes that are kept for Updates.
func WithUpdateWindow(n int) Option { return func(m *Machine) { m.windowSize = n } }

// WithMaxRequests sets the maximum number of applied requests that each table keeps
// for deduplication.
func WithMaxRequests(n int) Option {
	return func(m *Machine) { m.changeRequests, m.orderRequests = newRequestTable(n), newRequestTable(n) }
}

// WithMaxOrders sets the maximum number of stored orders.
func WithMaxOrders(n int) Option { return func(m *Machine) { m.orders = newOrderTable(n) } }

// WithViolationHandler sets a function that is called with the name of a violated
// invariant and the details. It must not call the machine.
func WithViolationHandler(f func(invariant, detail string)) Option {
	return func(m *Machine) { m.onViolation = f }
}

// New returns a replica of a group's state with no settings. All replicas of a group
// must be created with the same limits.
func New(g corianderwing.GroupID, options ...Option) *Machine {
	m := &Machine{
		changeRequests: newRequestTable(maxRequests),
		orderRequests:  newRequestTable(maxRequests),
		orders:         newOrderTable(maxOrders),
		windowSize:     defaultWindowSize,
		onViolation:    func(string, string) {},
	}
	for _, o := range options {
		o(m)
	}
	m.published.Store(&publishedState{view: NewView(g), changed: make(chan struct{})})
	return m
}

func (m *Machine) View() *View { return m.published.Load().view }

// Changed returns a channel that is closed when the view changes. Call it before View
// or Updates, so that no change is missed.
func (m *Machine) Changed() <-chan struct{} { return m.published.Load().changed }

// Updates returns the accepted changes after a revision, oldest first, or none if the
// replica is not past that revision. If some of the changes are no longer kept, ok is
// false and the caller needs View().Snapshot().
func (m *Machine) Updates(after corianderwing.Revision) (updates []corianderwing.Update, ok bool) {
	p := m.published.Load()
	if after >= p.view.revision {
		return nil, true
	}
	missing := int(p.view.revision - after)
	if missing > len(p.window) {
		return nil, false
	}
	return p.window[len(p.window)-missing:], true
}

// Apply executes a committed command and returns its encoded Result. If data is not a
// valid command, the result is InvalidInput and the state does not change.
func (m *Machine) Apply(i corianderwing.Index, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if i <= m.index {
		m.reportViolation("index order", "entry %d was applied after entry %d", i, m.index)
		return encodeResult(m.errorResult(corianderwing.Errorf(corianderwing.Internal, "entry %d was already applied", i)))
	}
	m.index = i
	c, err := DecodeCommand(data)
	if err != nil {
		return encodeResult(m.errorResult(corianderwing.Errorf(corianderwing.InvalidInput, "the entry is no command: %v", err)))
	}
	if err := checkCommand(&c); err != nil {
		return encodeResult(m.errorResult(err))
	}
	return encodeResult(m.execute(&c))
}

func (m *Machine) errorResult(err error) corianderwing.Result {
	return corianderwing.Result{Revision: m.View().revision, Error: asError(err)}
}

// execute executes a valid command, or returns the stored result if the request was
// already applied.
func (m *Machine) execute(c *corianderwing.Command) corianderwing.Result {
	m.advanceTime(c)
	table := m.changeRequests
	if isOrderCommand(c.Kind) {
		table = m.orderRequests
	}
	fingerprint := fingerprintOf(c)
	if prev := table.find(c); prev != nil {
		if prev.Fingerprint != fingerprint {
			return m.errorResult(corianderwing.Errorf(corianderwing.InvalidInput, "request id %s was used for another command", c.Request))
		}
		return m.duplicateResult(prev, c)
	}
	key := requestKeyOf(c)
	req := &appliedRequest{Kind: key.kind, Request: key.request, Fingerprint: fingerprint, AppliedAt: m.now}
	var r corianderwing.Result
	if isOrderCommand(c.Kind) {
		r = m.executeOrder(c)
	} else {
		r = m.executeChange(c)
	}
	req.Result = stripResponse(r)
	table.add(req)
	m.checkTableSizes()
	return r
}

// advanceTime advances the machine's clock to the time of the command and removes
// expired entries. If the clock of a new leader is behind that of the previous one,
// the machine's clock stands still until the leader's has caught up.
func (m *Machine) advanceTime(c *corianderwing.Command) {
	c.Now = c.Now.UTC().Round(0)
	if c.Now.Before(m.now) {
		c.Now = m.now
	}
	m.now = c.Now
	m.changeRequests.expire(m.now)
	m.orderRequests.expire(m.now)
	m.orders.expire(m.now)
}

// duplicateResult returns the stored result of a request that was already applied.
// The response of an order is stored only with the order, so it is taken from there
// if the order is still stored.
func (m *Machine) duplicateResult(prev *appliedRequest, c *corianderwing.Command) corianderwing.Result {
	r := prev.Result
	r.Duplicate = true
	if r.Order == nil || r.Order.State != corianderwing.OrderDone {
		return r
	}
	if stored := m.orders.find(c.Order.Workspace, c.Order.Key); stored != nil && stored.Holder == r.Order.Holder {
		order := *r.Order
		order.Response = stored.Response
		r.Order = &order
	}
	return r
}

func stripResponse(r corianderwing.Result) corianderwing.Result {
	if r.Order != nil && r.Order.Response != nil {
		order := *r.Order
		order.Response = nil
		r.Order = &order
	}
	return r
}

func (m *Machine) executeOrder(c *corianderwing.Command) corianderwing.Result {
	r := corianderwing.Result{Revision: m.View().revision}
	if c.Order != nil && c.Kind == corianderwing.ClaimOrder && !m.View().HasWorkspace(c.Order.Workspace) {
		r.Error = asError(unknownWorkspaceError(c.Order.Workspace))
		return r
	}
	handle := m.orders.claim
	if c.Kind == corianderwing.ResolveOrder {
		handle = m.orders.resolve
	}
	var before *corianderwing.Order
	if c.Order != nil {
		before = m.orders.find(c.Order.Workspace, c.Order.Key)
	}
	after, err := handle(c)
	if err != nil {
		r.Error = asError(err)
	}
	r.Order = after
	m.checkOrder(before, after)
	return r
}

func (m *Machine) executeChange(c *corianderwing.Command) corianderwing.Result {
	p := m.published.Load()
	next, r := p.view.apply(c)
	if next == p.view {
		return r
	}
	m.checkView(p.view, next)
	u := corianderwing.Update{Group: next.group, Revision: next.revision, Command: c}
	window := append(p.window, u)
	if extra := len(window) - m.windowSize; extra > 0 {
		window = window[extra:]
	}
	m.published.Store(&publishedState{view: next, window: window, changed: make(chan struct{})})
	close(p.changed)
	return r
}
