package share

import (
	"sync/atomic"
	"time"

	"corianderwing"
)

const (
	batchBits    = 28 // 268 million tokens in a lot, and lot ends up to two years after the start of the process
	maxBatch     = 1<<batchBits - 1
	grantBatches = 4 // lots of granted tokens; a renewal a second needs two
	loanBatches  = 2
)

// batch is a number of tokens with a common deadline, in one word: the upper
// bits hold the deadline in milliseconds after the holder's start.
type batch struct{ v atomic.Uint64 }

// valid returns the tokens of the lot that outlive ms.
func (l *batch) valid(ms uint64) corianderwing.Tokens {
	v := l.v.Load()
	if v>>batchBits <= ms {
		return 0
	}
	return corianderwing.Tokens(v & maxBatch)
}

// take takes n tokens that outlive ms, or none.
func (l *batch) take(ms uint64, n corianderwing.Tokens) bool {
	for {
		v := l.v.Load()
		if v>>batchBits <= ms || corianderwing.Tokens(v&maxBatch) < n {
			return false
		}
		if l.v.CompareAndSwap(v, v-uint64(n)) {
			return true
		}
	}
}

// put replaces an empty or expired lot.
func (l *batch) put(end uint64, n corianderwing.Tokens) {
	l.v.Store(end<<batchBits | uint64(min(n, maxBatch)))
}

// Bound is a holder's share of one bound. Take, Poll and Wait are safe for
// concurrent use and do not allocate; the other fields belong to the Holder.
type Bound struct {
	id       corianderwing.BoundID
	origin   time.Time
	fixed    atomic.Pointer[Bucket]
	granted  [grantBatches]batch
	borrowed [loanBatches]batch // tokens borrowed from neighbours
	requests atomic.Int64
	waiting  atomic.Int64

	// The following are guarded by the mutex of the Holder.
	limit       Limit
	pending     pendingLimit
	fullDepth   int64                // fill time of the whole burst
	accounted   corianderwing.Tokens // granted tokens held at the last report, and accepted since
	poolHasRoom bool                 // the pool can use tokens
	returning   bool                 // the latest report returns tokens
	demand      float64              // tokens per second
	debts       []debt
}

// debt is a number of tokens that left the holder and still count: against the
// depth of the fixed bucket, or as held granted tokens.
type debt struct {
	fixed   corianderwing.Tokens // of the fixed bucket
	granted corianderwing.Tokens // of the granted tokens
	until   time.Time            // end of a loan to a neighbour
	seq     uint64               // report that carries a give; zero for a loan
}

// Take takes one token and counts the request as demand.
func (b *Bound) Take(now time.Time) bool {
	b.requests.Add(1)
	return b.TakeN(now, 1)
}

// Poll takes one token for a request that Take has already counted.
func (b *Bound) Poll(now time.Time) bool { return b.TakeN(now, 1) }

// TakeN takes n tokens, or none: from the fixed part first, because its
// tokens are lost when it is full, whereas unspent grants return to the pool.
func (b *Bound) TakeN(now time.Time, n corianderwing.Tokens) bool {
	for {
		f := b.fixed.Load()
		if f.Take(now, n) {
			return true
		}
		if b.fixed.Load() == f {
			break
		}
	}
	ms := b.ms(now)
	for i := range b.borrowed {
		if b.borrowed[i].take(ms, n) {
			return true
		}
	}
	for i := range b.granted {
		if b.granted[i].take(ms, n) {
			return true
		}
	}
	return false
}

// AddWaiting changes the number of requests that wait for a token by n. The next
// report asks for as many tokens in addition.
func (b *Bound) AddWaiting(n int64) { b.waiting.Add(n) }

// Waiting returns the number of requests that wait for a token.
func (b *Bound) Waiting() int64 { return b.waiting.Load() }

// Available returns the tokens that Take could take now.
func (b *Bound) Available(now time.Time) corianderwing.Tokens {
	n := b.fixed.Load().Level(now)
	ms := b.ms(now)
	for i := range b.borrowed {
		n += b.borrowed[i].valid(ms)
	}
	for i := range b.granted {
		n += b.granted[i].valid(ms)
	}
	return n
}

// ms returns the time since the holder's start, rounded down.
func (b *Bound) ms(t time.Time) uint64 {
	return uint64(max(0, t.Sub(b.origin)) / time.Millisecond)
}
