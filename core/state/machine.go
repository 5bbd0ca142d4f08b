package state

import (
	"sync"
	"sync/atomic"
	"time"

	"corianderwing"
)

// defaultWindow is how many accepted changes a Machine keeps for watchers. At
// 1,700 changes a day it covers 14 hours.
const defaultWindow = 1024

// Machine is one replica of a group's state. It implements
// corianderwing.StateMachine. Apply, Save and Restore exclude each other; View,
// Updates and Changed are safe from any goroutine and take no lock.
//
// The machine owns all state in this package. Time comes only from the
// commands, so every replica decides alike.
type Machine struct {
	mu      sync.Mutex
	index   corianderwing.Index
	now     time.Time // latest Now of any command; never goes back
	changes *applied  // results of all commands but claims and settlements
	claims  *applied  // results of claims and settlements
	orders  *orders
	public  atomic.Pointer[public]

	window int
	report func(invariant, detail string)
}

var _ corianderwing.StateMachine = (*Machine)(nil)

// public is what readers see. It is immutable; each accepted change replaces
// it. The backing array of window is shared with later ones, which write only
// behind its end.
type public struct {
	view    *View
	window  []corianderwing.Update
	changed chan struct{} // closed when the next public replaces this one
}

// Option changes a Machine.
type Option func(*Machine)

// WithUpdateWindow sets how many accepted changes are kept for Updates.
func WithUpdateWindow(n int) Option { return func(m *Machine) { m.window = n } }

// WithMaxRequests sets how many applied requests are remembered in each table.
func WithMaxRequests(n int) Option {
	return func(m *Machine) { m.changes, m.claims = newApplied(n), newApplied(n) }
}

// WithMaxOrders sets how many orders are kept.
func WithMaxOrders(n int) Option { return func(m *Machine) { m.orders = newOrders(n) } }

// WithViolationHandler sets a function that is called with the name of a broken
// invariant and what was seen. It must not call the machine.
func WithViolationHandler(f func(invariant, detail string)) Option {
	return func(m *Machine) { m.report = f }
}

// New returns a replica of the group's state without any settings. All
// replicas of a group need the same limits.
func New(g corianderwing.GroupID, options ...Option) *Machine {
	m := &Machine{
		changes: newApplied(maxApplied),
		claims:  newApplied(maxApplied),
		orders:  newOrders(maxOrders),
		window:  defaultWindow,
		report:  func(string, string) {},
	}
	for _, o := range options {
		o(m)
	}
	m.public.Store(&public{view: NewView(g), changed: make(chan struct{})})
	return m
}

// View returns the current view.
func (m *Machine) View() *View { return m.public.Load().view }

// Changed returns a channel that is closed when the view changes. To miss
// nothing, take the channel before reading the view or the updates.
func (m *Machine) Changed() <-chan struct{} { return m.public.Load().changed }

// Updates returns the accepted changes after a revision, oldest first. It
// returns none if the replica is not past that revision, and ok is false if
// some of them are no longer kept, so that the caller needs View().Snapshot().
func (m *Machine) Updates(after corianderwing.Revision) (updates []corianderwing.Update, ok bool) {
	p := m.public.Load()
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
		m.broken("index order", "applied entry %d after entry %d", i, m.index)
		return encodeResult(m.refuse(corianderwing.Errorf(corianderwing.Internal, "entry %d was already applied", i)))
	}
	m.index = i
	c, err := DecodeCommand(data)
	if err != nil {
		return encodeResult(m.refuse(corianderwing.Errorf(corianderwing.InvalidInput, "the entry is no command: %v", err)))
	}
	if err := checkCommand(&c); err != nil {
		return encodeResult(m.refuse(err))
	}
	return encodeResult(m.run(&c))
}

func (m *Machine) refuse(err error) corianderwing.Result {
	return corianderwing.Result{Revision: m.View().revision, Error: asError(err)}
}

// run decides a well-formed command.
func (m *Machine) run(c *corianderwing.Command) corianderwing.Result {
	m.advance(c)
	table := m.changes
	if ofOrder(c.Kind) {
		table = m.claims
	}
	sum := printOf(c)
	if first := table.find(c); first != nil {
		if first.Print != sum {
			return m.refuse(corianderwing.Errorf(corianderwing.InvalidInput, "request id %s was used for another command", c.Request))
		}
		return m.again(first, c)
	}
	key := keyOf(c)
	rec := &record{Kind: key.kind, Request: key.request, Print: sum, At: m.now}
	var r corianderwing.Result
	if ofOrder(c.Kind) {
		r = m.order(c)
	} else {
		r = m.change(c)
	}
	rec.Result = withoutAnswer(r)
	table.add(rec)
	m.checkBounds()
	return r
}

// advance moves the machine's time forward and drops what is too old. A new
// leader's clock may be behind the last one's; time stands still until it has
// caught up.
func (m *Machine) advance(c *corianderwing.Command) {
	c.Now = c.Now.UTC().Round(0)
	if c.Now.Before(m.now) {
		c.Now = m.now
	}
	m.now = c.Now
	m.changes.expire(m.now)
	m.claims.expire(m.now)
	m.orders.expire(m.now)
}

// again returns the first result of a request. Answers of orders are not kept
// twice: the answer comes from the order, if it is still stored.
func (m *Machine) again(first *record, c *corianderwing.Command) corianderwing.Result {
	r := first.Result
	r.Duplicate = true
	if r.Order == nil || r.Order.State != corianderwing.OrderDone {
		return r
	}
	if has := m.orders.find(c.Order.Workspace, c.Order.Key); has != nil && has.Holder == r.Order.Holder {
		order := *r.Order
		order.Response = has.Response
		r.Order = &order
	}
	return r
}

func withoutAnswer(r corianderwing.Result) corianderwing.Result {
	if r.Order != nil && r.Order.Response != nil {
		order := *r.Order
		order.Response = nil
		r.Order = &order
	}
	return r
}

func (m *Machine) order(c *corianderwing.Command) corianderwing.Result {
	r := corianderwing.Result{Revision: m.View().revision}
	if c.Order != nil && c.Kind == corianderwing.ClaimOrder && !m.View().HasWorkspace(c.Order.Workspace) {
		r.Error = asError(unknownWorkspace(c.Order.Workspace))
		return r
	}
	decide := m.orders.claim
	if c.Kind == corianderwing.ResolveOrder {
		decide = m.orders.settle
	}
	var before *corianderwing.Order
	if c.Order != nil {
		before = m.orders.find(c.Order.Workspace, c.Order.Key)
	}
	after, err := decide(c)
	if err != nil {
		r.Error = asError(err)
	}
	r.Order = after
	m.checkOrder(before, after)
	return r
}

func (m *Machine) change(c *corianderwing.Command) corianderwing.Result {
	p := m.public.Load()
	next, r := p.view.apply(c)
	if next == p.view {
		return r
	}
	m.checkView(p.view, next)
	u := corianderwing.Update{Group: next.group, Revision: next.revision, Command: c}
	window := append(p.window, u)
	if extra := len(window) - m.window; extra > 0 {
		window = window[extra:]
	}
	m.public.Store(&public{view: next, window: window, changed: make(chan struct{})})
	close(p.changed)
	return r
}
