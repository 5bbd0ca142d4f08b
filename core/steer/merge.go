package steer

import (
	"cmp"
	"slices"
)

// Merge combines the loads that several control instances report for the same
// pool and failure domain. A large domain has more than one control instance:
// one allocates its slots, the others stand by without requests, and after a
// failure the entry instances may be divided between two of them for a while.
//
// Each request is known to one reporter, so demand and arrivals add up. Each
// reporter sees all upstreams of the domain except those that it has ejected,
// so the slots are the most that any of them reports. The load is provisional if
// that of a reporter with requests is. The result is sorted by pool and domain.
func Merge(loads []Load) []Load {
	merged := map[poolKey]Load{}
	for _, l := range loads {
		k := poolKey{l.Pool, l.Domain}
		m, ok := merged[k]
		l.Provisional = l.Provisional && l.ArrivalRate > 0
		if !ok {
			merged[k] = l
			continue
		}
		m.Provisional = m.Provisional || l.Provisional
		m.Slots = max(m.Slots, l.Slots)
		m.Demand += l.Demand
		m.ArrivalRate += l.ArrivalRate
		merged[k] = m
	}
	out := make([]Load, 0, len(merged))
	for _, l := range merged {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Load) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Domain, b.Domain))
	})
	return out
}
