package place

import (
	"time"

	"corianderwing"
)

// LoadReport is the load that an upstream reports with a response.
type LoadReport struct {
	Running  int                   `json:"running,omitempty"`
	Waiting  int                   `json:"waiting,omitempty"`
	WorkTime corianderwing.Percent `json:"worktime,omitempty"` // how long work takes now, relative to the usual; 0 if not reported
	Valid    bool                  `json:"known,omitempty"`
}

// Load is the load of a Pool.
type Load struct {
	Slots       int     // available to the Pool
	OwnSlots    int     // of the failure domain's own upstreams, including lent ones
	InFlight    int     // requests in flight
	Demand      float64 // slots that the arriving requests need
	ArrivalRate float64 // requests per second
	// Provisional is set while the Pool has had requests only for a short time.
	// Its demand is then a guess, and the load that its predecessor reported last
	// may still be counted as well.
	Provisional bool
	OverShare   int                   // waiting requests of workspaces over their share
	Pace        corianderwing.Percent // mean work time that the upstreams report; 0 if none does
	ColdPeak    int                   // most requests granted within a second for one upstream in its cold start
}

// provisionalPeriod is how long after its first request the load of a Pool is
// provisional: the time for which the last report of a predecessor counts.
const provisionalPeriod = 1500 * time.Millisecond

// Load returns the load at now.
func (p *Pool) Load(now time.Time) Load {
	l := Load{Demand: p.demand.rate(now), ArrivalRate: p.arrivals.rate(now)}
	l.Provisional = now.Sub(p.arrivals.started) < provisionalPeriod
	l.Pace = corianderwing.Percent(100 * p.pace.mean)
	l.ColdPeak = p.coldPeak
	for _, w := range p.queue {
		if w.overShare {
			l.OverShare++
		}
	}
	for _, s := range p.sorted {
		l.InFlight += s.inFlight
		if !s.usable(now) || s.upstream.Version != p.setup.Version && s.upstream.Version != p.setup.NextVersion {
			continue
		}
		l.Slots += s.slots
		if !s.remote {
			l.OwnSlots += s.slots + s.lent
		}
	}
	return l
}

// QueueLen returns the number of waiting requests.
func (p *Pool) QueueLen() int { return len(p.queue) }
