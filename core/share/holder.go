package share

import (
	"sync"
	"sync/atomic"
	"time"

	"corianderwing"
)

// These values were tuned with the runs of TestWrongfulRefusals.
const (
	demandHorizon     = 300 * time.Millisecond // a holder keeps tokens for the demand of this time
	lowHorizon        = 150 * time.Millisecond // it renews early with tokens for less than this time
	demandDecay       = time.Second            // time constant of the demand estimate
	idleTokens        = 2                      // tokens that an idle fixed bucket keeps back
	waitingInterval   = 5 * time.Millisecond   // minimum time between reports while requests wait
	lowInterval       = 50 * time.Millisecond  // minimum while tokens are low
	giveInterval      = 200 * time.Millisecond // minimum while the fixed part overflows
	shortfallInterval = 100 * time.Millisecond // minimum while the pool is empty
	answerTimeout     = 500 * time.Millisecond // time after which no answer is expected any more
)

// probeEvery is how many reports there are for each one that lists every bound,
// so that its answer shows which pools can use idle tokens.
const probeEvery = 4

// Holder is one instance's share of the bounds of one home group. Its methods
// are safe for concurrent use, and Take does not lock.
type Holder struct {
	origin time.Time
	bounds atomic.Pointer[map[corianderwing.BoundID]*Bound]

	mu           sync.Mutex
	semaphores   map[corianderwing.BoundID]*Semaphore
	reportSeq    uint64 // of the latest report
	sent         time.Time
	answered     bool // the latest report was answered
	everAnswered bool // a grantor has answered, so it ignores earlier incarnations of this instance
	shortfall    bool // the latest answer left requests waiting
}

// NewHolder returns a holder without tokens.
func NewHolder(now time.Time) *Holder {
	h := &Holder{origin: now, semaphores: make(map[corianderwing.BoundID]*Semaphore)}
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

// Configure sets the limit of this seat's fixed part of a bound, as Split
// returns it, or the zero Limit for an instance without a seat. A decrease
// takes effect at once. An increase, including the first limit, takes effect
// after PropagationDelay, when every process knows the new division, and not
// before a grantor has answered.
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
	if want := b.targetLimit(); l == want {
		return b
	}
	b.refresh(now, h.everAnswered)
	var low Limit
	low, b.pending = stageLimit(b.limit, l, now)
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

// Report returns the next renewal. Its answer must be passed to ApplyGrants
// with the same seq; answers to earlier reports are void from now on. A report
// may be sent again unchanged.
func (h *Holder) Report(now time.Time) (seq uint64, spends []corianderwing.TokenReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	elapsed := now.Sub(h.sent)
	if h.reportSeq == 0 {
		elapsed = now.Sub(h.origin)
	}
	give := h.answered
	h.reportSeq++
	h.sent, h.answered = now, false
	for _, b := range *h.bounds.Load() {
		b.refresh(now, h.everAnswered)
		b.updateDemand(elapsed)
		s := b.reconcile(now)
		if give && b.poolHasRoom {
			s.Returned = b.give(now, h.reportSeq)
		}
		s.Requested = max(0, b.neededTokens()-b.Available(now))
		idle := s == (corianderwing.TokenReport{Bound: b.id}) && !b.returning && b.demand == 0
		if !idle || b.poolHasRoom || h.reportSeq%probeEvery == 1 {
			spends = append(spends, s)
		}
	}
	for _, l := range h.semaphores {
		spends = append(spends, l.report(now))
	}
	return h.reportSeq, spends
}

// ApplyGrants applies the answer to the report with the given seq. An answer to
// an earlier report, or a second one, is ignored.
func (h *Holder) ApplyGrants(now time.Time, seq uint64, grants []corianderwing.Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if seq != h.reportSeq || h.answered {
		return
	}
	h.answered, h.everAnswered, h.shortfall = true, true, false
	all := *h.bounds.Load()
	for _, b := range all {
		b.poolHasRoom = false
		b.clearGives(now, seq)
	}
	for _, g := range grants {
		end := corianderwing.HolderDeadline(h.sent, time.Duration(g.ExpiresIn)*time.Millisecond)
		if l := h.semaphores[g.Bound]; l != nil {
			l.setShare(int64(g.Tokens), end)
		}
		b := all[g.Bound]
		if b == nil {
			continue
		}
		b.poolHasRoom = true
		b.addGrant(now, g.Tokens, end)
		if b.Waiting() > int64(b.Available(now)) {
			h.shortfall = true
		}
	}
}

// NeedsRenewal reports whether a report should be sent now rather than at the
// next regular time: requests are waiting, the available tokens will run out
// soon, or idle tokens of the fixed part are about to be lost.
func (h *Holder) NeedsRenewal(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	elapsed := now.Sub(h.sent)
	if h.reportSeq == 0 {
		return true
	}
	if !h.answered && elapsed < answerTimeout || h.shortfall && elapsed < shortfallInterval || elapsed < waitingInterval {
		return false
	}
	for _, b := range *h.bounds.Load() {
		available := b.Available(now)
		if b.Waiting() > int64(available) {
			return true
		}
		if elapsed >= lowInterval && float64(available) < b.currentDemand(elapsed)*lowHorizon.Seconds() {
			return true
		}
		if elapsed >= giveInterval && b.overflows(now) {
			return true
		}
	}
	return false
}

// Lend takes up to n tokens for another instance that asked for them. It
// returns how many it took and how long they are valid, counted from when the
// borrower asked.
func (h *Holder) Lend(now time.Time, id corianderwing.BoundID, n corianderwing.Tokens) (corianderwing.Tokens, corianderwing.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.Bound(id)
	if b == nil || n <= 0 {
		return 0, 0
	}
	b.refresh(now, h.everAnswered)
	return b.lend(now, n), corianderwing.Millis(LoanTTL / time.Millisecond)
}

// AddLoan adds tokens that another instance lent, as its Lend returned them to
// a request made at sent. It must be called once for each answer.
func (h *Holder) AddLoan(now, sent time.Time, id corianderwing.BoundID, n corianderwing.Tokens, left corianderwing.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.Bound(id)
	end := corianderwing.HolderDeadline(sent, time.Duration(left)*time.Millisecond)
	if b != nil && n > 0 && now.Before(end) {
		storeBatch(b.borrowed[:], b.ms(now), b.ms(end), n)
	}
}
