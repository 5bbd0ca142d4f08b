// Package fleet runs the gossip protocol of one entry instance and serves reads from
// an immutable snapshot of the known instances and upstreams.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"corianderwing"
	"corianderwing/core/member"
)

// tickInterval is the interval between checks for expired instances and upstreams.
const tickInterval = 100 * time.Millisecond

// Exchanger sends a gossip message and returns the response.
type Exchanger interface {
	Exchange(ctx context.Context, addr string, msg member.Gossip) (member.Gossip, error)
}

// Config configures a Fleet.
type Config struct {
	member.Config
	Exchanger Exchanger
	Timeout   time.Duration // timeout of one exchange; default member.GossipInterval
}

// Fleet implements corianderwing.Fleet. Reads load a snapshot without locking.
type Fleet struct {
	cfg     Config
	view    atomic.Pointer[member.View]
	trigger chan struct{}

	mu    sync.Mutex
	state *member.State

	failed atomic.Uint64
}

var _ corianderwing.Fleet = (*Fleet)(nil)

// New returns a Fleet that knows only its own instance. It returns an error if an ID or
// address is missing or invalid.
func New(cfg Config) (*Fleet, error) {
	i := cfg.Self
	if !corianderwing.ValidID(string(i.ID)) || !corianderwing.ValidID(string(i.Domain)) {
		return nil, fmt.Errorf("instance %q in domain %q: invalid ID", i.ID, i.Domain)
	}
	if i.Incarnation == 0 {
		return nil, fmt.Errorf("instance %q has no incarnation", i.ID)
	}
	if cfg.Exchanger == nil {
		return nil, errors.New("fleet config has no Exchanger")
	}
	for _, addr := range append([]string{i.PeerAddr}, cfg.Seeds...) {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("peer address of instance %q: %w", i.ID, err)
		}
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = member.GossipInterval
	}
	now := time.Now()
	f := &Fleet{cfg: cfg, trigger: make(chan struct{}, 1), state: member.New(cfg.Config, now)}
	f.view.Store(f.state.View(now))
	return f, nil
}

// Run gossips until ctx ends. It returns after all running exchanges have ended.
func (f *Fleet) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticks := time.NewTicker(tickInterval)
	defer ticks.Stop()
	next := time.Now()
	for {
		now := time.Now()
		if !now.Before(next) {
			next = now.Add(member.GossipInterval)
			f.startRound(ctx, &wg, now)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			f.update(func(now time.Time) { f.state.Tick(now) })
		case <-f.trigger:
			next = time.Now()
		}
	}
}

// startRound starts an exchange with each selected peer.
func (f *Fleet) startRound(ctx context.Context, wg *sync.WaitGroup, now time.Time) {
	f.mu.Lock()
	msg := f.state.StartExchange(now)
	peers := f.state.GossipPeers(now)
	f.mu.Unlock()
	for _, addr := range peers {
		wg.Go(func() { f.exchange(ctx, addr, msg) })
	}
}

func (f *Fleet) exchange(ctx context.Context, addr string, msg member.Gossip) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Timeout)
	defer cancel()
	reply, err := f.cfg.Exchanger.Exchange(ctx, addr, msg)
	if err != nil {
		f.failed.Add(1)
		return
	}
	f.update(func(now time.Time) { f.state.Merge(now, reply) })
}

// update changes the state and publishes a new snapshot.
func (f *Fleet) update(change func(now time.Time)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	change(now)
	f.view.Store(f.state.View(now))
}

// triggerRound makes Run start a gossip round immediately.
func (f *Fleet) triggerRound() {
	select {
	case f.trigger <- struct{}{}:
	default:
	}
}

// HandleExchange merges a message from another instance and returns the response.
func (f *Fleet) HandleExchange(msg member.Gossip) member.Gossip {
	var reply member.Gossip
	f.update(func(now time.Time) { reply = f.state.HandleExchange(now, msg) })
	return reply
}

// SetPhase changes the phase of this instance and triggers a gossip round. A phase
// never goes back.
func (f *Fleet) SetPhase(p corianderwing.Phase) {
	f.update(func(now time.Time) { f.state.SetPhase(now, p) })
	f.triggerRound()
}

// FailedExchanges returns the number of failed exchanges.
func (f *Fleet) FailedExchanges() uint64 { return f.failed.Load() }

// Self implements corianderwing.Fleet.
func (f *Fleet) Self() corianderwing.Instance { return f.view.Load().Self }

// Instances implements corianderwing.Fleet.
func (f *Fleet) Instances() []corianderwing.Instance { return f.view.Load().Instances }

// Upstreams implements corianderwing.Fleet.
func (f *Fleet) Upstreams(p corianderwing.PoolID, d corianderwing.DomainID) []corianderwing.Upstream {
	return f.view.Load().Upstreams(p, d)
}

// Domains implements corianderwing.Fleet.
func (f *Fleet) Domains(p corianderwing.PoolID) []corianderwing.DomainID {
	return f.view.Load().Domains(p)
}

// Owner implements corianderwing.Fleet.
func (f *Fleet) Owner(p corianderwing.PoolID, d corianderwing.DomainID) (corianderwing.Instance, bool) {
	return f.view.Load().Owner(p, d)
}

// Owns implements corianderwing.Fleet.
func (f *Fleet) Owns(p corianderwing.PoolID) bool { return f.view.Load().Owns(time.Now(), p) }

// Announce implements corianderwing.Fleet. A change to a phase
// other than Ready, such as a drain, triggers a gossip round.
func (f *Fleet) Announce(u corianderwing.Upstream) error {
	var err error
	f.update(func(now time.Time) { err = f.state.Announce(now, u) })
	if err == nil && u.Phase != corianderwing.Ready {
		f.triggerRound()
	}
	return err
}

// Report implements corianderwing.Fleet.
func (f *Fleet) Report(loads []corianderwing.PoolLoad) {
	f.update(func(time.Time) { f.state.SetLoads(loads) })
}
