package slope

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"corianderwing"
	"corianderwing/io/agent"
	"corianderwing/io/ctrl"
	"corianderwing/io/peer"
)

const (
	followBasis = "real agents with a connection to each voter, three voters on temp directories, loopback gRPC with no added delay; time is from the accepted answer of a change to the agent's new view, over all agents and changes, and to the leader's report that all leases have confirmed it (read every 10 ms); each change is made as soon as the one before is in force, so right after the renewals, which is the longest wait for the next ones; CPU is of agents, voters and kernel TCP together"
	groupBasis  = "the same agents at rest, renewing each group every second, three voters; divided by the number of agents, so the CPU and bytes of the voters are included and the CPU is an upper bound for an agent; no gossip, no requests"
)

// followers are agents that follow every group.
type followers struct {
	cluster *cluster
	agents  []*agent.Agent
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu     sync.Mutex
	target corianderwing.Revision
	times  map[int]time.Time // when each agent first had target
	full   chan struct{}     // closed when all have it
}

func follow(ctx context.Context, c *cluster, n int) *followers {
	ctx, cancel := context.WithCancel(ctx)
	f := &followers{cluster: c, cancel: cancel, times: map[int]time.Time{}, full: make(chan struct{})}
	for i := range n {
		pc := peer.NewClient(secret)
		client := ctrl.NewClient(pc, c.groups)
		a := agent.New(agent.Config{
			Self:        corianderwing.InstanceID(fmt.Sprint("a", i)),
			Incarnation: corianderwing.Incarnation(time.Now().UnixNano()),
			Domain:      domain(i),
			Groups:      client.Groups(),
			Control:     client,
			Log:         quiet(),
		})
		f.agents = append(f.agents, a)
		a.OnChange(func() { f.changed(i, a) })
		f.wg.Go(func() {
			defer pc.Close()
			a.Run(ctx)
		})
	}
	return f
}

func (f *followers) close() {
	f.cancel()
	f.wg.Wait()
}

func (f *followers) changed(i int, a *agent.Agent) {
	now := time.Now()
	revision := a.Views()[0].Revision()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.target == 0 || revision < f.target || !f.times[i].IsZero() {
		return
	}
	f.times[i] = now
	if len(f.times) == len(f.agents) {
		close(f.full)
	}
}

// expect begins to note when each agent has a revision.
func (f *followers) expect(r corianderwing.Revision) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.target, f.times, f.full = r, map[int]time.Time{}, make(chan struct{})
	return f.full
}

// settle waits until every agent is fresh and has a seat in every group, and
// then until new leaders are no longer quiet.
func (f *followers) settle(ctx context.Context, quiet time.Duration) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		if f.settled() {
			return pause(ctx, quiet)
		}
		if err := pause(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
	return fmt.Errorf("%d agents were not fresh and seated after %v", len(f.agents), startTimeout)
}

func (f *followers) settled() bool {
	for _, a := range f.agents {
		if fresh, all := a.FreshGroups(); fresh < all {
			return false
		}
	}
	for _, v := range f.agents[0].Views() {
		for i := range f.agents {
			if _, ok := v.Seat(corianderwing.InstanceID(fmt.Sprint("a", i))); !ok {
				return false
			}
		}
	}
	return true
}

// distribution measures changes against the number of followers.
func distribution(ctx context.Context, s Sizes, dir string) ([]Series, error) {
	names := []struct{ cost, unit string }{
		{"accepted to applied, p50", "ms"},
		{"accepted to applied, p99", "ms"},
		{"accepted to applied, max", "ms"},
		{"accepted to in force, p50", "ms"},
		{"accepted to in force, max", "ms"},
		{"sent for one change", "B"},
		{"CPU for one change", "ms"},
	}
	all := make([]Series, len(names))
	for i, n := range names {
		all[i] = Series{Role: "control", Cost: n.cost, Unit: n.unit, Per: "followers", Basis: followBasis}
	}
	for _, n := range s.Followers {
		values, err := changes(ctx, filepath.Join(dir, fmt.Sprint("follow-", n)), n, s)
		if err != nil {
			return nil, err
		}
		for i, y := range values {
			all[i].Points = append(all[i].Points, Point{float64(n), y})
		}
	}
	return all, nil
}

// changes makes changes with n followers, in the order of distribution's names.
func changes(ctx context.Context, dir string, n int, s Sizes) ([]float64, error) {
	c, err := newCluster(ctx, dir, 3, 1)
	if err != nil {
		return nil, err
	}
	defer c.close()
	f := follow(ctx, c, n)
	defer f.close()
	if err := f.settle(ctx, s.Settle); err != nil {
		return nil, err
	}
	rest, err := c.window(ctx, s.Window)
	if err != nil {
		return nil, err
	}
	applied, force := hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)
	out, used, start := c.out.Load(), cpu(), time.Now()
	for i := range s.Changes {
		if err := f.change(ctx, i, applied, force); err != nil {
			return nil, err
		}
	}
	seconds := time.Since(start).Seconds()
	per := float64(s.Changes)
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return []float64{
		ms(applied.ValueAtQuantile(50)), ms(applied.ValueAtQuantile(99)), ms(applied.Max()),
		ms(force.ValueAtQuantile(50)), ms(force.Max()),
		(float64(c.out.Load()-out) - rest.out*seconds) / per,
		(1000*(cpu()-used).Seconds() - 10*rest.cpu*seconds) / per,
	}, nil
}

// change makes one change and waits until it is in force.
func (f *followers) change(ctx context.Context, i int, applied, force *hdrhistogram.Histogram) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	client := ctrl.NewClient(f.cluster.pc, f.cluster.groups)
	lead, err := client.LeaderStatus(ctx, groupID(0))
	if err != nil {
		return err
	}
	full := f.expect(lead.Revision + 1)
	if err := f.cluster.propose(ctx, groupID(0), setWorkspace(i)); err != nil {
		return err
	}
	accepted := time.Now()
	for {
		l, err := client.LeaderStatus(ctx, groupID(0))
		if err == nil && l.InForce > lead.Revision {
			break
		}
		if err := pause(ctx, 10*time.Millisecond); err != nil {
			return err
		}
	}
	if err := force.RecordValue(time.Since(accepted).Microseconds()); err != nil {
		return err
	}
	select {
	case <-full:
	case <-ctx.Done():
		return ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.times {
		// An agent may apply a change before the answer reaches the operator.
		if err := applied.RecordValue(max(0, at.Sub(accepted).Microseconds())); err != nil {
			return err
		}
	}
	return nil
}

// groupCosts measures an agent at rest against the number of groups.
func groupCosts(ctx context.Context, s Sizes, dir string) ([]Series, error) {
	all := []Series{
		{Cost: "control CPU of an agent", Unit: "% of a core"},
		{Cost: "control bytes sent", Unit: "B/s"},
		{Cost: "control bytes received", Unit: "B/s"},
	}
	for i := range all {
		all[i].Role, all[i].Per, all[i].Basis = "entry", "groups", groupBasis
	}
	for _, n := range s.Groups {
		r, err := resting(ctx, filepath.Join(dir, fmt.Sprint("groups-", n)), n, s)
		if err != nil {
			return nil, err
		}
		for i, y := range []float64{r.cpu, r.in, r.out} {
			all[i].Points = append(all[i].Points, Point{float64(n), y / float64(s.Agents)})
		}
	}
	return all, nil
}

// resting measures agents at rest. The traffic between voters, which a cluster
// without agents has as well, is taken off.
func resting(ctx context.Context, dir string, groups int, s Sizes) (rates, error) {
	c, err := newCluster(ctx, dir, 3, groups)
	if err != nil {
		return rates{}, err
	}
	defer c.close()
	if err := pause(ctx, time.Second); err != nil {
		return rates{}, err
	}
	alone, err := c.window(ctx, s.Window/2)
	if err != nil {
		return rates{}, err
	}
	f := follow(ctx, c, s.Agents)
	defer f.close()
	if err := f.settle(ctx, s.Settle); err != nil {
		return rates{}, err
	}
	r, err := c.window(ctx, s.Window)
	return rates{r.cpu - alone.cpu, r.in - alone.in, r.out - alone.out}, err
}
