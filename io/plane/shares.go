package plane

import (
	"strconv"
	"time"

	"corianderwing"
	"corianderwing/core/quota"
	"corianderwing/io/clock"
)

// reserveHolder is the control instance as a holder of its own shares.
const reserveHolder = "reserve"

// allocateShares divides this instance's shares of the limits of workspaces. The lock is
// held.
func (p *Plane) allocateShares(b *HeartbeatRequest, r *HeartbeatResponse, now time.Time) {
	remaining := min(quota.LeaseDuration, p.sharesValidUntil.Sub(now))
	if remaining <= 0 {
		p.quotaAllocator.SetBounds(nil)
	}
	p.renewReserve(now.Add(remaining), now)
	name := string(b.Entry.ID) + "/" + strconv.FormatUint(uint64(b.Entry.Incarnation), 36)
	r.Shares = p.quotaAllocator.Allocate(name, b.Demands, now)
	r.LeaseDuration = corianderwing.Millis(max(0, remaining.Milliseconds()))
}

// renewReserve renews the share from which entry instances borrow. The lock is
// held.
func (p *Plane) renewReserve(until, now time.Time) {
	var limited []corianderwing.WorkspaceID
	rates := map[corianderwing.WorkspaceID]float64{}
	for _, n := range p.quotaAllocator.DemandsExcept(reserveHolder, now) {
		limited = append(limited, n.Workspace)
		rates[n.Workspace] = n.Rate
	}
	demands := p.reserve.Demands(reserveHolder, limited, now)
	for i := range demands {
		demands[i].Rate = max(demands[i].Rate, quota.ReserveFraction*rates[demands[i].Workspace])
	}
	p.reserve.SetShares(reserveHolder, p.quotaAllocator.Allocate(reserveHolder, demands, now), until, now)
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
