package gate

import (
	"sync"
	"time"

	"corianderwing"
	"corianderwing/core/quota"
	"corianderwing/io/clock"
	"corianderwing/io/plane"
)

// Limits holds this instance's shares of the rate limits of workspaces. It is used
// by the request path, which takes tokens, and by the follower, which updates the
// shares.
type Limits struct {
	mu            sync.Mutex
	purses        *quota.Limiter
	limited       map[corianderwing.WorkspaceID]bool      // workspaces with a rate limit
	hasShares     bool                                    // a control instance has sent shares
	noBorrowUntil map[corianderwing.WorkspaceID]time.Time // no borrow attempt before this time
}

// NewLimits returns Limits without shares. A rate limit bounds the requests in any
// interval of the given window.
func NewLimits(window time.Duration) *Limits {
	return &Limits{purses: quota.NewLimiter(window), limited: map[corianderwing.WorkspaceID]bool{}, noBorrowUntil: map[corianderwing.WorkspaceID]time.Time{}}
}

// Needs implements follow.Limits.
func (l *Limits) Needs(from string) []quota.Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]corianderwing.WorkspaceID, 0, len(l.limited))
	for w := range l.limited {
		list = append(list, w)
	}
	return l.purses.Demands(from, list, clock.Boot())
}

// SetShares implements follow.Limits.
func (l *Limits) SetShares(from string, shares []quota.Share, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.purses.SetShares(from, shares, until, clock.Boot())
	l.hasShares = l.hasShares || until.After(clock.Boot())
}

// Lend implements follow.Lender.
func (l *Limits) Lend(w corianderwing.WorkspaceID) (plane.TokenTime, bool) {
	now := clock.Boot()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limited[w] || !l.purses.Lend(w, now) {
		return 0, false
	}
	return plane.TokenTime(now.UnixNano()), true
}

// TakeBack implements follow.Lender.
func (l *Limits) TakeBack(w corianderwing.WorkspaceID, taken plane.TokenTime) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limited[w] {
		l.purses.Return(w, time.Unix(0, int64(taken)), clock.Boot())
	}
}

// ready reports whether requests of rate-limited workspaces can be admitted.
func (l *Limits) ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasShares || len(l.limited) == 0
}

// setLimited replaces the set of workspaces that have a rate limit.
func (l *Limits) setLimited(limited map[corianderwing.WorkspaceID]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limited = limited
}

// takeToken takes a token for a request of a workspace. If none is available, it
// returns whether to borrow one, and the delay until the next token of the local
// share; 0 means that no share has been received.
func (l *Limits) takeToken(t *corianderwing.WorkspacePolicy, now time.Time) (ok, borrow bool, after time.Duration) {
	if t.Rate <= 0 {
		return true, false, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.purses.Take(t.Name, now) {
		return true, false, 0
	}
	after = l.purses.RetryAfter(t.Name, now)
	if notBefore := l.noBorrowUntil[t.Name]; now.Before(notBefore) {
		return false, false, max(after, notBefore.Sub(now))
	}
	return false, true, after
}

// minBorrowInterval is the minimum delay before tokens of a workspace are requested
// again after a borrow attempt found none.
const minBorrowInterval = 60 * time.Millisecond

// recordBorrow records the result of a borrow attempt.
func (l *Limits) recordBorrow(w corianderwing.WorkspaceID, got bool, after time.Duration) {
	now := clock.Boot()
	l.mu.Lock()
	defer l.mu.Unlock()
	if got {
		delete(l.noBorrowUntil, w)
		return
	}
	l.noBorrowUntil[w] = now.Add(max(minBorrowInterval, min(after, time.Second)))
}

// returnToken returns the token that a request which did not run took at the given
// time to the local share.
func (l *Limits) returnToken(t *corianderwing.WorkspacePolicy, takenAt time.Time) {
	if t.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.purses.Return(t.Name, takenAt, clock.Boot())
}
