package usage

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"corianderwing"
)

// Tally counts the requests that an entry instance sends to upstreams. Its zero
// value is ready to use and safe for concurrent use. Counting takes one atomic
// addition for a workspace that has been counted in the same window before.
type Tally struct {
	pages atomic.Pointer[[]*page] // newest first; replaced on change

	mu       sync.Mutex // held while pages or their counters are replaced or reported
	receiver Receiver
	acks     uint64 // number of receivers that were reported to so far
}

// Receiver is a control instance that receives reports. One that has restarted has
// another incarnation and has lost the earlier ones.
type Receiver struct {
	Addr        string
	Incarnation corianderwing.Incarnation
}

// page holds the counters of one window.
type page struct {
	window   Window
	counters atomic.Pointer[map[corianderwing.WorkspaceID]*counter] // replaced on change
}

// counter counts the requests of one workspace in one window.
type counter struct {
	sent, refused atomic.Uint64

	// What the receiver of the reports has acknowledged, if acks is that of the
	// Tally. Guarded by Tally.mu.
	ackedSent, ackedRefused, acks uint64
}

// Sent counts a request of a workspace that is sent to an upstream in the current
// window. If it turns out not to have run, Refused must follow with the same window.
func (t *Tally) Sent(current Window, id corianderwing.WorkspaceID) {
	c := t.counter(current, id)
	if c == nil {
		c = t.addCounter(current, id)
	}
	c.sent.Add(1)
}

// Refused takes back a request that was counted as sent in a window. It does nothing
// if the window is no longer kept.
func (t *Tally) Refused(w Window, id corianderwing.WorkspaceID) {
	if c := t.counter(w, id); c != nil {
		c.refused.Add(1)
	}
}

// counter returns the counter of a workspace in a window, or nil if there is none.
func (t *Tally) counter(w Window, id corianderwing.WorkspaceID) *counter {
	p := t.page(w)
	if p == nil {
		return nil
	}
	return (*p.counters.Load())[id]
}

// page returns the page of a window, or nil if there is none.
func (t *Tally) page(w Window) *page {
	list := t.pages.Load()
	if list == nil {
		return nil
	}
	for _, p := range *list {
		if p.window == w {
			return p
		}
	}
	return nil
}

// addCounter adds a counter in the current window, and a page if it has none.
func (t *Tally) addCounter(current Window, id corianderwing.WorkspaceID) *counter {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.page(current)
	if p == nil {
		p = t.addPage(current)
	}
	old := *p.counters.Load()
	if c := old[id]; c != nil {
		return c
	}
	next := maps.Clone(old)
	c := &counter{}
	next[id] = c
	p.counters.Store(&next)
	return c
}

// addPage adds a page for the current window, with counters for the workspaces that
// the newest page counted, and drops the pages that are not kept. Later pages are kept:
// the estimated time may go back and forth, and counts that begin again at zero are taken
// for outdated ones. The caller must hold t.mu.
func (t *Tally) addPage(current Window) *page {
	counters := map[corianderwing.WorkspaceID]*counter{}
	p := &page{window: current}
	p.counters.Store(&counters)
	list := []*page{p}
	if old := t.pages.Load(); old != nil {
		for id, c := range *(*old)[0].counters.Load() {
			if c.sent.Load() > 0 {
				counters[id] = &counter{}
			}
		}
		for _, other := range *old {
			if isNear(other.window, current) {
				list = append(list, other)
			}
		}
	}
	slices.SortFunc(list, func(a, b *page) int { return cmp.Compare(b.window, a.window) })
	t.pages.Store(&list)
	return p
}

// Report returns the counts that a receiver has not acknowledged, oldest window
// first. For another receiver than the last one these are all counts.
func (t *Tally) Report(addr string) []WindowCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	if addr != t.receiver.Addr || t.acks == 0 {
		t.receiver = Receiver{Addr: addr}
		t.acks++
	}
	return t.unacknowledged()
}

// pending returns the number of counts that the last receiver has not acknowledged.
func (t *Tally) pending() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, w := range t.unacknowledged() {
		n += len(w.Counts)
	}
	return n
}

// unacknowledged returns the counts that the receiver has not acknowledged. The
// caller must hold t.mu.
func (t *Tally) unacknowledged() []WindowCounts {
	list := t.pages.Load()
	if list == nil {
		return nil
	}
	var report []WindowCounts
	for _, p := range slices.Backward(*list) {
		if counts := p.unacknowledged(t.acks); len(counts) > 0 {
			report = append(report, WindowCounts{p.window, counts})
		}
	}
	return report
}

// unacknowledged returns the counts that differ from those that were acknowledged.
func (p *page) unacknowledged(acks uint64) []Count {
	var list []Count
	for id, c := range *p.counters.Load() {
		refused := c.refused.Load() // first: a request is counted as sent before it is refused
		sent := c.sent.Load()
		known := c.acks == acks
		if sent == 0 || known && sent == c.ackedSent && refused == c.ackedRefused {
			continue
		}
		list = append(list, Count{id, sent, refused})
	}
	slices.SortFunc(list, func(a, b Count) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return list
}

// Acknowledge records that a receiver has a report. If the receiver is not the
// incarnation that acknowledged the earlier ones, it has only this one.
func (t *Tally) Acknowledge(from Receiver, report []WindowCounts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if from.Addr != t.receiver.Addr {
		return // reports go to another one by now
	}
	if from.Incarnation != t.receiver.Incarnation {
		t.receiver = from
		t.acks++
	}
	for _, w := range report {
		p := t.page(w.Window)
		if p == nil {
			continue
		}
		counters := *p.counters.Load()
		for _, n := range w.Counts {
			if c := counters[n.Workspace]; c != nil {
				c.acknowledge(n, t.acks)
			}
		}
	}
}

// acknowledge records an acknowledged count. An earlier report may be acknowledged
// after a later one.
func (c *counter) acknowledge(n Count, acks uint64) {
	if c.acks != acks {
		c.ackedSent, c.ackedRefused, c.acks = 0, 0, acks
	}
	c.ackedSent = max(c.ackedSent, n.Sent)
	c.ackedRefused = max(c.ackedRefused, n.Refused)
}

// clear drops all counts.
func (t *Tally) clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pages.Store(nil)
}
