package quota

import (
	"time"

	"corianderwing"
)

// Lend takes a token for a request that arrived at another instance. It reports false
// if the instance has none beyond those that it expects to need itself until it hears
// from a control instance again. A lent token does not count as demand here.
func (l *Limiter) Lend(w corianderwing.WorkspaceID, now time.Time) bool {
	acct, ok := l.accounts[w]
	if !ok {
		return false
	}
	acct.releaseUsed(now)
	free := acct.validTokens(now) - acct.inUse
	if free <= int(acct.demandRate(now)*demandHorizon.Seconds()) {
		return false
	}
	acct.use(l.window, now)
	return true
}

// demandRate returns the recent requests per second, including refused ones.
func (a *account) demandRate(now time.Time) float64 { return max(a.short.rate(now), a.long.rate(now)) }

// use records that a token is taken.
func (a *account) use(window time.Duration, now time.Time) {
	a.inUse++
	// Tokens used within the same slot of the window are counted together and
	// become available with the last of them.
	if n := len(a.used); n > 0 && now.Add(window).Before(a.used[n-1].freeAt) {
		a.used[n-1].count++
		return
	}
	a.used = append(a.used, usedTokens{now.Add(window + window/windowParts), 1})
}
