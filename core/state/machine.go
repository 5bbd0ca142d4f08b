package state

import (
	"sync"
	"sync/atomic"
	"time"

	"corianderwing"
)

// defaultWindowSize is how many accepted changes a Machine keeps for watchers. At
// 1,700 changes a day it covers 14 hours.
const defaultWindowSize = 1024

// Machine is one replica of a group's state. It implements
// corianderwing.StateMachine. Apply, Save and Restore exclude each other; View,
// Updates and Changed are safe from any goroutine and take no lock.
//
// The machine owns all state in this package. Time comes only from the
// commands, so every replica decides alike.
type Machine struct {
	mu             sync.Mutex
	index          corianderwing.Index
	now            time.Time     // latest Now of any command; never goes back
	changeRequests *requestTable // results of all commands but claims and settlements
	orderRequests  *requestTable // results of claims and settlements
	orders         *orderTable
	published      atomic.Pointer[publishedState]

	windowSize  int
	onViolation func(invariant, detail string)
}

var _ corianderwing.StateMachine = (*Machine)(nil)

// publishedState is what readers see. It is immutable; each accepted change replaces
// it. The backing array of window is shared with later ones, which write only
// behind its end.
type publishedState struct {
	view    *View
	window  []corianderwing.Update
	changed chan struct{} // closed when the next public replaces this one
}

// Option changes a Machine.
type Option func(*Machine)

// WithUpdateWindow sets how many accepted changes are kept for Updates.
func WithUpdateWindow(n int) Option { return func(m *Machine) { m.windowSize = n } }

// WithMaxRequests sets how many applied requests are remembered in each table.
func WithMaxRequests(n int) Option {
	return func(m *Machine) { m.changeRequests, m.orderRequests = newRequestTable(n), newRequestTable(n) }
}

// WithMaxOrders sets how many orders are kept.
func WithMaxOrders(n int) Option { return func(m *Machine) { m.orders = newOrderTable(n) } }

// WithViolationHandler sets a function that is called with the name of a broken
// invariant and what was seen. It must not call the machine.
func WithViolationHandler(f func(invariant, detail string)) Option {
	return func(m *Machine) { m.onViolation = f }
}

// New returns a replica of the group's state without any settings. All
// replicas of a group need the same limits.
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

// View returns the current view.
func (m *Machine) View() *View { return m.published.Load().view }

// Changed returns a channel that is closed when the view changes. To miss
// nothing, take the channel before reading the view or the updates.
func (m *Machine) Changed() <-chan struct{} { return m.published.Load().changed }

// Updates returns the accepted changes after a revision, oldest first. It
// returns none if the replica is not past that revision, and ok is false if
// some of them are no longer kept, so that the caller needs View().Snapshot().
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

// Apply decides one committed command and returns its encoded Result. Data
// that is no command gets an InvalidInput result and changes nothing.
func (m *Machine) Apply(i corianderwing.Index, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if i <= m.index {
		m.reportViolation("index order", "applied entry %d after entry %d", i, m.index)
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

// execute decides a well-formed command.
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
	req.Result = withoutResponse(r)
	table.add(req)
	m.checkTableSizes()
	return r
}

// advanceTime moves the machine's time forward and drops what is too old. A new
// leader's clock may be behind the last one's; time stands still until it has
// caught up.
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

// duplicateResult returns the first result of a request. Answers of orders are not kept
// twice: the answer comes from the order, if it is still stored.
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

func withoutResponse(r corianderwing.Result) corianderwing.Result {
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
	resolveOrClaim := m.orders.claim
	if c.Kind == corianderwing.ResolveOrder {
		resolveOrClaim = m.orders.resolve
	}
	var before *corianderwing.Order
	if c.Order != nil {
		before = m.orders.find(c.Order.Workspace, c.Order.Key)
	}
	after, err := resolveOrClaim(c)
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
