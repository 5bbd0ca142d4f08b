package quorum

import (
	"context"
	"sync"
	"time"

	"corianderwing"
	"corianderwing/core/raft"
	"corianderwing/io/peer"
)

const (
	// sendTimeout bounds the call that sends one batch of consensus messages. A
	// batch that takes longer counts as lost; consensus sends again.
	sendTimeout = time.Second
	// maxBatch is the maximum number of consensus messages in one call.
	maxBatch = 64
	// maxInFlight is the maximum number of concurrent batches to one replica.
	maxInFlight = 16
	// maxQueued is the maximum number of messages queued for one replica.
	maxQueued = 512
	// queueIdleTimeout is how long an empty queue is kept.
	queueIdleTimeout = time.Minute
)

// sender sends consensus messages to other replicas. It never blocks: messages to a
// replica that does not keep up are dropped.
type sender struct {
	ctx  context.Context
	peer *peer.Client

	mu     sync.Mutex
	queues map[string]chan raft.Message // by peer address
}

func newSender(ctx context.Context, pc *peer.Client) *sender {
	return &sender{ctx: ctx, peer: pc, queues: map[string]chan raft.Message{}}
}

// Send implements group.Sender.
func (s *sender) Send(to corianderwing.InstanceID, m raft.Message) {
	addr := AddrOf(to)
	s.mu.Lock()
	defer s.mu.Unlock()
	q, ok := s.queues[addr]
	if !ok {
		q = make(chan raft.Message, maxQueued)
		s.queues[addr] = q
		go s.run(addr, q)
	}
	select {
	case q <- m:
	default:
	}
}

func (s *sender) run(addr string, q chan raft.Message) {
	inFlight := make(chan struct{}, maxInFlight)
	for {
		batch := s.nextBatch(addr, q)
		if batch == nil {
			return
		}
		select {
		case inFlight <- struct{}{}:
		case <-s.ctx.Done():
			return
		}
		go func() {
			defer func() { <-inFlight }()
			ctx, cancel := context.WithTimeout(s.ctx, sendTimeout)
			defer cancel()
			// The error is ignored because consensus resends what matters.
			_, _ = peer.Call(ctx, s.peer, addr, stepMethod, &stepRequest{Messages: batch})
		}()
	}
}

// nextBatch waits for a message and returns it with those already queued, up to
// maxBatch. If there is none for queueIdleTimeout, it removes the queue and returns
// nil.
func (s *sender) nextBatch(addr string, q chan raft.Message) []raft.Message {
	idle := time.NewTimer(queueIdleTimeout)
	defer idle.Stop()
	var batch []raft.Message
	select {
	case m := <-q:
		batch = append(batch, m)
	case <-s.ctx.Done():
		return nil
	case <-idle.C:
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(q) == 0 {
			delete(s.queues, addr)
			return nil
		}
		batch = append(batch, <-q)
	}
	for len(batch) < maxBatch {
		select {
		case m := <-q:
			batch = append(batch, m)
		default:
			return batch
		}
	}
	return batch
}
