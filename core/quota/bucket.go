package quota

import (
	"math"
	"time"

	"corianderwing"
)

// The demand is the higher one of two averages: the short one follows callers
// that come from elsewhere, the long one keeps a share through a chance pause.
const (
	shortTime = 800 * time.Millisecond
	longTime  = 4 * time.Second
)

// Buckets admits requests at an entry instance within its shares. It owns the
// tokens, and is not safe for concurrent use.
type Buckets struct {
	known map[corianderwing.WorkspaceID]*bucket
}

// bucket holds the tokens of one workspace.
type bucket struct {
	shares []lent
	level  float64
	at     time.Time
	short  average // demand
	long   average
}

// lent is a share from one control instance.
type lent struct {
	from  string
	limit Limit
	until time.Time
}

// NewBuckets returns Buckets without shares.
func NewBuckets() *Buckets { return &Buckets{known: map[corianderwing.WorkspaceID]*bucket{}} }

// Take takes a token for a request of a workspace. It fails if the instance
// has none left of its share.
func (b *Buckets) Take(w corianderwing.WorkspaceID, now time.Time) bool {
	k := b.bucket(w, now)
	k.short.count(now)
	k.long.count(now)
	k.fill(now)
	if k.level < 1 {
		return false
	}
	k.level--
	return true
}

// Give returns the token of a request that did not run.
func (b *Buckets) Give(w corianderwing.WorkspaceID, now time.Time) {
	k := b.bucket(w, now)
	k.fill(now)
	_, burst := k.limit(now)
	k.level = min(k.level+1, burst)
}

// After returns when the next token is there, zero if the instance has no
// share.
func (b *Buckets) After(w corianderwing.WorkspaceID, now time.Time) time.Duration {
	k := b.bucket(w, now)
	rate, _ := k.limit(now)
	if rate <= 0 {
		return 0
	}
	return time.Duration(max(0, 1-k.level) / rate * float64(time.Second))
}

func (b *Buckets) bucket(w corianderwing.WorkspaceID, now time.Time) *bucket {
	k, ok := b.known[w]
	if !ok {
		k = &bucket{at: now, short: average{span: shortTime, at: now}, long: average{span: longTime, at: now}}
		b.known[w] = k
	}
	return k
}

// average is a number of events per second, exponentially weighted over a span
// of time.
type average struct {
	span  time.Duration
	value float64
	at    time.Time
}

// count adds an event.
func (a *average) count(now time.Time) {
	a.value = a.rate(now) + 1/a.span.Seconds()
	a.at = now
}

// rate returns the average at now.
func (a *average) rate(now time.Time) float64 {
	if d := now.Sub(a.at); d > 0 {
		return a.value * math.Exp(-float64(d)/float64(a.span))
	}
	return a.value
}

// fill adds the tokens gained since the last call. Shares that ended since
// then count until their end.
func (k *bucket) fill(now time.Time) {
	for _, s := range k.shares {
		if end := earlier(now, s.until); end.After(k.at) {
			k.level += s.limit.Rate * end.Sub(k.at).Seconds()
		}
	}
	if now.After(k.at) {
		k.at = now
	}
	_, burst := k.limit(now)
	k.level = min(k.level, burst)
}

// limit returns the sum of the shares that are valid.
func (k *bucket) limit(now time.Time) (rate, burst float64) {
	for _, s := range k.shares {
		if now.Before(s.until) {
			rate += s.limit.Rate
			burst += s.limit.Burst
		}
	}
	return rate, burst
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Lend replaces the shares from one control instance by others that are valid
// until a deadline.
func (b *Buckets) Lend(from string, shares []Share, until, now time.Time) {
	for _, k := range b.known {
		k.fill(now)
		k.drop(from, now)
	}
	for _, s := range shares {
		k := b.bucket(s.Workspace, now)
		k.shares = append(k.shares, lent{from, s.Limit, until})
	}
	for _, k := range b.known {
		k.fill(now) // lower shares hold fewer tokens
	}
}

// drop removes the shares from one control instance and those that ended.
func (k *bucket) drop(from string, now time.Time) {
	kept := k.shares[:0]
	for _, s := range k.shares {
		if s.from != from && now.Before(s.until) {
			kept = append(kept, s)
		}
	}
	k.shares = kept
}

// Needs returns the demand and the shares in use of the workspaces with a
// limit, for the next Ask to the control instance from.
func (b *Buckets) Needs(from string, limited []corianderwing.WorkspaceID, now time.Time) []Need {
	list := make([]Need, 0, len(limited))
	for _, w := range limited {
		k := b.bucket(w, now)
		n := Need{Workspace: w, Asked: max(k.short.rate(now), k.long.rate(now))}
		for _, s := range k.shares {
			if s.from == from && now.Before(s.until) {
				n.Held += s.limit.Rate
			}
		}
		list = append(list, n)
	}
	return list
}
