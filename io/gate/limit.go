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
	mu      sync.Mutex
	buckets *quota.Buckets
	limited map[corianderwing.WorkspaceID]bool      // workspaces with a limit
	lent    bool                                    // shares have arrived
	dry     map[corianderwing.WorkspaceID]time.Time // nobody borrows before
}

// NewLimits returns Limits without shares.
func NewLimits() *Limits {
	return &Limits{buckets: quota.NewBuckets(), limited: map[corianderwing.WorkspaceID]bool{}, dry: map[corianderwing.WorkspaceID]time.Time{}}
}

// Needs implements follow.Limits.
func (l *Limits) Needs(from string) []quota.Need {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]corianderwing.WorkspaceID, 0, len(l.limited))
	for w := range l.limited {
		list = append(list, w)
	}
	return l.buckets.Needs(from, list, clock.Boot())
}

// Lend implements follow.Limits.
func (l *Limits) Lend(from string, shares []quota.Share, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buckets.Lend(from, shares, until, clock.Boot())
	l.lent = l.lent || len(shares) > 0
}

// ready reports whether requests of workspaces with a limit can be admitted.
func (l *Limits) ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lent || len(l.limited) == 0
}

// set tells which workspaces have a limit.
func (l *Limits) set(limited map[corianderwing.WorkspaceID]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limited = limited
}

// take takes a token for a request of a workspace. Without one it returns when
// the next is there, 0 if no share has arrived, and whether to borrow.
func (l *Limits) take(t *corianderwing.Tenure) (ok, borrow bool, after time.Duration) {
	if t.Rate <= 0 {
		return true, false, 0
	}
	now := clock.Boot()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buckets.Take(t.Name, now) {
		return true, false, 0
	}
	after = l.buckets.After(t.Name, now)
	if now.Before(l.dry[t.Name]) {
		return false, false, after
	}
	// Until the answer is there, other requests do not ask as well.
	l.dry[t.Name] = now.Add(borrowPause)
	return false, true, after
}

// borrowPause is how long nobody asks again for tokens of a workspace after
// there were none.
const borrowPause = 60 * time.Millisecond

// borrowTokens is the number of tokens that are asked for at once.
const borrowTokens = 2

// borrowed takes over what a Borrow brought, one token of which is used.
func (l *Limits) borrowed(w corianderwing.WorkspaceID, tokens int, after time.Duration) {
	now := clock.Boot()
	l.mu.Lock()
	defer l.mu.Unlock()
	for range tokens - 1 {
		l.buckets.Give(w, now)
	}
	if tokens > 0 {
		delete(l.dry, w)
		return
	}
	l.dry[w] = now.Add(max(borrowPause, min(after, time.Second)))
}

// give returns the token of a request that did not run.
func (l *Limits) give(t *corianderwing.Tenure) {
	if t.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buckets.Give(t.Name, clock.Boot())
}
