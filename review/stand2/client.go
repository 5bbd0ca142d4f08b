package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// recorder keeps and writes what was sent, answered and run.
type recorder struct {
	begin time.Time
	mu    sync.Mutex
	out   *os.File
	runs  map[string][]run
	sent  map[string]*attempt
	order []*attempt
}

// run is one run of a request at a server.
type run struct {
	at     time.Time
	server string
	tenant string
	method string
	uri    string
	body   string
	keyed  bool // the client's key was passed on
}

// attempt is one client attempt.
type attempt struct {
	id, front, tenant string
	at                time.Time
	done              time.Time
	status            int
	err               error
	body              string
}

func newRecorder(path string) (*recorder, error) {
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{begin: time.Now(), out: out, runs: map[string][]run{}, sent: map[string]*attempt{}}, nil
}

func (c *recorder) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.line(time.Now(), format, args...)
}

func (c *recorder) line(at time.Time, format string, args ...any) {
	fmt.Fprintf(c.out, "%8.3f  %s\n", at.Sub(c.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (c *recorder) ran(id string, s *server, r *http.Request, body []byte) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.line(now, "run %s at %s for tenant %q: %s %s, %d bytes", id, s.id, r.Header.Get("X-Tenant"), r.Method, r.RequestURI, len(body))
	c.runs[id] = append(c.runs[id], run{
		at: now, server: s.id, tenant: r.Header.Get("X-Tenant"), method: r.Method, uri: r.RequestURI, body: string(body),
		keyed: r.Header.Get("X-Key") != "",
	})
}

func (c *recorder) begins(a *attempt) {
	a.at = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[a.id] = a
	c.order = append(c.order, a)
	c.line(a.at, "sent %s to %s for tenant %q", a.id, a.front, a.tenant)
}

func (c *recorder) ends(a *attempt, status int, body string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.done, a.status, a.body, a.err = time.Now(), status, body, err
	if err != nil {
		c.line(a.done, "no answer to %s: %v", a.id, err)
		return
	}
	c.line(a.done, "answered %s: %d %s", a.id, status, strings.TrimSpace(firstLine(body)))
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(s, "\n")
	return line[:min(len(line), 100)]
}

// newTransport returns a client's connections. With keep, it keeps one for the next
// requests.
func newTransport(keep bool) *http.Transport {
	d := net.Dialer{Timeout: time.Second}
	return &http.Transport{DialContext: d.DialContext, DisableKeepAlives: !keep, MaxIdleConnsPerHost: 1, DisableCompression: true}
}

// query describes a request of a client.
type query struct {
	id, host, path, key, tenant, method string
	body                                string
	limit                               time.Duration
}

// send makes one client attempt.
func (f *fleet) send(ctx context.Context, t http.RoundTripper, m *machine, q query) *attempt {
	a := &attempt{id: q.id, front: m.name, tenant: q.tenant}
	ctx, cancel := context.WithTimeout(ctx, q.limit)
	defer cancel()
	method := q.method
	if method == "" {
		method = http.MethodGet
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+f.addr(m.ip, portFront)+q.path, strings.NewReader(q.body))
	if err != nil {
		panic(err)
	}
	r.Host = q.host
	r.Header.Set("X-Request-Id", q.id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(q.limit.Milliseconds()))
	if q.key != "" {
		r.Header.Set("X-Key", q.key)
	}
	f.rec.begins(a)
	resp, err := t.RoundTrip(r)
	if err != nil {
		f.rec.ends(a, 0, "", err)
		return a
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	f.rec.ends(a, resp.StatusCode, string(text), err)
	return a
}
