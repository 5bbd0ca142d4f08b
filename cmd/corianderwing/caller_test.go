package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/io/admin"
	"corianderwing/io/stub"
)

// slow makes every upstream take factor times its service time on the paths
// that start with prefix.
func (f *processes) slow(prefix string, factor float64) {
	f.t.Helper()
	fault, err := json.Marshal(stub.Fault{Prefix: prefix, Slow: factor})
	if err != nil {
		f.t.Fatal(err)
	}
	for _, s := range f.Stubs {
		resp, err := http.Post("http://"+s.Public+"/fault", "application/json", strings.NewReader(string(fault)))
		if err != nil {
			f.t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			f.t.Fatalf("fault at %s: %s", s.ID, resp.Status)
		}
	}
}

// ran returns the runs of the upstreams whose path starts with prefix.
func (f *processes) ran(prefix string) []stub.Run {
	f.t.Helper()
	_, all := f.runs()
	var runs []stub.Run
	for _, s := range all {
		for _, r := range s.Runs {
			if strings.HasPrefix(r.Path, prefix) {
				runs = append(runs, r)
			}
		}
	}
	return runs
}

// caller sends requests over one kept connection to one entry instance.
type caller struct {
	f      *processes
	e      place
	key    string
	client *http.Client
	conns  map[string]bool // local addresses of the connections used
}

func newCaller(f *processes, e place, key string) *caller {
	t := &http.Transport{MaxConnsPerHost: 1}
	f.t.Cleanup(t.CloseIdleConnections)
	return &caller{f: f, e: e, key: key, client: &http.Client{Transport: t, Timeout: patience}, conns: map[string]bool{}}
}

func (c *caller) get(path string) reply {
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { c.conns[i.Conn.LocalAddr().String()] = true }}
	ctx := httptrace.WithClientTrace(c.f.t.Context(), trace)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.e.Public+path, nil)
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("X-Api-Key", c.key)
	return exchange(c.client, req)
}

// revokedWithin is the bound on the time from the acceptance of a revocation
// to the end of the last request that succeeds with the key.
const revokedWithin = 5 * time.Second

// Guards against a key that goes on working after it was revoked: for a
// request that is running, and on a connection that is open.
func TestRevokeConnected(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newProcesses(t)
	f.startAll()
	f.ready()
	f.slow("/slow", 4000) // 20 s
	operator := f.operator(0, false)
	key, err := operator.AddKey(t.Context(), admin.AddKey{Workspace: shop.Workspace, ID: "leaver"})
	is.NoErr(err)
	var wg sync.WaitGroup
	running := make([]reply, len(f.Entries))
	ended := make([]reply, len(f.Entries))
	callers := make([]*caller, len(f.Entries))
	var served atomic.Int64
	for i, e := range f.Entries {
		f.eventually("the new key works at "+e.ID, func() bool { return newCaller(f, e, key.Secret).get("/shop/goods/try").status == http.StatusOK })
		wg.Go(func() { running[i] = newCaller(f, e, key.Secret).get(fmt.Sprintf("/shop/goods/slow/%d", i)) })
		callers[i] = newCaller(f, e, key.Secret)
		wg.Go(func() { ended[i] = callers[i].useUp(i, &served) })
	}
	f.eventually("slow requests run at the upstreams", func() bool { return len(f.ran("/slow/")) == len(f.Entries) })
	atLeast := served.Load() + 100
	f.eventually("requests are served over kept connections", func() bool { return served.Load() >= atLeast })
	sent := time.Now()
	_, err = operator.RevokeKey(t.Context(), admin.RevokeKey{Workspace: shop.Workspace, ID: "leaver"})
	is.NoErr(err)
	accepted := time.Now()
	wg.Wait()

	for i := range f.Entries {
		is.NoErr(running[i].err)
		is.Equal(running[i].code, corianderwing.KeyRevoked)
		is.Equal(running[i].run, corianderwing.ExecutionUnknown)
		is.NoErr(ended[i].err)
		is.Equal(ended[i].code, corianderwing.InvalidKey)
		is.Equal(len(callers[i].conns), 1) // all on the same connection
	}
	f.eventually("the upstreams are told to stop", func() bool {
		for _, r := range f.ran("/slow/") {
			if r.State != stub.Cut {
				return false
			}
		}
		return true
	})
	var last time.Time
	for _, r := range f.ran("/kept/") {
		if r.State == stub.Done && r.End.After(last) {
			last = r.End
		}
	}
	is.True(last.Sub(sent) <= revokedWithin)                                 // sent is before the acceptance
	is.Equal(f.get(f.Entries[0], "/shop/goods/other").status, http.StatusOK) // the other key works
	t.Logf("%d requests served on kept connections; last success %v after the revocation was sent, answer to it after %v", served.Load(), last.Sub(sent), accepted.Sub(sent))
}

// useUp sends requests until the key is refused, and 20 more that must be
// refused too. It returns the first answer that is no success, or the first
// unlike it.
func (c *caller) useUp(n int, served *atomic.Int64) (first reply) {
	for i := 0; i < maxRequests; i++ {
		r := c.get(fmt.Sprintf("/shop/goods/kept/%d/%d", n, i))
		if r.status != http.StatusOK {
			first = r
			break
		}
		served.Add(1)
	}
	for i := range 20 {
		r := c.get(fmt.Sprintf("/shop/goods/kept/%d/after/%d", n, i))
		if r.err != nil || r.code != first.code {
			return r
		}
	}
	return first
}

// maxRequests bounds the requests of one caller.
const maxRequests = 20_000
