package follow

import (
	"context"
	"slices"
	"time"

	"corianderwing"
	"corianderwing/core/place"
	"corianderwing/io/peer"
	"corianderwing/io/plane"
)

const (
	// maxReplyAge is how long after its last reply to a heartbeat a control instance
	// is sent slot requests.
	maxReplyAge = 1200 * time.Millisecond
	// avoidDuration is how long a control instance is sent no slot requests after
	// one that got no reply.
	avoidDuration = 800 * time.Millisecond
	// releaseTimeout bounds a release call.
	releaseTimeout = 500 * time.Millisecond
)

// localAllocator returns the peer address of the followed control instance, and whether
// slots can be requested from it: it must have replied recently and be in the same
// region. Apart from brief transitions, all entry instances of a failure domain
// follow the same one.
func (f *Follower) localAllocator() (string, bool) {
	now := f.cfg.Now()
	self := f.cfg.Self()
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.lastReply) > maxReplyAge || now.Before(f.avoidUntil[f.current]) {
		return "", false
	}
	near := slices.ContainsFunc(f.controls, func(c plane.ControlInstance) bool {
		return c.PeerAddr == f.current && c.Region == self.Region
	})
	return f.current, near
}

// remoteAllocator returns the peer address of the control instance that allocates the
// slots of another failure domain: the one in that domain, or else one in its region.
func (f *Follower) remoteAllocator(d corianderwing.DomainID) (string, bool) {
	now := f.cfg.Now()
	region := f.cfg.RegionOf(d)
	f.mu.Lock()
	defer f.mu.Unlock()
	near := ""
	for _, c := range f.controls {
		if now.Before(f.avoidUntil[c.PeerAddr]) {
			continue
		}
		if c.Domain == d {
			return c.PeerAddr, true
		}
		if near == "" && c.Region == region {
			near = c.PeerAddr
		}
	}
	return near, near != ""
}

// Acquire requests a slot from the control instance of the failure domain, or from
// the allocator to which that one redirects the request. It returns false if the control
// instance cannot be reached or does not reply; the caller then allocates a slot
// itself.
func (f *Follower) Acquire(ctx context.Context, q *plane.AcquireRequest) (*plane.AcquireResponse, SlotSource, bool) {
	addr, ok := f.localAllocator()
	if !ok {
		return nil, SlotSource{}, false
	}
	q.Domain = f.cfg.Self().Domain
	a, ok := f.acquireAt(ctx, addr, q)
	if !ok {
		return nil, SlotSource{}, false
	}
	if a.ForwardTo == "" {
		return a, SlotSource{Peer: addr, Domain: q.Domain}, true
	}
	remote, reason := *q, a.Reason
	remote.Domain, remote.NoForward, remote.RequireGoal = a.ForwardTo, true, a.RequireGoal
	if other, ok := f.remoteAllocator(a.ForwardTo); ok {
		if a, ok := f.acquireAt(ctx, other, &remote); ok && !isDeclined(a, remote.RequireGoal) {
			return a, SlotSource{Peer: other, Domain: remote.Domain, Reason: reason}, true
		}
	}
	q.NoForward = true
	a, ok = f.acquireAt(ctx, addr, q)
	return a, SlotSource{Peer: addr, Domain: q.Domain}, ok
}

// isDeclined reports whether a remote allocator leaves the request to the local one.
func isDeclined(a *plane.AcquireResponse, timely bool) bool {
	return a.Error != nil && (a.Error.Code == corianderwing.NoUpstream || timely)
}

// SlotSource identifies where a slot was allocated: the control instance, and the
// failure domain whose allocator it runs.
type SlotSource struct {
	Peer   string
	Domain corianderwing.DomainID
	Reason place.ForwardReason // why the request was forwarded there; empty if it was not
}

// acquireAt requests a slot from one control instance. It repeats the call while
// the request is queued there, until it is granted or refused. It returns false if
// a call gets no reply.
func (f *Follower) acquireAt(ctx context.Context, addr string, q *plane.AcquireRequest) (*plane.AcquireResponse, bool) {
	for wait := plane.MinWait; ; wait = plane.NextWait(wait) {
		q.MaxWait = corianderwing.Millis(wait.Milliseconds())
		sent := f.cfg.Now()
		callCtx, cancel := context.WithTimeout(ctx, wait+f.rtt(addr).timeout())
		a, err := peer.Call(callCtx, f.peer, addr, plane.AcquireMethod, q)
		cancel()
		if err != nil && ctx.Err() == nil {
			f.recordSlotTimeout(addr, sent, err)
			return nil, false
		}
		if err != nil {
			return &plane.AcquireResponse{Error: corianderwing.Errorf(corianderwing.CallerDisconnected, "caller canceled while waiting for a slot")}, true
		}
		f.recordSlotReply(addr, f.cfg.Now().Sub(sent)-time.Duration(a.Waited)*time.Millisecond)
		if !a.Waiting {
			return a, true
		}
		q = &plane.AcquireRequest{ID: a.ID}
	}
}

// rtt returns the round-trip time estimate for a control instance.
func (f *Follower) rtt(addr string) rttEstimator {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rtts[addr]
}

// recordSlotReply records a reply to a slot request and its round-trip time.
func (f *Follower) recordSlotReply(addr string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.rtts[addr]
	w.observe(took, f.cfg.Now())
	f.rtts[addr] = w
}

// recordSlotTimeout records a slot request that got no reply. The control instance
// is avoided for avoidDuration, unless it replied to another call after this one was
// sent: then only the link was slow.
func (f *Follower) recordSlotTimeout(addr string, sent time.Time, err error) {
	now := f.cfg.Now()
	f.mu.Lock()
	w := f.rtts[addr]
	slow := w.lastReply.After(sent)
	w.observeLoss(now.Sub(sent))
	f.rtts[addr] = w
	if !slow {
		f.avoidUntil[addr] = now.Add(avoidDuration)
	}
	f.mu.Unlock()
	f.cfg.Log.Warn().Str("control", addr).Bool("muted", !slow).Int64("timeout", w.timeout().Milliseconds()).Err(err).
		Msg("no answer to a request for a slot")
}

// Release returns a slot to the control instance that allocated it. It does not
// block.
func (f *Follower) Release(slot SlotSource, pool corianderwing.PoolID, o place.Outcome) {
	go func() {
		ctx, cancel := context.WithTimeout(f.ctx, releaseTimeout)
		defer cancel()
		_, err := peer.Call(ctx, f.peer, slot.Peer, plane.ReleaseMethod, &plane.ReleaseRequest{
			Domain: slot.Domain,
			Slots: []plane.ReleasedSlot{{
				Pool:          pool,
				ID:            o.ID,
				Result:        o.Result,
				LatencyMicros: o.Latency.Microseconds(),
				DialMicros:    o.DialTime.Microseconds(),
				Bytes:         o.Bytes,
				Load:          o.Load,
				Leaving:       o.Leaving,
			}},
		})
		if err != nil {
			// The slot becomes free in any case when the request's deadline passes.
			f.cfg.Log.Debug().Str("control", slot.Peer).Err(err).Msg("failed to release a slot")
		}
	}()
}
