package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var requests atomic.Int64

// NextID returns a new request id.
func NextID() string { return fmt.Sprintf("r%06d", requests.Add(1)) }

// Request is a request of a client.
type Request struct {
	ID, Method, Host, Path, Key string
	Body                        io.Reader
	Length                      int64         // of the body; -1 for chunked
	Limit                       time.Duration // time limit of the client
}

// Answer is what a client got.
type Answer struct {
	Status int // 0 for none
	Stamp  string
	Body   string
	Err    error
}

// fresh makes a connection for each request and follows no redirects.
var fresh = &http.Transport{
	DisableKeepAlives:  true,
	DisableCompression: true,
	DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
}

// Send sends a request to an entry instance and waits for the answer. The client
// leaves when ctx ends.
func (s *Site) Send(ctx context.Context, n *Node, q Request) Answer {
	ctx, cancel := context.WithTimeout(ctx, q.Limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.Method, "http://"+n.Public()+q.Path, q.Body)
	if err != nil {
		return Answer{Err: err}
	}
	r.Host = q.Host
	if q.Body != nil {
		r.ContentLength = q.Length
	}
	r.Header.Set("X-Request-Id", q.ID)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(q.Limit.Milliseconds()))
	if q.Key != "" {
		r.Header.Set("X-Key", q.Key)
	}
	s.Record.Add("sent", "id", q.ID, "to", n.Name, "method", q.Method, "path", q.Path, "key", q.Key)
	resp, err := fresh.RoundTrip(r)
	if err != nil {
		s.Record.Add("no answer", "id", q.ID, "error", err)
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	a := Answer{Status: resp.StatusCode, Stamp: resp.Header.Get("X-Server-Stamp"), Body: string(body), Err: err}
	s.Record.Add("answered", "id", q.ID, "status", a.Status, "stamp", a.Stamp, "whole", err == nil)
	return a
}

func get(url string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	resp, err := fresh.RoundTrip(r)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Call makes one call of the operator to a control instance. Like every caller it
// gives up after a second.
func (s *Site) Call(n *Node, method, path string, body any) (status int, answer []byte) {
	var in io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, nil
		}
		in = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.Admin()+path, in)
	if err != nil {
		return 0, nil
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := fresh.RoundTrip(r)
	if err != nil {
		s.Record.Add("operator gets no answer", "call", path, "from", n.Name, "error", err)
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	s.Record.Add("operator answered", "call", path, "from", n.Name, "status", resp.StatusCode)
	return resp.StatusCode, data
}

// Order sends an order of the operator to the given control instances in turn, until
// one acknowledges it or the limit has passed. It returns the final status.
func (s *Site) Order(nodes []*Node, method, path string, body any, limit time.Duration) (int, []byte) {
	end := time.Now().Add(limit)
	for i := 0; ; i++ {
		status, answer := s.Call(nodes[i%len(nodes)], method, path, body)
		if status >= 200 && status < 300 || status == 400 || status == 409 || status == 412 || status == 413 || status == 422 {
			return status, answer
		}
		if !time.Now().Before(end) {
			return status, answer
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Table is a list of items in the layout of the operator's API.
type Table struct {
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
}

// Patch is a change of the desired state.
type Patch struct {
	Upsert map[string]any    `json:"upsert"`
	Remove map[string][]Name `json:"remove"`
}

// Name is the name and the version of an item to drop.
type Name struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Routes returns a table of routes: name, prefix, kind, time limit and service of
// each, all on one host and of the given version.
func Routes(host, version string, rows ...[5]string) Table {
	t := Table{Columns: []string{"name", "host", "pathPrefix", "kind", "timeout", "targetLatency", "priority", "split", "maxAttempts", "public", "sticky", "homeRegions", "version", "service"}}
	for _, r := range rows {
		t.Rows = append(t.Rows, []any{r[0], host, r[1], r[2], r[3], "600ms", 1, nil, 2, false, false, []string{}, version, r[4]})
	}
	return t
}

// Services returns a table of services.
func Services(version string, names ...string) Table {
	t := Table{Columns: []string{"name", "healthPath", "maxConns", "protocol", "tls", "coldStart", "coldPerS", "version"}}
	for _, name := range names {
		t.Rows = append(t.Rows, []any{name, "/health", 330, "h1", false, "0ms", 0, version})
	}
	return t
}

// Tenants returns a table with tenants that have one key each, called as the tenant
// with "key-" before it, and the given rate and burst.
func Tenants(version string, rate, burst int, names ...string) Table {
	t := Table{Columns: []string{"name", "apiKeys", "priority", "ratePerS", "burst", "homeRegions", "version"}}
	for _, name := range names {
		t.Rows = append(t.Rows, []any{name, []string{"key-" + name}, 1, rate, burst, []string{}, version})
	}
	return t
}

// Limits returns the limits on clients.
func Limits(version string) map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms", "version": version}
}
