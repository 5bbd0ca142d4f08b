package plane

import (
	"slices"
	"strconv"
	"time"

	"corianderwing"
	"corianderwing/core/quota"
	"corianderwing/io/clock"
)

// reserveHolder is the name under which the control instance holds its own
// shares.
const reserveHolder = "reserve"

// allocateShares allocates this instance's shares of workspace rate limits to
// an entry instance. The caller must hold p.mu.
func (p *Plane) allocateShares(b *HeartbeatRequest, r *HeartbeatResponse, now time.Time) {
	remaining := min(quota.LeaseDuration, p.sharesValidUntil.Sub(now))
	if remaining <= 0 {
		p.quotaAllocator.SetBounds(nil)
	}
	p.renewReserve(now.Add(remaining), now)
	if p.machine.Quota().Covers(b.Entry.ID) {
		name := string(b.Entry.ID) + "/" + strconv.FormatUint(uint64(b.Entry.Incarnation), 36)
		r.Shares = p.quotaAllocator.Allocate(name, b.Demands, now)
	}
	r.LeaseDuration = corianderwing.Millis(max(0, remaining.Milliseconds()))
}

func hasSharesElsewhere(demands []quota.Demand) bool {
	return slices.ContainsFunc(demands, func(n quota.Demand) bool { return n.Elsewhere > 0 })
}

// renewReserve renews the share from which entry instances borrow. The caller
// must hold p.mu.
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

// borrow takes a token from the reserve, or returns one to it.
func (p *Plane) borrow(b *BorrowRequest) *BorrowResponse {
	now := clock.Boot()
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &BorrowResponse{}
	if b.Return {
		p.reserve.Return(b.Workspace, time.Unix(0, int64(b.Taken)), now)
		return r
	}
	if r.OK = p.reserve.Take(b.Workspace, now); r.OK {
		r.Taken = TokenTime(now.UnixNano())
	} else {
		r.RetryAfter = corianderwing.Millis(p.reserve.RetryAfter(b.Workspace, now).Milliseconds())
	}
	return r
}
