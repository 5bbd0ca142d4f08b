package share

import (
	"math"
	"slices"
	"time"

	"corianderwing"
)

// The functions in this file run under the mutex of the Holder, at the same
// time as takers.

// targetLimit returns the limit in effect once no change is pending.
func (b *Bound) targetLimit() Limit {
	if b.pending.effectiveAt.IsZero() {
		return b.limit
	}
	return b.pending.limit
}

// refresh drops expired loans to other instances and applies a pending limit
// that is due.
func (b *Bound) refresh(now time.Time, everAnswered bool) {
	b.debts = slices.DeleteFunc(b.debts, func(d debt) bool {
		if d.seq != 0 || now.Before(d.until) {
			return false
		}
		return true
	})
	b.limitDepth(now, b.fixed.Load())
	if everAnswered && b.pending.due(now) {
		l := b.pending.limit
		b.pending = pendingLimit{}
		b.apply(now, l)
	}
}

// apply replaces the fixed bucket.
func (b *Bound) apply(now time.Time, l Limit) {
	if l == b.limit {
		return
	}
	b.limit = l
	f := b.fixed.Load().replace(l, now)
	b.fullDepth = f.depth.Load()
	b.limitDepth(now, f)
	b.fixed.Store(f)
}

// limitDepth sets the depth of the fixed bucket to its burst less the debts.
func (b *Bound) limitDepth(now time.Time, f *Bucket) {
	if f.tokenCost == 0 {
		return
	}
	depth := b.fullDepth
	for _, d := range b.debts {
		depth -= f.cost(d.fixed)
	}
	f.setDepth(now, depth)
}

// clearGives drops the debts for gives up to the report with the given seq: the
// grantor has processed them or will ignore them.
func (b *Bound) clearGives(now time.Time, seq uint64) {
	b.debts = slices.DeleteFunc(b.debts, func(d debt) bool {
		if d.seq == 0 || d.seq > seq {
			return false
		}
		return true
	})
	b.limitDepth(now, b.fixed.Load())
}

// currentDemand returns the demand per second, including requests since the
// last report. It is an average in which a request decays with demandDecay.
func (b *Bound) currentDemand(elapsed time.Duration) float64 {
	decay := math.Exp(-elapsed.Seconds() / demandDecay.Seconds())
	return b.demand*decay + float64(b.requests.Load())/demandDecay.Seconds()
}

// updateDemand updates the demand estimate and resets the request count.
func (b *Bound) updateDemand(elapsed time.Duration) {
	b.demand = b.currentDemand(elapsed)
	if b.demand < 0.01 {
		b.demand = 0
	}
	b.requests.Store(0)
}

// overflows reports whether idle tokens of the fixed part are about to be lost
// while the pool can use them.
func (b *Bound) overflows(now time.Time) bool {
	f := b.fixed.Load()
	return b.poolHasRoom && f.tokenCost > 0 && f.levelTime(now) > f.depth.Load()/4*3 && f.Level(now) > idleTokens+b.neededTokens()
}

// neededTokens returns the number of tokens needed until the next renewals.
func (b *Bound) neededTokens() corianderwing.Tokens {
	return corianderwing.Tokens(math.Ceil(b.demand*demandHorizon.Seconds())) + corianderwing.Tokens(b.Waiting())
}

// reconcile accounts for the granted tokens since the last report. Each of them
// is either still held, or withdrawn here because it has expired or is in
// excess, or spent. The grantor takes back what is neither held nor spent.
func (b *Bound) reconcile(now time.Time) corianderwing.TokenReport {
	var held, dropped corianderwing.Tokens
	excess := b.Available(now) - 2*b.neededTokens()
	ms := b.ms(now)
	for i := range b.granted {
		l := &b.granted[i]
		for {
			v := l.v.Load()
			n := corianderwing.Tokens(v & maxBatch)
			drop := max(0, min(n, excess))
			if v>>batchBits <= ms {
				drop = n
			}
			if l.v.CompareAndSwap(v, v-uint64(drop)) {
				held += n - drop
				dropped += drop
				excess -= drop
				break
			}
		}
	}
	for _, d := range b.debts {
		held += d.granted
	}
	b.returning = dropped > 0
	s := corianderwing.TokenReport{Bound: b.id, Held: held, Spent: b.accounted - held - dropped}
	b.accounted = held
	return s
}

// give moves the idle tokens of the fixed bucket to the pool.
func (b *Bound) give(now time.Time, seq uint64) corianderwing.Tokens {
	f := b.fixed.Load()
	n := f.Level(now) - idleTokens - b.neededTokens()
	if !f.reserve(now, n) {
		return 0
	}
	b.debts = append(b.debts, debt{fixed: n, seq: seq})
	return n
}

// addGrant stores granted tokens.
func (b *Bound) addGrant(now time.Time, n corianderwing.Tokens, end time.Time) {
	if n > 0 && now.Before(end) {
		b.accounted += storeBatch(b.granted[:], b.ms(now), b.ms(end), n)
	}
}

// lend takes up to n tokens that this holder does not need itself, from the
// fixed bucket first. Granted tokens are lent only if they outlive the loan.
func (b *Bound) lend(now time.Time, n corianderwing.Tokens) corianderwing.Tokens {
	until := corianderwing.GrantorDeadline(now, LoanTTL)
	need := corianderwing.Tokens(math.Ceil(b.demand*lowHorizon.Seconds())) + corianderwing.Tokens(b.Waiting())
	n = min(n, b.Available(now)-need)
	f := b.fixed.Load()
	d := debt{until: until}
	var lent corianderwing.Tokens
	if part := min(n, f.Level(now)); f.reserve(now, part) {
		d.fixed = part
		lent = part
	}
	ms := b.ms(until) + 1
	for i := range b.granted {
		part := min(n-lent, b.granted[i].valid(ms))
		if part > 0 && b.granted[i].take(ms, part) {
			d.granted += part
			lent += part
		}
	}
	if lent > 0 {
		b.debts = append(b.debts, d)
	}
	return lent
}

// storeBatch puts tokens into a batch that is empty or has expired, or else
// adds them to the batch that ends first. It returns how many tokens it stored.
func storeBatch(batches []batch, ms, end uint64, n corianderwing.Tokens) corianderwing.Tokens {
	n = min(n, maxBatch)
	best := 0
	for i := range batches {
		if batches[i].valid(ms) == 0 {
			batches[i].put(end, n)
			return n
		}
		if batches[i].v.Load()>>batchBits < batches[best].v.Load()>>batchBits {
			best = i
		}
	}
	l := &batches[best]
	for {
		v := l.v.Load()
		sum := min(corianderwing.Tokens(v&maxBatch)+n, maxBatch)
		next := min(v>>batchBits, end)<<batchBits | uint64(sum)
		if l.v.CompareAndSwap(v, next) {
			return sum - corianderwing.Tokens(v&maxBatch)
		}
	}
}
