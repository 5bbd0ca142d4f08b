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

// parts is the number of parts of a window in which used tokens are counted
// together.
const parts = 64

// Limiter admits requests at an instance within its shares. It owns the tokens,
// and is not safe for concurrent use.
type Limiter struct {
	window time.Duration
	known  map[corianderwing.WorkspaceID]*purse
}

// purse holds the tokens of one workspace.
type purse struct {
	shares []lent
	used   []used // oldest first
	count  int    // sum of used
	short  average
	long   average
}

// lent is a share from one control instance.
type lent struct {
	from   string
	tokens int
	until  time.Time
}

// used are tokens that can be used again from a time on.
type used struct {
	free  time.Time
	count int
}

// NewLimiter returns Purses without shares, for tokens that can be used again
// after a window.
func NewLimiter(window time.Duration) *Limiter {
	return &Limiter{window: window, known: map[corianderwing.WorkspaceID]*purse{}}
}

// Take takes a token for a request of a workspace. It fails if the instance
// has none left of its share.
func (p *Limiter) Take(w corianderwing.WorkspaceID, now time.Time) bool {
	k := p.purse(w, now)
	k.short.count(now)
	k.long.count(now)
	k.wake(now)
	if k.count >= k.tokens(now) {
		return false
	}
	k.count++
	// Tokens that are used within a part of the window are counted together,
	// and wait for the last of them.
	if n := len(k.used); n > 0 && now.Add(p.window).Before(k.used[n-1].free) {
		k.used[n-1].count++
		return true
	}
	k.used = append(k.used, used{now.Add(p.window + p.window/parts), 1})
	return true
}

// Return returns the token of a request that did not run.
func (p *Limiter) Return(w corianderwing.WorkspaceID, now time.Time) {
	k := p.purse(w, now)
	k.wake(now)
	n := len(k.used)
	if n == 0 {
		return
	}
	k.count--
	if k.used[n-1].count--; k.used[n-1].count == 0 {
		k.used = k.used[:n-1]
	}
}

// RetryAfter returns when the next token can be used, zero if the instance has no
// share.
func (p *Limiter) RetryAfter(w corianderwing.WorkspaceID, now time.Time) time.Duration {
	k := p.purse(w, now)
	k.wake(now)
	k.expire(now)
	if len(k.shares) == 0 {
		return 0
	}
	tokens := k.tokens(now)
	count := k.count
	for _, u := range k.used {
		if count -= u.count; count < tokens {
			return u.free.Sub(now)
		}
	}
	return p.window // until a share has tokens
}

func (p *Limiter) purse(w corianderwing.WorkspaceID, now time.Time) *purse {
	k, ok := p.known[w]
	if !ok {
		k = &purse{short: average{span: shortTime, at: now}, long: average{span: longTime, at: now}}
		p.known[w] = k
	}
	return k
}

// wake frees the tokens whose window is over.
func (k *purse) wake(now time.Time) {
	for len(k.used) > 0 && !now.Before(k.used[0].free) {
		k.count -= k.used[0].count
		k.used = k.used[1:]
	}
}

// tokens returns the sum of the shares that are valid.
func (k *purse) tokens(now time.Time) int {
	n := 0
	for _, s := range k.shares {
		if now.Before(s.until) {
			n += s.tokens
		}
	}
	return n
}

// expire drops the shares that ended.
func (k *purse) expire(now time.Time) { k.drop("", now) }

// drop drops the shares from one control instance and those that ended.
func (k *purse) drop(from string, now time.Time) {
	kept := k.shares[:0]
	for _, s := range k.shares {
		if s.from != from && now.Before(s.until) {
			kept = append(kept, s)
		}
	}
	k.shares = kept
}

// SetShares replaces shares from one control instance by others that are valid until
// a deadline. Tokens that are in use stay so: with a smaller share, new requests
// wait for them. Shares of workspaces that are not named stay until they expire:
// a control instance that has just started knows nothing of them yet.
func (p *Limiter) SetShares(from string, shares []Share, until, now time.Time) {
	for _, s := range shares {
		k := p.purse(s.Workspace, now)
		k.drop(from, now)
		if s.Tokens > 0 {
			k.shares = append(k.shares, lent{from, s.Tokens, until})
		}
	}
}

// Demands returns the demand and the tokens in use of the workspaces with a
// bound, for the next Ask to the control instance from. What valid shares of
// other control instances cover is in use there and not here: it would be handed
// out twice.
func (p *Limiter) Demands(from string, bound []corianderwing.WorkspaceID, now time.Time) []Demand {
	list := make([]Demand, 0, len(bound))
	for _, w := range bound {
		k := p.purse(w, now)
		k.wake(now)
		n := Demand{Workspace: w, Rate: max(k.short.rate(now), k.long.rate(now))}
		elsewhere := 0
		for _, s := range k.shares {
			switch {
			case !now.Before(s.until):
			case s.from == from:
				n.Held += s.tokens
			default:
				elsewhere += s.tokens
			}
		}
		n.Used = max(0, k.count-elsewhere)
		n.Held = max(n.Held, n.Used)
		list = append(list, n)
	}
	return list
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
