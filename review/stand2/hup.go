package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// stopAndReload stops a front machine with SIGTERM while requests run, and tells it
// half a second later with SIGHUP that its settings file has changed.
func stopAndReload(rec *recorder, trouble bool) error {
	f, err := newFleet(rec, 3, 2)
	if err != nil {
		return err
	}
	defer f.close()
	work := func(*http.Request) time.Duration { return 1500 * time.Millisecond }
	servers, err := f.open(firstState("safe", "8000ms", true, nil), 6, 8, work)
	defer closeServers(servers)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	for i := range 20 {
		t := newTransport(false)
		q := query{id: fmt.Sprintf("hup%013d", i), host: host, path: path + "1", limit: 8 * time.Second}
		wg.Go(func() { f.send(context.Background(), t, f.fronts[0], q) })
		time.Sleep(50 * time.Millisecond)
	}
	f.signal(f.fronts[0], syscall.SIGTERM)
	if trouble {
		time.Sleep(500 * time.Millisecond)
		if err := f.writeSettings(f.fronts[0], false); err != nil {
			return err
		}
		f.signal(f.fronts[0], syscall.SIGHUP)
	}
	wg.Wait()
	if !f.wait(f.fronts[0], 7*time.Second) {
		return fmt.Errorf("%s did not end", f.fronts[0].name)
	}
	lost, answered := 0, 0
	for _, a := range rec.order {
		switch {
		case a.err != nil && len(rec.runs[a.id]) > 0:
			lost++
		case a.err == nil:
			answered++
		}
	}
	rec.note("%d answered, %d lost after they had been passed on to a server", answered, lost)
	if lost > 0 {
		return fmt.Errorf("%w: LOST: %d requests that a server ran were cut off in a planned stop", errBroken, lost)
	}
	return nil
}
