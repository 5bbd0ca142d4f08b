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

// maxBorrowErrors is the number of lenders that may fail to answer before the
// attempt ends. If several do, this instance is short of CPU time or cut off, and
// further calls would only delay the refusal.
const maxBorrowErrors = 2

// BorrowToken requests a token from a workspace's rate limit. It asks the followed
// control instance first, then the others of the region, whose tokens may be
// unused. It returns the lender, or the delay until a token may be available; zero
// means that no control instance has a share of the limit. It returns an error if
// several control instances do not answer.
func (f *Follower) BorrowToken(ctx context.Context, w corianderwing.WorkspaceID) (lender string, after time.Duration, err error) {
	return askLenders(f.lenders(), func(addr string) (*plane.BorrowResponse, error) {
		return f.borrowAt(ctx, addr, &plane.BorrowRequest{Workspace: w})
	})
}

// askLenders asks the lenders in order until one has a token. See BorrowToken.
func askLenders(lenders []string, ask func(addr string) (*plane.BorrowResponse, error)) (lender string, after time.Duration, err error) {
	failed := 0
	for _, addr := range lenders {
		r, err := ask(addr)
		if err != nil {
			if failed++; failed == maxBorrowErrors {
				return "", after, err
			}
			continue
		}
		if r.OK {
			return addr, 0, nil
		}
		if d := time.Duration(r.RetryAfter) * time.Millisecond; after == 0 || d > 0 && d < after {
			after = d
		}
	}
	return "", after, nil
}

// ReturnToken returns the token of a request that did not run to its lender. It does
// not block.
func (f *Follower) ReturnToken(lender string, w corianderwing.WorkspaceID) {
	go func() {
		if _, err := f.borrowAt(f.ctx, lender, &plane.BorrowRequest{Workspace: w, Return: true}); err != nil {
			// The token becomes available again after its window in any case.
			f.cfg.Log.Debug().Str("control", lender).Err(err).Msg("failed to return a rate limit token")
		}
	}()
}

func (f *Follower) borrowAt(ctx context.Context, addr string, b *plane.BorrowRequest) (*plane.BorrowResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	return peer.Call(ctx, f.peer, addr, plane.BorrowMethod, b)
}

// lenders returns the control instances of the region, the followed one first.
func (f *Follower) lenders() []string {
	region := f.cfg.Self().Region
	f.mu.Lock()
	defer f.mu.Unlock()
	list := []string{f.current}
	for _, c := range f.controls {
		if c.Region == region && c.PeerAddr != f.current {
			list = append(list, c.PeerAddr)
		}
	}
	return list
}
