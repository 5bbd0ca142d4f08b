// Package retry decides whether a failed attempt of a request is repeated.
// The package reads no clock.
package retry

import (
	"time"

	"corianderwing"
)

// Attempt describes a failed attempt.
type Attempt struct {
	Code          corianderwing.Code
	Ran           corianderwing.Execution
	NonIdempotent bool      // the route is not idempotent
	AttemptsLeft  int       // attempts that the settings still allow
	Deadline      time.Time // deadline of the request
	Replayable    bool      // the request's body can be sent again
}

// Scope tells where a failed request may be tried again.
type Scope uint8

// The scopes of a retry.
const (
	NoRetry       Scope = iota
	OtherUpstream       // at another upstream of the pool, here or elsewhere
	OtherDomain         // in another failure domain only: this one has no room or no upstream
)

// Classify returns where a request that failed with t may run again. A request
// that has not run may be repeated on any route. One that may have run is
// repeated on idempotent routes only.
func Classify(t Attempt, now time.Time) Scope {
	if !t.Replayable || !now.Before(t.Deadline) {
		return NoRetry
	}
	if t.Ran != corianderwing.NotExecuted && t.NonIdempotent {
		return NoRetry
	}
	switch t.Code {
	case corianderwing.ConnectFailed, corianderwing.Shed, corianderwing.SendFailed,
		corianderwing.FirstByteTimeout, corianderwing.ResponseTruncated, corianderwing.ResponseMismatch:
		if t.AttemptsLeft <= 0 {
			return NoRetry
		}
		return OtherUpstream
	case corianderwing.QueueFull, corianderwing.DeadlineUnreachable, corianderwing.NoCapacity,
		corianderwing.NoUpstream, corianderwing.NotOwner, corianderwing.Stopping, corianderwing.LinkFull:
		return OtherDomain // DeadlineUnreachable: the wait was too long here, not everywhere
	}
	return NoRetry
}

// Config sets the size of a Budget.
type Config struct {
	// Ratio is the number of retries that each request earns. Default 0.2.
	Ratio float64
	// MinPerSecond is the number of retries per second that a workspace with little
	// traffic may use. Default 1.
	MinPerSecond float64
	// Burst is the largest number of saved retries. Default 10.
	Burst float64
	// MaxBuckets bounds the number of (pool, workspace) pairs that are kept. When it
	// is exceeded, pairs that have been idle until their tokens were full are
	// dropped, which loses nothing. Default 4096.
	MaxBuckets int
}

// Budget bounds retries to a part of the traffic of each workspace at each
// pool, so that retries cannot multiply the load of a failing pool. It owns
// the retry tokens and is not safe for concurrent use.
type Budget struct {
	cfg    Config
	tokens map[pair]*bucket
}

type pair struct {
	pool      corianderwing.PoolID
	workspace corianderwing.WorkspaceID
}

type bucket struct {
	level float64
	at    time.Time
}

// NewBudget returns a Budget in which every pair has Burst tokens.
func NewBudget(cfg Config) *Budget {
	if cfg.Ratio <= 0 {
		cfg.Ratio = 0.2
	}
	if cfg.MinPerSecond <= 0 {
		cfg.MinPerSecond = 1
	}
	if cfg.Burst <= 0 {
		cfg.Burst = 10
	}
	if cfg.MaxBuckets <= 0 {
		cfg.MaxBuckets = 4096
	}
	return &Budget{cfg: cfg, tokens: make(map[pair]*bucket)}
}

// Deposit counts a first attempt.
func (b *Budget) Deposit(p corianderwing.PoolID, w corianderwing.WorkspaceID, now time.Time) {
	k := b.bucket(p, w, now)
	k.level = min(k.level+b.cfg.Ratio, b.cfg.Burst)
}

// Withdraw takes the token for one retry. It returns false if there is none.
func (b *Budget) Withdraw(p corianderwing.PoolID, w corianderwing.WorkspaceID, now time.Time) bool {
	k := b.bucket(p, w, now)
	if k.level < 1 {
		return false
	}
	k.level--
	return true
}

func (b *Budget) bucket(p corianderwing.PoolID, w corianderwing.WorkspaceID, now time.Time) *bucket {
	id := pair{p, w}
	k, ok := b.tokens[id]
	if !ok {
		if len(b.tokens) >= b.cfg.MaxBuckets {
			b.prune(now)
		}
		k = &bucket{level: b.cfg.Burst, at: now}
		b.tokens[id] = k
		return k
	}
	if d := now.Sub(k.at); d > 0 {
		k.level = min(k.level+d.Seconds()*b.cfg.MinPerSecond, b.cfg.Burst)
		k.at = now
	}
	return k
}

func (b *Budget) prune(now time.Time) {
	for id, k := range b.tokens {
		if k.level+now.Sub(k.at).Seconds()*b.cfg.MinPerSecond >= b.cfg.Burst {
			delete(b.tokens, id)
		}
	}
}
