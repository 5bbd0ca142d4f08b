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

// ways is one instance's LinkLimiter. A direction without a bucket is full; one
// token is one byte.
type ways struct {
	mu      sync.Mutex
	buckets map[corianderwing.RegionID]*share.Bucket
	closed  bool // refuses bookings, but has tokens for refusals
	asked   int
	booked  corianderwing.Bytes
}

func (l *ways) Reserve(_ context.Context, to corianderwing.RegionID, n corianderwing.Bytes) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked++
	if l.closed || l.buckets[to] == nil {
		return corianderwing.Errorf(corianderwing.LinkFull, "test")
	}
	l.booked += n
	return nil
}

func (l *ways) Release(_ corianderwing.RegionID, n corianderwing.Bytes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.booked -= n
}

func (l *ways) Acquire(ctx context.Context, to corianderwing.RegionID, n corianderwing.Bytes) (corianderwing.Bytes, error) {
	for {
		now := time.Now()
		b := l.buckets[to]
		if part := min(corianderwing.Tokens(n), b.Level(now)); part > 0 && b.Take(now, part) {
			return corianderwing.Bytes(part), nil
		}
		if err := pause(ctx, time.Millisecond); err != nil {
			return 0, err
		}
	}
}

const (
	wayRate  = 200_000 // bytes/s
	wayBurst = 20_000
)

// open returns a LinkLimiter with full buckets to some regions.
func open(to ...corianderwing.RegionID) *ways {
	l := &ways{buckets: map[corianderwing.RegionID]*share.Bucket{}}
	for _, r := range to {
		l.buckets[r] = share.NewBucket(share.Limit{Rate: wayRate, Burst: wayBurst}, time.Now().Add(-time.Minute))
	}
	return l
}

// spread starts instances a, b and c in regions of their own. The pool has
// upstreams at b and c, which count what they run.
func (w *world) spread(a, b, c *ways) (list []*Server, ran func() map[string]int) {
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

// Guards against requests that are sent over a full link, or refused although
// another region can be reached.
func TestFullLinkIsSkipped(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(t)
		a, b, c := open("z"), open("x"), open("x")
		list, ran := w.spread(a, b, c)
		for range 5 {
			is.Equal(w.get("/ws/svc/p").code, "100")
		}
		is.Equal(ran(), map[string]int{"c": 5})
		is.Equal(b.asked, 0) // nothing was handed over to region y
		is.Equal(a.booked+c.booked, corianderwing.Bytes(0))
		w.close(list...)
	})
}

// Guards against answers over a full link: the owner refuses before the
// request runs, and the region is not asked again at once.
func TestFullLinkBackIsSkipped(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(t)
		b, c := open("x"), open("x")
		b.closed = true
		list, ran := w.spread(open("y", "z"), b, c)
		sent := 0
		for b.asked == 0 && sent < 100 { // which region is tried first is random
			is.Equal(w.get("/ws/svc/p").code, "100")
			sent++
		}
		for range 5 {
			is.Equal(w.get("/ws/svc/p").code, "100")
			sent++
		}
		is.Equal(ran(), map[string]int{"c": sent})
		is.Equal(b.asked, 1)
		time.Sleep(fullFor)
		b.closed, c.closed = false, true
		is.Equal(w.get("/ws/svc/p").code, "100")
		is.Equal(ran(), map[string]int{"b": 1, "c": sent}) // region y is asked again
		w.close(list...)
	})
}

// Guards against a refusal that is not true, or has another code.
func TestAllLinksFull(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(t)
		w.route("ws", "orders", func(e *corianderwing.EffectiveSettings) { e.AtMostOnce = true })
		list, ran := w.spread(open(), open("x"), open("x"))
		g := w.get("/ws/svc/p")
		is.Equal(g.code, "304")
		is.Equal(g.run, "no")
		o := w.ask("a:public", "POST /ws/orders/p HTTP/1.1\nHost: h\nX-Api-Key: good-key\nIdempotency-Key: k\nContent-Length: 2\n\nhi")
		is.Equal(o.code, "304")
		is.Equal(o.run, "no")
		is.Equal(len(ran()), 0)
		is.Equal(w.orders["ws/k"].State, corianderwing.OrderFree) // the order may be sent again
		w.close(list...)
	})
}

// tap counts the bytes that arrive over connections to inner listeners and
// judges them by a token bucket.
type tap struct {
	mu    sync.Mutex
	at    time.Time
	level float64
	total int
	over  float64 // bytes beyond rate and burst
}

func (p *tap) add(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.level = min(wayBurst, p.level+wayRate*now.Sub(p.at).Seconds()) - float64(n)
	p.at = now
	p.total += n
	p.over = max(p.over, -p.level)
}

type tapped struct {
	net.Conn
	read, write *tap
}

func (c *tapped) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.add(n)
	return n, err
}

func (c *tapped) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.write.add(n)
	return n, err
}

// Guards against bytes of long requests and answers that are sent without
// tokens. What crosses is counted on the connection, with headers.
func TestLongBodiesAreWithinTheCap(t *testing.T) {
	for _, paced := range []bool{true, false} {
		bubble(t, func(w *world) {
			is := is.New(t)
			w.regions = map[string]corianderwing.RegionID{"d1": "x", "d2": "y"}
			if paced {
				w.links = map[string]corianderwing.LinkLimiter{"a": open("y"), "b": open("x")}
			}
			w.route("ws", "svc", func(e *corianderwing.EffectiveSettings) { e.Timeout = 60_000 })
			there, back := &tap{}, &tap{}
			a := w.instance("a", "d1", WithDial(func(ctx context.Context, addr string) (net.Conn, error) {
				c, err := w.dial(ctx, addr)
				if addr == "b:inner" && err == nil {
					c = &tapped{Conn: c, read: back, write: there}
				}
				return c, err
			}))
			b := w.instance("b", "d2")
			answer := strings.Repeat("y", 300_000)
			w.upstream("up", "d2", 4, func(rw http.ResponseWriter, r *http.Request) { rw.Write([]byte(answer)) })
			head := "POST /ws/svc/p HTTP/1.1\nHost: h\nX-Api-Key: good-key\n"
			var wg sync.WaitGroup
			for _, body := range []string{
				"Content-Length: 200000\n\n" + strings.Repeat("x", 200_000),
				"Transfer-Encoding: chunked\n\n186a0\r\n" + strings.Repeat("x", 100_000) + "\r\n0\r\n\r\n",
				"Content-Length: 2000\n\n" + strings.Repeat("x", 2000),
			} {
				wg.Go(func() {
					g := w.ask("a:public", head+body)
					is.Equal(g.code, "100")
					is.Equal(len(g.body), len(answer)) // pacing cuts nothing off
				})
			}
			wg.Wait()
			is.True(there.total > 302_000)
			is.True(back.total > 900_000)
			is.Equal(there.over > 0, !paced)
			is.Equal(back.over > 0, !paced)
			w.close(a, b)
			synctest.Wait()
		})
	}
}

// Guards against "not run" for a request that may have run at an earlier
// attempt, when a later one is refused: behind a full link, or because the
// upstream has left.
func TestRefusalAfterAnAttemptThatMayHaveRun(t *testing.T) {
	for _, code := range []string{"304", "402"} {
		bubble(t, func(w *world) {
			w.regions = map[string]corianderwing.RegionID{"d1": "x", "d2": "y"}
			w.links = map[string]corianderwing.LinkLimiter{"a": open(), "b": open()}
			w.route("ws", "svc", func(e *corianderwing.EffectiveSettings) { e.MaxAttempts = 9 })
			ran := 0
			w.raw("up-a", "d1", 1, func(_ net.Conn, br *bufio.Reader) {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				ran++
				if code == "402" {
					w.mu.Lock()
					clear(w.ups)
					w.mu.Unlock()
					time.Sleep(300 * time.Millisecond) // until the instance has seen it
				}
			})
			opt := WithRetry(retry.Config{Burst: 1})
			list := []*Server{w.instance("a", "d1", opt), w.instance("b", "d2", opt)}
			if code == "304" {
				w.announce("up-b", "d2", 4)
			}
			g := w.get("/ws/svc/p")
			if ran == 0 || g.code != code || g.run != "unknown" {
				t.Errorf("the request ran %d times, and the refusal %s, not %s, says %q", ran, g.code, code, g.run)
			}
			w.close(list...)
		})
	}
}
