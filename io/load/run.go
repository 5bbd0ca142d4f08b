package load

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"corianderwing"
	"corianderwing/io/conf"
)

// Option changes a run.
type Option func(*engine)

// WithTransport sends requests through t.
func WithTransport(t http.RoundTripper) Option {
	return func(e *engine) { e.client.Transport = t }
}

// WithProgress calls f about once a second with the number of requests sent.
func WithProgress(f func(sent, planned int)) Option {
	return func(e *engine) { e.progress = f }
}

// engine runs one plan. Each request writes its own element of seen.
type engine struct {
	scenario *Scenario
	cfg      *conf.Config
	client   *http.Client
	progress func(sent, planned int)
	run      string // distinguishes the orders of this run from those of others
	start    time.Time
	plan     []Event
	seen     []seen
	callers  map[place]*caller
	flight   atomic.Int64
	wg       sync.WaitGroup
}

// place is where a caller is.
type place struct {
	load   int
	region corianderwing.RegionID
	entry  int
}

// seen is what became of one planned request.
type seen struct {
	span        // of the first copy
	second span // of the second copy of an order
	first  outcome
	again  outcome // of the second copy
	twice  bool
}

// Run runs a scenario that passed Check. When ctx ends, it stops sending,
// waits for the requests under way, and returns what it has.
func Run(ctx context.Context, s *Scenario, cfg *conf.Config, opts ...Option) (*Result, error) {
	e := &engine{scenario: s, cfg: cfg, callers: map[place]*caller{}, progress: func(int, int) {}}
	e.client = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 512,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}}
	for _, o := range opts {
		o(e)
	}
	plan, err := s.Plan(cfg)
	if err != nil {
		return nil, err
	}
	e.plan = plan
	e.seen = make([]seen, len(plan))
	for i := range s.Loads {
		e.addCallers(i)
	}
	e.start = time.Now()
	e.run = strconv.FormatInt(e.start.UnixNano(), 36)
	sent := e.dispatch(ctx)
	e.wg.Wait()
	e.client.CloseIdleConnections()
	return e.result(sent), nil
}

func (e *engine) addCallers(load int) {
	w := e.scenario.Loads[load].Name
	key, _ := e.cfg.FirstSeedKey(w)
	for _, r := range e.cfg.Regions {
		all := entries(e.cfg, r.Name)
		for i := range all {
			e.callers[place{load, r.Name, i}] = &caller{
				client:    e.client,
				workspace: w,
				key:       key,
				first:     slices.Concat(all[i:], all[:i]),
			}
		}
	}
}

// dispatch starts every request at its planned time and returns how many it
// started.
func (e *engine) dispatch(ctx context.Context) int {
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := time.Second
	for i := range e.plan {
		at := e.plan[i].At
		if at >= next {
			e.progress(i, len(e.plan))
			next += time.Second
		}
		if wait := at - time.Since(e.start); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return i
			}
		} else if ctx.Err() != nil {
			return i
		}
		e.launch(i)
	}
	return len(e.plan)
}

func (e *engine) launch(i int) {
	e.seen[i].sent = time.Since(e.start)
	if e.flight.Load() >= int64(e.scenario.Flight) {
		e.seen[i].first = outcome{failure: notSent, run: corianderwing.NotExecuted}
		return
	}
	e.flight.Add(1)
	e.wg.Go(func() {
		defer e.flight.Add(-1)
		e.request(i)
	})
}

// request sends one planned request, and an order a second time if planned.
// The context is not that of the run: a stopped run waits for its requests.
func (e *engine) request(i int) {
	event, s := e.plan[i], &e.seen[i]
	c := e.callers[place{event.Load, event.Region, event.Entry}]
	m := e.message(event)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(e.scenario.Timeout)*time.Millisecond)
	defer cancel()
	var copies sync.WaitGroup
	if event.Resend == resendNow {
		s.twice = true
		copies.Go(func() {
			time.Sleep(event.Gap)
			s.second.sent = time.Since(e.start)
			s.again = c.send(ctx, m, 1)
			s.second.done = time.Since(e.start)
		})
	}
	s.first = c.send(ctx, m, 0)
	s.done = time.Since(e.start)
	if event.Resend == resendAfter {
		s.twice = true
		s.second.sent = s.done
		s.again = c.send(ctx, m, 1)
		s.second.done = time.Since(e.start)
	}
	copies.Wait()
}

// message returns the request of an event. Its number in the path makes the
// answer to it unique.
func (e *engine) message(event Event) message {
	load := &e.scenario.Loads[event.Load]
	kind := &load.Mix[event.Kind]
	below := fmt.Sprintf("%s?n=%d", kind.Path, event.Number)
	m := message{
		kind:  kind,
		path:  fmt.Sprintf("/%s/%s%s", load.Name, kind.Service, below),
		below: below,
		body:  strings.Repeat("x", kind.Body),
	}
	if kind.Order {
		m.order = e.order(event.Number)
	}
	return m
}

func (e *engine) order(number int) string { return fmt.Sprintf("%s-%d", e.run, number) }
