package demo

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"corianderwing"
)

// counter counts answers for the live view.
type counter struct {
	next http.RoundTripper

	mu         sync.Mutex
	codes      map[string]int
	workspaces map[string]*tally
}

// tally is what the callers of one workspace saw since the last look.
type tally struct {
	served  int
	refused int
	first   *hdrhistogram.Histogram // time to the first byte of served answers, us
}

// longest is the longest time that the live view tells apart.
const longest = 10 * time.Second

func newCounter(next http.RoundTripper) *counter {
	return &counter{next: next, codes: map[string]int{}, workspaces: map[string]*tally{}}
}

// RoundTrip implements http.RoundTripper.
func (c *counter) RoundTrip(r *http.Request) (*http.Response, error) {
	start := time.Now()
	resp, err := c.next.RoundTrip(r)
	took := time.Since(start)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.codes["noanswer"]++
		return resp, err
	}
	if code := resp.Header.Get("Cw-Code"); code != "" {
		c.codes[code]++
		c.count(r.URL.Path, resp.StatusCode, took)
	}
	return resp, err
}

func (c *counter) count(path string, status int, took time.Duration) {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	t := c.workspaces[name]
	if t == nil {
		t = &tally{first: hdrhistogram.New(1, longest.Microseconds(), 2)}
		c.workspaces[name] = t
	}
	if status >= http.StatusBadRequest {
		t.refused++
		return
	}
	t.served++
	// A value beyond the longest time is left out of the live view only.
	_ = t.first.RecordValue(took.Microseconds())
}

// takeCodes returns the counts by code since the last call.
func (c *counter) takeCodes() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	codes := c.codes
	c.codes = map[string]int{}
	return codes
}

// takeWorkspaces returns the counts by workspace since the last call.
func (c *counter) takeWorkspaces() map[string]*tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.workspaces
	c.workspaces = map[string]*tally{}
	return all
}

// prober sends requests with one key all the time, over every entry instance,
// and notes when the last one was served.
type prober struct {
	client *http.Client
	key    string
	path   string
	last   atomic.Int64 // unix nanoseconds of the start of the last served request
	served atomic.Int64
}

const probeEvery = 10 * time.Millisecond

func (p *prober) run(ctx context.Context, f *fleet) {
	var addrs []string
	for _, d := range f.cfg.Domains {
		addrs = append(addrs, f.entries(d.Name)...)
	}
	tick := time.NewTicker(probeEvery)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			wg.Go(func() { p.once(ctx, addrs[n%len(addrs)]) })
		}
	}
}

func (p *prober) once(ctx context.Context, addr string) {
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+p.path, nil)
	if err != nil {
		return
	}
	req.Header.Set("X-Api-Key", p.key)
	resp, err := p.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return
	}
	p.served.Add(1)
	for {
		last := p.last.Load()
		if start.UnixNano() <= last || p.last.CompareAndSwap(last, start.UnixNano()) {
			return
		}
	}
}

// latestRun returns when an upstream last started a request, and how many
// requests it started after the given time.
func (f *fleet) latestRun(id corianderwing.UpstreamID, after time.Time) (last time.Time, late int) {
	ran := f.stubs[id].Ran(1_000_000)
	for _, r := range ran.Runs {
		if r.Start.After(last) {
			last = r.Start
		}
		if r.Start.After(after) {
			late++
		}
	}
	return last, late
}
