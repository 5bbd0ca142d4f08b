package share

import (
	"sync/atomic"
	"time"

	"corianderwing"
)

const (
	batchBits    = 28 // up to 268 million tokens in a batch, and deadlines up to two years after the start of the process
	maxBatch     = 1<<batchBits - 1
	grantBatches = 4 // batches of granted tokens; one renewal a second needs two
	loanBatches  = 2
)

// batch is a number of tokens with a common deadline in one atomic word: the
// upper bits hold the deadline in milliseconds after the holder's start.
type batch struct{ v atomic.Uint64 }

// valid returns the tokens of the batch that are valid beyond ms.
func (b *batch) valid(ms uint64) corianderwing.Tokens {
	v := b.v.Load()
	if v>>batchBits <= ms {
		return 0
	}
	return corianderwing.Tokens(v & maxBatch)
}

// take takes n tokens that are valid beyond ms, or none.
func (b *batch) take(ms uint64, n corianderwing.Tokens) bool {
	for {
		v := b.v.Load()
		if v>>batchBits <= ms || corianderwing.Tokens(v&maxBatch) < n {
			return false
		}
		if b.v.CompareAndSwap(v, v-uint64(n)) {
			return true
		}
	}
}

// put replaces a batch that is empty or has expired.
func (b *batch) put(end uint64, n corianderwing.Tokens) {
	b.v.Store(end<<batchBits | uint64(min(n, maxBatch)))
}

// Bound is a holder's share of one bound. Take, Poll and AddWaiting are safe
// for concurrent use and do not allocate. The fields from limit on are guarded
// by the mutex of the Holder.
type Bound struct {
	id       corianderwing.BoundID
	origin   time.Time
	fixed    atomic.Pointer[Bucket]
	granted  [grantBatches]batch
	borrowed [loanBatches]batch // tokens borrowed from other instances
	requests atomic.Int64
	waiting  atomic.Int64

	// The following fields are guarded by the mutex of the Holder.
	limit       Limit
	pending     pendingLimit
	fullDepth   int64                // time to fill the whole burst
	accounted   corianderwing.Tokens // granted tokens held at the last report or accepted since
	poolHasRoom bool                 // the pool can use tokens
	returning   bool                 // the latest report returns tokens
	demand      float64              // tokens per second
	debts       []debt
}

// debt is a number of tokens that have left the holder but still count, against
// the depth of the fixed bucket or as held granted tokens.
type debt struct {
	fixed   corianderwing.Tokens // of the fixed bucket
	granted corianderwing.Tokens // of the granted tokens
	until   time.Time            // end of a loan to another instance
	seq     uint64               // report that gives the tokens to the pool; zero for a loan
}

// Take takes one token and counts the request as demand.
func (b *Bound) Take(now time.Time) bool {
	b.requests.Add(1)
	return b.TakeN(now, 1)
}

// Poll takes one token for a request that Take has already counted as demand.
func (b *Bound) Poll(now time.Time) bool { return b.TakeN(now, 1) }

// TakeN takes n tokens, or none. It prefers the fixed part, whose tokens are
// lost when its bucket is full, whereas unspent grants return to the pool.
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

// AddWaiting adds n to the number of requests that wait for a token. The next
// report asks for as many additional tokens.
func (b *Bound) AddWaiting(n int64) { b.waiting.Add(n) }

// Waiting returns the number of requests that wait for a token.
func (b *Bound) Waiting() int64 { return b.waiting.Load() }

// Available returns the number of tokens that could be taken now.
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

// ms returns the milliseconds since the holder's start, rounded down.
func (b *Bound) ms(t time.Time) uint64 {
	return uint64(max(0, t.Sub(b.origin)) / time.Millisecond)
}
