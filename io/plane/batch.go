package plane

import (
	"context"
	"sync"
	"time"

	"corianderwing"
	"corianderwing/core/model"
)

// batchDelay is how long a registration waits for others to join its batch:
// when a deployment starts, all upstreams register at once.
const batchDelay = 15 * time.Millisecond

// batchTimeout bounds the commit of a batch. Upstreams wait one second for a
// response.
const batchTimeout = 900 * time.Millisecond

// batch combines registrations and removals of upstreams into shared commands.
type batch struct {
	propose func(context.Context, *model.Command) (corianderwing.Revision, error)

	mu   sync.Mutex
	next *pending
}

// pending is a command that is still being collected.
type pending struct {
	command  model.Command
	done     chan struct{}
	revision corianderwing.Revision // that includes the command
	err      error
}

func newBatch(propose func(context.Context, *model.Command) (corianderwing.Revision, error)) *batch {
	return &batch{propose: propose}
}

// add applies f to the next command and waits until the command is committed. It returns
// the revision that includes the command.
func (b *batch) add(ctx context.Context, f func(*model.Command)) (corianderwing.Revision, error) {
	b.mu.Lock()
	if b.next == nil {
		p := &pending{done: make(chan struct{})}
		b.next = p
		time.AfterFunc(batchDelay, func() { b.send(p) })
	}
	p := b.next
	f(&p.command)
	b.mu.Unlock()
	select {
	case <-p.done:
		return p.revision, p.err
	case <-ctx.Done():
		return 0, corianderwing.Errorf(corianderwing.NoQuorum, "change of upstreams is not committed yet")
	}
}

func (b *batch) send(p *pending) {
	b.mu.Lock()
	b.next = nil
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	p.revision, p.err = b.propose(ctx, &p.command)
	close(p.done)
}
