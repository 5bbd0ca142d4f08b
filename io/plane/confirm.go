package plane

import (
	"context"
	"sync"
	"time"

	"corianderwing"
	"corianderwing/io/clock"
)

// minConfirmInterval is the minimum time between two leadership confirmations.
// Each one costs a message to every replica.
const minConfirmInterval = 200 * time.Millisecond

// confirmTimeout bounds one leadership confirmation.
const confirmTimeout = 700 * time.Millisecond

// confirmer shares leadership confirmations among concurrent callers. Each
// caller gets a confirmation that began after its call.
type confirmer struct {
	ctx     context.Context
	confirm func(context.Context) (corianderwing.Index, error)

	mu        sync.Mutex
	next      *confirmation
	lastStart time.Time // start of the last confirmation
}

type confirmation struct {
	done  chan struct{}
	index corianderwing.Index
	err   error
}

func newConfirmer(ctx context.Context, confirm func(context.Context) (corianderwing.Index, error)) *confirmer {
	return &confirmer{ctx: ctx, confirm: confirm}
}

// wait returns the log index established by the next confirmation.
func (r *confirmer) wait(ctx context.Context) (corianderwing.Index, error) {
	r.mu.Lock()
	if r.next == nil {
		r.next = &confirmation{done: make(chan struct{})}
		go r.run(r.next, time.Until(r.lastStart.Add(minConfirmInterval)))
	}
	next := r.next
	r.mu.Unlock()
	select {
	case <-next.done:
		return next.index, next.err
	case <-ctx.Done():
		return 0, corianderwing.Errorf(corianderwing.NoQuorum, "no majority confirmed the leader in time")
	}
}

func (r *confirmer) run(next *confirmation, delay time.Duration) {
	clock.Sleep(r.ctx, delay)
	r.mu.Lock()
	r.next, r.lastStart = nil, time.Now()
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(r.ctx, confirmTimeout)
	defer cancel()
	next.index, next.err = r.confirm(ctx)
	close(next.done)
}
