package plane

import (
	"context"
	"slices"
	"sync"
	"time"

	"corianderwing"
	"corianderwing/io/desk"
)

// allocators holds the desk of the own failure domain, and those of domains whose
// entry instances follow this control instance because they cannot reach their
// own.
type allocators struct {
	ctx       context.Context
	ownDomain corianderwing.DomainID
	regionOf  func(corianderwing.DomainID) corianderwing.RegionID
	wg        sync.WaitGroup

	mu       sync.Mutex
	byDomain map[corianderwing.DomainID]*domainAllocator
}

// domainAllocator is the desk of one failure domain.
type domainAllocator struct {
	*desk.Allocator
	stop     context.CancelFunc
	lastUsed time.Time // last call
}

// allocatorIdleTimeout is how long the desk of another failure domain is kept without a
// call.
const allocatorIdleTimeout = 5 * time.Second

func newAllocators(ctx context.Context, own corianderwing.DomainID, regionOf func(corianderwing.DomainID) corianderwing.RegionID) *allocators {
	return &allocators{ctx: ctx, ownDomain: own, regionOf: regionOf, byDomain: map[corianderwing.DomainID]*domainAllocator{}}
}

// get returns the desk of a failure domain, and whether it is new.
func (d *allocators) get(domain corianderwing.DomainID) (_ *desk.Allocator, created bool) {
	if domain == "" {
		domain = d.ownDomain
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	x, ok := d.byDomain[domain]
	if !ok {
		ctx, cancel := context.WithCancel(d.ctx)
		x = &domainAllocator{Allocator: desk.New(desk.Config{Domain: domain, RegionOf: d.regionOf}), stop: cancel}
		d.byDomain[domain] = x
		d.wg.Go(func() { x.Run(ctx) })
	}
	x.lastUsed = time.Now()
	return x.Allocator, !ok
}

// forEach calls f with every desk that is in use.
func (d *allocators) forEach(f func(corianderwing.DomainID, *desk.Allocator)) {
	now := time.Now()
	list := map[corianderwing.DomainID]*desk.Allocator{}
	d.mu.Lock()
	for domain, x := range d.byDomain {
		if domain != d.ownDomain && now.Sub(x.lastUsed) > allocatorIdleTimeout {
			x.stop()
			delete(d.byDomain, domain)
			continue
		}
		list[domain] = x.Allocator
	}
	d.mu.Unlock()
	for domain, x := range list {
		f(domain, x)
	}
}

// loads returns the loads of every failure domain with a desk here.
func (d *allocators) loads() []domainLoads {
	var list []domainLoads
	d.forEach(func(domain corianderwing.DomainID, x *desk.Allocator) {
		list = append(list, domainLoads{domain, x.Loads()})
	})
	return list
}

// minArrivalRate is the rate from which on requests are said to arrive, in requests a
// second: the average of those that have ended fades slowly.
const minArrivalRate = 1

// busy reports whether requests arrive at any of the desks.
func (d *allocators) busy() bool {
	for _, domain := range d.loads() {
		if slices.ContainsFunc(domain.Loads, func(l desk.PoolLoad) bool { return l.ArrivalRate >= minArrivalRate }) {
			return true
		}
	}
	return false
}

func (d *allocators) close() { d.wg.Wait() }
