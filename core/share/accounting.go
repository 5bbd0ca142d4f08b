package share

import (
	"math"
	"slices"
	"time"

	"corianderwing"
)

// The functions in this file run under the mutex of the Holder, at the same
// time as takers.

// goal returns the limit that is in force once no change is pending.
func (b *Bound) goal() Limit {
	if b.next.at.IsZero() {
		return b.limit
	}
	return b.next.limit
}

// settle applies a due change and ends loans to neighbours that have expired.
func (b *Bound) settle(now time.Time, met bool) {
	b.debts = slices.DeleteFunc(b.debts, func(d debt) bool {
		if d.seq != 0 || now.Before(d.until) {
			return false
		}
		return true
	})
	b.limitDepth(now, b.fixed.Load())
	if met && b.next.due(now) {
		l := b.next.limit
		b.next = change{}
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
	b.full = f.depth.Load()
	b.limitDepth(now, f)
	b.fixed.Store(f)
}

// limitDepth makes the depth of the fixed bucket what the debts leave of its
// burst.
func (b *Bound) limitDepth(now time.Time, f *Bucket) {
	if f.one == 0 {
		return
	}
	depth := b.full
	for _, d := range b.debts {
		depth -= f.cost(d.fixed)
	}
	f.setDepth(now, depth)
}

// release ends the debts for gives up to the report with the given seq: the
// grantor has processed them, or ignores them from now on.
func (b *Bound) release(now time.Time, seq uint64) {
	b.debts = slices.DeleteFunc(b.debts, func(d debt) bool {
		if d.seq == 0 || d.seq > seq {
			return false
		}
		return true
	})
	b.limitDepth(now, b.fixed.Load())
}

// need returns the demand per second, the tries since the last report
// included: an average in which a try decays with demandAge.
func (b *Bound) need(passed time.Duration) float64 {
	decay := math.Exp(-passed.Seconds() / demandAge.Seconds())
	return b.demand*decay + float64(b.tries.Load())/demandAge.Seconds()
}

// estimate updates the demand.
func (b *Bound) estimate(passed time.Duration) {
	b.demand = b.need(passed)
	if b.demand < 0.01 {
		b.demand = 0
	}
	b.tries.Store(0)
}

// overflows reports whether idle tokens of the fixed part are about to be lost
// while the pool can use them.
func (b *Bound) overflows(now time.Time) bool {
	f := b.fixed.Load()
	return b.open && f.one > 0 && f.fill(now) > f.depth.Load()/4*3 && f.Level(now) > spare+b.target()
}

// target returns the tokens that the demand needs until the next renewals.
func (b *Bound) target() corianderwing.Tokens {
	return corianderwing.Tokens(math.Ceil(b.demand*ahead.Seconds())) + corianderwing.Tokens(b.Waiting())
}

// spend closes the books on the granted tokens. What the book holds is either
// still held, or was withdrawn here because it expired or is in excess, or was
// spent. The grantor takes back what is neither held nor spent.
func (b *Bound) spend(now time.Time) corianderwing.TokenReport {
	var held, dropped corianderwing.Tokens
	excess := b.Available(now) - 2*b.target()
	ms := b.ms(now)
	for i := range b.lots {
		l := &b.lots[i]
		for {
			v := l.v.Load()
			n := corianderwing.Tokens(v & lotMax)
			drop := max(0, min(n, excess))
			if v>>lotBits <= ms {
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
		held += d.lots
	}
	b.back = dropped > 0
	s := corianderwing.TokenReport{Bound: b.id, Held: held, Spent: b.book - held - dropped}
	b.book = held
	return s
}

// give takes the idle tokens of the fixed bucket for the pool.
func (b *Bound) give(now time.Time, seq uint64) corianderwing.Tokens {
	f := b.fixed.Load()
	n := f.Level(now) - spare - b.target()
	if !f.reserve(now, n) {
		return 0
	}
	b.debts = append(b.debts, debt{fixed: n, seq: seq})
	return n
}

// put stores granted tokens.
func (b *Bound) put(now time.Time, n corianderwing.Tokens, end time.Time) {
	if n > 0 && now.Before(end) {
		b.book += store(b.lots[:], b.ms(now), b.ms(end), n)
	}
}

// lend takes up to n tokens beyond the own need, from the fixed bucket first.
// Of the granted tokens only those count that outlive the loan.
func (b *Bound) lend(now time.Time, n corianderwing.Tokens) corianderwing.Tokens {
	until := corianderwing.GrantorDeadline(now, LoanTTL)
	need := corianderwing.Tokens(math.Ceil(b.demand*lowStock.Seconds())) + corianderwing.Tokens(b.Waiting())
	n = min(n, b.Available(now)-need)
	f := b.fixed.Load()
	d := debt{until: until}
	var lent corianderwing.Tokens
	if part := min(n, f.Level(now)); f.reserve(now, part) {
		d.fixed = part
		lent = part
	}
	ms := b.ms(until) + 1
	for i := range b.lots {
		part := min(n-lent, b.lots[i].valid(ms))
		if part > 0 && b.lots[i].take(ms, part) {
			d.lots += part
			lent += part
		}
	}
	if lent > 0 {
		b.debts = append(b.debts, d)
	}
	return lent
}

// store puts tokens into a lot that is empty or has expired, or joins them with the lot that
// ends first. It returns how many tokens it stored.
func store(lots []lot, ms, end uint64, n corianderwing.Tokens) corianderwing.Tokens {
	n = min(n, lotMax)
	best := 0
	for i := range lots {
		if lots[i].valid(ms) == 0 {
			lots[i].put(end, n)
			return n
		}
		if lots[i].v.Load()>>lotBits < lots[best].v.Load()>>lotBits {
			best = i
		}
	}
	l := &lots[best]
	for {
		v := l.v.Load()
		sum := min(corianderwing.Tokens(v&lotMax)+n, lotMax)
		next := min(v>>lotBits, end)<<lotBits | uint64(sum)
		if l.v.CompareAndSwap(v, next) {
			return sum - corianderwing.Tokens(v&lotMax)
		}
	}
}
