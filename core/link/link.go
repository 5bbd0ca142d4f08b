// Package link keeps what one instance sends to other regions below the caps
// of the links. A link direction is a bound of core/share in units of Unit
// bytes; this package converts between bytes and tokens, decides whether a
// request may begin, and estimates the sizes of answers.
//
// Tokens are taken when bytes are sent and not when a request begins. Tokens
// that are held while an upstream works would add to those that the bucket
// gains meanwhile, and both together would exceed the burst.
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
	// TokenBytes is the number of bytes that one token stands for. With it a second
	// of 1 Tbit/s has 122 million tokens, below the 268 million that a lot of
	// core/share holds.
	TokenBytes = 1024
	// reservedFraction is the part of each cap that is kept back: about 4% for TCP and
	// IP headers (52 of 1500 bytes), which are not counted, and the rest for
	// gossip, consensus, distribution and records.
	reservedFraction = 0.1
	// burstDuration is the time for which a direction may be used at its rate
	// beyond its rate. 100 ms of 280 Mbit/s are 3.5 MB.
	burstDuration = 100 * time.Millisecond
	// fixedFraction is the part that is divided over seats.
	fixedFraction = 0.5
	// maxReservation bounds the booking of one request. Longer answers are paced, and
	// must not keep out all others for as long as they take.
	maxReservation = 256 << 10
	// soleReservation is what the only booking needs. Without it a route whose
	// estimate exceeds the burst of a seat would never cross the link: in
	// trials at 8 Mbit/s no request was admitted.
	soleReservation = 16 << 10
	// reservationHorizon is the time in which bookings may use tokens that are yet to
	// come. It is of the order of an upstream's work and the way there.
	reservationHorizon = 500 * time.Millisecond
	// rateTimeConstant smooths the rate of payments.
	rateTimeConstant = 500 * time.Millisecond
)

// Limits returns the limit of one seat and the limit of the token pool of a
// link direction whose sending region has the given number of seats. One token
// for each seat is left out of the burst, because Line.Pay may keep the rest
// of a token.
func Limits(limit corianderwing.BytesPerSecond, seats int) (seat, pool share.Limit) {
	rate := float64(limit) * (1 - reservedFraction) / TokenBytes
	burst := rate*burstDuration.Seconds() - float64(seats)
	return share.Divide(corianderwing.TokensPerSecond(rate), corianderwing.Tokens(max(1, burst)), fixedFraction, seats)
}

// Tokens returns the number of tokens that cover n bytes.
func Tokens(n corianderwing.Bytes) corianderwing.Tokens {
	return corianderwing.Tokens((n + TokenBytes - 1) / TokenBytes)
}

// Limiter is one instance's share of a link direction. It owns the bookings and
// the rest of the last token. Its methods are safe for concurrent use.
type Limiter struct {
	holder    *share.Holder
	id        corianderwing.BoundID
	remainder atomic.Int64 // bytes of a token that was taken in part, less than Unit
	reserved  atomic.Int64 // bytes
	queued    atomic.Int64 // bytes that wait for Pay

	mu       sync.Mutex // guards what follows
	rate     float64    // smoothed rate of payments, tokens/s
	rateTime time.Time  // of rate
}

// NewLimiter returns the share of the bound id of h.
func NewLimiter(h *share.Holder, id corianderwing.BoundID) *Limiter {
	return &Limiter{holder: h, id: id}
}

// Bound returns the bound, or nil while it is not configured.
func (l *Limiter) Bound() *share.Bound { return l.holder.Bound(l.id) }

// Reserve books n bytes if the tokens at hand, and those that are soon gained,
// cover them, all other bookings and what waits for Pay. For the only booking, firstBook bytes are enough.
func (l *Limiter) Reserve(now time.Time, n corianderwing.Bytes) bool {
	b := l.Bound()
	if b == nil {
		return false
	}
	n = min(n, maxReservation)
	booked := l.reserved.Add(int64(n))
	need := corianderwing.Bytes(booked)
	if need == n {
		need = min(n, soleReservation)
	}
	need += corianderwing.Bytes(l.queued.Load())
	if Tokens(need) <= b.Stock(now)+l.expectedTokens(now, b) {
		return true
	}
	l.reserved.Add(-int64(n))
	return false
}

// AddQueued changes the number of bytes that wait for Pay by n.
func (l *Limiter) AddQueued(n corianderwing.Bytes) { l.queued.Add(int64(n)) }

// RecordRejected counts a request that Reserve did not admit as demand, so that the
// next renewals ask for tokens.
func (l *Limiter) RecordRejected(n corianderwing.Bytes) {
	if b := l.Bound(); b != nil {
		b.Ask(Tokens(min(n, soleReservation)))
	}
}

// expectedTokens returns the tokens that the line will probably gain within bookAhead:
// at the rate of the fixed part or at that of the latest payments.
func (l *Limiter) expectedTokens(now time.Time, b *share.Bound) corianderwing.Tokens {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate := max(float64(b.FixedRate()), l.rate*decay(now.Sub(l.rateTime)))
	return corianderwing.Tokens(rate * reservationHorizon.Seconds())
}

// recordPayment adds n tokens to the rate of payments.
func (l *Limiter) recordPayment(now time.Time, n corianderwing.Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.After(l.rateTime) {
		l.rate *= decay(now.Sub(l.rateTime))
		l.rateTime = now
	}
	l.rate += float64(n) / rateTimeConstant.Seconds()
}

func decay(d time.Duration) float64 { return math.Exp(-d.Seconds() / rateTimeConstant.Seconds()) }

// Release ends a booking of n bytes.
func (l *Limiter) Release(n corianderwing.Bytes) { l.reserved.Add(-int64(min(n, maxReservation))) }

// Acquire takes tokens for up to n bytes and returns for how many.
func (l *Limiter) Acquire(now time.Time, n corianderwing.Bytes) corianderwing.Bytes {
	b := l.Bound()
	if b == nil || n <= 0 {
		return 0
	}
	paid := l.useRemainder(n)
	want := n - paid
	if want == 0 {
		return n
	}
	tokens := b.TakePart(now, Tokens(want))
	b.Ask(tokens)
	l.recordPayment(now, tokens)
	got := corianderwing.Bytes(tokens) * TokenBytes
	if got > want {
		l.addRemainder(got - want)
	}
	return paid + min(got, want)
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

// addRemainder keeps less than one token, however many calls run at the same time.
func (l *Limiter) addRemainder(n corianderwing.Bytes) {
	for {
		rest := l.remainder.Load()
		if l.remainder.CompareAndSwap(rest, min(rest+int64(n), TokenBytes-1)) {
			return
		}
	}
}
