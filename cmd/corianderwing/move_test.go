package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/io/admin"
)

// adminClient returns a client of the operators' API.
func (f *processes) adminClient() *admin.Client {
	f.t.Helper()
	var addrs []string
	for _, c := range f.Controls {
		addrs = append(addrs, c.Admin)
	}
	client, err := admin.NewClient(addrs, admin.WithOperator("test"))
	if err != nil {
		f.t.Fatal(err)
	}
	return client
}

// steady sends requests from several callers until stop is called.
func (f *processes) steady() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for c := range 8 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				f.call(c+n, fmt.Sprintf("/shop/goods/traffic/%d/%d", c, n))
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// version starts an upstream of another version in each failure domain.
func (f *processes) version(v string) []place {
	var all []place
	for i, domain := range []string{"r1-a", "r1-b"} {
		s := place{ID: fmt.Sprintf("%s-%d", v, i), Domain: domain, Public: freeAddr(f.t)}
		f.start(s.ID, "stub", "--id", s.ID, "--pool", pool, "--domain", domain, "--addr", s.Public, "--version", v,
			"--entry", f.Entries[2*i].Public, "--entry", f.Entries[2*i+1].Public, "--time", "5ms", "--slots", "8")
		all = append(all, s)
	}
	f.Stubs = append(f.Stubs, all...)
	return all
}

// move starts a move that ends by the given time, and waits for its outcome.
func (f *processes) move(from, to string, in time.Duration) corianderwing.Move {
	f.t.Helper()
	client := f.adminClient()
	node, err := client.Node(context.Background(), "home", corianderwing.Path{})
	if err != nil {
		f.t.Fatal(err)
	}
	_, err = client.Move(context.Background(), admin.StartMove{
		Change: admin.Change{Group: "home", Base: &node.Revision},
		Pool:   pool, From: corianderwing.VersionID(from), To: corianderwing.VersionID(to),
		By: time.Now().Add(in),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	var last corianderwing.Move
	f.eventually("the move to "+to+" ends", func() bool {
		list, err := client.Moves(context.Background(), "home")
		if err != nil || len(list.Moves) != 1 {
			return false
		}
		last = list.Moves[0].Move
		return last.To == corianderwing.VersionID(to) && last.Outcome != corianderwing.Moving
	})
	return last
}

// started returns how many requests the given upstreams have started.
func (f *processes) started(upstreams []place) uint64 {
	f.t.Helper()
	ids := map[corianderwing.UpstreamID]bool{}
	for _, u := range upstreams {
		ids[corianderwing.UpstreamID(u.ID)] = true
	}
	_, all := f.runs()
	var n uint64
	for _, ran := range all {
		if ids[ran.Upstream] {
			n += ran.Started
		}
	}
	return n
}

// Guards against a good version that is not moved to in time, and a bad one
// that keeps its traffic after its fault has shown.
func TestMoves(t *testing.T) {
	is := is.New(t)
	f := newProcesses(t)
	f.startAll()
	f.ready()
	stop := f.steady()
	defer stop()

	f.version("v2")
	good := f.move("v1", "v2", 12*time.Second)
	is.Equal(good.Outcome, corianderwing.Done)

	bad := f.version("v3")
	for _, s := range bad {
		f.eventually(s.ID+" fails half of its requests", func() bool {
			resp, err := http.Post("http://"+s.Public+"/fault", "application/json", strings.NewReader(`{"fail":0.5}`))
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode < http.StatusMultipleChoices
		})
	}
	back := f.move("v2", "v3", 60*time.Second)
	is.Equal(back.Outcome, corianderwing.RolledBack)
	is.True(back.Evidence != "")
	t.Logf("evidence: %s", back.Evidence)

	// Every instance has heard of the outcome once its revision is in force.
	client := f.adminClient()
	status, err := client.Status(context.Background())
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	is.NoErr(client.Await(ctx, "home", status.Groups[0].Revision))
	before := f.started(bad)
	served := f.started(f.Stubs)
	f.eventually("500 more requests are served", func() bool { return f.started(f.Stubs) >= served+500 })
	is.Equal(f.started(bad), before)
	t.Logf("the bad version started %d requests", before)
}
