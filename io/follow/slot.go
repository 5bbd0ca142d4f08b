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
	// answerFor is how long after its last answer to a beat a control instance
	// is asked for slots.
	answerFor = 1200 * time.Millisecond
	// muteFor is how long it is not asked after it left a request without an
	// answer.
	muteFor = 800 * time.Millisecond
	// slotTimeout bounds one call for a slot. The control instance answers
	// within 100 ms.
	slotTimeout = 180 * time.Millisecond
	// releaseTimeout bounds a Release.
	releaseTimeout = 500 * time.Millisecond
)

// deskAt returns the peer address of the followed control instance, if it can
// be asked for slots: it answers, and it is near. All entry instances of a
// failure domain follow the same one, but for moments.
func (f *Follower) deskAt() (string, bool) {
	now := f.cfg.Now()
	self := f.cfg.Self()
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.answered) > answerFor || now.Before(f.mute) {
		return "", false
	}
	near := slices.ContainsFunc(f.controls, func(c plane.Control) bool {
		return c.Peer == f.current && c.Region == self.Region
	})
	return f.current, near
}

// Acquire asks the control instance of the failure domain for a slot. It
// returns false if that instance cannot be asked or does not answer; the caller
// then decides by itself.
func (f *Follower) Acquire(ctx context.Context, q *plane.Acquire) (*plane.Acquired, string, bool) {
	addr, ok := f.deskAt()
	if !ok {
		return nil, "", false
	}
	q.Domain = f.cfg.Self().Domain
	for {
		callCtx, cancel := context.WithTimeout(ctx, slotTimeout)
		a, err := peer.Call(callCtx, f.peer, addr, plane.AcquireMethod, q)
		cancel()
		if err != nil && ctx.Err() == nil {
			f.muteDesk(addr, err)
			return nil, "", false
		}
		if err != nil {
			return &plane.Acquired{Error: corianderwing.Errorf(corianderwing.CallerGone, "the request was given up while it waited")}, addr, true
		}
		if !a.Waiting {
			return a, addr, true
		}
		q = &plane.Acquire{ID: a.ID}
	}
}

// muteDesk stops asking a control instance that left a request without an
// answer, for a while.
func (f *Follower) muteDesk(addr string, err error) {
	f.cfg.Log.Warn().Str("control", addr).Err(err).Msg("no answer to a request for a slot")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mute = f.cfg.Now().Add(muteFor)
}

// Release gives a slot back to the control instance that handed it out.
func (f *Follower) Release(addr string, pool corianderwing.PoolID, o place.Outcome) {
	domain := f.cfg.Self().Domain
	go func() {
		ctx, cancel := context.WithTimeout(f.ctx, releaseTimeout)
		defer cancel()
		_, err := peer.Call(ctx, f.peer, addr, plane.ReleaseMethod, &plane.Release{Domain: domain, Ended: []plane.Ended{{
			Pool:   pool,
			ID:     o.ID,
			Result: o.Result,
			Micros: o.Took.Microseconds(),
			Dial:   o.Dial.Microseconds(),
			Load:   o.Load,
		}}})
		if err != nil {
			// The slot is free again when the request's deadline has passed.
			f.cfg.Log.Debug().Str("control", addr).Err(err).Msg("slot not given back")
		}
	}()
}
