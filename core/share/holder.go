package share

import (
	"sync"
	"sync/atomic"
	"time"

	"corianderwing"
)

// Tuned with the runs of TestWrongfulRefusals.
const (
	ahead     = 300 * time.Millisecond // demand that a holder keeps tokens for
	lowStock  = 150 * time.Millisecond // demand below which it renews early
	demandAge = time.Second            // decay of the estimated demand
	spare     = 2                      // tokens that an idle fixed bucket keeps
	waitGap   = 5 * time.Millisecond   // shortest time between reports while requests wait
	lowGap    = 50 * time.Millisecond  // the same, while tokens are low
	giveGap   = 200 * time.Millisecond // the same, while the fixed part overflows
	dryGap    = 100 * time.Millisecond // the same, while the pool is empty
	lost      = 500 * time.Millisecond // time after which an answer is not expected any more
)

// probeEvery is the number of reports after which one lists every bound, so
// that the answer tells which pools can use idle tokens.
const probeEvery = 4

// Holder is one instance's share of the bounds of one home group. Its methods
// are safe for concurrent use; Take takes no lock.
type Holder struct {
	origin time.Time
	bounds atomic.Pointer[map[corianderwing.BoundID]*Bound]

	mu       sync.Mutex
	levels   map[corianderwing.BoundID]*Semaphore
	seq      uint64 // of the latest report
	sent     time.Time
	answered bool // the latest report has its answer
	met      bool // a grantor has answered, so it ignores earlier lives of this instance
	dry      bool // the latest answer fell short
}

// NewHolder returns a holder without tokens.
func NewHolder(now time.Time) *Holder {
	h := &Holder{origin: now, levels: make(map[corianderwing.BoundID]*Semaphore)}
	h.bounds.Store(&map[corianderwing.BoundID]*Bound{})
	return h
}

// Bound returns the share of a bound, or nil if it is not configured.
func (h *Holder) Bound(id corianderwing.BoundID) *Bound { return (*h.bounds.Load())[id] }

// Take takes one token of a bound.
func (h *Holder) Take(now time.Time, id corianderwing.BoundID) bool {
	b := h.Bound(id)
	return b != nil && b.Take(now)
}

// Configure sets the limit of this seat's fixed part of a bound, as Divide
// returns it; the zero Limit for an instance without a seat. A decrease takes
// effect at once. An increase, the first one included, takes effect after
// Known, when every process knows the new division, and not before a grantor
// has answered.
func (h *Holder) Configure(now time.Time, id corianderwing.BoundID, l Limit) *Bound {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.Bound(id)
	if b == nil {
		b = &Bound{id: id, origin: h.origin}
		b.fixed.Store(NewBucket(Limit{}, now))
		all := make(map[corianderwing.BoundID]*Bound)
		for k, v := range *h.bounds.Load() {
			all[k] = v
		}
		all[id] = b
		h.bounds.Store(&all)
	}
	if want := b.goal(); l == want {
		return b
	}
	b.settle(now, h.met)
	var low Limit
	low, b.next = plan(b.limit, l, now)
	b.apply(now, low)
	return b
}

// Remove removes a bound.
func (h *Holder) Remove(id corianderwing.BoundID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make(map[corianderwing.BoundID]*Bound)
	for k, v := range *h.bounds.Load() {
		if k != id {
			all[k] = v
		}
	}
	h.bounds.Store(&all)
}

// Report builds the next renewal. Its answer must be passed to Granted with
// the same seq; answers to earlier reports are void from now on. A report may
// be sent again as it is.
func (h *Holder) Report(now time.Time) (seq uint64, spends []corianderwing.TokenReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	passed := now.Sub(h.sent)
	if h.seq == 0 {
		passed = now.Sub(h.origin)
	}
	give := h.answered
	h.seq++
	h.sent, h.answered = now, false
	for _, b := range *h.bounds.Load() {
		b.settle(now, h.met)
		b.estimate(passed)
		s := b.spend(now)
		if give && b.open {
			s.Returned = b.give(now, h.seq)
		}
		s.Requested = max(0, b.target()-b.Available(now))
		idle := s == (corianderwing.TokenReport{Bound: b.id}) && !b.back && b.demand == 0
		if !idle || b.open || h.seq%probeEvery == 1 {
			spends = append(spends, s)
		}
	}
	for _, l := range h.levels {
		spends = append(spends, l.report(now))
	}
	return h.seq, spends
}

// ApplyGrants takes the answer to the report with the given seq. An answer to an
// earlier report, or a second one, is ignored.
func (h *Holder) ApplyGrants(now time.Time, seq uint64, grants []corianderwing.Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if seq != h.seq || h.answered {
		return
	}
	h.answered, h.met, h.dry = true, true, false
	all := *h.bounds.Load()
	for _, b := range all {
		b.open = false
		b.release(now, seq)
	}
	for _, g := range grants {
		end := corianderwing.HolderDeadline(h.sent, time.Duration(g.ExpiresIn)*time.Millisecond)
		if l := h.levels[g.Bound]; l != nil {
			l.put(int64(g.Tokens), end)
		}
		b := all[g.Bound]
		if b == nil {
			continue
		}
		b.open = true
		b.put(now, g.Tokens, end)
		if b.Waiting() > int64(b.Available(now)) {
			h.dry = true
		}
	}
}

// NeedsRenewal reports whether a renewal should be sent now rather than with the next
// regular one: requests wait, or the tokens at hand last for too short a time.
func (h *Holder) NeedsRenewal(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	gap := now.Sub(h.sent)
	if h.seq == 0 {
		return true
	}
	if !h.answered && gap < lost || h.dry && gap < dryGap || gap < waitGap {
		return false
	}
	for _, b := range *h.bounds.Load() {
		stock := b.Available(now)
		if b.Waiting() > int64(stock) {
			return true
		}
		if gap >= lowGap && float64(stock) < b.need(gap)*lowStock.Seconds() {
			return true
		}
		if gap >= giveGap && b.overflows(now) {
			return true
		}
	}
	return false
}

// Lend takes up to n tokens for a neighbour that asked for them and returns
// how many and for how long they are valid, counted from when it asked.
func (h *Holder) Lend(now time.Time, id corianderwing.BoundID, n corianderwing.Tokens) (corianderwing.Tokens, corianderwing.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.Bound(id)
	if b == nil || n <= 0 {
		return 0, 0
	}
	b.settle(now, h.met)
	return b.lend(now, n), corianderwing.Millis(LoanTTL / time.Millisecond)
}

// AddLoan takes tokens that a neighbour lent, as Lend returned them to a
// question asked at sent. It must be called once for each answer.
func (h *Holder) AddLoan(now, sent time.Time, id corianderwing.BoundID, n corianderwing.Tokens, left corianderwing.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.Bound(id)
	end := corianderwing.HolderDeadline(sent, time.Duration(left)*time.Millisecond)
	if b != nil && n > 0 && now.Before(end) {
		store(b.lent[:], b.ms(now), b.ms(end), n)
	}
}
