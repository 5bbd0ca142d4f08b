// Package share divides fleet-wide rate limits (bounds) into shares that expire.
//
// A bound of rate R and burst B is split into a fixed part, divided equally over
// the seats, and a token pool. Each seat has its own Bucket. The leader of the
// bound's home group runs a Grantor, which owns the pool and grants its tokens to
// Holders for a limited time. The requests admitted in any window of w seconds
// never exceed R·w + B, whatever the network does. The proof rests on these rules:
//
// - Every bucket fills at rate/(1+MaxClockDrift), so that the fastest clock allowed
// fills it at its rate.
// - The pool's level and the outstanding grants together never exceed the
// burst of the pool.
// - Tokens that a Holder gives or lends leave its bucket first. They reduce
// the depth of that bucket until they are known to be elsewhere or have
// expired.
// - A Holder accepts the answer to its latest report only. A report therefore
// states all granted tokens that the Holder can ever spend, and the Grantor
// takes back the rest.
// - A Grantor credits gives and takes back tokens only for a report that
// directly follows one that it answered itself. An old report that reaches
// another leader creates no tokens.
// - An increase of a configured limit takes effect after PropagationDelay,
// when no process uses the earlier limits any more.
//
// A request that finds no token should not be refused at once. Its instance calls
// Bound.AddWaiting(1), sends a report if Holder.NeedsRenewal says so, and asks
// other instances to Lend: those of its region one after the other, then all
// others at once for a quarter of the waiting requests each, again every 20 ms.
// It calls Bound.Poll after each answer until the request's maximum wait is over,
// and Bound.AddWaiting(-1) at the end. The refusal rates of TestWrongfulRefusals
// hold for this sequence.
package share

import (
	"time"

	"corianderwing"
)

const (
	// GrantTTL is how long granted tokens are valid: long enough for one
	// renewal a second with a margin. A new leader waits as long, so a longer
	// GrantTTL means more refusals after the loss of a leader.
	GrantTTL = 1500 * time.Millisecond
	// PropagationDelay is the time after which every process that may act knows
	// a changed limit: the length of a freshness lease.
	PropagationDelay = 3 * time.Second
	// LoanTTL is how long borrowed tokens are valid. It can be short because a
	// borrower has requests waiting and uses the tokens at once.
	LoanTTL = 500 * time.Millisecond
)

// Limit is a rate and the burst that may exceed it.
type Limit struct {
	Rate  corianderwing.TokensPerSecond
	Burst float64 // tokens; a seat's part is rarely a whole number
}

// minSeatBurst is the smallest useful burst of a seat, in tokens. In a trial
// with 1.25 tokens, 8 to 10% of the requests of a workspace at 0.7 of its rate
// were refused, because most of its tokens were at other seats. An idle seat
// keeps two tokens, so a seat of 2.08 tokens never gave any back (demo, seed
// 1).
const minSeatBurst = 4

// Split splits a bound into the limit of one seat and the limit of the token
// pool. If a seat's part would be too small to be useful, the pool gets the
// whole bound.
func Split(rate corianderwing.TokensPerSecond, burst corianderwing.Tokens, fixed float64, seats int) (seat, pool Limit) {
	whole := Limit{Rate: rate, Burst: float64(burst)}
	if seats < 1 || fixed <= 0 || fixed*whole.Burst/float64(seats) < minSeatBurst {
		return Limit{}, whole
	}
	fixed = min(fixed, 1)
	n := float64(seats)
	seat = Limit{Rate: rate * corianderwing.TokensPerSecond(fixed/n), Burst: whole.Burst * fixed / n}
	pool = Limit{Rate: rate * corianderwing.TokensPerSecond(1-fixed), Burst: whole.Burst * (1 - fixed)}
	return seat, pool
}

// minLimit returns the lower of the two rates with the lower of the two bursts.
func minLimit(a, b Limit) Limit {
	return Limit{Rate: min(a.Rate, b.Rate), Burst: min(a.Burst, b.Burst)}
}

// pendingLimit is a configured limit that is not in effect yet.
type pendingLimit struct {
	limit       Limit
	effectiveAt time.Time // zero: nothing is pending
}

// stageLimit returns the limit to apply at once and the increase to apply
// later.
func stageLimit(old, next Limit, now time.Time) (Limit, pendingLimit) {
	low := minLimit(old, next)
	if low == next {
		return low, pendingLimit{}
	}
	return low, pendingLimit{limit: next, effectiveAt: corianderwing.GrantorDeadline(now, PropagationDelay)}
}

// due reports whether the limit may take effect.
func (p pendingLimit) due(now time.Time) bool {
	return !p.effectiveAt.IsZero() && !now.Before(p.effectiveAt)
}
