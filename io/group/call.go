package group

import (
	"context"

	"corianderwing"
	"corianderwing/core/raft"
)

type callKind uint8

const (
	callPropose callKind = iota
	callRead
	callChange
	callTransfer
)

// call is a request from a caller to the loop.
type call struct {
	kind   callKind
	ctx    context.Context
	data   []byte
	change raft.MembershipChange
	reply  chan reply // buffered for one reply
}

type reply struct {
	data  []byte
	index corianderwing.Index
	err   *corianderwing.Error
}

// asError returns err as an interface, which is nil if err is nil. Returning
// the typed nil pointer directly would make a non-nil interface.
func (r reply) asError() error {
	if r.err == nil {
		return nil
	}
	return r.err
}

func errorReply(c corianderwing.Code, detail string) reply {
	return reply{err: corianderwing.Errorf(c, "%s", detail)}
}

// loggedCall is a call whose entry is in the log but not yet committed.
type loggedCall struct {
	id   uint64
	term corianderwing.Term
}

// inbox holds the messages and calls that the loop has yet to process.
type inbox struct {
	messages []raft.Message
	calls    []*call
}

// submit queues a call and waits for its reply or the end of ctx.
func (g *Group) submit(ctx context.Context, c *call) reply {
	c.ctx = ctx
	c.reply = make(chan reply, 1)
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return errorReply(corianderwing.NoLeader, "this replica has stopped")
	}
	g.inbox.calls = append(g.inbox.calls, c)
	g.mu.Unlock()
	g.wakeLoop()
	select {
	case r := <-c.reply:
		return r
	case <-ctx.Done():
		return errorReply(corianderwing.NoQuorum, ctx.Err().Error())
	}
}

func (g *Group) takeInbox() inbox {
	g.mu.Lock()
	defer g.mu.Unlock()
	in := g.inbox
	g.inbox = inbox{}
	return in
}

// callReply is a completed call and its reply.
type callReply struct {
	call  *call
	reply reply
}

// complete queues the reply of a call. It does nothing if the call was completed
// before.
func (g *Group) complete(id uint64, r reply) {
	if c, ok := g.calls[id]; ok {
		delete(g.calls, id)
		g.replies = append(g.replies, callReply{c, r})
	}
}

// deliverReplies sends the queued replies. It publishes the status first, so that
// a caller finds there what its reply implies.
func (g *Group) deliverReplies() {
	if len(g.replies) == 0 {
		return
	}
	g.publish()
	for _, a := range g.replies {
		a.call.reply <- a.reply
	}
	g.replies = nil
}

// register assigns an id to a call. It returns false if the caller no longer
// waits.
func (g *Group) register(c *call) (uint64, bool) {
	if c.ctx.Err() != nil {
		return 0, false
	}
	g.lastID++
	g.calls[g.lastID] = c
	return g.lastID, true
}

// endCalls fails every call in progress, after the loop has stopped.
func (g *Group) endCalls() {
	g.mu.Lock()
	g.closed = true
	queued := g.inbox.calls
	g.inbox = inbox{}
	g.mu.Unlock()
	for _, c := range queued {
		c.reply <- errorReply(corianderwing.NoLeader, "this replica has stopped")
	}
	for id := range g.calls {
		g.complete(id, errorReply(corianderwing.NoQuorum, "this replica stopped before the outcome was known"))
	}
	g.deliverReplies()
}
