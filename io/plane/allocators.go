package plane

import (
	"context"
	"slices"
	"sync"
	"time"

	"corianderwing"
	"corianderwing/io/alloc"
)

// allocators holds the slot allocator of this instance's failure domain, and
// those of other domains whose entry instances use this control instance
// because they cannot reach their own.
type allocators struct {
	ctx       context.Context
	ownDomain corianderwing.DomainID
	regionOf  func(corianderwing.DomainID) corianderwing.RegionID
	wg        sync.WaitGroup

	mu       sync.Mutex
	byDomain map[corianderwing.DomainID]*domainAllocator
}

// domainAllocator is the slot allocator of one failure domain.
type domainAllocator struct {
	*alloc.Allocator
	stop     context.CancelFunc
	lastUsed time.Time // time of the last call
}

// allocatorIdleTimeout is how long the allocator of another failure domain is
// kept without a call.
const allocatorIdleTimeout = 5 * time.Second

func newAllocators(ctx context.Context, own corianderwing.DomainID, regionOf func(corianderwing.DomainID) corianderwing.RegionID) *allocators {
	return &allocators{ctx: ctx, ownDomain: own, regionOf: regionOf, byDomain: map[corianderwing.DomainID]*domainAllocator{}}
}

// get returns the allocator of a failure domain, and whether it was created by
// this call.
func (d *allocators) get(domain corianderwing.DomainID) (_ *alloc.Allocator, created bool) {
	if domain == "" {
		domain = d.ownDomain
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	x, ok := d.byDomain[domain]
	if !ok {
		ctx, cancel := context.WithCancel(d.ctx)
		x = &domainAllocator{Allocator: alloc.New(alloc.Config{Domain: domain, RegionOf: d.regionOf}), stop: cancel}
		d.byDomain[domain] = x
		d.wg.Go(func() { x.Run(ctx) })
	}
	x.lastUsed = time.Now()
	return x.Allocator, !ok
}

// forEach calls f for every allocator in use, and removes idle ones.
func (d *allocators) forEach(f func(corianderwing.DomainID, *alloc.Allocator)) {
	now := time.Now()
	list := map[corianderwing.DomainID]*alloc.Allocator{}
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

// loads returns the loads of every failure domain with an allocator on this
// instance.
func (d *allocators) loads() []domainLoads {
	var list []domainLoads
	d.forEach(func(domain corianderwing.DomainID, x *alloc.Allocator) {
		list = append(list, domainLoads{domain, x.Loads()})
	})
	return list
}

// minArrivalRate is the arrival rate, in requests per second, from which on
// requests are considered to be arriving. It is not zero because the moving
// average decays slowly after the last request.
const minArrivalRate = 1

// busy reports whether requests are arriving at any allocator.
func (d *allocators) busy() bool {
	for _, domain := range d.loads() {
		if slices.ContainsFunc(domain.Loads, func(l alloc.PoolLoad) bool { return l.ArrivalRate >= minArrivalRate }) {
			return true
		}
	}
	return false
}

func (d *allocators) close() { d.wg.Wait() }
