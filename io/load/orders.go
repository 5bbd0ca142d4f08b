package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"corianderwing"
	"corianderwing/io/conf"
	"corianderwing/io/stub"
)

// Orders are judged by what the upstreams ran.
type Orders struct {
	Sent    int      `json:"sent"`    // warm-up included
	Resent  int      `json:"resent"`  // sent a second time
	Good    int      `json:"good"`    // the caller got the answer
	Open    int      `json:"open"`    // the caller does not know whether it ran
	Ran     int      `json:"ran"`     // started at an upstream
	Doubled int      `json:"doubled"` // started more than once
	Untrue  int      `json:"untrue"`  // ran although every answer said that it did not
	Missing int      `json:"missing"` // answered as served, and no upstream ran it
	Judged  bool     `json:"judged"`  // whether every upstream's log was read in full
	Which   []string `json:"which,omitempty"`

	answers map[string]answers
}

// answers sums up what the caller of one order was told.
type answers struct {
	good   bool // some answer was the upstream's
	denied bool // every answer said that it did not run
}

// maxWhich bounds the list of orders that something is wrong with.
const maxWhich = 20

// orders sums up what the callers were told.
func (e *engine) orders(sent int) Orders {
	o := Orders{answers: map[string]answers{}}
	for i, event := range e.plan[:sent] {
		if !e.scenario.Loads[event.Load].Mix[event.Kind].Order {
			continue
		}
		s := e.seen[i]
		a := answers{good: s.first.good(), denied: s.first.run == corianderwing.NotExecuted}
		o.Sent++
		if s.twice {
			o.Resent++
			a.good = a.good || s.again.good()
			a.denied = a.denied && s.again.run == corianderwing.NotExecuted
		}
		switch {
		case a.good:
			o.Good++
		case !a.denied:
			o.Open++
		}
		o.answers[e.order(event.Number)] = a
	}
	return o
}

// judge compares the answers with the number of runs of each order.
func (o *Orders) judge(runs map[string]int) {
	o.Judged = true
	for key, a := range o.answers {
		n := runs[key]
		if n > 0 {
			o.Ran++
		}
		switch {
		case n > 1:
			o.Doubled++
		case n > 0 && a.denied:
			o.Untrue++
		case n == 0 && a.good:
			o.Missing++
		default:
			continue
		}
		if len(o.Which) < maxWhich {
			o.Which = append(o.Which, fmt.Sprintf("%s: %d runs", key, n))
		}
	}
}

// Upstreams sums up the logs of the stand-ins. The counts are since the start
// of each stand-in.
type Upstreams struct {
	Asked   int    `json:"asked"`
	Silent  int    `json:"silent"` // did not answer
	Started uint64 `json:"started"`
	Cut     uint64 `json:"cut"`
	Shed    uint64 `json:"shed"`
	Keys    uint64 `json:"keys"` // callers' keys that upstreams saw
	Over    int    `json:"over"` // stand-ins that had more requests at a time than slots
}

// Judge reads the logs of the stand-ins and judges the orders by them. Calls
// should come after the run's requests have ended.
func (r *Result) Judge(ctx context.Context, cfg *conf.Config, client *http.Client) {
	runs := map[string]int{}
	complete := true
	for _, up := range stub.FromSettings(cfg, 0) {
		r.Upstreams.Asked++
		ran, err := readRan(ctx, client, up.Addr)
		if err != nil {
			r.Upstreams.Silent++
			complete = false
			continue
		}
		r.Upstreams.add(ran)
		complete = complete && ran.Lost == 0
		for _, run := range ran.Runs {
			runs[run.Order]++
		}
	}
	r.Orders.judge(runs)
	r.Orders.Judged = complete
}

func (u *Upstreams) add(ran stub.Ran) {
	u.Started += ran.Started
	u.Cut += ran.Cut
	u.Shed += ran.Shed
	u.Keys += ran.Keys
	if ran.Peak > int(ran.Slots) {
		u.Over++
	}
}

// readRan reads the log of the orders that a stand-in ran.
func readRan(ctx context.Context, client *http.Client, addr string) (stub.Ran, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	var ran stub.Ran
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/ran?orders=true&most="+strconv.Itoa(maxRequests), nil)
	if err != nil {
		return ran, err
	}
	resp, err := client.Do(r)
	if err != nil {
		return ran, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return ran, fmt.Errorf("log of %s: status %d", addr, resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, 1<<30)).Decode(&ran)
	return ran, err
}

func (o Orders) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "orders sent=%d resent=%d good=%d open=%d ran=%d doubled=%d untrue=%d missing=%d judged=%t\n",
		o.Sent, o.Resent, o.Good, o.Open, o.Ran, o.Doubled, o.Untrue, o.Missing, o.Judged)
	for _, which := range o.Which {
		fmt.Fprintf(&b, "  %s\n", which)
	}
	return b.String()
}
