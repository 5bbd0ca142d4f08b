package demo

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"corianderwing"
)

// counter counts answers by result code for the live view.
type counter struct {
	next http.RoundTripper

	mu    sync.Mutex
	codes map[string]int
	sum   time.Duration
	count int
}

// RoundTrip implements http.RoundTripper.
func (c *counter) RoundTrip(r *http.Request) (*http.Response, error) {
	start := time.Now()
	resp, err := c.next.RoundTrip(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.codes["noanswer"]++
		return resp, err
	}
	if code := resp.Header.Get("Cw-Code"); code != "" {
		c.codes[code]++
		c.sum += time.Since(start)
		c.count++
	}
	return resp, err
}

// take returns the counts since the last call and the mean time to the first
// byte.
func (c *counter) take() (codes map[string]int, mean time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	codes, c.codes = c.codes, map[string]int{}
	if c.count > 0 {
		mean = c.sum / time.Duration(c.count)
	}
	c.sum, c.count = 0, 0
	return codes, mean
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
