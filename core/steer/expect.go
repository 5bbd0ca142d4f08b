package steer

import "corianderwing"

// expectedUtilization is the fraction of a pool's slots that callers are expected to
// need before the first requests show it.
const expectedUtilization = 0.4

// Expect returns loads as they will be once callers send requests: for each pool
// without requests, the demand of a domain is its part of the entry instances. The
// map holds their number in each failure domain.
//
// A region with few upstreams runs most of its requests elsewhere. If it borrowed
// slots only after its first requests, these would wait or be rejected, and when
// their reports are late, the region in which its requests run would change within
// two seconds.
func Expect(loads []Load, instances map[corianderwing.DomainID]int) []Load {
	total := 0
	for _, n := range instances {
		total += n
	}
	slots := map[corianderwing.PoolID]float64{}
	arriving := map[corianderwing.PoolID]float64{}
	for _, l := range loads {
		slots[l.Pool] += l.Slots
		arriving[l.Pool] += l.ArrivalRate
	}
	expected := make([]Load, len(loads))
	for i, l := range loads {
		if arriving[l.Pool] < minArrivalRate && total > 0 {
			l.Demand = expectedUtilization * slots[l.Pool] * float64(instances[l.Domain]) / float64(total)
		}
		expected[i] = l
	}
	return expected
}
