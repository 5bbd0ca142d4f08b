package gate

import (
	"sync"
	"time"

	"corianderwing"
	"corianderwing/core/quota"
	"corianderwing/io/clock"
)

// Limits holds this instance's shares of the limits of workspaces. It is shared
// by the request path, which takes tokens, and the control role's follower.
type Limits struct {
	mu            sync.Mutex
	purses        *quota.Purses
	limited       map[corianderwing.WorkspaceID]bool      // workspaces with a limit
	hasShares     bool                                    // a control instance has shares to lend
	noBorrowUntil map[corianderwing.WorkspaceID]time.Time // nobody borrows before
}

// NewLimits returns Limits without shares, for bounds on the requests in any
// time of a window.
func NewLimits(window time.Duration) *Limits {
	return &Limits{purses: quota.NewPurses(window), limited: map[corianderwing.WorkspaceID]bool{}, noBorrowUntil: map[corianderwing.WorkspaceID]time.Time{}}
}

// Needs implements follow.Limits.
func (l *Limits) Needs(from string) []quota.Need {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]corianderwing.WorkspaceID, 0, len(l.limited))
	for w := range l.limited {
		list = append(list, w)
	}
	return l.purses.Needs(from, list, clock.Boot())
}

// SetShares implements follow.Limits.
func (l *Limits) SetShares(from string, shares []quota.Share, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.purses.Lend(from, shares, until, clock.Boot())
	l.hasShares = l.hasShares || until.After(clock.Boot())
}

// ready reports whether requests of workspaces with a limit can be admitted.
func (l *Limits) ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasShares || len(l.limited) == 0
}

// setLimited tells which workspaces have a limit.
func (l *Limits) setLimited(limited map[corianderwing.WorkspaceID]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limited = limited
}

// takeToken takes a token for a request of a workspace. Without one it returns when
// the next is there, 0 if no share has arrived, and whether to borrow.
func (l *Limits) takeToken(t *corianderwing.Tenure) (ok, borrow bool, after time.Duration) {
	if t.Rate <= 0 {
		return true, false, 0
	}
	now := clock.Boot()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.purses.Take(t.Name, now) {
		return true, false, 0
	}
	after = l.purses.After(t.Name, now)
	if dry := l.noBorrowUntil[t.Name]; now.Before(dry) {
		return false, false, max(after, dry.Sub(now))
	}
	return false, true, after
}

// minBorrowInterval is how long nobody asks again at the least for tokens of a
// workspace after there were none.
const minBorrowInterval = 60 * time.Millisecond

// recordBorrow notes what a Borrow brought.
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

// returnToken returns the token of a request that did not run.
func (l *Limits) returnToken(t *corianderwing.Tenure) {
	if t.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.purses.Give(t.Name, clock.Boot())
}
