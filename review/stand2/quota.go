package main

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"syscall"
	"time"
)

// loadTime is for_s of the site's hot_tenant.
const loadTime = 6500 * time.Millisecond

// quotaAfterRestart lets one tenant send several times its rate for loadTime. After 1.5 s
// it sends a change, kills all processes at the same moment right after its ack, and
// restarts them after 0.3 s.
func quotaAfterRestart(rec *recorder, trouble bool) error {
	f, err := newFleet(rec, 6, 6)
	if err != nil {
		return err
	}
	defer f.close()
	x := tenant{name: "gallery", keys: []string{"9anu6wsjnbanfqasnmgk"}, rate: 10, burst: 10}
	work := func(*http.Request) time.Duration { return 40 * time.Millisecond }
	servers, err := f.open(firstState("safe", "2000ms", false, []tenant{x}), 6, 16, work)
	defer closeServers(servers)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { f.overload(ctx, x, 22*time.Millisecond) })
	begin := time.Now()
	time.Sleep(1500 * time.Millisecond)
	if err := f.patch(map[string]any{"services": serviceTable("r2")}); err != nil {
		return err
	}
	if trouble {
		list := f.machines()
		for _, m := range list {
			f.signal(m, syscall.SIGKILL)
		}
		for _, m := range list {
			f.wait(m, time.Second)
		}
		time.Sleep(300 * time.Millisecond)
		for _, m := range list {
			if err := f.writeSettings(m, false); err != nil {
				return err
			}
			if err := f.start(m); err != nil {
				return err
			}
		}
	}
	time.Sleep(time.Until(begin.Add(loadTime)))
	cancel()
	wg.Wait()
	return rec.checkQuota(x)
}

// overload sends requests of a tenant to all front machines in turn until ctx ends.
func (f *fleet) overload(ctx context.Context, x tenant, every time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	t := newTransport(false)
	tick := time.NewTicker(every)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		m := f.fronts[i%len(f.fronts)]
		q := query{id: fmt.Sprintf("%s%08d", x.name, i), host: host, path: path + "1", key: x.keys[0], tenant: x.name, limit: 2 * time.Second}
		wg.Go(func() { f.send(context.Background(), t, m, q) })
	}
}

// Bounds of the QUOTA rule.
const (
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
)

// checkQuota counts the requests of a tenant that were both sent and began to run in a
// window.
func (c *recorder) checkQuota(x tenant) error {
	limit := (float64(x.rate)*quotaWindow.Seconds()+float64(x.burst))*(1+quotaOvershoot) + quotaSlack
	type span struct{ sent, ran time.Time }
	var list []span
	for _, a := range c.order {
		if runs := c.runs[a.id]; len(runs) > 0 {
			list = append(list, span{a.at, runs[0].at})
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].sent.Before(list[k].sent) })
	most, at := 0, time.Time{}
	for i, first := range list {
		n := 0
		for _, s := range list[i:] {
			if s.ran.Sub(first.sent) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, at = n, first.sent
		}
	}
	c.note("%d of %d requests ran; most in a window of %v: %d, from %.3f s on; the limit is %.1f", len(list), len(c.order), quotaWindow, most, at.Sub(c.begin).Seconds(), limit)
	if float64(most) > limit {
		return fmt.Errorf("%w: QUOTA: %d requests in a window of %v, limit %.1f", errBroken, most, quotaWindow, limit)
	}
	return nil
}
