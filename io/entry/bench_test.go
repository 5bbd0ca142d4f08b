package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"corianderwing"
)

// lockFreeSettings is a SettingsSource and SettingsView without locks, like the
// real implementations.
type lockFreeSettings struct {
	*fixture
	eff *corianderwing.EffectiveSettings
}

func (g *lockFreeSettings) View(corianderwing.WorkspaceID) (corianderwing.SettingsView, bool, bool) {
	return g, true, true
}
func (g *lockFreeSettings) Route(corianderwing.WorkspaceID, corianderwing.ServiceID, string) (*corianderwing.EffectiveSettings, bool) {
	return g.eff, true
}
func (g *lockFreeSettings) Key(h corianderwing.KeyHash) (corianderwing.Key, bool) {
	k, ok := g.keys[h]
	return k, ok
}
func (g *lockFreeSettings) Take(context.Context, *corianderwing.EffectiveSettings) error { return nil }

func benchServer(b *testing.B, addr string, opts ...Option) *Server {
	w := newFixture(nil)
	self := corianderwing.Instance{ID: "a", Domain: "d1"}
	w.owners["d1"] = self
	for range 14 {
		up := w.announce(addr, "d1", 5)
		up.ID += corianderwing.UpstreamID(rune('a' + len(w.upstreams["d1"])))
	}
	g := &lockFreeSettings{fixture: w, eff: w.routes["ws/svc"]}
	s, err := New(Config{
		Settings: g, Limiter: g, Control: w, Fleet: &fleet{fixture: w, self: self}, Recorder: w,
		Secret:    []byte(secret),
		HomeGroup: func(corianderwing.WorkspaceID) corianderwing.GroupID { return "g" },
	}, append(opts, WithLookupTTL(0), WithPropagationDelay(0))...)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { s.Close(context.Background()) })
	return s
}

// BenchmarkDecision measures the decisions made before a request is sent: path,
// route, key, limits, rate, and the selection of one of 14 upstreams.
func BenchmarkDecision(b *testing.B) {
	s := benchServer(b, "127.0.0.1:1")
	r := httptest.NewRequest(http.MethodGet, "/ws/svc/motifs/17?size=2", nil)
	r.Header.Set("X-Api-Key", "good-key")
	r.Header.Set("User-Agent", "bench")
	r.Header.Set("Accept", "application/json")
	p := s.pool("pool")
	for i := range s.cfg.Fleet.(*fleet).upstreams["d1"] {
		s.cfg.Fleet.(*fleet).upstreams["d1"][i].Slots = 1 << 40 // the loop below returns no slots
	}
	p.sync(time.Now())
	var x exchange
	b.ReportAllocs()
	for b.Loop() {
		x = exchange{r: r, start: time.Now(), ctx: context.Background()}
		if e := s.resolveRoute(&x); e != nil {
			b.Fatal(e)
		}
		if e := s.checkRequest(&x); e != nil {
			b.Fatal(e)
		}
		if _, e := p.acquire(x.ctx, &x.job, x.start); e != nil {
			b.Fatal(e)
		}
		s.registry.remove(&x.active)
	}
}

// BenchmarkThroughput compares an entry instance with a plain proxy on
// net/http's client. The two alternate, so that other load on the machine
// affects both equally. An iteration is 1000 requests through each, from 32
// callers that share the machine with the upstream. The ratio is the throughput
// of the entry instance divided by that of the plain proxy.
func BenchmarkThroughput(b *testing.B) {
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()[hRequest] = r.Header[hRequest]
		io.WriteString(w, "motif")
	}))
	defer up.Close()
	addr := up.Listener.Addr().String()
	var total, cpu [2]time.Duration
	var run [2]func()
	for i, h := range []http.Handler{plainProxy(addr), benchServer(b, addr).Public()} {
		srv := httptest.NewServer(h)
		defer srv.Close()
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
		defer client.CloseIdleConnections()
		run[i] = func() { sendRequests(b, client, srv.URL+"/ws/svc/x", 32, 1000) }
		run[i]() // opens connections
	}
	b.ResetTimer()
	n := 0
	for b.Loop() {
		for i := range run {
			start, used := time.Now(), cpuTime()
			run[i]()
			total[i] += time.Since(start)
			cpu[i] += cpuTime() - used
		}
		n += 1000
	}
	b.ReportMetric(float64(total[0].Nanoseconds())/float64(n), "bare-ns/req")
	b.ReportMetric(float64(total[1].Nanoseconds())/float64(n), "entry-ns/req")
	b.ReportMetric(float64(total[0])/float64(total[1]), "ratio")
	b.ReportMetric(float64(cpu[0])/float64(cpu[1]), "cpu-ratio")
}

// cpuTime returns the CPU time of this process. Other load on the machine
// distorts it less than wall-clock time.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// sendRequests sends n requests from several concurrent callers.
func sendRequests(b *testing.B, client *http.Client, url string, callers, n int) {
	var wg sync.WaitGroup
	var left atomic.Int64
	left.Store(int64(n))
	for range callers {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				req, _ := http.NewRequest(http.MethodGet, url, nil)
				req.Header.Set("X-Api-Key", "good-key")
				resp, err := client.Do(req)
				if err != nil {
					b.Error(err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					b.Error(resp.Status)
					return
				}
			}
		})
	}
	wg.Wait()
}

// plainProxy forwards every request to addr without checks.
func plainProxy(addr string) http.Handler {
	tr := &http.Transport{
		MaxIdleConnsPerHost: 256,
		DialContext:         (&net.Dialer{}).DialContext,
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := r.Clone(r.Context())
		out.URL.Scheme, out.URL.Host = "http", addr
		out.RequestURI = ""
		resp, err := tr.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.StatusCode)
		io.Copy(w, resp.Body)
	})
}
