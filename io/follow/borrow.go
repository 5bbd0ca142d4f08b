package follow

import (
	"context"
	"time"

	"corianderwing"
	"corianderwing/io/peer"
	"corianderwing/io/plane"
)

// borrowTimeout bounds each borrow call, because a request waits for it. A control
// instance of the same failure domain replies within 2 ms.
const borrowTimeout = 60 * time.Millisecond

// lenderBackoff is how long a control instance that did not answer a borrow call is
// not asked again. Refused requests would otherwise wait for each silent lender in
// turn, and take the CPU time that answers need.
const lenderBackoff = 500 * time.Millisecond

// BorrowedToken is a token of a rate limit that a control instance lent.
type BorrowedToken struct {
	Lender string          // peer address of the control instance; empty for no token
	Taken  plane.TokenTime // by which the lender recognizes the token
}

// BorrowToken requests a token from a workspace's rate limit. It asks the followed
// control instance first, then the others of the region, whose tokens may be
// unused. If it gets none, it returns the delay until a token may be available; zero
// means that no control instance is known to have a share of the limit. The error is
// that of the last one that did not answer.
func (f *Follower) BorrowToken(ctx context.Context, w corianderwing.WorkspaceID) (t BorrowedToken, after time.Duration, err error) {
	return askLenders(f.lenders(), func(addr string) (*plane.BorrowResponse, error) {
		r, err := f.borrowAt(ctx, addr, &plane.BorrowRequest{Workspace: w})
		if err != nil && ctx.Err() == nil {
			f.recordSilentLender(addr)
		}
		return r, err
	})
}

// recordSilentLender records that a control instance did not answer a borrow call.
func (f *Follower) recordSilentLender(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noBorrowUntil[addr] = f.cfg.Now().Add(lenderBackoff)
}

// askLenders asks the lenders in order until one has a token. See BorrowToken.
func askLenders(lenders []string, ask func(addr string) (*plane.BorrowResponse, error)) (t BorrowedToken, after time.Duration, err error) {
	for _, addr := range lenders {
		r, callErr := ask(addr)
		if callErr != nil {
			err = callErr
			continue
		}
		if r.OK {
			return BorrowedToken{Lender: addr, Taken: r.Taken}, 0, nil
		}
		if d := time.Duration(r.RetryAfter) * time.Millisecond; after == 0 || d > 0 && d < after {
			after = d
		}
	}
	return BorrowedToken{}, after, err
}

// ReturnToken returns the token of a request that did not run to its lender. It does
// not block.
func (f *Follower) ReturnToken(t BorrowedToken, w corianderwing.WorkspaceID) {
	go func() {
		if _, err := f.borrowAt(f.ctx, t.Lender, &plane.BorrowRequest{Workspace: w, Return: true, Taken: t.Taken}); err != nil {
			// The token becomes available again after its window in any case.
			f.cfg.Log.Debug().Str("control", t.Lender).Err(err).Msg("failed to return a rate limit token")
		}
	}()
}

func (f *Follower) borrowAt(ctx context.Context, addr string, b *plane.BorrowRequest) (*plane.BorrowResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	return peer.Call(ctx, f.peer, addr, plane.BorrowMethod, b)
}

// lenders returns the control instances of the region, the followed one first,
// without those that did not answer lately.
func (f *Follower) lenders() []string {
	region := f.cfg.Self().Region
	now := f.cfg.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	add := func(addr string) {
		if !now.Before(f.noBorrowUntil[addr]) {
			list = append(list, addr)
		}
	}
	add(f.current)
	for _, c := range f.controls {
		if c.Region == region && c.PeerAddr != f.current {
			add(c.PeerAddr)
		}
	}
	return list
}
