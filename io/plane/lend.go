package plane

import (
	"strconv"
	"time"

	"corianderwing"
	"corianderwing/core/quota"
	"corianderwing/io/clock"
)

// reserveName is the control instance as a holder of its own shares.
const reserveName = "reserve"

// lend divides this instance's shares of the limits of workspaces. The lock is
// held.
func (p *Plane) lend(b *HeartbeatRequest, r *HeartbeatResponse, now time.Time) {
	left := min(quota.LeaseDuration, p.until.Sub(now))
	if left <= 0 {
		p.divider.SetBounds(nil)
	}
	p.keepReserve(now.Add(left), now)
	name := string(b.Entry.ID) + "/" + strconv.FormatUint(uint64(b.Entry.Incarnation), 36)
	r.Shares = p.divider.Allocate(name, b.Demands, now)
	r.LeaseDuration = corianderwing.Millis(max(0, left.Milliseconds()))
}

// keepReserve renews the share from which entry instances borrow. The lock is
// held.
func (p *Plane) keepReserve(until, now time.Time) {
	var limited []corianderwing.WorkspaceID
	asked := map[corianderwing.WorkspaceID]float64{}
	for _, n := range p.divider.DemandsExcept(reserveName, now) {
		limited = append(limited, n.Workspace)
		asked[n.Workspace] = n.Rate
	}
	needs := p.reserve.Demands(reserveName, limited, now)
	for i := range needs {
		needs[i].Rate = max(needs[i].Rate, quota.ReserveFraction*asked[needs[i].Workspace])
	}
	p.reserve.SetShares(reserveName, p.divider.Allocate(reserveName, needs, now), until, now)
}

// borrow hands out a token of the reserve, or takes one back.
func (p *Plane) borrow(b *BorrowRequest) *BorrowResponse {
	now := clock.Boot()
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &BorrowResponse{}
	if b.Return {
		p.reserve.Return(b.Workspace, now)
		return r
	}
	if r.OK = p.reserve.Take(b.Workspace, now); !r.OK {
		r.RetryAfter = corianderwing.Millis(p.reserve.RetryAfter(b.Workspace, now).Milliseconds())
	}
	return r
}
