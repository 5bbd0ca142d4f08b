package quota

import (
	"math"
	"slices"
	"time"

	"corianderwing"
)

// The demand rate is the higher of two moving averages. The short one follows
// callers that move between instances; the long one keeps a share through a
// random pause.
const (
	shortSpan = 800 * time.Millisecond
	longSpan  = 4 * time.Second
)

// windowParts is the number of slots of a window. Tokens used within the same
// slot are counted together.
const windowParts = 64

// Limiter admits requests at an instance within its shares. It tracks the
// tokens in use and is not safe for concurrent use.
type Limiter struct {
	window   time.Duration
	accounts map[corianderwing.WorkspaceID]*account
}

// account tracks the tokens of one workspace.
type account struct {
	leases []lease
	used   []usedTokens // oldest first
	inUse  int          // sum of the counts in used
	short  average
	long   average
}

// lease is a share from one control instance.
type lease struct {
	from   string
	tokens int
	until  time.Time
}

// usedTokens is a number of tokens that become available again at the same
// time.
type usedTokens struct {
	freeAt time.Time
	count  int
}

// NewLimiter returns a Limiter without shares, for tokens that become available
// again one window after their use.
func NewLimiter(window time.Duration) *Limiter {
	return &Limiter{window: window, accounts: map[corianderwing.WorkspaceID]*account{}}
}

// Take takes a token for a request of a workspace. It reports false if no token
// of the instance's shares is available.
func (l *Limiter) Take(w corianderwing.WorkspaceID, now time.Time) bool {
	acct := l.account(w, now)
	acct.short.add(now)
	acct.long.add(now)
	acct.releaseUsed(now)
	if acct.inUse >= acct.validTokens(now) {
		return false
	}
	acct.use(l.window, now)
	return true
}

// Return returns the token that was taken at the given time, for a request that did
// not run. The tokens of other requests, taken earlier or later, stay in use. Nothing
// changes if the token is available again already.
func (l *Limiter) Return(w corianderwing.WorkspaceID, takenAt, now time.Time) {
	acct := l.account(w, now)
	acct.releaseUsed(now)
	i := slices.IndexFunc(acct.used, func(u usedTokens) bool {
		first := u.freeAt.Add(-l.window - l.window/windowParts)
		return !takenAt.Before(first) && takenAt.Add(l.window).Before(u.freeAt)
	})
	if i < 0 {
		return
	}
	acct.inUse--
	if acct.used[i].count--; acct.used[i].count == 0 {
		acct.used = slices.Delete(acct.used, i, i+1)
	}
}

// RetryAfter returns the time until the next token is available, or zero if the
// instance has no share.
func (l *Limiter) RetryAfter(w corianderwing.WorkspaceID, now time.Time) time.Duration {
	acct := l.account(w, now)
	acct.releaseUsed(now)
	acct.dropExpired(now)
	if len(acct.leases) == 0 {
		return 0
	}
	tokens := acct.validTokens(now)
	inUse := acct.inUse
	for _, u := range acct.used {
		if inUse -= u.count; inUse < tokens {
			return u.freeAt.Sub(now)
		}
	}
	return l.window // no valid share has any tokens
}

func (l *Limiter) account(w corianderwing.WorkspaceID, now time.Time) *account {
	acct, ok := l.accounts[w]
	if !ok {
		acct = &account{short: average{span: shortSpan, updated: now}, long: average{span: longSpan, updated: now}}
		l.accounts[w] = acct
	}
	return acct
}

// releaseUsed makes the tokens available whose window has passed.
func (a *account) releaseUsed(now time.Time) {
	for len(a.used) > 0 && !now.Before(a.used[0].freeAt) {
		a.inUse -= a.used[0].count
		a.used = a.used[1:]
	}
}

// validTokens returns the number of tokens in the leases that are valid.
func (a *account) validTokens(now time.Time) int {
	n := 0
	for _, s := range a.leases {
		if now.Before(s.until) {
			n += s.tokens
		}
	}
	return n
}

// dropExpired removes the leases that have expired.
func (a *account) dropExpired(now time.Time) { a.dropLeases("", now) }

// dropLeases removes the leases from one control instance and those that have
// expired.
func (a *account) dropLeases(from string, now time.Time) {
	kept := a.leases[:0]
	for _, s := range a.leases {
		if s.from != from && now.Before(s.until) {
			kept = append(kept, s)
		}
	}
	a.leases = kept
}

// SetShares replaces shares from one control instance by shares that are valid
// until a deadline. Tokens in use remain counted: if a share shrinks, new
// requests wait until enough of them are available again. Shares of workspaces
// that are not listed stay until they expire, because a control instance that
// has just started does not know them yet.
func (l *Limiter) SetShares(from string, shares []Share, until, now time.Time) {
	for _, s := range shares {
		acct := l.account(s.Workspace, now)
		acct.dropLeases(from, now)
		if s.Tokens > 0 {
			acct.leases = append(acct.leases, lease{from, s.Tokens, until})
		}
	}
}

// Demands returns the demand and the tokens in use of the limited workspaces,
// for the next request to the control instance from. Use that is covered by
// valid shares of other control instances is not reported to this one: both
// would count it, and the same tokens would be handed out twice.
func (l *Limiter) Demands(from string, limited []corianderwing.WorkspaceID, now time.Time) []Demand {
	list := make([]Demand, 0, len(limited))
	for _, w := range limited {
		acct := l.account(w, now)
		acct.releaseUsed(now)
		n := Demand{Workspace: w, Rate: acct.demandRate(now)}
		for _, s := range acct.leases {
			switch {
			case !now.Before(s.until):
			case s.from == from:
				n.Held += s.tokens
			default:
				n.Elsewhere += s.tokens
			}
		}
		n.Used = max(0, acct.inUse-n.Elsewhere)
		n.Held = max(n.Held, n.Used)
		list = append(list, n)
	}
	sortDemands(list)
	return list
}

// average is an exponentially weighted moving average of events per second.
type average struct {
	span    time.Duration
	value   float64
	updated time.Time
}

// add counts an event.
func (a *average) add(now time.Time) {
	a.value = a.rate(now) + 1/a.span.Seconds()
	a.updated = now
}

// rate returns the average at the given time.
func (a *average) rate(now time.Time) float64 {
	if d := now.Sub(a.updated); d > 0 {
		return a.value * math.Exp(-float64(d)/float64(a.span))
	}
	return a.value
}
