package share

import (
	"time"

	"corianderwing"
)

// AddDemand counts n tokens as demand, as Take does for one.
func (b *Bound) AddDemand(n corianderwing.Tokens) { b.requests.Add(int64(n)) }

// FixedRate returns the rate of the fixed part.
func (b *Bound) FixedRate() corianderwing.TokensPerSecond {
	f := b.fixed.Load()
	if f.tokenCost == 0 {
		return 0
	}
	return corianderwing.TokensPerSecond(1e9 / f.nsPerToken)
}

// TakeUpTo takes up to n tokens in the same order as TakeN, but from several
// sources if necessary, and returns how many it took. It is safe for concurrent
// use.
func (b *Bound) TakeUpTo(now time.Time, n corianderwing.Tokens) corianderwing.Tokens {
	var got corianderwing.Tokens
	f := b.fixed.Load()
	if part := min(n, f.Level(now)); part > 0 && f.Take(now, part) {
		got = part
	}
	ms := b.ms(now)
	for _, batches := range [2][]batch{b.borrowed[:], b.granted[:]} {
		for i := range batches {
			if part := min(n-got, batches[i].valid(ms)); part > 0 && batches[i].take(ms, part) {
				got += part
			}
		}
	}
	return got
}
