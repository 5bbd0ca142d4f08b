package accept

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"corianderwing/core/budget"
	"corianderwing/internal/pipes"
	"corianderwing/io/meter"
)

// dial connects to a server in memory.
func dial(l *pipes.Listener) net.Conn {
	c, err := l.Dial(context.Background())
	if err != nil {
		panic(err)
	}
	return c
}

// serveGuarded serves h in virtual time while f runs. Then nothing may be in use.
func serveGuarded(t *testing.T, limits budget.Limits, class budget.Class, h http.HandlerFunc, f func(*is.I, *Guard, *pipes.Listener)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := NewGuard(limits, &log.Logger{Level: log.PanicLevel}, meter.New())
		l := pipes.Listen()
		s := &http.Server{Handler: g.Handler(h), ConnContext: ConnContext, ConnState: ConnState}
		go s.Serve(g.Wrap(l, class))
		f(is, g, l)
		s.Close()
		time.Sleep(time.Minute) // the clients end
		g.Close()
		is.Equal(g.Usage(), budget.Usage{})
	})
}

const bodySize = 20_000

// keepBody keeps the body of a request while it arrives.
func keepBody(w http.ResponseWriter, r *http.Request) {
	if !Reserve(r.Context(), bodySize) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if n, _ := io.Copy(io.Discard, r.Body); n == bodySize {
		io.WriteString(w, "done")
	}
}

// post sends a request with a body in parts, one in a second, and returns the status of
// the response; 0 if the connection ended.
func post(c net.Conn, parts, size int) int {
	defer c.Close()
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", bodySize)
	go func() {
		for range parts {
			c.Write(make([]byte, size))
			time.Sleep(time.Second)
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// Guards against bodies that stop just short of their end and hold all memory: they
// give way to an ordinary client, and a slow one that goes on sending is served too.
func TestStalledBodiesGiveWay(t *testing.T) {
	limits := budget.Limits{Memory: 100 * budget.ConnCost, Held: 5 * bodySize, Conns: 80}
	serveGuarded(t, limits, budget.Callers, keepBody, func(is *is.I, g *Guard, l *pipes.Listener) {
		var wg sync.WaitGroup
		wg.Go(func() { is.Equal(post(dial(l), 10, bodySize/10), http.StatusOK) })
		time.Sleep(time.Second / 2)
		for range 30 {
			go post(dial(l), 1, bodySize-1)
		}
		time.Sleep(4 * time.Second)
		is.True(g.Usage().Held <= limits.Held)
		is.Equal(post(dial(l), 1, bodySize), http.StatusOK)
		wg.Wait()
	})
}

// Guards against heads that cost more than their bytes: a legal one is served, and
// charged with its fields.
func TestHeadOfManyFields(t *testing.T) {
	limits := budget.Limits{Memory: 1 << 20, Held: 600 << 10, Conns: 8}
	const fields = 3000
	head := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", fields) + "\r\n"
	h := func(w http.ResponseWriter, r *http.Request) { time.Sleep(10 * time.Second) }
	serveGuarded(t, limits, budget.Callers, h, func(is *is.I, g *Guard, l *pipes.Listener) {
		first, second := dial(l), dial(l)
		io.WriteString(first, head)
		synctest.Wait()
		is.True(g.Usage().Held >= fields*budget.FieldCost-freeHead)
		_, err := io.WriteString(second, head)
		is.True(err != nil) // closed: the first is handled, and does not give way
		resp, err := http.ReadResponse(bufio.NewReader(first), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.NoErr(resp.Body.Close())
	})
}

// Guards against calls of operators that together hold more than the process has: the
// handlers keep their bodies, and build their responses, as a whole.
func TestControlCallsAreCharged(t *testing.T) {
	limits := budget.Limits{Memory: 1 << 20, Held: 512 << 10, Conns: 32}
	for name, request := range map[string]string{
		"body":     "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100001\r\n\r\n" + strings.Repeat("x", 100_000),
		"response": "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			h := func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				w.Write(make([]byte, 200_000))
			}
			serveGuarded(t, limits, budget.Control, h, func(is *is.I, g *Guard, l *pipes.Listener) {
				for range 20 {
					go io.WriteString(dial(l), request)
				}
				synctest.Wait()
				u := g.Usage()
				is.True(u.Held <= limits.Held && u.Conns < 20)
			})
		})
	}
}

// Guards against closing connections whose clients are calm, and against a bound that is
// exceeded: the one that is idle for the longest time is closed for a new one.
func TestConnsAreBounded(t *testing.T) {
	limits := budget.Limits{Memory: 1 << 20, Held: 512 << 10, Conns: 4}
	serveGuarded(t, limits, budget.Callers, echoPath, func(is *is.I, g *Guard, l *pipes.Listener) {
		var list []net.Conn
		for i := range 6 {
			c := dial(l)
			list = append(list, c)
			go io.WriteString(c, request(i))
			readPath(t, bufio.NewReader(c))
			time.Sleep(2 * time.Second)
		}
		is.Equal(int(g.Usage().Conns), 4)
		for i, c := range list {
			c.SetDeadline(time.Now().Add(time.Second))
			_, err := io.WriteString(c, request(i))
			is.Equal(err == nil, i >= 2)
		}
	})
}

// Guards against memory that is in use but not charged: the server keeps the head of a
// request until it gives up the rest of a body that the handler did not read.
func TestHeadIsChargedUntilBodyEnds(t *testing.T) {
	limits := budget.Limits{Memory: 1 << 20, Held: 600 << 10, Conns: 8}
	head := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n" + strings.Repeat("a:\r\n", 1000) + "\r\nbegin"
	h := func(http.ResponseWriter, *http.Request) {}
	serveGuarded(t, limits, budget.Callers, h, func(is *is.I, g *Guard, l *pipes.Listener) {
		c := dial(l)
		go io.WriteString(c, head)
		time.Sleep(time.Second)
		is.True(g.Usage().Held >= 1000*budget.FieldCost-freeHead)
		go io.WriteString(c, "s end")
		readPath(t, bufio.NewReader(c))
		synctest.Wait()
		is.Equal(int(g.Usage().Held), 0)
	})
}

// Guards against closing a slow client that takes its response all the time: its bytes
// counted only once a whole part of 32 KiB was written.
func TestBytesCountWhileWriteWaits(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer inner.Close()
	g := NewGuard(budget.Limits{Memory: 1 << 20, Held: 512 << 10, Conns: 2}, &log.Logger{Level: log.PanicLevel}, meter.New())
	defer g.Close()
	client, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer client.Close()
	server, err := g.Wrap(inner, budget.Callers).Accept()
	is.NoErr(err)
	defer server.Close()
	written := make(chan error, 1)
	go func() {
		_, err := server.Write(make([]byte, 64<<20)) // more than the kernel holds
		written <- err
	}()
	for end := time.Now().Add(time.Minute); server.(*conn).account.Moved() == 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end))
	}
	select {
	case err := <-written:
		t.Fatalf("the write has ended: %v", err)
	default:
	}
	client.Close()
	is.True(<-written != nil)
}
