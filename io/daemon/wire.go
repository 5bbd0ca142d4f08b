package daemon

import (
	"context"
	"net/http"

	"corianderwing"
	"corianderwing/core/member"
	"corianderwing/io/agent"
	"corianderwing/io/ctrl"
	"corianderwing/io/entry"
	"corianderwing/io/peer"
)

// RPC methods that an entry instance serves to other entry instances.
var (
	gossipMethod = peer.Method[member.Gossip, member.Gossip]{Name: "Gossip"}
	borrowMethod = peer.Method[borrowRequest, borrowResponse]{Name: "Borrow"}
)

type borrowRequest struct {
	Bound     corianderwing.BoundID `json:"bound"`
	Requested corianderwing.Tokens  `json:"want"`
}

type borrowResponse struct {
	Tokens        corianderwing.Tokens `json:"tokens"`
	LeaseDuration corianderwing.Millis `json:"left"`
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

// lender borrows tokens from another instance of the failure domain.
type lender struct {
	peer *peer.Client
	addr string
}

// Borrow implements agent.Lender.
func (l lender) Borrow(ctx context.Context, b corianderwing.BoundID, n corianderwing.Tokens) (corianderwing.Tokens, corianderwing.Millis, error) {
	reply, err := peer.Call(ctx, l.peer, l.addr, borrowMethod, &borrowRequest{Bound: b, Requested: n})
	if err != nil {
		return 0, 0, err
	}
	return reply.Tokens, reply.LeaseDuration, nil
}

// sampleReporter reports samples of moves to the leaders of their groups. It
// implements agent.SampleReporter.
type sampleReporter struct{ client *ctrl.Client }

// ReportSamples implements agent.SampleReporter.
func (m sampleReporter) ReportSamples(ctx context.Context, g corianderwing.GroupID, moves []agent.MoveSamples) (map[corianderwing.RequestID]float64, error) {
	req := ctrl.SampleRequest{Group: g}
	for _, c := range moves {
		req.Reports = append(req.Reports, ctrl.MoveReport{Pool: c.Pool, Move: c.Move, Samples: c.Samples})
	}
	reply, err := m.client.ReportSamples(ctx, req)
	if err != nil {
		return nil, err
	}
	shares := map[corianderwing.RequestID]float64{}
	for _, s := range reply.Shares {
		shares[s.Move] = s.Share
	}
	return shares, nil
}

// moveEvidence converts a sample of the entry role to evidence for a move.
// Rejections for lack of capacity and attempts that this side canceled say
// nothing about a version. Routes of the same name are counted together over all
// workspaces: they run the same code on the upstreams, and a small workspace
// alone has too few requests.
func moveEvidence(s entry.Sample) (agent.Attempt, bool) {
	switch s.Code {
	case corianderwing.Shed, corianderwing.CallerDisconnected, corianderwing.KeyRevoked,
		corianderwing.NoCapacity, corianderwing.BodyTruncated, corianderwing.BodyTooLarge, corianderwing.Stopping:
		return agent.Attempt{}, false
	}
	return agent.Attempt{
		Pool:      s.Pool,
		Route:     corianderwing.Path{Service: s.Service, Route: s.Route},
		Version:   s.Version,
		Failed:    s.Code != corianderwing.OK || s.Status >= http.StatusInternalServerError,
		FirstByte: s.FirstByte,
	}, true
}

// lenders returns the other live instances of the same failure domain.
func lenders(f corianderwing.Fleet, pc *peer.Client) []agent.Lender {
	self := f.Self()
	var all []agent.Lender
	for _, i := range f.Instances() {
		if i.ID != self.ID && i.Domain == self.Domain {
			all = append(all, lender{peer: pc, addr: i.PeerAddr})
		}
	}
	return all
}
