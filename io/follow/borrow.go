package follow

import (
	"cmp"
	"context"
	"time"

	"corianderwing"
	"corianderwing/io/plane"
)

// borrowTimeout bounds each borrow call, because a request waits for it. An instance of
// the same failure domain replies within 2 ms.
const borrowTimeout = 60 * time.Millisecond

// lenderBackoff is how long an instance that did not answer a borrow call is
// not asked again. Refused requests would otherwise wait for each silent lender in
// turn, and take the CPU time that answers need.
const lenderBackoff = 500 * time.Millisecond

// BorrowedToken is a token of a rate limit that another instance lent.
type BorrowedToken struct {
	Lender   string          // peer address of the instance that lent it; empty for no token
	Taken    plane.TokenTime // by which the lender recognizes the token
	Neighbor bool            // the lender is an entry instance
}

// BorrowToken requests a token from a workspace's rate limit. It asks the followed
// control instance first, then the others of the region, whose tokens may be
// unused. If none of them has a share of the limit, it asks other entry instances. If it
// gets no token, it returns the delay until one may be available; zero means that no
// control instance is known to have a share of the limit. The error is that of the last
// one that did not answer.
func (f *Follower) BorrowToken(ctx context.Context, w corianderwing.WorkspaceID) (t BorrowedToken, after time.Duration, err error) {
	t, after, err = askLenders(f.lenders(), func(addr string) (*plane.BorrowResponse, error) {
		r, err := f.callLender(ctx, addr, plane.BorrowMethod, &plane.BorrowRequest{Workspace: w})
		if err != nil && ctx.Err() == nil {
			f.recordSilentLender(addr)
		}
		return r, err
	})
	if t.Lender != "" || after > 0 || ctx.Err() != nil {
		return t, after, err
	}
	t, neighborErr := f.borrowFromNeighbor(ctx, w)
	return t, 0, cmp.Or(err, neighborErr)
}

// recordSilentLender records that an instance did not answer a borrow call.
func (f *Follower) recordSilentLender(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Now()
	f.forgetLenders(now)
	f.noBorrowUntil[addr] = now.Add(lenderBackoff)
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
	method := plane.BorrowMethod
	if t.Neighbor {
		method = lendMethod
	}
	go func() {
		if _, err := f.callLender(f.ctx, t.Lender, method, &plane.BorrowRequest{Workspace: w, Return: true, Taken: t.Taken}); err != nil {
			// The token becomes available again after its window in any case.
			f.cfg.Log.Debug().Str("lender", t.Lender).Err(err).Msg("failed to return a rate limit token")
		}
	}()
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
