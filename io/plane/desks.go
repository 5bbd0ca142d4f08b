package plane

import (
	"context"
	"slices"
	"sync"
	"time"

	"corianderwing"
	"corianderwing/io/desk"
)

// desks holds the desk of the own failure domain, and those of domains whose
// entry instances follow this control instance because they cannot reach their
// own.
type desks struct {
	ctx      context.Context
	own      corianderwing.DomainID
	regionOf func(corianderwing.DomainID) corianderwing.RegionID
	wg       sync.WaitGroup

	mu  sync.Mutex
	all map[corianderwing.DomainID]*domainDesk
}

// domainDesk is the desk of one failure domain.
type domainDesk struct {
	*desk.Allocator
	stop context.CancelFunc
	used time.Time // last call
}

// unusedFor is how long the desk of another failure domain is kept without a
// call.
const unusedFor = 5 * time.Second

func newDesks(ctx context.Context, own corianderwing.DomainID, regionOf func(corianderwing.DomainID) corianderwing.RegionID) *desks {
	return &desks{ctx: ctx, own: own, regionOf: regionOf, all: map[corianderwing.DomainID]*domainDesk{}}
}

// of returns the desk of a failure domain, and whether it is new.
func (d *desks) of(domain corianderwing.DomainID) (_ *desk.Allocator, fresh bool) {
	if domain == "" {
		domain = d.own
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	x, ok := d.all[domain]
	if !ok {
		ctx, cancel := context.WithCancel(d.ctx)
		x = &domainDesk{Allocator: desk.New(desk.Config{Domain: domain, RegionOf: d.regionOf}), stop: cancel}
		d.all[domain] = x
		d.wg.Go(func() { x.Run(ctx) })
	}
	x.used = time.Now()
	return x.Allocator, !ok
}

// each calls f with every desk that is in use.
func (d *desks) each(f func(corianderwing.DomainID, *desk.Allocator)) {
	now := time.Now()
	list := map[corianderwing.DomainID]*desk.Allocator{}
	d.mu.Lock()
	for domain, x := range d.all {
		if domain != d.own && now.Sub(x.used) > unusedFor {
			x.stop()
			delete(d.all, domain)
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
func (d *desks) loads() []domainLoads {
	var list []domainLoads
	d.each(func(domain corianderwing.DomainID, x *desk.Allocator) {
		list = append(list, domainLoads{domain, x.Loads()})
	})
	return list
}

// busyRate is the rate from which on requests are said to arrive, in requests a
// second: the average of those that have ended fades slowly.
const busyRate = 1

// busy reports whether requests arrive at any of the desks.
func (d *desks) busy() bool {
	for _, domain := range d.loads() {
		if slices.ContainsFunc(domain.Loads, func(l desk.PoolLoad) bool { return l.ArrivalRate >= busyRate }) {
			return true
		}
	}
	return false
}

func (d *desks) close() { d.wg.Wait() }
