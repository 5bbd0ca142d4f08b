package entry

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/retry"
	"corianderwing/core/share"
)

// fakeLinks is the LinkLimiter of one instance. A link without a bucket is
// full. One token is one byte.
type fakeLinks struct {
	mu           sync.Mutex
	buckets      map[corianderwing.RegionID]*share.Bucket
	rejecting    bool // rejects reservations, but still grants tokens for error responses
	reservations int
	reserved     corianderwing.Bytes
}

func (l *fakeLinks) Reserve(_ context.Context, to corianderwing.RegionID, n corianderwing.Bytes) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reservations++
	if l.rejecting || l.buckets[to] == nil {
		return corianderwing.Errorf(corianderwing.LinkFull, "test")
	}
	l.reserved += n
	return nil
}

func (l *fakeLinks) Release(_ corianderwing.RegionID, n corianderwing.Bytes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserved -= n
}

func (l *fakeLinks) Acquire(ctx context.Context, to corianderwing.RegionID, n corianderwing.Bytes) (corianderwing.Bytes, error) {
	for {
		now := time.Now()
		b := l.buckets[to]
		if part := min(corianderwing.Tokens(n), b.Level(now)); part > 0 && b.Take(now, part) {
			return corianderwing.Bytes(part), nil
		}
		if err := sleep(ctx, time.Millisecond); err != nil {
			return 0, err
		}
	}
}

const (
	linkRate  = 200_000 // bytes/s
	linkBurst = 20_000
)

// newFakeLinks returns a LinkLimiter with full token buckets for some regions.
func newFakeLinks(to ...corianderwing.RegionID) *fakeLinks {
	l := &fakeLinks{buckets: map[corianderwing.RegionID]*share.Bucket{}}
	for _, r := range to {
		l.buckets[r] = share.NewBucket(share.Limit{Rate: linkRate, Burst: linkBurst}, time.Now().Add(-time.Minute))
	}
	return l
}

// startRegions starts instances a, b and c in different regions. The pool has
// upstreams at b and c, which count the requests that they execute.
func (w *fixture) startRegions(a, b, c *fakeLinks) (list []*Server, ran func() map[string]int) {
	w.regions = map[string]corianderwing.RegionID{"d1": "x", "d2": "y", "d3": "z"}
	w.links = map[string]corianderwing.LinkLimiter{"a": a, "b": b, "c": c}
	count := map[string]int{}
	for _, id := range []string{"a", "b", "c"} {
		d := map[string]string{"a": "d1", "b": "d2", "c": "d3"}[id]
		list = append(list, w.instance(id, d))
		if id != "a" {
			w.upstream("up-"+id, d, 4, func(rw http.ResponseWriter, r *http.Request) {
				w.mu.Lock()
				defer w.mu.Unlock()
				count[id]++
			})
		}
	}
	return list, func() map[string]int {
		w.mu.Lock()
		defer w.mu.Unlock()
		return count
	}
}

// Guards against requests that are sent over a full link, or rejected although
// another region can be reached.
func TestFullLinkIsSkipped(t *testing.T) {
	bubble(t, func(w *fixture) {
		is := is.New(t)
		a, b, c := newFakeLinks("z"), newFakeLinks("x"), newFakeLinks("x")
		list, ran := w.startRegions(a, b, c)
		for range 5 {
			is.Equal(w.get("/ws/svc/p").code, "100")
		}
		is.Equal(ran(), map[string]int{"c": 5})
		is.Equal(b.reservations, 0) // nothing was forwarded to region y
		is.Equal(a.reserved+c.reserved, corianderwing.Bytes(0))
		w.close(list...)
	})
}

// Guards against responses over a full link: the owner must reject the request
// before it is executed, and the region must not be tried again immediately.
func TestFullLinkBackIsSkipped(t *testing.T) {
	bubble(t, func(w *fixture) {
		is := is.New(t)
		b, c := newFakeLinks("x"), newFakeLinks("x")
		b.rejecting = true
		list, ran := w.startRegions(newFakeLinks("y", "z"), b, c)
		sent := 0
		for b.reservations == 0 && sent < 100 { // which region is tried first is random
			is.Equal(w.get("/ws/svc/p").code, "100")
			sent++
		}
		for range 5 {
			is.Equal(w.get("/ws/svc/p").code, "100")
			sent++
		}
		is.Equal(ran(), map[string]int{"c": sent})
		is.Equal(b.reservations, 1)
		time.Sleep(linkFullTTL)
		b.rejecting, c.rejecting = false, true
		is.Equal(w.get("/ws/svc/p").code, "100")
		is.Equal(ran(), map[string]int{"b": 1, "c": sent}) // region y is tried again
		w.close(list...)
	})
}

// Guards against a wrong code or execution state when all links are full.
func TestAllLinksFull(t *testing.T) {
	bubble(t, func(w *fixture) {
		is := is.New(t)
		w.route("ws", "orders", func(e *corianderwing.EffectiveSettings) { e.AtMostOnce = true })
		list, ran := w.startRegions(newFakeLinks(), newFakeLinks("x"), newFakeLinks("x"))
		g := w.get("/ws/svc/p")
		is.Equal(g.code, "304")
		is.Equal(g.run, "no")
		o := w.send("a:public", "POST /ws/orders/p HTTP/1.1\nHost: h\nX-Api-Key: good-key\nIdempotency-Key: k\nContent-Length: 2\n\nhi")
		is.Equal(o.code, "304")
		is.Equal(o.run, "no")
		is.Equal(len(ran()), 0)
		is.Equal(w.orders["ws/k"].State, corianderwing.OrderFree) // the order may be sent again
		w.close(list...)
	})
}

// byteCounter counts the bytes on connections to internal listeners and
// compares them with a token bucket.
type byteCounter struct {
	mu     sync.Mutex
	at     time.Time
	level  float64
	total  int
	excess float64 // bytes beyond rate and burst
}

func (p *byteCounter) add(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.level = min(linkBurst, p.level+linkRate*now.Sub(p.at).Seconds()) - float64(n)
	p.at = now
	p.total += n
	p.excess = max(p.excess, -p.level)
}

type countedConn struct {
	net.Conn
	read, write *byteCounter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.add(n)
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.write.add(n)
	return n, err
}

// Guards against bytes of long requests and responses that are sent without
// tokens. The bytes are counted on the connection, including headers.
func TestLinkRateCoversAllBytes(t *testing.T) {
	for _, limited := range []bool{true, false} {
		bubble(t, func(w *fixture) {
			is := is.New(t)
			w.regions = map[string]corianderwing.RegionID{"d1": "x", "d2": "y"}
			if limited {
				w.links = map[string]corianderwing.LinkLimiter{"a": newFakeLinks("y"), "b": newFakeLinks("x")}
			}
			w.route("ws", "svc", func(e *corianderwing.EffectiveSettings) { e.Timeout = 60_000 })
			outbound, inbound := &byteCounter{}, &byteCounter{}
			a := w.instance("a", "d1", WithDial(func(ctx context.Context, addr string) (net.Conn, error) {
				c, err := w.dial(ctx, addr)
				if addr == "b:inner" && err == nil {
					c = &countedConn{Conn: c, read: inbound, write: outbound}
				}
				return c, err
			}))
			b := w.instance("b", "d2")
			responseBody := strings.Repeat("y", 300_000)
			w.upstream("up", "d2", 4, func(rw http.ResponseWriter, r *http.Request) { rw.Write([]byte(responseBody)) })
			head := "POST /ws/svc/p HTTP/1.1\nHost: h\nX-Api-Key: good-key\n"
			var wg sync.WaitGroup
			for _, body := range []string{
				"Content-Length: 200000\n\n" + strings.Repeat("x", 200_000),
				"Transfer-Encoding: chunked\n\n186a0\r\n" + strings.Repeat("x", 100_000) + "\r\n0\r\n\r\n",
				"Content-Length: 2000\n\n" + strings.Repeat("x", 2000),
			} {
				wg.Go(func() {
					g := w.send("a:public", head+body)
					is.Equal(g.code, "100")
					is.Equal(len(g.body), len(responseBody)) // pacing must not truncate the response
				})
			}
			wg.Wait()
			is.True(outbound.total > 302_000)
			is.True(inbound.total > 900_000)
			is.Equal(outbound.excess > 0, !limited)
			is.Equal(inbound.excess > 0, !limited)
			w.close(a, b)
			synctest.Wait()
		})
	}
}

// Guards against "not executed" for a request that may have been executed in an
// earlier attempt, when a later attempt is rejected because the link is full or
// the upstream has left.
func TestRejectionAfterUncertainAttempt(t *testing.T) {
	for _, code := range []string{"304", "402"} {
		bubble(t, func(w *fixture) {
			w.regions = map[string]corianderwing.RegionID{"d1": "x", "d2": "y"}
			w.links = map[string]corianderwing.LinkLimiter{"a": newFakeLinks(), "b": newFakeLinks()}
			w.route("ws", "svc", func(e *corianderwing.EffectiveSettings) { e.MaxAttempts = 9 })
			ran := 0
			w.rawUpstream("up-a", "d1", 1, func(_ net.Conn, br *bufio.Reader) {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				ran++
				if code == "402" {
					w.mu.Lock()
					clear(w.upstreams)
					w.mu.Unlock()
					time.Sleep(300 * time.Millisecond) // until the instance has noticed
				}
			})
			opt := WithRetry(retry.Config{Burst: 1})
			list := []*Server{w.instance("a", "d1", opt), w.instance("b", "d2", opt)}
			if code == "304" {
				w.announce("up-b", "d2", 4)
			}
			g := w.get("/ws/svc/p")
			if ran == 0 || g.code != code || g.run != "unknown" {
				t.Errorf("request was executed %d times; got code %s, want %s; execution %q, want unknown", ran, g.code, code, g.run)
			}
			w.close(list...)
		})
	}
}
