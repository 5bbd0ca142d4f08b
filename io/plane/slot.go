package plane

import (
	"context"
	"time"

	"corianderwing"
	"corianderwing/core/place"
	"corianderwing/core/shift"
	"corianderwing/io/clock"
	"corianderwing/io/desk"
)

// syncEvery is how often the desk is brought up to date without a change of the
// state.
const syncEvery = 250 * time.Millisecond

// shareFor is how long the share of a move counts without news from the leader.
const shareFor = 3 * time.Second

// keepDesks brings the desks up to date.
func (p *Plane) keepDesks() {
	tick := time.NewTicker(syncEvery)
	defer tick.Stop()
	p.desks.of(p.cfg.Quorum.Domain)
	for {
		changed := p.machine.Changed()
		view := p.machine.View()
		p.desks.each(func(domain corianderwing.DomainID, d *desk.Allocator) { d.Sync(view, p.terms(domain)) })
		p.forgetAsked()
		select {
		case <-changed:
		case <-tick.C:
		case <-p.ctx.Done():
			return
		}
	}
}

// desk returns the desk of a failure domain. A new one knows the state at once.
func (p *Plane) desk(domain corianderwing.DomainID) *desk.Allocator {
	d, fresh := p.desks.of(domain)
	if fresh {
		p.log.Info().Str("domain", string(domain)).Msg("handing out slots for another failure domain")
		d.Sync(p.machine.View(), p.terms(domain))
	}
	return d
}

// terms returns what the leader last said about moves and lent slots.
func (p *Plane) terms(domain corianderwing.DomainID) desk.SyncParams {
	now := clock.Boot()
	p.mu.Lock()
	defer p.mu.Unlock()
	shares := map[corianderwing.RequestID]float64{}
	stale := now.Sub(p.confirm) > shareFor
	for _, m := range p.shares {
		shares[m.Move] = m.Share
		if stale {
			shares[m.Move] = min(m.Share, shift.Quick.InitialShare)
		}
	}
	lent, borrowed := p.lent(domain, now)
	return desk.SyncParams{
		Allocators: 1,
		NextShare:  func(m corianderwing.Move) float64 { return shares[m.ID] },
		Lent:       lent,
		Borrowed:   borrowed,
	}
}

const (
	// MinWait and MaxWait bound the time for which a call for a slot waits. A
	// request that waits longer calls again, so that an entry instance soon
	// notices a control instance that does not answer any more. Each call may wait
	// twice as long as the one before: where many wait for long, their calls would
	// take the processor time that the answers need.
	MinWait = 100 * time.Millisecond
	MaxWait = 400 * time.Millisecond
	// askAgain is how soon a request must call again.
	askAgain = 300 * time.Millisecond
)

// NextWait returns how long the next call of a request may wait.
func NextWait(last time.Duration) time.Duration { return min(max(2*last, MinWait), MaxWait) }

// asked is a request that waits between two calls.
type asked struct {
	desk    *desk.Allocator
	waiting *desk.PendingRequest
	until   time.Time
}

// acquire hands out a slot, or lets the request wait for one.
func (p *Plane) acquire(ctx context.Context, q *AcquireRequest) (*AcquireResponse, error) {
	now := time.Now()
	if q.ID != 0 {
		return waited(p.await(ctx, q), now), nil
	}
	d := p.desk(q.Domain)
	w, err := d.Submit(q.Pool, place.Request{
		Object:             q.Object,
		Class:              q.Class,
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
	return waited(p.wait(ctx, d, w, q), now), nil
}

// waited tells the caller how much of the time until the answer was meant to
// pass.
func waited(a *AcquireResponse, since time.Time) *AcquireResponse {
	a.Waited = corianderwing.Millis(time.Since(since).Milliseconds())
	return a
}

// await goes on with the wait of a request that called before.
func (p *Plane) await(ctx context.Context, q *AcquireRequest) *AcquireResponse {
	p.askMu.Lock()
	a, ok := p.asked[q.ID]
	delete(p.asked, q.ID)
	p.askMu.Unlock()
	if !ok {
		return &AcquireResponse{Error: corianderwing.Errorf(corianderwing.DeadlineUnreachable, "the request called again too late")}
	}
	return p.wait(ctx, a.desk, a.waiting, q)
}

// wait waits for a slot for as long as the call may wait.
func (p *Plane) wait(ctx context.Context, d *desk.Allocator, w *desk.PendingRequest, q *AcquireRequest) *AcquireResponse {
	most := min(max(time.Duration(q.MaxWait)*time.Millisecond, MinWait), MaxWait)
	t, after, err, ok := w.Wait(ctx, most)
	if !ok && ctx.Err() != nil {
		d.Cancel(w)
		return &AcquireResponse{Error: corianderwing.Errorf(corianderwing.CallerDisconnected, "the request was given up while it waited")}
	}
	if !ok {
		p.askMu.Lock()
		defer p.askMu.Unlock()
		p.asked[w.ID] = asked{d, w, time.Now().Add(askAgain)}
		return &AcquireResponse{ID: w.ID, Waiting: true}
	}
	if err != nil {
		return &AcquireResponse{Error: err, RetryAfter: corianderwing.Millis(after.Milliseconds())}
	}
	if t.ForwardTo != "" {
		return &AcquireResponse{ForwardTo: t.ForwardTo, RequireGoal: t.RequireGoal}
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

// forgetAsked ends the wait of requests that did not call again.
func (p *Plane) forgetAsked() {
	now := time.Now()
	var gone []asked
	p.askMu.Lock()
	for id, a := range p.asked {
		if now.After(a.until) {
			delete(p.asked, id)
			gone = append(gone, a)
		}
	}
	p.askMu.Unlock()
	for _, a := range gone {
		a.desk.Cancel(a.waiting)
	}
}

// release takes slots back.
func (p *Plane) release(q *ReleaseRequest) {
	d := p.desk(q.Domain)
	for _, e := range q.Slots {
		d.Release(e.Pool, place.Outcome{
			ID:       e.ID,
			Result:   e.Result,
			Latency:  time.Duration(e.LatencyMicros) * time.Microsecond,
			DialTime: time.Duration(e.DialMicros) * time.Microsecond,
			Bytes:    e.Bytes,
			Load:     e.Load,
		})
	}
}
