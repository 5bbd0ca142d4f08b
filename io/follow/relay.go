package follow

import (
	"context"
	"slices"
	"time"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/io/clock"
	"corianderwing/io/peer"
	"corianderwing/io/plane"
)

// An entry instance that no control instance answers asks other entry instances for
// the state. It may be cut off from the control role alone, and would otherwise go on
// with old settings, under which a request may run outside its new home regions.

const (
	// relayInterval is the interval at which other entry instances are asked.
	relayInterval = 200 * time.Millisecond
	// minRelayAge is the age of the state from which on they are asked, and
	// maxReplyDelay how long the followed control instance may take to reply to a
	// heartbeat before.
	minRelayAge   = 800 * time.Millisecond
	maxReplyDelay = 300 * time.Millisecond
	// relayTimeout bounds one call to another entry instance.
	relayTimeout = 500 * time.Millisecond
	// relayHedgeDelay is how long an entry instance may take before the next one is
	// asked as well. It is above the round trip between two regions.
	relayHedgeDelay = 100 * time.Millisecond
	// maxNeighborRelays is the number of instances of the same failure domain that
	// are asked: those are likely to be cut off as well.
	maxNeighborRelays = 2
)

// relayRequest asks an entry instance for its state.
type relayRequest struct {
	After corianderwing.Revision `json:"after"` // revision of the sender's own state
}

// relayResponse holds the updates after the revision of the request, and the last
// confirmation that the state with them has reached.
type relayResponse struct {
	Confirmed bool                   `json:"fresh,omitempty"` // Age and Revision are known
	Age       corianderwing.Millis   `json:"age"`
	Revision  corianderwing.Revision `json:"revision"`
	Updates   []model.Update         `json:"updates,omitempty"`
}

var relayMethod = peer.Method[relayRequest, relayResponse]{Name: "SiteRelay"}

// Register registers the methods that other entry instances call: this instance passes
// its state on and lends tokens.
func (f *Follower) Register(ps *peer.Server) {
	peer.Handle(ps, relayMethod, func(_ context.Context, q *relayRequest) (*relayResponse, error) {
		return f.handleRelay(q)
	})
	if f.cfg.Lender == nil {
		return
	}
	peer.Handle(ps, lendMethod, func(_ context.Context, q *plane.BorrowRequest) (*plane.BorrowResponse, error) {
		return f.handleLend(q), nil
	})
}

func (f *Follower) handleRelay(q *relayRequest) (*relayResponse, error) {
	s := f.state.Load()
	c, ok := s.confirmations.Latest()
	if !ok {
		return &relayResponse{}, nil
	}
	confirmedAt := c.At.Add(-f.cfg.Lease)
	r := &relayResponse{
		Confirmed: true,
		Age:       corianderwing.Millis(f.cfg.Now().Sub(confirmedAt).Milliseconds() + 1),
		Revision:  c.Revision,
	}
	if q.After >= s.view.Revision() {
		return r, nil
	}
	if list, ok := s.history.After(q.After); ok {
		r.Updates = list
		return r, nil
	}
	u, err := s.view.Pack(time.Now())
	if err != nil {
		return nil, err
	}
	r.Updates = []model.Update{u}
	return r, nil
}

// relayLoop asks other entry instances for the state while no control instance
// answers.
func (f *Follower) relayLoop() {
	for clock.Sleep(f.ctx, relayInterval) {
		if f.isCutOff() {
			f.askRelays(f.ctx)
		}
	}
}

// isCutOff reports whether the last heartbeat failed, or has been waiting for its reply
// for maxReplyDelay, and the state is getting old. A heartbeat need not have failed yet:
// on a silent link that takes heartbeatTimeout. Before it has a state, an instance knows
// no other entry instances.
func (f *Follower) isCutOff() bool {
	if _, known := f.View(); !known || f.StateAge() <= minRelayAge {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	waiting := !f.heartbeatAt.IsZero() && f.cfg.Now().Sub(f.heartbeatAt) > maxReplyDelay
	return f.failed > 0 || waiting
}

// askRelays asks other entry instances, until one has a more recent confirmation. The
// first is the one that had it last.
func (f *Follower) askRelays(ctx context.Context) {
	before := f.FreshUntil()
	hedge(ctx, f.relayAddrs(), relayHedgeDelay, func(ctx context.Context, addr string) bool {
		if err := f.askRelay(ctx, addr); err != nil {
			f.cfg.Log.Debug().Str("entry", addr).Err(err).Msg("no state from another entry instance")
			return false
		}
		if !f.FreshUntil().After(before) {
			return false
		}
		f.mu.Lock()
		f.lastRelay = addr
		f.mu.Unlock()
		f.cfg.Log.Info().Str("entry", addr).Int64("age", f.StateAge().Milliseconds()).Msg("state confirmed by another entry instance")
		return true
	})
}

// hedge calls ask for each address in turn until one call returns true. A call that has
// failed, or takes longer than delay, is followed by the next one; it goes on meanwhile.
// The calls that are left when hedge returns are canceled.
func hedge(ctx context.Context, addrs []string, delay time.Duration, ask func(context.Context, string) bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan bool, len(addrs))
	for started, pending := 0, 0; started < len(addrs) || pending > 0; {
		var next <-chan time.Time
		if started < len(addrs) {
			addr := addrs[started]
			go func() { results <- ask(ctx, addr) }()
			started++
			pending++
		}
		if started < len(addrs) {
			next = time.After(delay)
		}
		select {
		case ok := <-results:
			pending--
			if ok {
				return
			}
		case <-next:
		case <-ctx.Done():
			return
		}
	}
}

// relayAddrs returns the peer addresses of the entry instances to ask, the one that
// had a recent confirmation last first.
func (f *Follower) relayAddrs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for _, e := range f.relays {
		list = append(list, e.PeerAddr)
	}
	for _, e := range f.neighbors[:min(len(f.neighbors), maxNeighborRelays)] {
		list = append(list, e.PeerAddr)
	}
	if i := slices.Index(list, f.lastRelay); i > 0 {
		list[0], list[i] = list[i], list[0]
	}
	return list
}

// askRelay gets the state of one entry instance.
func (f *Follower) askRelay(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	sent := f.cfg.Now()
	view, _ := f.View()
	r, err := peer.Call(ctx, f.peer, addr, relayMethod, &relayRequest{After: view.Revision()})
	if err != nil {
		return err
	}
	for i := range r.Updates {
		if err := f.applyRelayed(&r.Updates[i]); err != nil {
			return err
		}
	}
	if r.Confirmed {
		age := time.Duration(r.Age) * time.Millisecond
		f.confirm(r.Revision, corianderwing.HolderDeadline(sent.Add(-age), f.cfg.Lease))
	}
	return nil
}
