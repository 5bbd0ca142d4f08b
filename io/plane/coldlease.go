package plane

import (
	"strconv"
	"time"

	"corianderwing"
	"corianderwing/core/lease"
	"corianderwing/io/alloc"
)

// coldLeases holds the ends of the leases of this instance on the cold upstreams of
// failure domains, on the boot clock.
type coldLeases map[corianderwing.DomainID]time.Time

// renew extends the leases of the given failure domains, which the leader renewed for a
// report that was sent at the given time.
func (c coldLeases) renew(domains []corianderwing.DomainID, sent time.Time) {
	until := corianderwing.HolderDeadline(sent, lease.Duration)
	for _, d := range domains {
		if until.After(c[d]) {
			c[d] = until
		}
	}
}

// valid returns the number of leases that are valid.
func (c coldLeases) valid(now time.Time) int {
	n := 0
	for _, until := range c {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// renewColdLeases returns the failure domains whose cold upstreams only the sender of a
// report may use.
func (l *leaderState) renewColdLeases(term corianderwing.Term, q *reportRequest, now time.Time) []corianderwing.DomainID {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureTerm(term, now)
	var domains []corianderwing.DomainID
	for _, d := range q.Loads {
		c := lease.Claim{Holder: q.holder(), Domain: d.Domain, ArrivalRate: totalRate(d.Loads)}
		if l.coldLeases.Take(c, now) {
			domains = append(domains, d.Domain)
		}
	}
	return domains
}

// holder identifies the sender of a report. A process that starts again is another
// holder.
func (q *reportRequest) holder() lease.Holder {
	return lease.Holder(string(q.Replica) + "/" + strconv.FormatUint(uint64(q.Incarnation), 36))
}

// totalRate returns the requests per second that arrive at an allocator.
func totalRate(loads []alloc.PoolLoad) float64 {
	sum := 0.0
	for _, l := range loads {
		sum += l.ArrivalRate
	}
	return sum
}
