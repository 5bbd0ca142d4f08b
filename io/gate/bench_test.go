package gate

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/budget"
	"corianderwing/core/place"
	"corianderwing/io/accept"
	"corianderwing/io/follow"
	"corianderwing/io/logs"
	"corianderwing/io/meter"
	"corianderwing/io/soak"
	"corianderwing/platform"
)

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		b.Fatal(err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// BenchmarkRequest measures the CPU time of a request on the whole path, including
// caller and upstream, with and without its log line. Without the log line, about
// half of the time is spent in the entry instance.
func BenchmarkRequest(b *testing.B) {
	var client platform.Client
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, err := client.Arrival(r)
		if err != nil {
			return
		}
		client.Answer(w.Header(), a, 1, 100)
		io.WriteString(w, "done")
	}))
	defer upstream.Close()
	for _, level := range []log.Level{log.InfoLevel, log.PanicLevel} {
		b.Run("log="+level.String(), func(b *testing.B) {
			lines := logs.New(io.Discard)
			defer lines.Close(time.Now().Add(time.Second))
			s := newTestServer(newGrantingControl(b, upstream.Listener.Addr().String()), &log.Logger{Level: level, Writer: lines})
			defer s.Close()
			s.NotifyChange()
			guard := accept.NewGuard(budget.LimitsOf(0, 0), quiet, meter.New(), budget.Status)
			defer guard.Close()
			entry := httptest.NewUnstartedServer(guard.Handler(s))
			entry.Listener = guard.Wrap(entry.Listener, budget.Callers)
			entry.Config.ConnContext, entry.Config.ConnState = accept.ConnContext, accept.ConnState
			entry.Start()
			defer entry.Close()
			call := func(i int) {
				r, err := client.Request(b.Context(), entry.Listener.Addr().String(), soak.Query{
					ID: corianderwing.RequestID(fmt.Sprintf("%016x", i)), Host: "shop.example", Path: "/files/1", Key: "k-1",
					Deadline: time.Now().Add(time.Minute),
				})
				if err != nil {
					b.Fatal(err)
				}
				resp, err := http.DefaultClient.Do(r)
				if err != nil {
					b.Fatal(err)
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					b.Fatalf("status %d", resp.StatusCode)
				}
			}
			call(0)
			before, n := cpuTime(b), 0
			for b.Loop() {
				n++
				call(n)
			}
			b.ReportMetric(float64((cpuTime(b)-before).Nanoseconds())/float64(n), "cpu-ns/op")
		})
	}
}

// BenchmarkRecord measures only the log line of a request.
func BenchmarkRecord(b *testing.B) {
	lines := logs.New(io.Discard)
	defer lines.Close(time.Now().Add(time.Second))
	control := newGrantingControl(b, "127.0.0.1:1")
	s := newTestServer(control, &log.Logger{Level: log.InfoLevel, Writer: lines})
	defer s.Close()
	rule, _ := control.view.Items().MatchRule("shop.example", "/files/1")
	owner, _ := control.view.Items().PolicyByKey("k-1")
	v := &exchange{
		s: s, start: time.Now(), caller: corianderwing.CallerRequest{ID: "21f4b6f1a2b48370", Object: "4c"}, view: control.view, rule: rule, policy: owner,
		pool: newPool("files", nil, 0.2), status: 200,
	}
	v.logAttempt(&slot{upstream: control.upstream, source: follow.SlotSource{Domain: "a"}, expected: time.Second, objectKnown: true}, nil, time.Second)
	b.ReportAllocs()
	for b.Loop() {
		v.logRequest()
	}
}

// decide chooses an upstream for a request, up to the first byte that would be
// sent, with or without the checks of what upstreams said of themselves.
func decide(b *testing.B, x *exchange, checked bool) {
	b.Helper()
	wait := x.waitForSlotUnchecked
	if checked {
		wait = x.waitForSlot
	}
	sl, no := wait()
	if no != nil {
		b.Fatal(no.err)
	}
	if err := x.recheckKey(); err != nil {
		b.Fatal(err)
	}
	conns := x.pool.connsTo(sl.upstream)
	sl.exchange, sl.notice = x, conns.notice
	if checked && (x.judgeSlot(sl).Refused() || sl.CheckSend() != nil) {
		b.Fatal("refused")
	}
	x.s.release(sl, nil, place.Outcome{Result: place.Succeeded})
}

// BenchmarkDecision measures the choice of an upstream with the checks of what
// upstreams said of themselves. The metric "ratio" compares it with the choice
// without them, in alternating batches, so that load on the machine hits both.
func BenchmarkDecision(b *testing.B) {
	control := newGrantingControl(b, "127.0.0.1:1")
	s := newTestServer(control, quiet)
	defer s.Close()
	s.NotifyChange()
	for s.pool("files") == nil {
		time.Sleep(time.Millisecond)
	}
	r := httptest.NewRequest(http.MethodGet, "/files/1", nil)
	r.Host = "shop.example"
	r.Header.Set("X-Request-Id", "21f4b6f1a2b48370")
	r.Header.Set("X-Key", "k-1")
	x := &exchange{s: s, r: r, start: time.Now(), ctx: b.Context()}
	x.caller = s.cfg.Dialect.ParseRequest(r, x.start)
	if err := x.admit(); err != nil {
		b.Fatal(err)
	}
	const batch = 50
	b.ReportAllocs()
	var took [2][]time.Duration // unchecked, checked
	for n := 0; b.Loop(); n++ {
		for i := range took {
			i = (i + n) % len(took)
			start := time.Now()
			for range batch {
				decide(b, x, i == 1)
			}
			took[i] = append(took[i], time.Since(start))
		}
	}
	for i := range took {
		slices.Sort(took[i])
	}
	median := len(took[0]) / 2
	b.ReportMetric(float64(took[0][median].Nanoseconds())/batch, "unchecked-ns")
	b.ReportMetric(float64(took[1][median].Nanoseconds())/batch, "checked-ns")
	b.ReportMetric(float64(took[1][median])/float64(took[0][median]), "ratio")
}

// waitForSlotUnchecked is waitForSlot without the exclusion of upstreams.
func (x *exchange) waitForSlotUnchecked() (*slot, *refusal) {
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	defer context.AfterFunc(x.s.slotWaits, cancel)()
	return x.s.acquire(ctx, x.pool, x.placement, time.Now())
}
