package place_test

import (
	"time"

	"corianderwing"
)

// deployment describes a deployment and its load.
type deployment struct {
	domains     []domain
	pools       []poolSpec
	classes     []class
	remoteDelay time.Duration // one way between regions
	rate        float64       // requests per second of one failure domain
	amplitude   float64       // amplitude of the sine wave of each region's load
	period      time.Duration
	length      time.Duration
	faults      []fault
	shifts      []shift
	bursts      []burst
	moments     moments
	sheds       []shed
	workspaces  []workspace // of the callers; empty for none
	divided     bool        // slots are divided between workspaces
}

// workspace has a weight, and a part of all requests in proportion to its load.
type workspace struct {
	id           corianderwing.WorkspaceID
	weight, load float64
}

// shed makes the upstreams of a pool reject a part of the requests for a while,
// although they have free slots.
type shed struct {
	pool       corianderwing.PoolID
	part       float64
	at, length time.Duration
}

// moments makes single upstreams slow for a moment, now and then.
type moments struct {
	part     float64       // of the time in which an upstream is slow
	factor   float64       // of the processing time in a slow moment
	every    time.Duration // mean time between changes
	reported bool          // upstreams report how long work takes at the moment
}

// shift sends a part of a domain's callers to the entry instances of another
// domain.
type shift struct {
	from, to   corianderwing.DomainID
	part       float64
	at, length time.Duration
}

// burst multiplies the load of all domains.
type burst struct {
	factor     float64
	at, length time.Duration
}

type domain struct {
	id     corianderwing.DomainID
	region corianderwing.RegionID
	phase  float64
}

type poolSpec struct {
	id        corianderwing.PoolID
	count     []int // upstreams in each domain
	slots     int
	cacheSize int // objects that an upstream caches
}

type class struct {
	id        corianderwing.RouteID
	pool      corianderwing.PoolID
	weight    float64
	work      time.Duration // processing time on a cache miss
	goal      time.Duration
	deadline  time.Duration
	value     float64
	lateValue float64
	rank      int
	objects   int // objects per region
	bytes     int // size of a request and its response
}

// fault takes all upstreams of a domain down for a while and clears their
// caches.
type fault struct {
	domain corianderwing.DomainID
	at     time.Duration
	length time.Duration
}

const hitWorkFraction = 0.3 // fraction of the processing time that a cache hit takes

// threadworks models the deployment of that name under the load of its busiest
// days.
func threadworks(rate float64) deployment {
	s := deployment{
		remoteDelay: 12 * time.Millisecond, rate: rate, amplitude: 0.55, period: 36 * time.Second, length: 32 * time.Second,
		pools: []poolSpec{
			{"catalogue", []int{1, 3, 3, 1, 3, 3}, 5, 29},
			{"orders", []int{1, 2, 3, 1, 2, 3}, 3, 15},
			{"files", []int{1, 3, 4, 1, 3, 4}, 4, 24},
		},
		classes: []class{
			{"browse", "catalogue", 5.2, 360 * time.Millisecond, 250 * time.Millisecond, 2 * time.Second, 1, 0.2, 2, 51, 2200},
			{"order", "orders", 2.3, 480 * time.Millisecond, 300 * time.Millisecond, 2500 * time.Millisecond, 2, 0.4, 1, 24, 9700},
			{"fetch", "files", 2.2, 880 * time.Millisecond, 600 * time.Millisecond, 4 * time.Second, 1, 0.2, 2, 24, 5700},
			{"rush", "files", 1.2, 144 * time.Millisecond, 120 * time.Millisecond, 800 * time.Millisecond, 2, 0.4, 1, 24, 5700},
		},
	}
	s.domains = sixDomains()
	return s
}

// kazi models the other deployment, with long delays between regions.
func kazi(rate float64) deployment {
	s := deployment{
		remoteDelay: 35 * time.Millisecond, rate: rate, amplitude: 0.55, period: 36 * time.Second, length: 32 * time.Second,
		pools: []poolSpec{
			{"showroom", []int{2, 3, 1, 2, 3, 1}, 4, 15},
			{"ledger", []int{2, 3, 1, 2, 3, 1}, 3, 15},
			{"workbench", []int{2, 3, 1, 2, 3, 1}, 4, 30},
		},
		classes: []class{
			{"browse", "showroom", 6.1, 880 * time.Millisecond, 600 * time.Millisecond, 4 * time.Second, 1, 0.2, 2, 24, 1100},
			{"deposit", "ledger", 2.4, 1160 * time.Millisecond, 800 * time.Millisecond, 6 * time.Second, 2, 0.4, 1, 24, 3400},
			{"check", "workbench", 2.5, 2200 * time.Millisecond, 1500 * time.Millisecond, 12 * time.Second, 1, 0.2, 2, 24, 2200},
			{"quote", "workbench", 1.5, 352 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second, 2, 0.4, 1, 24, 2200},
		},
	}
	s.domains = sixDomains()
	return s
}

func sixDomains() []domain {
	return []domain{{"a1", "a", 0}, {"b1", "b", 0.33}, {"c1", "c", 0.67}, {"a2", "a", 0}, {"b2", "b", 0.33}, {"c2", "c", 0.67}}
}
