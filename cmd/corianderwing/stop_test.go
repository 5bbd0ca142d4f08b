package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/member"
	"corianderwing/io/entry"
	"corianderwing/io/peer"
)

// guided is a caller that uses the entry instances that a lookup names, for as
// long as the answer may be cached.
type guided struct {
	f      *processes
	client *http.Client
	ask    []string // addresses for the next lookup
	advice entry.LookupResponse
	until  time.Time
}

// look renews the advice if it has expired, from an instance that it named.
func (g *guided) look() error {
	if time.Now().Before(g.until) {
		return nil
	}
	for _, addr := range g.ask {
		a := g.f.lookup(place{Public: addr})
		until, err := time.Parse(time.RFC3339, a.ExpiresAt)
		if err != nil || len(a.Preferred) == 0 {
			continue
		}
		g.advice, g.until, g.ask = a, until, nil
		for _, i := range append(a.Preferred, a.Alternates...) {
			g.ask = append(g.ask, i.Addr)
		}
		return nil
	}
	return fmt.Errorf("no lookup answered at %v", g.ask)
}

func (g *guided) get(n int, path string) reply {
	if err := g.look(); err != nil {
		return reply{err: err}
	}
	to := g.advice.Preferred[n%len(g.advice.Preferred)]
	req, err := http.NewRequest(http.MethodGet, "http://"+to.Addr+"/shop/goods"+path, nil)
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("X-Api-Key", shopKey)
	return exchange(g.client, req)
}

// traffic is keyed requests of callers that follow lookups. Half of them keep
// their connections, the others open one for each request.
type traffic struct {
	wg   sync.WaitGroup
	over atomic.Bool
	sent atomic.Int64

	mu  sync.Mutex
	all []outcome
}

func (f *processes) traffic(callers int) *traffic {
	tr := &traffic{}
	for c := range callers {
		t := &http.Transport{DisableKeepAlives: c%2 == 0}
		g := &guided{f: f, client: &http.Client{Transport: t, Timeout: patience}, ask: []string{f.Entries[c%len(f.Entries)].Public}}
		tr.wg.Go(func() {
			defer t.CloseIdleConnections()
			for i := 0; i < maxRequests && !tr.over.Load(); i++ {
				path := fmt.Sprintf("/item/%d/%d", c, i)
				r := g.get(i, path)
				tr.sent.Add(1)
				tr.mu.Lock()
				tr.all = append(tr.all, outcome{path, r})
				tr.mu.Unlock()
			}
		})
	}
	f.t.Cleanup(func() { tr.end() })
	return tr
}

// end stops the callers and returns what they saw.
func (tr *traffic) end() []outcome {
	tr.over.Store(true)
	tr.wg.Wait()
	return tr.all
}

func (tr *traffic) more(f *processes, n int64) {
	f.t.Helper()
	target := tr.sent.Load() + n
	f.eventually(fmt.Sprintf("%d requests", target), func() bool { return tr.sent.Load() >= target })
}

// Guards against a request that fails or is refused because an entry instance
// is stopped as planned, while callers still use the lookup they have cached.
func TestStopEntry(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newProcesses(t)
	f.startAll()
	f.ready()
	f.eventually("every instance is in the lookup", func() bool {
		for _, e := range f.Entries {
			if a := f.lookup(e); len(a.Preferred) != 2 || len(a.Alternates) != 2 {
				return false
			}
		}
		return true
	})
	f.settled()
	tr := f.traffic(8)
	tr.more(f, 3000) // each instance renews its plan of owners every 500 ms
	f.signal("e1", syscall.SIGTERM)
	began := time.Now()
	is.NoErr(f.running["e1"].Wait()) // it ends by itself, with status 0
	took := time.Since(began)
	tr.more(f, 200)
	all := tr.end()
	served, refused, unknown := account(t, f, all)
	for _, o := range all {
		if o.reply.err != nil || o.reply.code != corianderwing.OK {
			t.Errorf("%s: code %d, %s, %v", o.path, o.reply.code, o.reply.body, o.reply.err)
		}
	}
	t.Logf("stopped in %v; %d served, %d refused, %d unknown", took, served, refused, unknown)
	is.Equal(served, len(all))
}

// settled waits until every entry instance knows that all four may own pools,
// and e1 and e3, which have the highest rendezvous hashes, own the one of the
// tests. While ownership still passes between instances that have just
// started, requests can be refused as not run (code 405), which is not what a
// test of a stop looks for.
func (f *processes) settled() {
	f.t.Helper()
	f.eventually("e1 and e3 own the pool, and all instances may", func() bool {
		var owners []string
		for _, e := range f.Entries {
			f.get(e, "/shop/goods/ready") // a pool is listed once it is used
			var s entry.Status
			r := f.send(e, http.MethodGet, "/-/status", nil, nil)
			if r.err == nil && json.Unmarshal(r.body, &s) == nil && len(s.Loads) > 0 {
				owners = append(owners, e.ID)
			}
			if f.able(e) != len(f.Entries) {
				return false
			}
		}
		return slices.Equal(owners, []string{"e1", "e3"})
	})
}

// able returns how many instances may own pools, as an entry instance knows.
func (f *processes) able(e place) (n int) {
	pc := peer.NewClient([]byte("secret-of-the-process-tests"))
	defer pc.Close()
	gossip := peer.Method[member.Gossip, member.Gossip]{Name: "Gossip"}
	ctx, cancel := context.WithTimeout(f.t.Context(), patience)
	defer cancel()
	known, err := peer.Call(ctx, pc, e.Peer, gossip, &member.Gossip{})
	if err != nil {
		return 0
	}
	for _, i := range known.InstanceRecords {
		if i.Eligible {
			n++
		}
	}
	return n
}
