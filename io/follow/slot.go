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
	// maxReplyAge is how long after its last answer to a beat a control instance
	// is asked for slots.
	maxReplyAge = 1200 * time.Millisecond
	// avoidDuration is how long it is not asked after it left a request without an
	// answer.
	avoidDuration = 800 * time.Millisecond
	// releaseTimeout bounds a Release.
	releaseTimeout = 500 * time.Millisecond
)

// localDesk returns the peer address of the followed control instance, if it can
// be asked for slots: it answers, and it is near. All entry instances of a
// failure domain follow the same one, but for moments.
func (f *Follower) localDesk() (string, bool) {
	now := f.cfg.Now()
	self := f.cfg.Self()
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.lastReply) > maxReplyAge || now.Before(f.avoidUntil[f.current]) {
		return "", false
	}
	near := slices.ContainsFunc(f.controls, func(c plane.Control) bool {
		return c.Peer == f.current && c.Region == self.Region
	})
	return f.current, near
}

// remoteDesk returns the peer address of the control instance that hands out the
// slots of another failure domain: its own one, or else one of its region.
func (f *Follower) remoteDesk(d corianderwing.DomainID) (string, bool) {
	now := f.cfg.Now()
	region := f.cfg.RegionOf(d)
	f.mu.Lock()
	defer f.mu.Unlock()
	near := ""
	for _, c := range f.controls {
		if now.Before(f.avoidUntil[c.Peer]) {
			continue
		}
		if c.Domain == d {
			return c.Peer, true
		}
		if near == "" && c.Region == region {
			near = c.Peer
		}
	}
	return near, near != ""
}

// Acquire asks the control instance of the failure domain for a slot, or the
// one that it names instead. It returns false if that instance cannot be asked
// or does not answer; the caller then decides by itself.
func (f *Follower) Acquire(ctx context.Context, q *plane.Acquire) (*plane.Acquired, SlotSource, bool) {
	addr, ok := f.localDesk()
	if !ok {
		return nil, SlotSource{}, false
	}
	q.Domain = f.cfg.Self().Domain
	a, ok := f.acquireAt(ctx, addr, q)
	if !ok {
		return nil, SlotSource{}, false
	}
	if a.Elsewhere == "" {
		return a, SlotSource{addr, q.Domain}, true
	}
	there := *q
	there.Domain, there.Stay, there.Timely = a.Elsewhere, true, a.Timely
	if other, ok := f.remoteDesk(a.Elsewhere); ok {
		if a, ok := f.acquireAt(ctx, other, &there); ok && !isDeclined(a, there.Timely) {
			return a, SlotSource{other, there.Domain}, true
		}
	}
	q.Stay = true
	a, ok = f.acquireAt(ctx, addr, q)
	return a, SlotSource{addr, q.Domain}, ok
}

// isDeclined reports whether a desk that was asked instead of the own one leaves
// the request to that one.
func isDeclined(a *plane.Acquired, timely bool) bool {
	return a.Error != nil && (a.Error.Code == corianderwing.NoUpstream || timely)
}

// SlotSource tells who handed out a slot: a control instance, for a failure domain.
type SlotSource struct {
	Peer   string
	Domain corianderwing.DomainID
}

// acquireAt asks one control instance, until it has an answer.
func (f *Follower) acquireAt(ctx context.Context, addr string, q *plane.Acquire) (*plane.Acquired, bool) {
	for wait := plane.LeastWait; ; wait = plane.NextWait(wait) {
		q.Wait = corianderwing.Millis(wait.Milliseconds())
		sent := f.cfg.Now()
		callCtx, cancel := context.WithTimeout(ctx, wait+f.rtt(addr).timeout())
		a, err := peer.Call(callCtx, f.peer, addr, plane.AcquireMethod, q)
		cancel()
		if err != nil && ctx.Err() == nil {
			f.recordSlotTimeout(addr, sent, err)
			return nil, false
		}
		if err != nil {
			return &plane.Acquired{Error: corianderwing.Errorf(corianderwing.CallerDisconnected, "the request was given up while it waited")}, true
		}
		f.recordSlotReply(addr, f.cfg.Now().Sub(sent)-time.Duration(a.Waited)*time.Millisecond)
		if !a.Waiting {
			return a, true
		}
		q = &plane.Acquire{ID: a.ID}
	}
}

// rtt returns what is known of the rtt to a control instance.
func (f *Follower) rtt(addr string) rttEstimator {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rtts[addr]
}

// recordSlotReply notes an recordSlotReply to a call for a slot, and the time there and back.
func (f *Follower) recordSlotReply(addr string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.rtts[addr]
	w.observe(took, f.cfg.Now())
	f.rtts[addr] = w
}

// recordSlotTimeout notes a call for a slot that got no answer. The control instance is
// not asked for a while, unless it answered another call after this one was
// sent: then the way was only slow.
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

// Release gives a slot back to the control instance that handed it out.
func (f *Follower) Release(slot SlotSource, pool corianderwing.PoolID, o place.Outcome) {
	go func() {
		ctx, cancel := context.WithTimeout(f.ctx, releaseTimeout)
		defer cancel()
		_, err := peer.Call(ctx, f.peer, slot.Peer, plane.ReleaseMethod, &plane.Release{
			Domain: slot.Domain,
			Ended: []plane.Ended{{
				Pool:   pool,
				ID:     o.ID,
				Result: o.Result,
				Micros: o.Latency.Microseconds(),
				Dial:   o.DialTime.Microseconds(),
				Bytes:  o.Bytes,
				Load:   o.Load,
			}},
		})
		if err != nil {
			// The slot is free again when the request's deadline has passed.
			f.cfg.Log.Debug().Str("control", slot.Peer).Err(err).Msg("slot not given back")
		}
	}()
}
