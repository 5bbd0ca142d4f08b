package main

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/io/stub"
)

// order sends an order. The same n is the same order.
func (f *processes) order(e place, n int) reply {
	header := map[string]string{"X-Api-Key": shopKey, "Idempotency-Key": fmt.Sprintf("order-%d", n)}
	return f.send(e, http.MethodPost, "/shop/goods/orders", header, strings.NewReader(fmt.Sprintf(`{"robe":%d}`, n)))
}

// confirmed sends a request until the entry instance can confirm its keys and settings.
// Until then it refuses every request unrun, for example while a sync of the disk takes
// longer than a lease, and nothing follows about the request.
func confirmed(send func() reply) reply {
	for deadline := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
		r := send()
		refused := r.code == corianderwing.StaleSettings && r.run == corianderwing.NotExecuted
		if !refused || time.Now().After(deadline) {
			return r
		}
	}
}

// confirmedOrder sends an order until the entry instance can confirm its keys and settings.
func (f *processes) confirmedOrder(e place, n int) reply {
	return confirmed(func() reply { return f.order(e, n) })
}

// orderRuns returns how often the upstreams ran each order.
func (f *processes) orderRuns() map[string][]stub.Run {
	f.t.Helper()
	runs := map[string][]stub.Run{}
	for _, r := range f.ran("/orders") {
		runs[r.Order] = append(runs[r.Order], r)
	}
	return runs
}

// Guards against an order that runs twice, or whose outcome is misreported,
// when the entry instance that took it is killed and it is sent again through
// another, and against a resent order that gets another answer than its first.
func TestOrderAcrossKill(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newProcesses(t)
	f.startAll()
	f.ready()
	const before, n = 4, 24 // orders that are done, and all orders
	first := make([]reply, n)
	for i := range before {
		first[i] = f.confirmedOrder(f.Entries[0], i)
		is.Equal(first[i].code, corianderwing.OK)
	}
	f.slow("/orders", 200) // 1 s: more orders than slots, so some run and some wait
	var wg sync.WaitGroup
	for i := before; i < n; i++ {
		wg.Go(func() { first[i] = f.confirmedOrder(f.Entries[0], i) })
	}
	f.eventually("orders run", func() bool { return len(f.orderRuns()) > before })
	f.kill("e1")
	wg.Wait()

	codes := map[corianderwing.Code]int{}
	twice := make([]reply, n)
	for i := range n {
		wg.Go(func() { twice[i] = f.confirmedOrder(f.Entries[1+i%3], i) })
	}
	wg.Wait()
	runs := f.orderRuns()
	for i, r := range twice {
		is.NoErr(r.err)
		codes[r.code]++
		ran := runs[fmt.Sprintf("order-%d", i)]
		if len(ran) > 1 {
			t.Errorf("order %d ran %d times: %+v", i, len(ran), ran)
		}
		checkOrder(t, i, r, ran)
		if first[i].code == corianderwing.OK && (r.code != corianderwing.ReplayedResponse || !bytes.Equal(r.body, first[i].body)) {
			t.Errorf("order %d was answered %s, then code %d %s", i, first[i].body, r.code, r.body)
		}
	}
	again := 0
	for i, r := range twice {
		if r.code != corianderwing.OK && r.code != corianderwing.ReplayedResponse {
			continue
		}
		last := f.confirmedOrder(f.Entries[1+(i+1)%3], i)
		is.Equal(last.code, corianderwing.ReplayedResponse)
		is.Equal(last.body, r.body)
		again++
	}
	is.True(again >= before)
	f.eventually("no order runs any more", func() bool {
		return !slices.ContainsFunc(f.ran("/orders"), func(r stub.Run) bool { return r.State == stub.Running })
	})
	for key, ran := range f.orderRuns() {
		if len(ran) > 1 {
			t.Errorf("%s ran %d times", key, len(ran))
		}
	}
	t.Logf("%d of %d orders ran; codes of the second sending: %v; %d first answers", len(runs), n, codes, again)
}

// checkOrder compares the answer to an order with the upstreams' runs of it.
func checkOrder(t *testing.T, i int, r reply, ran []stub.Run) {
	t.Helper()
	switch {
	case r.code == corianderwing.OK || r.code == corianderwing.ReplayedResponse:
		if len(ran) != 1 || ran[0].State != stub.Done {
			t.Errorf("order %d succeeded with code %d and runs %+v", i, r.code, ran)
		}
	case r.run == corianderwing.NotExecuted && len(ran) != 0:
		t.Errorf("order %d was called not run with code %d, and ran: %+v", i, r.code, ran)
	case r.run == corianderwing.Executed:
		t.Errorf("order %d has no answer although it is known to have run: code %d", i, r.code)
	}
}
