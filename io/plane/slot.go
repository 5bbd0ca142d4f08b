package plane

import (
	"context"
	"time"

	"corianderwing"
	"corianderwing/core/place"
	"corianderwing/core/shift"
	"corianderwing/io/alloc"
	"corianderwing/io/clock"
)

// syncInterval is how often the allocators are synchronized if the state does
// not change.
const syncInterval = 250 * time.Millisecond

// minSyncInterval is the minimum time between two synchronizations, because each
// goes through all upstreams.
const minSyncInterval = 25 * time.Millisecond

// moveShareTTL is how long the share of a move is valid without confirmation by
// the leader.
const moveShareTTL = 3 * time.Second

// syncLoop synchronizes the allocators with the state.
func (p *Plane) syncLoop() {
	tick := time.NewTicker(syncInterval)
	defer tick.Stop()
	p.allocators.get(p.cfg.Quorum.Domain)
	for {
		changed := p.machine.Changed()
		view := p.machine.View()
		p.allocators.forEach(func(domain corianderwing.DomainID, d *alloc.Allocator) { d.Sync(view, p.syncParams(domain)) })
		p.expireWaiting()
		if !clock.Sleep(p.ctx, minSyncInterval) {
			return
		}
		select {
		case <-changed:
		case <-tick.C:
		case <-p.ctx.Done():
			return
		}
	}
}

// allocator returns the allocator of a failure domain. A newly created one is
// synchronized immediately.
func (p *Plane) allocator(domain corianderwing.DomainID) *alloc.Allocator {
	d, fresh := p.allocators.get(domain)
	if fresh {
		p.log.Info().Str("domain", string(domain)).Msg("allocating slots for another failure domain")
		d.Sync(p.machine.View(), p.syncParams(domain))
	}
	return d
}

// syncParams returns the move shares and loans last received from the leader.
// If the leader's confirmation is older than moveShareTTL, move shares are
// capped at the initial share.
func (p *Plane) syncParams(domain corianderwing.DomainID) alloc.SyncParams {
	now := clock.Boot()
	p.mu.Lock()
	defer p.mu.Unlock()
	shares := map[corianderwing.RequestID]float64{}
	stale := now.Sub(p.confirmedAt) > moveShareTTL
	for _, m := range p.moveShares {
		shares[m.Move] = m.Share
		if stale {
			shares[m.Move] = min(m.Share, shift.Quick.InitialShare)
		}
	}
	lent, borrowed := p.loanedSlots(domain, now)
	return alloc.SyncParams{
		Allocators: 1,
		NextShare:  func(m corianderwing.Move) float64 { return shares[m.ID] },
		Lent:       lent,
		Borrowed:   borrowed,
		ColdUntil:  p.coldLeases[domain],
	}
}

const (
	// MinWait and MaxWait bound how long a call for a slot may block. A request
	// that waits longer calls again, so that an entry instance soon detects a
	// control instance that has stopped responding. The wait doubles with each
	// call: if many requests wait for long, frequent calls would take the CPU
	// time needed for the responses.
	MinWait = 100 * time.Millisecond
	MaxWait = 400 * time.Millisecond
	// nextCallTimeout is how soon a waiting request must call again.
	nextCallTimeout = 300 * time.Millisecond
)

// NextWait returns how long the next call of a request may block.
func NextWait(last time.Duration) time.Duration { return min(max(2*last, MinWait), MaxWait) }

// waitingRequest is a request that is waiting for a slot between two calls.
type waitingRequest struct {
	allocator *alloc.Allocator
	pending   *alloc.PendingRequest
	expires   time.Time
}

// acquire allocates a slot, or queues the request until one is free.
func (p *Plane) acquire(ctx context.Context, q *AcquireRequest) (*AcquireResponse, error) {
	now := time.Now()
	if q.ID != 0 {
		return withWaited(p.resume(ctx, q), now), nil
	}
	d := p.allocator(q.Domain)
	w, err := d.Submit(q.Pool, place.Request{
		Object:             q.Object,
		Class:              q.Class,
		Workspace:          q.Workspace,
		Rank:               q.Rank,
		Retried:            q.Retried,
		Goal:               q.Goal.After(now),
		Deadline:           q.Timeout.After(now),
		HomeRegions:        q.HomeRegions,
		ExcludedUpstreams:  q.ExcludedUpstreams,
		CurrentVersionOnly: q.CurrentVersionOnly,
		NoForward:          q.NoForward,
		RequireGoal:        q.RequireGoal,
	})
	if err != nil {
		return &AcquireResponse{Error: err}, nil
	}
	return withWaited(p.waitForSlot(ctx, d, w, q), now), nil
}

// withWaited records how long the call blocked, so that the caller can subtract
// it from the measured round-trip time.
func withWaited(a *AcquireResponse, since time.Time) *AcquireResponse {
	a.Waited = corianderwing.Millis(time.Since(since).Milliseconds())
	return a
}

// resume continues the wait of a request that called before.
func (p *Plane) resume(ctx context.Context, q *AcquireRequest) *AcquireResponse {
	p.waitingMu.Lock()
	a, ok := p.waiting[q.ID]
	delete(p.waiting, q.ID)
	p.waitingMu.Unlock()
	if !ok {
		return &AcquireResponse{Error: corianderwing.Errorf(corianderwing.DeadlineUnreachable, "waiting request did not call again in time")}
	}
	return p.waitForSlot(ctx, a.allocator, a.pending, q)
}

// waitForSlot waits for a slot for at most the requested time, between MinWait
// and MaxWait.
func (p *Plane) waitForSlot(ctx context.Context, d *alloc.Allocator, w *alloc.PendingRequest, q *AcquireRequest) *AcquireResponse {
	limit := min(max(time.Duration(q.MaxWait)*time.Millisecond, MinWait), MaxWait)
	t, after, err, ok := w.Wait(ctx, limit)
	if !ok && ctx.Err() != nil {
		d.Cancel(w)
		return &AcquireResponse{Error: corianderwing.Errorf(corianderwing.CallerDisconnected, "request canceled while waiting for a slot")}
	}
	if !ok {
		p.waitingMu.Lock()
		defer p.waitingMu.Unlock()
		p.waiting[w.ID] = waitingRequest{d, w, time.Now().Add(nextCallTimeout)}
		return &AcquireResponse{ID: w.ID, Waiting: true}
	}
	if err != nil {
		return &AcquireResponse{Error: err, RetryAfter: corianderwing.Millis(after.Milliseconds())}
	}
	if t.ForwardTo != "" {
		return &AcquireResponse{ForwardTo: t.ForwardTo, Reason: t.Reason, RequireGoal: t.RequireGoal}
	}
	return &AcquireResponse{
		ID:              t.ID,
		Upstream:        t.Upstream.ID,
		Incarnation:     t.Upstream.Incarnation,
		ExpectedLatency: corianderwing.Millis(t.ExpectedLatency.Milliseconds()),
		MissLatency:     corianderwing.Millis(t.MissLatency.Milliseconds()),
		ExpectHit:       t.ExpectHit,
		ColdStart:       t.ColdStart,
		NextVersion:     t.NextVersion,
	}
}

// expireWaiting cancels requests that did not call again in time.
func (p *Plane) expireWaiting() {
	now := time.Now()
	var expired []waitingRequest
	p.waitingMu.Lock()
	for id, a := range p.waiting {
		if now.After(a.expires) {
			delete(p.waiting, id)
			expired = append(expired, a)
		}
	}
	p.waitingMu.Unlock()
	for _, a := range expired {
		a.allocator.Cancel(a.pending)
	}
}

// release releases slots.
func (p *Plane) release(q *ReleaseRequest) {
	d := p.allocator(q.Domain)
	for _, e := range q.Slots {
		d.Release(e.Pool, place.Outcome{
			ID:       e.ID,
			Result:   e.Result,
			Latency:  time.Duration(e.LatencyMicros) * time.Microsecond,
			DialTime: time.Duration(e.DialMicros) * time.Microsecond,
			Bytes:    e.Bytes,
			Load:     e.Load,
			Leaving:  e.Leaving,
		})
	}
}
