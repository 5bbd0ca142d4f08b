// Package retry decides whether a failed attempt of a request is retried, and
// limits retries with a budget. It reads no clock.
package retry

import (
	"time"

	"corianderwing"
)

// Attempt describes a failed attempt.
type Attempt struct {
	Code          corianderwing.Code
	Execution     corianderwing.Execution // whether the upstream ran the request
	NonIdempotent bool                    // the route is not idempotent
	AttemptsLeft  int                     // further attempts that the settings allow
	Deadline      time.Time               // deadline of the request
	Replayable    bool                    // the request's body can be sent again
}

// Scope says where a failed request may be retried.
type Scope uint8

// The scopes of a retry.
const (
	NoRetry       Scope = iota
	OtherUpstream       // another upstream of the pool, in any failure domain
	OtherDomain         // another failure domain only, because this one has no capacity or no upstream
)

// Classify returns where a request that failed with a may be retried. A request
// that has not run may be retried on any route, one that may have run only on
// idempotent routes.
func Classify(a Attempt, now time.Time) Scope {
	if !a.Replayable || !now.Before(a.Deadline) {
		return NoRetry
	}
	if a.Execution != corianderwing.NotExecuted && a.NonIdempotent {
		return NoRetry
	}
	switch a.Code {
	case corianderwing.ConnectFailed, corianderwing.Shed, corianderwing.SendFailed,
		corianderwing.FirstByteTimeout, corianderwing.ResponseTruncated, corianderwing.ResponseMismatch:
		if a.AttemptsLeft <= 0 {
			return NoRetry
		}
		return OtherUpstream
	case corianderwing.QueueFull, corianderwing.DeadlineUnreachable, corianderwing.NoCapacity,
		corianderwing.NoUpstream, corianderwing.NotOwner, corianderwing.Stopping, corianderwing.LinkFull:
		return OtherDomain // DeadlineUnreachable concerns the queue of this domain only
	}
	return NoRetry
}

// Config configures a Budget. A zero field takes its default.
type Config struct {
	// Ratio is the number of tokens deposited for each request; a retry takes
	// one token. Default 0.2.
	Ratio float64
	// MinPerSecond is the number of retries per second that a workspace with
	// little traffic may use. Default 1.
	MinPerSecond float64
	// Burst is the capacity of a token bucket. Default 10.
	Burst float64
	// MaxBuckets bounds the number of token buckets, one for each pair of pool
	// and workspace. When it is reached, buckets that have refilled to Burst are
	// deleted, which loses no state. Default 4096.
	MaxBuckets int
}

// Budget limits retries to a fraction of the requests of each workspace at each
// pool, so that retries cannot multiply the load of a failing pool. It holds
// one token bucket for each pair and is not safe for concurrent use.
type Budget struct {
	cfg     Config
	buckets map[bucketKey]*bucket
}

type bucketKey struct {
	pool      corianderwing.PoolID
	workspace corianderwing.WorkspaceID
}

type bucket struct {
	tokens    float64
	updatedAt time.Time
}

// NewBudget returns a Budget in which every bucket starts with Burst tokens.
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
	return &Budget{cfg: cfg, buckets: make(map[bucketKey]*bucket)}
}

// Deposit adds the tokens that a first attempt earns.
func (b *Budget) Deposit(p corianderwing.PoolID, w corianderwing.WorkspaceID, now time.Time) {
	bucket := b.bucket(p, w, now)
	bucket.tokens = min(bucket.tokens+b.cfg.Ratio, b.cfg.Burst)
}

// Withdraw takes the token for one retry. It returns false if there is less
// than one token.
func (b *Budget) Withdraw(p corianderwing.PoolID, w corianderwing.WorkspaceID, now time.Time) bool {
	bucket := b.bucket(p, w, now)
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}

func (b *Budget) bucket(p corianderwing.PoolID, w corianderwing.WorkspaceID, now time.Time) *bucket {
	id := bucketKey{p, w}
	entry, ok := b.buckets[id]
	if !ok {
		if len(b.buckets) >= b.cfg.MaxBuckets {
			b.prune(now)
		}
		entry = &bucket{tokens: b.cfg.Burst, updatedAt: now}
		b.buckets[id] = entry
		return entry
	}
	if d := now.Sub(entry.updatedAt); d > 0 {
		entry.tokens = min(entry.tokens+d.Seconds()*b.cfg.MinPerSecond, b.cfg.Burst)
		entry.updatedAt = now
	}
	return entry
}

func (b *Budget) prune(now time.Time) {
	for id, entry := range b.buckets {
		if entry.tokens+now.Sub(entry.updatedAt).Seconds()*b.cfg.MinPerSecond >= b.cfg.Burst {
			delete(b.buckets, id)
		}
	}
}
