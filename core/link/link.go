// Package link limits the bandwidth that one instance uses to other regions to the
// caps of the links. A link direction is a limit of core/share with tokens of
// TokenBytes bytes. This package converts between bytes and tokens, decides on the
// admission of requests, and estimates the sizes of responses.
//
// Tokens are consumed when bytes are sent and not when a request is admitted.
// Tokens held while the upstream processes the request would add to those that the
// bucket gains in the meantime, and their sum could exceed the burst.
package link

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"corianderwing"
	"corianderwing/core/share"
)

const (
	// TokenBytes is the number of bytes per token. With 1024, one second at 1 Tbit/s
	// takes 122 million tokens, below the maximum of 268 million tokens in a lot of
	// core/share.
	TokenBytes = 1024
	// reservedFraction is the fraction of each cap that is not available to
	// requests: about 4% for TCP and IP headers (52 of 1500 bytes), which are not
	// counted, and the rest for gossip, consensus, distribution and records.
	reservedFraction = 0.1
	// burstDuration is the burst size, as the time in which the rate produces it:
	// 100 ms at 280 Mbit/s are 3.5 MB.
	burstDuration = 100 * time.Millisecond
	// fixedFraction is the fraction of the rate that is divided among the seats.
	fixedFraction = 0.5
	// maxReservation limits the reservation of one request. Larger responses are
	// paced, and must not block all other requests while they are sent.
	maxReservation = 256 << 10
	// soleReservation is the number of bytes that must be available if there is no
	// other reservation. Without this exception, a route whose estimate exceeds the
	// burst of a seat would never be admitted: in trials at 8 Mbit/s no request
	// was.
	soleReservation = 16 << 10
	// reservationHorizon is how far ahead reservations may count on future tokens.
	// It is of the order of an upstream's processing time plus the network latency.
	reservationHorizon = 500 * time.Millisecond
	// rateTimeConstant is the time constant for smoothing the acquisition rate.
	rateTimeConstant = 500 * time.Millisecond
)

// Limits returns the limit of one seat and the limit of the token pool of a link
// direction whose sending region has the given number of seats. The burst is
// reduced by one token per seat, because Limiter.Acquire may retain the remainder
// of a token.
func Limits(limit corianderwing.BytesPerSecond, seats int) (seat, pool share.Limit) {
	rate := float64(limit) * (1 - reservedFraction) / TokenBytes
	burst := rate*burstDuration.Seconds() - float64(seats)
	return share.Split(corianderwing.TokensPerSecond(rate), corianderwing.Tokens(max(1, burst)), fixedFraction, seats)
}

// Tokens returns the number of tokens that cover n bytes.
func Tokens(n corianderwing.Bytes) corianderwing.Tokens {
	return corianderwing.Tokens((n + TokenBytes - 1) / TokenBytes)
}

// Limiter limits one instance's use of a link direction. It tracks the reservations
// and the remainder of the last token. Its methods are safe for concurrent use.
type Limiter struct {
	holder    *share.Holder
	id        corianderwing.BoundID
	remainder atomic.Int64 // unused bytes of consumed tokens, less than TokenBytes
	reserved  atomic.Int64 // bytes
	queued    atomic.Int64 // bytes that wait for Acquire

	mu       sync.Mutex // guards the fields below
	rate     float64    // smoothed acquisition rate, tokens/s
	rateTime time.Time  // time of the last update of rate
}

// NewLimiter returns a limiter that draws tokens from the limit id of h.
func NewLimiter(h *share.Holder, id corianderwing.BoundID) *Limiter {
	return &Limiter{holder: h, id: id}
}

// Bound returns the limit's state in core/share, or nil if it is not configured.
func (l *Limiter) Bound() *share.Bound { return l.holder.Bound(l.id) }

// Reserve reserves n bytes if the available and expected tokens cover them, all
// other reservations and the bytes that wait for Acquire. If there is no other
// reservation, tokens for soleReservation bytes suffice.
func (l *Limiter) Reserve(now time.Time, n corianderwing.Bytes) bool {
	b := l.Bound()
	if b == nil {
		return false
	}
	n = min(n, maxReservation)
	totalReserved := l.reserved.Add(int64(n))
	need := corianderwing.Bytes(totalReserved)
	if need == n {
		need = min(n, soleReservation)
	}
	need += corianderwing.Bytes(l.queued.Load())
	if Tokens(need) <= b.Available(now)+l.expectedTokens(now, b) {
		return true
	}
	l.reserved.Add(-int64(n))
	return false
}

// AddQueued adds n, which may be negative, to the number of bytes that wait for
// Acquire.
func (l *Limiter) AddQueued(n corianderwing.Bytes) { l.queued.Add(int64(n)) }

// RecordRejected counts a request that Reserve rejected as demand, so that the next
// renewals request tokens.
func (l *Limiter) RecordRejected(n corianderwing.Bytes) {
	if b := l.Bound(); b != nil {
		b.AddDemand(Tokens(min(n, soleReservation)))
	}
}

// expectedTokens estimates the tokens gained within reservationHorizon, at the rate
// of the fixed fraction or the recent acquisition rate, whichever is higher.
func (l *Limiter) expectedTokens(now time.Time, b *share.Bound) corianderwing.Tokens {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate := max(float64(b.FixedRate()), l.rate*decay(now.Sub(l.rateTime)))
	return corianderwing.Tokens(rate * reservationHorizon.Seconds())
}

// recordAcquired adds n tokens to the acquisition rate.
func (l *Limiter) recordAcquired(now time.Time, n corianderwing.Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.After(l.rateTime) {
		l.rate *= decay(now.Sub(l.rateTime))
		l.rateTime = now
	}
	l.rate += float64(n) / rateTimeConstant.Seconds()
}

func decay(d time.Duration) float64 { return math.Exp(-d.Seconds() / rateTimeConstant.Seconds()) }

// Release releases a reservation of n bytes.
func (l *Limiter) Release(n corianderwing.Bytes) { l.reserved.Add(-int64(min(n, maxReservation))) }

// Acquire consumes tokens for up to n bytes and returns the number of bytes covered.
// It does not block.
func (l *Limiter) Acquire(now time.Time, n corianderwing.Bytes) corianderwing.Bytes {
	b := l.Bound()
	if b == nil || n <= 0 {
		return 0
	}
	covered := l.useRemainder(n)
	want := n - covered
	if want == 0 {
		return n
	}
	tokens := b.TakeUpTo(now, Tokens(want))
	b.AddDemand(tokens)
	l.recordAcquired(now, tokens)
	got := corianderwing.Bytes(tokens) * TokenBytes
	if got > want {
		l.addRemainder(got - want)
	}
	return covered + min(got, want)
}

func (l *Limiter) useRemainder(n corianderwing.Bytes) corianderwing.Bytes {
	for {
		rest := l.remainder.Load()
		use := min(rest, int64(n))
		if l.remainder.CompareAndSwap(rest, rest-use) {
			return corianderwing.Bytes(use)
		}
	}
}

// addRemainder adds n unused bytes to the remainder, which stays below one token
// regardless of the number of concurrent calls.
func (l *Limiter) addRemainder(n corianderwing.Bytes) {
	for {
		rest := l.remainder.Load()
		if l.remainder.CompareAndSwap(rest, min(rest+int64(n), TokenBytes-1)) {
			return
		}
	}
}
