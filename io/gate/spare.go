package gate

import (
	"math/rand/v2"
	"slices"
	"time"

	"corianderwing"
	"corianderwing/core/notice"
	"corianderwing/core/place"
)

// spareList is the list of the upstreams of a pool that a request must not use.
type spareList struct {
	notices    map[corianderwing.UpstreamID]notice.State
	pushedBack bool // one of them asked for no requests for some time
}

// upstreamsToSpare returns the upstreams that the request must not use. The
// allocator does not know all that this instance has heard.
func (x *exchange) upstreamsToSpare() spareList {
	heard := x.pool.notices.heard.Load()
	if heard == nil {
		return spareList{}
	}
	now := x.s.cfg.Boot()
	list := spareList{notices: map[corianderwing.UpstreamID]notice.State{}}
	for _, n := range *heard {
		st := n.state.Load()
		if st == nil {
			continue
		}
		v := st.Judge(now)
		if u, ok := x.view.Upstream(n.id); !v.Refused() || ok && u.Incarnation != n.incarnation {
			continue
		}
		list.notices[n.id] = *st
		list.pushedBack = list.pushedBack || v == notice.PushedBack
		x.recordSpared(n.id, v)
	}
	return list
}

// exclude adds the upstreams of the list to those that a request has tried.
func (l *spareList) exclude(tried []corianderwing.UpstreamID) []corianderwing.UpstreamID {
	if len(l.notices) == 0 {
		return tried
	}
	all := slices.Clone(tried)
	for id := range l.notices {
		all = append(all, id)
	}
	slices.Sort(all[len(tried):])
	return all
}

// pushback describes how much of a pool is blocked while upstreams push back.
type pushback struct {
	all    bool      // every upstream that may run the request
	region bool      // every one in the own region, at least one of them by a pushback
	free   time.Time // when the first may get a request, on the boot clock; zero if all are leaving
}

// pushbackOf returns what the upstreams of the list leave of the pool.
func (x *exchange) pushbackOf(l *spareList) pushback {
	own := x.s.cfg.RegionOf(x.s.cfg.Domain)
	p := pushback{all: true}
	pushedBack, ownFree := false, false
	for _, u := range x.view.PoolUpstreams(x.pool.name) {
		region := x.s.cfg.RegionOf(u.Domain)
		homes := x.placement.HomeRegions
		if u.Phase != corianderwing.Ready || x.view.Evacuated(u.Domain) || len(homes) > 0 && !slices.Contains(homes, region) {
			continue
		}
		st, spared := l.notices[u.ID]
		if !spared {
			p.all = false
			ownFree = ownFree || region == own
			continue
		}
		if st.Leaving {
			continue
		}
		pushedBack = pushedBack || region == own
		if free := st.Pushback.FreeAt(); p.free.IsZero() || free.Before(p.free) {
			p.free = free
		}
	}
	p.region = pushedBack && !ownFree
	return p
}

// limitPushback applies the pushbacks of upstreams to a request for a slot. If all
// upstreams push back, it returns an error. If those of the own region do, the
// request stays within the slots that other regions lend: if all requests went there
// at once, the share of the region that runs elsewhere would jump. In both cases it
// returns the delay after which a rejected caller should retry.
func (x *exchange) limitPushback(l *spareList, r *place.Request) (time.Duration, *corianderwing.Error) {
	if !l.pushedBack {
		return 0, nil
	}
	p := x.pushbackOf(l)
	if p.free.IsZero() || !p.region && !p.all {
		return 0, nil
	}
	after := notice.RetryAfter(p.free, x.s.cfg.Boot(), rand.Float64())
	if p.all {
		return after, corianderwing.Errorf(corianderwing.NoCapacity, "all upstreams of pool %s asked for no requests", x.pool.name)
	}
	r.NoForward = true
	return after, nil
}
