package ctrl

import (
	"context"
	"time"

	"corianderwing"
	"corianderwing/core/raft"
	"corianderwing/io/peer"
)

// sendTimeout bounds the delivery of one batch of consensus messages. A batch that
// takes longer is treated as lost; consensus retransmits.
const sendTimeout = time.Second

// maxBatch is the largest number of consensus messages in one call.
const maxBatch = 64

// maxInFlight is the maximum number of concurrent batches to one replica.
const maxInFlight = 16

// sender delivers the consensus messages of one group. It never blocks: when the
// queue of a slow replica is full, further messages to it are dropped.
type sender struct {
	ctx    context.Context
	group  corianderwing.GroupID
	peer   *peer.Client
	queues map[corianderwing.InstanceID]chan raft.Message // keyed by process
}

func newSender(ctx context.Context, g corianderwing.GroupID, pc *peer.Client, others []Voter) *sender {
	s := &sender{
		ctx:    ctx,
		group:  g,
		peer:   pc,
		queues: map[corianderwing.InstanceID]chan raft.Message{},
	}
	for _, v := range others {
		q := make(chan raft.Message, 1024)
		s.queues[v.ID] = q
		go s.run(v.Addr, q)
	}
	return s
}

// Send implements group.Sender.
func (s *sender) Send(to corianderwing.InstanceID, m raft.Message) {
	select {
	case s.queues[processID(to)] <- m:
	default:
	}
}

func (s *sender) run(addr string, q <-chan raft.Message) {
	inFlight := make(chan struct{}, maxInFlight)
	for {
		batch, ok := s.collect(q)
		if !ok {
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
			// The error is ignored because consensus retransmits lost messages.
			_, _ = peer.Call(ctx, s.peer, addr, stepMethod, &stepRequest{Group: s.group, Messages: batch})
		}()
	}
}

// collect waits for a message and adds those already queued, up to maxBatch. It
// returns false when the sender's context is done.
func (s *sender) collect(q <-chan raft.Message) ([]raft.Message, bool) {
	var batch []raft.Message
	select {
	case m := <-q:
		batch = append(batch, m)
	case <-s.ctx.Done():
		return nil, false
	}
	for len(batch) < maxBatch {
		select {
		case m := <-q:
			batch = append(batch, m)
		default:
			return batch, true
		}
	}
	return batch, true
}
