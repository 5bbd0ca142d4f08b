package entry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"corianderwing"
	"corianderwing/internal/pipes"
)

const secret = "fleet secret"

// fixture holds fakes of all ports and a network of pipes, so that tests can
// run whole requests in virtual time.
type fixture struct {
	t  *testing.T
	mu sync.Mutex

	fresh    bool
	routes   map[string]*corianderwing.EffectiveSettings // by workspace/service
	keys     map[corianderwing.KeyHash]corianderwing.Key
	moves    map[corianderwing.PoolID]corianderwing.Move
	onChange []func()

	upstreams map[corianderwing.DomainID][]corianderwing.Upstream
	owners    map[corianderwing.DomainID]corianderwing.Instance
	instances []corianderwing.Instance

	regions     map[string]corianderwing.RegionID    // by failure domain
	links       map[string]corianderwing.LinkLimiter // by instance
	listeners   map[string]*pipes.Listener
	servers     []*http.Server
	cleanups    []func()
	rejections  int // requests that the limiter still rejects
	orders      map[string]*corianderwing.Order
	applied     map[corianderwing.RequestID]corianderwing.Result
	failing     int                       // proposals of failingKind that still fail
	failingKind corianderwing.CommandKind // empty for any kind
	records     []corianderwing.Record
}

func newFixture(t *testing.T) *fixture {
	w := &fixture{
		t:         t,
		fresh:     true,
		routes:    make(map[string]*corianderwing.EffectiveSettings),
		keys:      make(map[corianderwing.KeyHash]corianderwing.Key),
		moves:     make(map[corianderwing.PoolID]corianderwing.Move),
		upstreams: make(map[corianderwing.DomainID][]corianderwing.Upstream),
		owners:    make(map[corianderwing.DomainID]corianderwing.Instance),
		listeners: make(map[string]*pipes.Listener),
		orders:    make(map[string]*corianderwing.Order),
		applied:   make(map[corianderwing.RequestID]corianderwing.Result),
	}
	w.route("ws", "svc", func(*corianderwing.EffectiveSettings) {})
	w.key("ws", "good-key")
	w.key("other", "other-key")
	return w
}

func (w *fixture) route(ws, svc string, change func(*corianderwing.EffectiveSettings)) {
	e := corianderwing.Defaults
	e.Path = corianderwing.Path{Workspace: corianderwing.WorkspaceID(ws), Service: corianderwing.ServiceID(svc), Route: "r"}
	e.Pool = "pool"
	change(&e)
	w.routes[ws+"/"+svc] = &e
}

func (w *fixture) key(ws, key string) {
	h := corianderwing.HashKey([]byte(secret), key)
	w.keys[h] = corianderwing.Key{ID: "k-" + corianderwing.KeyID(ws), Workspace: corianderwing.WorkspaceID(ws), Hash: h}
}

func (w *fixture) revoke(key string) {
	h := corianderwing.HashKey([]byte(secret), key)
	w.mu.Lock()
	k := w.keys[h]
	k.Revoked = true
	w.keys[h] = k
	w.mu.Unlock()
	for _, f := range w.onChange {
		f()
	}
}

// failProposals makes the next n proposals of a kind fail. An empty kind
// matches all proposals.
func (w *fixture) failProposals(n int, kind corianderwing.CommandKind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing, w.failingKind = n, kind
}

// instance starts an entry instance and makes it the pool owner in its failure
// domain.
func (w *fixture) instance(id, domain string, opts ...Option) *Server {
	self := corianderwing.Instance{
		ID:           corianderwing.InstanceID(id),
		Domain:       corianderwing.DomainID(domain),
		Region:       w.regions[domain],
		PublicAddr:   id + ":public",
		InternalAddr: id + ":inner",
		Phase:        corianderwing.Ready,
	}
	w.mu.Lock()
	w.instances = append(w.instances, self)
	w.owners[self.Domain] = self
	w.mu.Unlock()
	opts = append([]Option{WithDial(w.dial), WithSeed(1)}, opts...)
	s, err := New(Config{
		Settings:  w,
		Limiter:   w,
		Control:   w,
		Fleet:     &fleet{fixture: w, self: self},
		Recorder:  w,
		Links:     w.links[id],
		Secret:    []byte(secret),
		HomeGroup: func(corianderwing.WorkspaceID) corianderwing.GroupID { return "g" },
	}, opts...)
	if err != nil {
		w.t.Fatal(err)
	}
	w.serve(self.PublicAddr, s.Public())
	w.serve(self.InternalAddr, s.Internal())
	return s
}

// upstream starts a fake upstream that echoes request ids.
func (w *fixture) upstream(id, domain string, slots int, h http.HandlerFunc) *corianderwing.Upstream {
	w.serve(id, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(hRequest, r.Header.Get(hRequest))
		h(rw, r)
	}))
	return w.announce(id, domain, slots)
}

func (w *fixture) announce(id, domain string, slots int) *corianderwing.Upstream {
	d := corianderwing.DomainID(domain)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.upstreams[d] = append(w.upstreams[d], corianderwing.Upstream{
		ID: corianderwing.UpstreamID(id), Seq: 100, Pool: "pool", Version: "v1", Domain: d,
		Addr: id, Slots: corianderwing.Slots(slots), Conns: 100, Phase: corianderwing.Ready,
	})
	return &w.upstreams[d][len(w.upstreams[d])-1]
}

func (w *fixture) serve(addr string, h http.Handler) {
	srv := &http.Server{Handler: h, ErrorLog: nil}
	l := w.listen(addr)
	w.servers = append(w.servers, srv)
	go srv.Serve(l)
}

func (w *fixture) listen(addr string) *pipes.Listener {
	l := pipes.Listen()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listeners[addr] = l
	return l
}

func (w *fixture) dial(ctx context.Context, addr string) (net.Conn, error) {
	w.mu.Lock()
	l, ok := w.listeners[addr]
	w.mu.Unlock()
	if !ok {
		return nil, fmt.Errorf("dial %s: connection refused", addr)
	}
	c, err := l.Dial(ctx)
	if errors.Is(err, net.ErrClosed) {
		err = fmt.Errorf("dial %s: connection refused", addr)
	}
	return c, err
}

// rawUpstream starts an upstream that handles its connections itself.
func (w *fixture) rawUpstream(id, domain string, slots int, f func(c net.Conn, br *bufio.Reader)) {
	l := w.listen(id)
	w.cleanups = append(w.cleanups, func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				f(c, bufio.NewReader(c))
			}()
		}
	}()
	w.announce(id, domain, slots)
}

// close stops all servers, so that the bubble can end.
func (w *fixture) close(list ...*Server) {
	for _, s := range list {
		if err := s.Close(context.Background()); err != nil {
			w.t.Error(err)
		}
		if n := s.meter.violations.Count(); n > 0 {
			w.t.Errorf("%d violated invariants", n)
		}
	}
	for _, srv := range w.servers {
		srv.Close()
	}
	for _, f := range w.cleanups {
		f()
	}
	synctest.Wait()
}

// result is the response that a caller receives.
type result struct {
	status int
	code   string
	run    string
	body   string
	header http.Header
	close  bool  // the connection is closed after the response
	err    error // the response was incomplete
}

// send sends a raw request over a new connection. raw uses \n for line endings.
func (w *fixture) send(addr, raw string) result {
	c, err := w.dial(context.Background(), addr)
	if err != nil {
		return result{err: err}
	}
	defer c.Close()
	head, body, _ := strings.Cut(raw, "\n\n")
	go io.WriteString(c, strings.ReplaceAll(head, "\n", "\r\n")+"\r\n\r\n"+body)
	return readResponse(c)
}

func readResponse(c io.Reader) result {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return result{err: err}
	}
	b, err := io.ReadAll(resp.Body)
	return result{resp.StatusCode, resp.Header.Get(hCode), resp.Header.Get(hExecution), string(b), resp.Header, resp.Close, err}
}

// get sends a request with a valid key.
func (w *fixture) get(path string) result {
	return w.send("a:public", "GET "+path+" HTTP/1.1\nHost: h\nX-Api-Key: good-key\n\n")
}

// bubble runs f in virtual time.
func bubble(t *testing.T, f func(w *fixture)) {
	synctest.Test(t, func(t *testing.T) { f(newFixture(t)) })
}
