package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

func orderRequest(key, body string) string {
	return fmt.Sprintf("POST /ws/order/x HTTP/1.1\nHost: h\nX-Api-Key: good-key\nIdempotency-Key: %s\nContent-Length: %d\n\n%s", key, len(body), body)
}

// Guards against an order that is executed twice, or whose resend gets a
// different response, when it is resent during the first request, after it, or
// through another instance.
func TestOrderRunsOnce(t *testing.T) {
	bubble(t, func(w *fixture) {
		is := is.New(w.t)
		w.route("ws", "order", atMostOnce)
		a, b := w.instance("a", "d1"), w.instance("b", "d1")
		var runs atomic.Int32
		w.upstream("u1", "d1", 4, func(rw http.ResponseWriter, r *http.Request) {
			n := runs.Add(1)
			time.Sleep(time.Second)
			rw.Header().Set("X-Order", fmt.Sprint(n))
			rw.WriteHeader(http.StatusCreated)
			fmt.Fprintf(rw, "order %d", n)
		})
		first := make(chan result)
		go func() { first <- w.send("a:public", orderRequest("k1", "robe")) }()
		synctest.Wait()
		resent := w.send("b:public", orderRequest("k1", "robe")) // waits for the first request
		is.Equal(resent.code+resent.run+resent.body, "101yesorder 1")
		g := <-first
		is.Equal(g.code+g.run+g.body, "100yesorder 1")
		for _, addr := range []string{"a:public", "b:public"} {
			g = w.send(addr, orderRequest("k1", "robe"))
			is.Equal(g.code+g.run+g.body, "101yesorder 1")
			is.Equal(g.status, http.StatusCreated)
			is.Equal(g.header.Get("X-Order"), "1")
			is.Equal(w.send(addr, orderRequest("k1", "gown")).code, "212")
		}
		is.Equal(w.send("a:public", orderRequest("k2", "robe")).body, "order 2")
		is.Equal(w.send("a:public", strings.Replace(orderRequest("k3", ""), "k3", strings.Repeat("k", 300), 1)).code, "209")
		is.Equal(runs.Load(), int32(2))
		w.close(a, b)
	})
}

// Guards against an order that is lost or executed twice when the caller
// disconnects, the upstream fails, or the control group is temporarily
// unavailable.
func TestOrderOutcomes(t *testing.T) {
	bubble(t, func(w *fixture) {
		is := is.New(w.t)
		w.route("ws", "order", atMostOnce)
		a := w.instance("a", "d1")
		var mode atomic.Value
		mode.Store("shed")
		var runs atomic.Int32
		w.upstream("u1", "d1", 4, func(rw http.ResponseWriter, _ *http.Request) {
			if mode.Load() == "shed" {
				rw.Header().Set(hExecution, "no")
				rw.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			runs.Add(1)
			time.Sleep(100 * time.Millisecond)
			if mode.Load() == "fail" {
				panic(http.ErrAbortHandler)
			}
			io.WriteString(rw, "done")
		})
		is.Equal(w.send("a:public", orderRequest("k1", "")).run, "no")
		mode.Store("good")
		is.Equal(w.send("a:public", orderRequest("k1", "")).code, "100") // an order that was shed may be sent again

		c, err := w.dial(context.Background(), "a:public")
		is.NoErr(err)
		io.WriteString(c, strings.ReplaceAll(orderRequest("k2", ""), "\n", "\r\n"))
		synctest.Wait()
		c.Close() // the caller disconnects while the order is executed
		time.Sleep(time.Second)
		is.Equal(w.send("a:public", orderRequest("k2", "")).body, "done")

		mode.Store("fail")
		g := w.send("a:public", orderRequest("k3", ""))
		is.Equal(g.code+g.run, "501unknown")
		mode.Store("good")
		is.Equal(w.send("a:public", orderRequest("k3", "")).code, "404") // may have been executed

		w.failProposals(1<<30, "")
		g = w.send("a:public", orderRequest("k4", ""))
		is.Equal(g.code+g.run, "403unknown") // an earlier request with the key may have been executed
		w.failProposals(0, "")
		time.Sleep(time.Second) // the claim is released in the background
		is.Equal(w.send("a:public", orderRequest("k4", "")).code, "100")
		is.Equal(runs.Load(), int32(4))
		w.close(a)
	})
}

// Guards against an order's response that is lost because it could not be
// stored immediately: the caller must get it at the deadline, and a later
// resend must get the stored one.
func TestOrderOutcomeStoredLater(t *testing.T) {
	bubble(t, func(w *fixture) {
		is := is.New(w.t)
		w.route("ws", "order", atMostOnce)
		a := w.instance("a", "d1")
		w.upstream("u1", "d1", 4, func(rw http.ResponseWriter, _ *http.Request) {
			w.failProposals(20, corianderwing.ResolveOrder) // 4 s of attempts, longer than the deadline
			io.WriteString(rw, "done")
		})
		start := time.Now()
		g := w.send("a:public", orderRequest("k1", ""))
		is.Equal(g.code+g.body, "100done")
		is.Equal(time.Since(start), 2*time.Second)
		is.Equal(w.send("a:public", orderRequest("k1", "")).code, "404")
		time.Sleep(5 * time.Second)
		is.Equal(w.send("a:public", orderRequest("k1", "")).body, "done")
		w.close(a)
		is.Equal(w.orders["ws/k1"].State, corianderwing.OrderDone)
	})
}
