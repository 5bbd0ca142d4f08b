package steer

import (
	"time"

	"corianderwing"
)

// expectedUtilization is the fraction of a pool's slots that callers are expected to
// need before their requests show it.
const expectedUtilization = 0.4

// SetInstances sets the number of entry instances in each failure domain, by which the
// demand is expected while the loads do not show it.
func (p *Planner) SetInstances(n map[corianderwing.DomainID]int) { p.instances = n }

// expect returns the loads with the demand that is expected, where they do not show it
// yet: in pools without requests, at the start of the traffic, and after a total loss.
// The expected demand of a domain is its part of the entry instances.
//
// A region with few upstreams runs most of its requests elsewhere. If it borrowed
// slots only after its first requests, these would wait or be rejected, and when
// their reports are late, the region in which its requests run would change within
// two seconds. The first loads show too little as well: entry instances reject many
// requests that never reach an allocator, while the rates of workspaces are divided. If
// they ended the loans, the ramp would give them back only after many seconds.
func (p *Planner) expect(loads []Load, now time.Time) []Load {
	total := 0
	for _, n := range p.instances {
		total += n
	}
	if total == 0 {
		return loads
	}
	slots := map[corianderwing.PoolID]float64{}
	demand := map[corianderwing.PoolID]float64{}
	arriving := map[corianderwing.PoolID]float64{}
	for _, l := range loads {
		slots[l.Pool] += l.Slots
		demand[l.Pool] += l.Demand
		arriving[l.Pool] += l.ArrivalRate
	}
	expected := make([]Load, len(loads))
	for i, l := range loads {
		part := float64(p.instances[l.Domain]) / float64(total)
		all := expectedUtilization * slots[l.Pool]
		switch {
		case arriving[l.Pool] < minArrivalRate || p.starts(l.Region, now):
			l.Demand = max(l.Demand, all*part)
		case p.recovers(now):
			l.Demand += max(0, all-demand[l.Pool]) * part
		}
		expected[i] = l
	}
	return expected
}

// starts reports whether the traffic of a region, or of the first region if it has had
// none, began only a moment ago.
func (p *Planner) starts(region corianderwing.RegionID, now time.Time) bool {
	first, ok := p.firstTraffic[region]
	if !ok {
		first = p.trafficSince
	}
	return now.Sub(first) < establishedAfter && !p.recovers(now)
}

// recovers reports whether traffic has begun again after a total loss. The rates of
// workspaces are divided later than the ramp is suspended. All regions are affected
// alike, and what reaches the allocators shows how the demand is divided between them.
func (p *Planner) recovers(now time.Time) bool {
	return now.Sub(p.rampSuspendedUntil) < establishedAfter
}
