package stand

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"corianderwing"
	"corianderwing/platform"
)

// Server is a stand-in for a server. It follows the page on the protocol: it runs up
// to slots requests at a time, rejects the others as not executed, and sends
// heartbeats.
type Server struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	Work    time.Duration

	site *Site
	http *http.Server
	addr string
	born int64
	seq  uint64
	stop context.CancelFunc
	busy atomic.Int32
	mu   sync.Mutex
	runs []Run
	all  []Run // every request that arrived, run or rejected
}

// Arrivals returns the requests that arrived, whether they were run or rejected.
func (v *Server) Arrivals() []Run {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]Run(nil), v.all...)
}

// Run is a request that a server ran.
type Run struct {
	ID     string
	At     time.Time // when it arrived
	Server *Server
	Tenant string
	Path   string
}

// StartServer starts a server that sends its heartbeats to the control instances.
func (s *Site) StartServer(service, zone string, slots int, work time.Duration) (*Server, error) {
	l, err := s.listenServer()
	if err != nil {
		return nil, err
	}
	v := &Server{
		ID: fmt.Sprintf("i-%d-%s", s.servers, service), Service: service, Zone: zone, Slots: slots, Work: work,
		site: s, addr: l.Addr().String(), born: time.Now().UnixMilli(),
	}
	v.http = &http.Server{Handler: v, IdleTimeout: 10 * time.Second}
	go v.http.Serve(l)
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	go v.beat(ctx)
	return v, nil
}

// Close stops the server at once.
func (v *Server) Close() {
	v.stop()
	v.http.Close()
}

// beat sends heartbeats, to the control instances of its zone first.
func (v *Server) beat(ctx context.Context) {
	var order []*Node
	for _, n := range v.site.Controls {
		if n.Zone.Name == v.Zone {
			order = append([]*Node{n}, order...)
		} else {
			order = append(order, n)
		}
	}
	c := &platform.Client{}
	current := 0
	for ctx.Err() == nil {
		for try := range order {
			i := (current + try) % len(order)
			v.seq++
			beatCtx, cancel := context.WithTimeout(ctx, time.Second)
			err := c.Beat(beatCtx, order[i].Admin(), corianderwing.Heartbeat{Upstream: corianderwing.Upstream{
				ID: corianderwing.UpstreamID(v.ID), Incarnation: corianderwing.Incarnation(v.born), Seq: v.seq,
				Pool: corianderwing.PoolID(v.Service), Version: "v1", Domain: corianderwing.DomainID(v.Zone),
				Addr: v.addr, Slots: corianderwing.Slots(v.Slots), Phase: corianderwing.Ready,
			}})
			cancel()
			if err == nil {
				current = i
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(beatInterval):
		}
	}
}

// Runs returns the requests that the server ran.
func (v *Server) Runs() []Run {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]Run(nil), v.runs...)
}

// ServeHTTP implements http.Handler.
func (v *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		h.Set("X-Instance-Id", v.ID)
		return
	}
	if id == "" {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != v.ID {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	tenant := r.Header.Get("X-Tenant")
	arrived := Run{id, at, v, tenant, r.URL.Path}
	v.mu.Lock()
	v.all = append(v.all, arrived)
	v.mu.Unlock()
	if int(v.busy.Add(1)) > v.Slots {
		v.busy.Add(-1)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		v.site.Record.Add("rejected by server", "id", id, "server", v.ID)
		return
	}
	defer v.busy.Add(-1)
	v.mu.Lock()
	v.runs = append(v.runs, arrived)
	v.mu.Unlock()
	v.site.Record.Add("run", "id", id, "server", v.ID, "zone", v.Zone, "tenant", tenant, "path", r.URL.Path)
	limit := time.Minute
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case <-time.After(v.Work):
	case <-time.After(limit):
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	h.Set("X-Server-Stamp", v.ID+"."+id)
	h.Set("X-Server-Load", strconv.Itoa(int(v.busy.Load()))+",0,"+strconv.Itoa(v.Slots))
	fmt.Fprintf(w, "answer of %s to %s\n", v.ID, id)
}
