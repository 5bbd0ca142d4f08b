package follow

import (
	"context"
	"time"

	"corianderwing"
	"corianderwing/io/peer"
	"corianderwing/io/plane"
)

// While no control instance has a share of a rate limit, an entry instance without a
// token borrows one from other entry instances of its failure domain: each has a few
// tokens of a small workspace, and its next request arrives at any of them.

// maxNeighborLenders is the number of entry instances that one request asks for a token.
const maxNeighborLenders = 4

// Lender lends tokens of this instance's shares to other entry instances.
type Lender interface {
	// Lend takes a token and returns when it was taken. It reports false if the
	// instance has none to spare.
	Lend(w corianderwing.WorkspaceID) (plane.TokenTime, bool)
	// TakeBack returns a lent token of a request that did not run.
	TakeBack(w corianderwing.WorkspaceID, taken plane.TokenTime)
}

var lendMethod = peer.Method[plane.BorrowRequest, plane.BorrowResponse]{Name: "SiteLend"}

// handleLend lends a token to another entry instance, or takes one back.
func (f *Follower) handleLend(q *plane.BorrowRequest) *plane.BorrowResponse {
	r := &plane.BorrowResponse{}
	if q.Return {
		f.cfg.Lender.TakeBack(q.Workspace, q.Taken)
		return r
	}
	if r.Taken, r.OK = f.cfg.Lender.Lend(q.Workspace); r.OK {
		f.lent.Add(1)
	}
	return r
}

// borrowFromNeighbor requests a token from other entry instances of the failure domain.
func (f *Follower) borrowFromNeighbor(ctx context.Context, w corianderwing.WorkspaceID) (BorrowedToken, error) {
	t, _, err := askLenders(f.neighborLenders(), func(addr string) (*plane.BorrowResponse, error) {
		r, err := f.callLender(ctx, addr, lendMethod, &plane.BorrowRequest{Workspace: w})
		if err != nil && ctx.Err() == nil {
			f.recordSilentLender(addr)
		}
		return r, err
	})
	if t.Lender != "" {
		t.Neighbor = true
		f.borrowed.Add(1)
	}
	return t, err
}

// neighborLenders returns the entry instances to ask, other ones with each call and none
// that did not answer lately.
func (f *Follower) neighborLenders() []string {
	now := f.cfg.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for range f.neighbors {
		f.lenderIndex++
		addr := f.neighbors[f.lenderIndex%len(f.neighbors)].PeerAddr
		if now.Before(f.noBorrowUntil[addr]) {
			continue
		}
		if list = append(list, addr); len(list) == maxNeighborLenders {
			break
		}
	}
	return list
}

// callLender makes one call to a lender.
func (f *Follower) callLender(ctx context.Context, addr string, m peer.Method[plane.BorrowRequest, plane.BorrowResponse], q *plane.BorrowRequest) (*plane.BorrowResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	return peer.Call(ctx, f.peer, addr, m, q)
}

// LendStats returns how many tokens this instance has lent to other entry instances, and
// borrowed from them.
func (f *Follower) LendStats() (lent, borrowed int64) { return f.lent.Load(), f.borrowed.Load() }

// forgetLenders drops the lenders that may be asked again: the addresses of entry
// instances change over time. f.mu must be held.
func (f *Follower) forgetLenders(now time.Time) {
	for addr, until := range f.noBorrowUntil {
		if !now.Before(until) {
			delete(f.noBorrowUntil, addr)
		}
	}
}
