package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/io/soak"
	"corianderwing/platform"
)

// stage is a site of real processes with upstreams that fail on purpose.
type stage struct {
	t    *testing.T
	site *soak.Site
	wire platform.Client
	mu   sync.Mutex
	seen map[corianderwing.RequestID]int
	n    int
}

// serve answers by the path of a request: its last part says what goes wrong.
func (s *stage) serve(w http.ResponseWriter, r *http.Request) {
	a, err := s.wire.Arrival(r)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.seen[a.ID]++
	n := s.seen[a.ID]
	s.mu.Unlock()
	switch filepath.Base(a.Path) {
	case "slow":
		time.Sleep(900 * time.Millisecond)
	case "busy":
		time.Sleep(400 * time.Millisecond)
	case "mute":
		time.Sleep(4 * time.Second)
	case "break":
		panic(http.ErrAbortHandler)
	case "twice":
		time.Sleep(300 * time.Millisecond)
		if n == 1 {
			panic(http.ErrAbortHandler)
		}
	}
	s.wire.Answer(w.Header(), a, 1, 1)
	io.WriteString(w, "done")
}

// announce starts an upstream of the pool goods that announces itself.
func (s *stage) announce(id string, d corianderwing.DomainID, admin string) {
	srv := httptest.NewUnstartedServer(http.HandlerFunc(s.serve))
	srv.Config.ErrorLog = nil
	srv.Start()
	s.t.Cleanup(srv.CloseClientConnections)
	ctx, cancel := context.WithCancel(s.t.Context())
	s.t.Cleanup(cancel)
	born := corianderwing.Incarnation(time.Now().UnixMilli())
	go func() {
		for seq := uint64(1); ctx.Err() == nil; seq++ {
			call, done := context.WithTimeout(ctx, time.Second)
			s.wire.Beat(call, admin, corianderwing.Heartbeat{Upstream: corianderwing.Upstream{
				ID: corianderwing.UpstreamID(id), Incarnation: born, Seq: seq, Pool: "goods", Version: "v1",
				Domain: d, Addr: srv.Listener.Addr().String(), Slots: 1, Phase: corianderwing.Ready,
			}})
			done()
			time.Sleep(300 * time.Millisecond)
		}
	}()
}

// ask sends a request and returns its id, the status and the failure.
func (s *stage) ask(p *soak.Proc, path, key, body string, limit time.Duration) (string, int, error) {
	s.mu.Lock()
	s.n++
	q := soak.Query{
		ID: corianderwing.RequestID(fmt.Sprintf("q-%03d", s.n)), Host: "shop.example", Path: path, Key: key,
		Body: body, Deadline: time.Now().Add(limit),
	}
	s.mu.Unlock()
	r, err := s.wire.Request(s.t.Context(), p.Public(), q)
	if err != nil {
		s.t.Fatal(err)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	resp, err := client.Do(r)
	if err != nil {
		return string(q.ID), 0, err
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return string(q.ID), resp.StatusCode, nil
}

// until repeats f until it returns true.
func (s *stage) until(what string, f func() bool) {
	s.t.Helper()
	for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			s.mu.Lock()
			last := fmt.Sprintf("q-%03d", s.n)
			s.mu.Unlock()
			s.t.Fatalf("not in time: %s; the last request:\n%s", what, s.explain(last))
		}
	}
}

// refused sends a request until its refusal has another cause than settings that
// are not confirmed: beside load, the leader's confirmations may be late.
func (s *stage) refused(p *soak.Proc, path, key string) (id string, status int) {
	s.t.Helper()
	s.until("a request meets confirmed settings", func() bool {
		id, status, _ = s.ask(p, path, key, "", time.Second)
		if status != http.StatusServiceUnavailable {
			return true
		}
		var story []byte
		s.until("a request is logged", func() bool {
			story = s.explain(id)
			return !bytes.Contains(story, []byte("no line of request"))
		})
		return !bytes.Contains(story, fmt.Appendf(nil, "code=%d ", corianderwing.StaleSettings))
	})
	return id, status
}

// explain returns what the command explain says of a request.
func (s *stage) explain(id string) []byte {
	out, _ := exec.Command(binary, append([]string{"explain", id}, logsOf(s.site.Dir)...)...).CombinedOutput()
	return out
}

func (s *stage) rule(name, prefix, pool string, once bool) corianderwing.Rule {
	return corianderwing.Rule{
		Name: corianderwing.RouteID(name), Version: 1, Host: "shop.example", Prefix: prefix, AtMostOnce: once,
		Timeout: 2500, TargetLatency: 2000, Priority: 1, MaxAttempts: 2, Targets: []corianderwing.Target{{Pool: corianderwing.PoolID(pool), Weight: 1}},
	}
}

func (s *stage) items() corianderwing.Edit {
	return corianderwing.Edit{
		Rules: []corianderwing.Rule{
			s.rule("r-goods", "/goods/", "goods", false), s.rule("r-orders", "/orders/", "goods", true), s.rule("r-none", "/none/", "empty", false),
		},
		WorkspacePolicies: []corianderwing.WorkspacePolicy{
			{Name: "main", Version: 1, Keys: []string{"k-main"}},
			{Name: "small", Version: 1, Keys: []string{"k-small"}, Rate: 1, Burst: 1},
		},
		Pools:  []corianderwing.Pool{{Name: "goods", Version: 1, MaxConns: 100, Protocol: "h1"}, {Name: "empty", Version: 1, MaxConns: 100, Protocol: "h1"}},
		Limits: &corianderwing.Limits{Version: 1, Header: 16 << 10, Body: 1 << 20, HeaderTimeout: 3000, IdleTimeout: 15000},
	}
}

// Guards against a request whose cause cannot be found afterwards: three kinds
// each of refused, unknown and slow answers are planted, the process that gave
// them is killed, and explain must name the cause from the ids and the logs.
func TestExplainPlantedCauses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	dir := t.TempDir()
	site, err := soak.NewSite(binary, dir, 3, 1)
	is.NoErr(err)
	defer site.Close()
	s := &stage{t: t, site: site, seen: map[corianderwing.RequestID]int{}}
	for _, p := range site.Procs {
		is.NoErr(p.Start())
	}
	control, entry := site.Controls()[0], site.Entries()[0]
	s.until("the settings are accepted", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return s.wire.Edit(ctx, control.Admin(), s.items()) == nil
	})
	s.announce("up-1", entry.Domain, control.Admin())
	s.announce("up-2", entry.Domain, control.Admin())
	healthy := func() {
		t.Helper()
		s.until("a request is served", func() bool {
			_, status, _ := s.ask(entry, "/goods/ok", "k-main", "", time.Second)
			return status == http.StatusOK
		})
	}
	healthy()

	planted := map[string]*regexp.Regexp{} // what explain must say, by request
	plant := func(id, cause string) { planted[id] = regexp.MustCompile(cause) }

	// Refused: an unknown key, a pool without upstreams, a workspace over its
	// rate.
	id, status := s.refused(entry, "/goods/ok", "k-none")
	is.Equal(status, http.StatusUnauthorized)
	plant(id, "the key is unknown")
	id, status = s.refused(entry, "/none/ok", "k-main")
	is.Equal(status, http.StatusServiceUnavailable)
	plant(id, "empty")
	s.until("the workspace is over its rate", func() bool {
		id, status, _ = s.ask(entry, "/goods/ok", "k-small", "", time.Second)
		return status == http.StatusTooManyRequests
	})
	plant(id, "workspace small is over its share")

	// Slow: the upstream itself, a wait for a slot, a second attempt.
	served := func(path string) string {
		t.Helper()
		id, status, err := s.ask(entry, path, "k-main", "", 2400*time.Millisecond)
		if status != http.StatusOK {
			t.Fatalf("%s: status %d, %v:\n%s", path, status, err, s.explain(id))
		}
		return id
	}
	id = served("/goods/slow")
	plant(id, `"first":(9\d\d|\d{4})\b`) // the 900 ms of the upstream, and what a busy machine adds
	var busy sync.WaitGroup
	ids := make([]string, 5)
	for i := range ids {
		busy.Go(func() { ids[i], _, _ = s.ask(entry, "/goods/busy", "k-main", "", 2*time.Second) })
	}
	busy.Wait()
	for range 20 { // each earns a part of a retry
		s.ask(entry, "/goods/ok", "k-main", "", time.Second)
	}
	plant(served("/goods/twice"), "attempts 2: ")

	// Unknown: an upstream that breaks an order off, one that is silent, and an
	// entry process that is killed.
	// After a broken connection both upstreams may be set aside for a moment, and
	// an order is refused then: that is another cause than the planted one.
	sent := func(path string) (id string) {
		t.Helper()
		s.until("an order is sent to an upstream", func() bool {
			id, status, _ = s.ask(entry, path, "k-main", "order", 2400*time.Millisecond)
			return status != http.StatusServiceUnavailable
		})
		is.True(status >= http.StatusInternalServerError)
		return id
	}
	plant(sent("/orders/break"), "run=unknown")
	plant(sent("/orders/mute"), "no answer from")
	healthy()
	killed := make(chan string)
	go func() {
		id, _, err := s.ask(entry, "/goods/slow", "k-main", "", 2*time.Second)
		if err == nil {
			t.Error("the request outlived its entry process")
		}
		killed <- id
	}()
	time.Sleep(300 * time.Millisecond)
	entry.Kill()
	plant(<-killed, entry.Name+" ended without a stop")
	is.NoErr(entry.Start())
	healthy()

	is.Equal(len(planted), 8)
	for id, cause := range planted {
		s.until(fmt.Sprintf("explain %s says %s", id, cause), func() bool {
			return cause.Match(s.explain(id))
		})
	}
	// One of five requests at two slots waited for two others.
	longest := 0
	for _, id := range ids {
		longest = max(longest, waitedOf(t, dir, id))
	}
	is.True(longest >= 300)
}

func logsOf(dir string) []string {
	files, _ := filepath.Glob(filepath.Join(dir, "*.log")) // the pattern is well formed
	return files
}

// waitedOf returns for how many milliseconds a request waited for slots, as
// explain tells it.
func waitedOf(t *testing.T, dir, id string) (ms int) {
	t.Helper()
	out, err := exec.Command(binary, append([]string{"explain", id}, logsOf(dir)...)...).Output()
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(out), " waited=")
	fmt.Sscan(after, &ms)
	return ms
}
