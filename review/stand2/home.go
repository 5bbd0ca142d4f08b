package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	cutTime  = 6500 * time.Millisecond // so long at least some clients keep an answer of the directory
	homeWait = 3 * time.Second         // requests that are sent sooner after the ack are not judged
)

// homesBehindCut gives a route a home region while one front machine is cut off from
// all other machines, and goes on sending requests to that machine.
func homesBehindCut(rec *recorder, trouble bool) error {
	f, err := newFleet(rec, 3, 3)
	if err != nil {
		return err
	}
	defer f.close()
	work := func(*http.Request) time.Duration { return 40 * time.Millisecond }
	servers, err := f.open(firstState("safe", "2000ms", true, nil), 6, 8, work)
	defer closeServers(servers)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { f.sendTo(ctx, f.fronts[0], 100*time.Millisecond) })
	time.Sleep(time.Second)
	begin := time.Now()
	if trouble {
		rec.note("%s is cut off from all other machines", f.fronts[0].name)
		f.isolated.Store(f.fronts[0])
	}
	time.Sleep(500 * time.Millisecond)
	home := f.fronts[1].region
	if err := f.patch(map[string]any{"routes": routeTable("safe", "2000ms", true, []string{home}, "r2")}); err != nil {
		return err
	}
	acked := time.Now()
	time.Sleep(time.Until(begin.Add(cutTime)))
	cancel()
	wg.Wait()
	rec.note("the cut ends")
	f.isolated.Store(nil)
	return rec.checkHome(servers, home, acked)
}

// sendTo sends requests to one front machine until ctx ends.
func (f *fleet) sendTo(ctx context.Context, m *machine, every time.Duration) {
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
		q := query{id: fmt.Sprintf("home%012d", i), host: host, path: path + "1", limit: 2 * time.Second}
		wg.Go(func() { f.send(context.Background(), t, m, q) })
	}
}

// checkHome counts the requests that were sent later than homeWait after the ack and
// reached a server outside the home region.
func (c *recorder) checkHome(servers []*server, home string, acked time.Time) error {
	regions := map[string]string{}
	for _, z := range zones {
		regions[z[0]] = z[1]
	}
	zoneOf := map[string]string{}
	for _, s := range servers {
		zoneOf[s.id] = s.zone
	}
	outside, inside := 0, 0
	for _, a := range c.order {
		if a.at.Sub(acked) <= homeWait {
			continue
		}
		for _, r := range c.runs[a.id] {
			if regions[zoneOf[r.server]] == home {
				inside++
			} else {
				outside++
			}
		}
	}
	c.note("of the requests sent later than %v after the ack, %d ran in the home region %s and %d elsewhere", homeWait, inside, home, outside)
	if outside > 0 {
		return fmt.Errorf("%w: HOME: %d requests ran outside of the home region of their route", errBroken, outside)
	}
	return nil
}
