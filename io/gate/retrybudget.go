package gate

import "time"

const (
	// earnFraction is the fraction of the retry ratio that each request earns. The
	// rule counts retries over a window of time, in which the tokens of the window
	// before it may be spent as well.
	earnFraction = 0.5
	// retryTokenTTL is how long a token can be spent. The instances do not know each
	// other's tokens: without an end, all of them could spend what they saved in a long
	// time without failures within one window. It is shorter than a window, 10 s,
	// because a retry may wait for its slot before it reaches an upstream.
	retryTokenTTL = 8 * time.Second
	// retryPeriod is the unit of time in which tokens expire.
	retryPeriod = time.Second
	// retryReserve is the number of tokens that do not expire, so that an instance
	// with few requests can retry at all. Those of all instances together must fit
	// into the slack of the rule, which is at least 2.1 retries for each instance on
	// all known sites. The rest is for the reserves of instances that restart.
	retryReserve = 1.0
)

// retryBudget is a token bucket that bounds the retries at one pool. The boot clock is
// used because the time in which a machine is suspended counts.
type retryBudget struct {
	ratio     float64 // tokens that a request earns
	reserve   float64 // tokens that do not expire
	earned    [retryTokenTTL / retryPeriod]float64
	periodEnd time.Time // of the last element of earned
}

func newRetryBudget(ratio float64) retryBudget {
	return retryBudget{ratio: ratio * earnFraction, reserve: retryReserve}
}

// earn adds the tokens of one request. The reserve is filled first.
func (b *retryBudget) earn(now time.Time) {
	b.expire(now)
	kept := min(b.ratio, retryReserve-b.reserve)
	b.reserve += kept
	b.earned[len(b.earned)-1] += b.ratio - kept
}

// available returns the number of tokens.
func (b *retryBudget) available(now time.Time) float64 {
	b.expire(now)
	n := b.reserve
	for _, earned := range b.earned {
		n += earned
	}
	return n
}

// spend takes a token, the oldest one first, and reports whether there was one.
func (b *retryBudget) spend(now time.Time) bool {
	if b.available(now) < 1 {
		return false
	}
	price := 1.0
	for i, earned := range b.earned {
		n := min(price, earned)
		b.earned[i] -= n
		price -= n
	}
	b.reserve -= price
	return true
}

// expire removes the tokens that are older than retryTokenTTL.
func (b *retryBudget) expire(now time.Time) {
	for range b.earned {
		if now.Before(b.periodEnd) {
			return
		}
		copy(b.earned[:], b.earned[1:])
		b.earned[len(b.earned)-1] = 0
		b.periodEnd = b.periodEnd.Add(retryPeriod)
	}
	if !now.Before(b.periodEnd) { // longer than retryTokenTTL ago
		b.periodEnd = now.Add(retryPeriod)
	}
}
