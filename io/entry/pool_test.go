package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// Guards against more concurrent requests at an upstream than it has slots,
// when callers use several instances and some of them disconnect.
func TestSlotLimit(t *testing.T) {
	bubble(t, func(w *fixture) {
		is := is.New(w.t)
		a, b := w.instance("a", "d1"), w.instance("b", "d1")
		w.route("ws", "svc", func(e *corianderwing.EffectiveSettings) { e.Wait, e.Timeout = 10_000, 20_000 })
		var maxBusy [2]atomic.Int32
		for i, id := range []string{"u1", "u2"} {
			var busy atomic.Int32
			w.upstream(id, "d1", 2, func(_ http.ResponseWriter, r *http.Request) {
				n := busy.Add(1)
				for old := maxBusy[i].Load(); n > old && !maxBusy[i].CompareAndSwap(old, n); old = maxBusy[i].Load() {
				}
				select {
				case <-time.After(100 * time.Millisecond):
				case <-r.Context().Done(): // cancellation
				}
				busy.Add(-1)
			})
		}
		var wg sync.WaitGroup
		var served atomic.Int32
		for i := range 60 {
			addr := []string{"a:public", "b:public"}[i%2]
			if i%6 == 5 {
				c, err := w.dial(context.Background(), addr) // disconnects while queued
				is.NoErr(err)
				io.WriteString(c, strings.ReplaceAll(post("/ws/svc/x", ""), "\n", "\r\n"))
				time.AfterFunc(50*time.Millisecond, func() { c.Close() })
				continue
			}
			wg.Go(func() {
				if w.send(addr, post("/ws/svc/x", "")).code == "100" {
					served.Add(1)
				}
			})
		}
		wg.Wait()
		is.Equal(served.Load(), int32(50))
		is.Equal(maxBusy[0].Load(), int32(2))
		is.Equal(maxBusy[1].Load(), int32(2))
		w.close(a, b)
	})
}

// Guards against requests that are queued for longer than the route allows or
// after the pool moved to another owner, and against requests to a new version
// that was rolled back.
func TestQueueWaitLimits(t *testing.T) {
	bubble(t, func(w *fixture) {
		is := is.New(w.t)
		a := w.instance("a", "d1")
		w.upstream("u1", "d1", 1, func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) })
		w.upstream("u2", "d1", 1, func(http.ResponseWriter, *http.Request) { t.Error("a version that was rolled back got a request") })
		w.upstreams["d1"][1].Version = "v2"
		w.moves["pool"] = corianderwing.Move{ID: "m", Pool: "pool", From: "v1", To: "v2", Outcome: corianderwing.RolledBack}
		first := make(chan result)
		go func() { first <- w.get("/ws/svc/x") }()
		synctest.Wait()
		start := time.Now()
		g := w.get("/ws/svc/x")
		is.Equal(g.code+g.run, "303no")
		is.True(time.Since(start) >= 500*time.Millisecond && time.Since(start) <= 520*time.Millisecond) // one tick late
		second := make(chan result)
		go func() { second <- w.get("/ws/svc/x") }()
		synctest.Wait()
		w.mu.Lock()
		w.owners["d1"] = corianderwing.Instance{ID: "b"}
		w.mu.Unlock()
		g = <-second
		is.Equal(g.code+g.run, "500no") // the new owner was tried and cannot be reached
		is.Equal((<-first).code, "100") // requests in progress continue
		w.close(a)
		is.Equal(w.records[0].Code, corianderwing.NoCapacity)
	})
}

// Guards against an upstream that keeps working after the caller disconnected,
// and against the loss of its slot.
func TestCallerDisconnects(t *testing.T) {
	bubble(t, func(w *fixture) {
		is := is.New(w.t)
		a, b := w.instance("a", "d1"), w.instance("b", "d1")
		ended := make(chan bool, 2)
		w.upstream("u1", "d1", 1, func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				<-r.Context().Done()
				ended <- true
			}
		})
		for _, addr := range []string{"a:public", "b:public"} {
			c, err := w.dial(context.Background(), addr)
			is.NoErr(err)
			io.WriteString(c, "GET /ws/svc/slow HTTP/1.1\r\nHost: h\r\nX-Api-Key: good-key\r\n\r\n")
			synctest.Wait()
			start := time.Now()
			c.Close()
			<-ended
			is.Equal(time.Since(start), time.Duration(0))
			is.Equal(w.get("/ws/svc/x").code, "100")
			is.True(time.Since(start) <= 40*time.Millisecond) // the slot is released after a short delay
		}
		w.close(a, b)
	})
}
