package daemon

import (
	"context"

	"corianderwing"
	"corianderwing/core/member"
	"corianderwing/io/agent"
	"corianderwing/io/peer"
)

// The calls that an entry instance serves to other entry instances.
var (
	gossipMethod = peer.Method[member.Gossip, member.Gossip]{Name: "Gossip"}
	borrowMethod = peer.Method[borrowRequest, borrowReply]{Name: "Borrow"}
)

type borrowRequest struct {
	Bound corianderwing.BoundID `json:"bound"`
	Want  corianderwing.Tokens  `json:"want"`
}

type borrowReply struct {
	Tokens corianderwing.Tokens `json:"tokens"`
	Left   corianderwing.Millis `json:"left"`
}

// exchanger sends gossip over peer connections.
type exchanger struct{ peer *peer.Client }

// Exchange implements fleet.Exchanger.
func (e exchanger) Exchange(ctx context.Context, addr string, msg member.Gossip) (member.Gossip, error) {
	reply, err := peer.Call(ctx, e.peer, addr, gossipMethod, &msg)
	if err != nil {
		return member.Gossip{}, err
	}
	return *reply, nil
}

// lender asks one neighbour for tokens.
type lender struct {
	peer *peer.Client
	addr string
}

// Borrow implements agent.Lender.
func (l lender) Borrow(ctx context.Context, b corianderwing.BoundID, n corianderwing.Tokens) (corianderwing.Tokens, corianderwing.Millis, error) {
	reply, err := peer.Call(ctx, l.peer, l.addr, borrowMethod, &borrowRequest{Bound: b, Want: n})
	if err != nil {
		return 0, 0, err
	}
	return reply.Tokens, reply.Left, nil
}

// lenders returns the other live instances of the same failure domain.
func lenders(f corianderwing.Fleet, pc *peer.Client) []agent.Lender {
	self := f.Self()
	var all []agent.Lender
	for _, i := range f.Instances() {
		if i.ID != self.ID && i.Domain == self.Domain {
			all = append(all, lender{peer: pc, addr: i.Peer})
		}
	}
	return all
}
