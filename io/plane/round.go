package plane

import (
	"context"
	"sync"
	"time"

	"corianderwing"
	"corianderwing/io/clock"
)

// roundPause is the shortest time between two rounds in which the leader
// confirms that it leads. Each round costs a message to every replica.
const roundPause = 200 * time.Millisecond

// roundTimeout bounds one round.
const roundTimeout = 700 * time.Millisecond

// rounds shares confirmations among those that ask: each gets one that began
// after it asked.
type rounds struct {
	ctx     context.Context
	confirm func(context.Context) (corianderwing.Index, error)

	mu   sync.Mutex
	next *round
	last time.Time // start of the last round
}

type round struct {
	done  chan struct{}
	index corianderwing.Index
	err   error
}

func newRounds(ctx context.Context, confirm func(context.Context) (corianderwing.Index, error)) *rounds {
	return &rounds{ctx: ctx, confirm: confirm}
}

// wait returns the index that the next round confirms.
func (r *rounds) wait(ctx context.Context) (corianderwing.Index, error) {
	r.mu.Lock()
	if r.next == nil {
		r.next = &round{done: make(chan struct{})}
		go r.run(r.next, time.Until(r.last.Add(roundPause)))
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

func (r *rounds) run(next *round, pause time.Duration) {
	clock.Sleep(r.ctx, pause)
	r.mu.Lock()
	r.next, r.last = nil, time.Now()
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(r.ctx, roundTimeout)
	defer cancel()
	next.index, next.err = r.confirm(ctx)
	close(next.done)
}
