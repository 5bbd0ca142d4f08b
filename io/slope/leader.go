package slope

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"corianderwing"
	"corianderwing/io/ctrl"
	"corianderwing/io/peer"
)

const leaderBasis = "ctrl.Server on a temp directory, seated clients with a connection each that renew once a second over loopback gRPC, with one voter or three; CPU is of clients, voters and kernel TCP in this process together, so an upper bound for the leader; bytes are TCP payload at the control instances, with the traffic between voters; no TLS (the product has none)"

// leaders measures one leader against the instances that renew with it, and
// against the workspaces that each renewal reports on.
func leaders(ctx context.Context, s Sizes, dir string) ([]Series, error) {
	var all []Series
	for _, voters := range []int{1, 3} {
		part, err := leaderSeries(ctx, s, filepath.Join(dir, fmt.Sprint("leader-", voters)), voters)
		if err != nil {
			return nil, err
		}
		all = append(all, part...)
	}
	return all, nil
}

func leaderSeries(ctx context.Context, s Sizes, dir string, voters int) ([]Series, error) {
	c, err := newCluster(ctx, dir, voters, 1)
	if err != nil {
		return nil, err
	}
	defer c.close()
	name := fmt.Sprintf("leader, %d voters, ", voters)
	renewers, err := c.against(ctx, s.Window, name, "renewing instances", s.Renewers, func(n int) (int, int) { return n, 0 })
	if err != nil || voters > 1 {
		return renewers, err
	}
	most := 0
	for _, n := range s.Active {
		most = max(most, n)
	}
	for i := range most {
		if err := c.propose(ctx, groupID(0), setWorkspace(i)); err != nil {
			return nil, err
		}
	}
	name = fmt.Sprintf("leader, %d renewing, ", s.Renewers[0])
	active, err := c.against(ctx, s.Window, name, "workspaces in each renewal", s.Active, func(n int) (int, int) { return s.Renewers[0], n })
	return append(renewers, active...), err
}

// against measures windows in which a number of instances renew, each with
// reports on a number of workspaces.
func (c *cluster) against(ctx context.Context, d time.Duration, name, per string, sizes []int, load func(int) (renewers, active int)) ([]Series, error) {
	all := []Series{
		{Cost: name + "CPU", Unit: "% of a core"},
		{Cost: name + "received", Unit: "B/s"},
		{Cost: name + "sent", Unit: "B/s"},
	}
	for i := range all {
		all[i].Role, all[i].Per, all[i].Basis = "control", per, leaderBasis
	}
	for _, n := range sizes {
		renewers, active := load(n)
		r, err := c.renewing(ctx, d, renewers, active)
		if err != nil {
			return nil, err
		}
		for i, y := range []float64{r.cpu, r.in, r.out} {
			all[i].Points = append(all[i].Points, Point{float64(n), y})
		}
	}
	return all, nil
}

// renewing measures a window in which n instances renew.
func (c *cluster) renewing(ctx context.Context, d time.Duration, n, active int) (rates, error) {
	ctx, cancel := context.WithCancel(ctx)
	var (
		wg     sync.WaitGroup
		ready  sync.WaitGroup
		failed atomic.Int64
	)
	defer wg.Wait()
	defer cancel()
	ready.Add(n)
	for i := range n {
		wg.Go(func() { c.renewer(ctx, i, n, active, ready.Done, &failed) })
	}
	ready.Wait()
	if err := pause(ctx, time.Second); err != nil {
		return rates{}, err
	}
	before := failed.Load()
	r, err := c.window(ctx, d)
	if lost := failed.Load() - before; err == nil && lost > 0 {
		err = fmt.Errorf("%d renewals of %d instances failed", lost, n)
	}
	return r, err
}

// renewer is one instance. It calls ready after its first renewal.
func (c *cluster) renewer(ctx context.Context, i, n, active int, ready func(), failed *atomic.Int64) {
	pc := peer.NewClient(secret)
	defer pc.Close()
	client := ctrl.NewClient(pc, c.groups)
	r := corianderwing.RenewRequest{
		Group:       groupID(0),
		Instance:    corianderwing.InstanceID(fmt.Sprint("e", i)),
		Incarnation: corianderwing.Incarnation(time.Now().UnixNano()),
		Domain:      domain(i),
	}
	for w := range active {
		r.Reports = append(r.Reports, corianderwing.TokenReport{Bound: corianderwing.RateBound(workspace(w)), Spent: 1, Requested: 1})
	}
	seat := corianderwing.Command{Kind: corianderwing.AssignSeat, Seat: &corianderwing.Seat{Domain: r.Domain, Instance: r.Instance}}
	if err := c.propose(ctx, r.Group, seat); err != nil && ctx.Err() == nil {
		failed.Add(1)
	}
	first := sync.OnceFunc(ready)
	defer first()
	// The renewals of different instances are spread over the second.
	if pause(ctx, time.Duration(i)*time.Second/time.Duration(n)) != nil {
		return
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		r.Seq++
		tryCtx, cancel := context.WithTimeout(ctx, time.Second)
		reply, err := client.Renew(tryCtx, r)
		cancel()
		if err != nil && ctx.Err() == nil && !errors.Is(err, context.Canceled) {
			failed.Add(1)
		}
		r.Revision, r.Term = max(r.Revision, reply.Revision), reply.Term
		first()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
