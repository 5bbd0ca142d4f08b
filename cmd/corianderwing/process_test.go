package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"corianderwing"
)

// outcome is one request and what its caller saw.
type outcome struct {
	path  string // below the service, as the upstream sees it
	reply reply
}

// drive sends n requests from several callers over the live entry instances,
// and calls step after each third of them.
func drive(f *processes, n int, step func(third int)) []outcome {
	var (
		mu  sync.Mutex
		all []outcome
	)
	for third := range 3 {
		next := make(chan int)
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for i := range next {
					path := fmt.Sprintf("/item/%d", i)
					r := f.call(i, "/shop/goods"+path)
					mu.Lock()
					all = append(all, outcome{path, r})
					mu.Unlock()
				}
			})
		}
		for i := third * n / 3; i < (third+1)*n/3; i++ {
			if i == third*n/3+n/10 {
				step(third)
			}
			next <- i
		}
		close(next)
		wg.Wait()
	}
	return all
}

// call sends a request to an entry instance, and to the next ones while no
// connection can be opened, as callers do with the alternates of a lookup.
func (f *processes) call(first int, path string) reply {
	var r reply
	for i := range f.Entries {
		r = f.get(f.Entries[(first+i)%len(f.Entries)], path)
		var op *net.OpError
		if !errors.As(r.err, &op) || op.Op != "dial" {
			return r
		}
	}
	return r
}

// account compares what the callers saw with what the upstreams ran.
func account(t *testing.T, f *processes, all []outcome) (served, refused, unknown int) {
	t.Helper()
	runs, stubs := f.runs()
	for _, o := range all {
		n := runs[o.path]
		switch {
		case o.reply.err != nil || o.reply.run == corianderwing.ExecutionUnknown:
			unknown++
		case o.reply.status == http.StatusOK:
			served++
			if n == 0 {
				t.Errorf("%s was answered 200 and no upstream ran it", o.path)
			}
			if !bytes.Contains(o.reply.body, []byte(`"path":"`+o.path+`"`)) {
				t.Errorf("%s got the answer to another request: %s", o.path, o.reply.body)
			}
		case o.reply.run == corianderwing.NotExecuted:
			refused++
			if n != 0 {
				t.Errorf("%s was refused as not run with code %d, but ran %d times", o.path, o.reply.code, n)
			}
		default:
			t.Errorf("%s: status %d, code %d, run %q", o.path, o.reply.status, o.reply.code, o.reply.run)
		}
	}
	for _, s := range stubs {
		if s.Keys != 0 {
			t.Errorf("upstream %s saw a caller's key %d times", s.Upstream, s.Keys)
		}
		if s.Peak > int(s.Slots) {
			t.Errorf("upstream %s had %d requests at once, slots %d", s.Upstream, s.Peak, s.Slots)
		}
	}
	return served, refused, unknown
}

// Guards against a request that is lost, answered without having run, or
// called not run although it ran, while the control leader and an entry
// instance are killed.
func TestKillLeaderAndEntry(t *testing.T) {
	is := is.New(t)
	f := newProcesses(t)
	f.startAll()
	f.ready()
	const n = 900
	all := drive(f, n, func(third int) {
		switch third {
		case 1:
			f.kill(f.leader())
		case 2:
			f.kill("e1")
		}
	})
	is.Equal(len(all), n)
	served, refused, unknown := account(t, f, all)
	t.Logf("%d served, %d refused as not run, %d unknown", served, refused, unknown)
	is.True(unknown <= 8) // at most what the callers had at e1 when it was killed
	is.Equal(served+refused+unknown, n)

	// The group goes on with two of three replicas.
	f.eventually("a new leader", func() bool { return f.leader() != "" })
	r := confirmed(func() reply { return f.get(f.Entries[3], "/shop/goods/after") })
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusOK)

	// Callers learn that the killed instance is gone.
	f.eventually("the lookup leaves out e1", func() bool {
		a := f.lookup(f.Entries[1])
		for _, i := range append(a.Preferred, a.Alternates...) {
			if i.ID == "e1" {
				return false
			}
		}
		return len(a.Preferred) > 0
	})
}

// leader returns the control instance that logged last that it leads.
func (f *processes) leader() string {
	last, leader := "", ""
	for _, c := range f.Controls {
		if f.running[c.ID] == nil {
			continue
		}
		text, err := os.ReadFile(f.logFile(c.ID))
		if err != nil {
			f.t.Fatal(err)
		}
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, `"role":"leader"`) && line > last {
				last, leader = line, c.ID
			}
		}
	}
	return leader
}

// Guards against bad input that ends a process, reaches an upstream, or gets
// no numbered code.
func TestBadInput(t *testing.T) {
	is := is.New(t)
	f := newProcesses(t)
	f.startAll()
	f.ready()
	e := f.Entries[0]
	key := map[string]string{"X-Api-Key": shopKey}
	big := strings.Repeat("x", 8192)
	tests := []struct {
		name   string
		method string
		path   string
		header map[string]string
		body   string
		want   corianderwing.Code
	}{
		{"no key", "GET", "/shop/goods/bad/1", nil, "", corianderwing.MissingKey},
		{"wrong key", "GET", "/shop/goods/bad/2", map[string]string{"X-Api-Key": "other"}, "", corianderwing.InvalidKey},
		{"key in two places", "GET", "/shop/goods/bad/3?api_key=" + shopKey, key, "", corianderwing.DuplicateKey},
		{"unclean path", "GET", "/shop/goods/bad/../4", key, "", corianderwing.InvalidPath},
		{"unknown workspace", "GET", "/none/goods/bad/5", key, "", corianderwing.NoRoute},
		{"method", "DELETE", "/shop/goods/bad/6", key, "", corianderwing.MethodNotAllowed},
		{"oversize body", "POST", "/shop/goods/orders/bad/7", key, big, corianderwing.BodyTooLarge},
		{"oversize header", "GET", "/shop/goods/bad/8", map[string]string{"X-Api-Key": shopKey, "X-Big": strings.Repeat(big, 4)}, "", corianderwing.HeaderTooLarge},
		{"announcement with an unknown field", "POST", "/-/announce", nil, announcement(f, 1, f.Stubs[0].Public, `"colour":"red",`), corianderwing.InvalidInput},
		{"announcement of an earlier life", "POST", "/-/announce", nil, announcement(f, 1, f.Stubs[0].Public, ""), corianderwing.InvalidInput},
		{"announcement under the id of another process", "POST", "/-/announce", nil, announcement(f, 1<<62, "127.0.0.1:1", ""), corianderwing.InvalidInput},
		{"announcement cut short", "POST", "/-/announce", nil, `{"id":"u9"`, corianderwing.InvalidInput},
	}
	// The id of the third test is in use by a process with this incarnation.
	is.Equal(f.send(e, "POST", "/-/announce", nil, strings.NewReader(announcement(f, 1<<62, "127.0.0.1:2", ""))).status, http.StatusNoContent)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := f.send(e, tt.method, tt.path, tt.header, strings.NewReader(tt.body))
			is.NoErr(r.err)
			is.Equal(r.code, tt.want)
			is.Equal(r.run, corianderwing.NotExecuted)
		})
	}
	is.Equal(f.cutBody(e, "/shop/goods/orders/bad/9"), "207")
	is.Equal(f.get(e, "/shop/goods/alive").status, http.StatusOK)
	runs, _ := f.runs()
	for path := range runs {
		is.True(!strings.Contains(path, "/bad/"))
	}
}

// announcement returns an announcement under the id of the first stand-in, or
// of an upstream that does not exist if the incarnation is the highest.
func announcement(f *processes, incarnation uint64, addr, extra string) string {
	id := f.Stubs[0].ID
	if incarnation == 1<<62 {
		id = "other"
	}
	return fmt.Sprintf(`{%s"id":%q,"incarnation":%d,"seq":1,"pool":"other","version":"v1","domain":%q,"addr":%q,"slots":1,"conns":1,"phase":"ready"}`,
		extra, id, incarnation, f.Stubs[0].Domain, addr)
}

// cutBody sends a request whose body ends early and returns the result code.
func (f *processes) cutBody(e place, path string) string {
	f.t.Helper()
	conn, err := net.Dial("tcp", e.Public)
	if err != nil {
		f.t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nX-Api-Key: %s\r\nContent-Length: 100\r\n\r\nshort", path, shopKey)
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.Header.Get("Cw-Code")
}
