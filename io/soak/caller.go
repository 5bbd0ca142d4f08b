package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"corianderwing"
)

const (
	host = "shop.example"
	// callTime is the time limit of a request.
	callTime = 3 * time.Second
	// thinkMost is the longest pause between two requests of a caller.
	thinkMost = 120 * time.Millisecond
	// lookFor is how long a caller uses the answer to a lookup. One in lastingEach,
	// in every failure domain, goes on with its connections until one fails.
	lookFor     = 2 * time.Second
	lastingFor  = time.Minute
	lastingEach = 3
	orderPart   = 0.3
	openPart    = 0.1 // of requests without a key
	objects     = 40
)

// caller sends one request after the other. It keeps its connections open until
// they break.
type caller struct {
	run    *run
	n      int
	domain corianderwing.DomainID
	region corianderwing.RegionID
	rng    *rand.Rand
	client http.Client
	list   []string // public addresses of entry processes
	until  time.Time
	count  int
}

func (c *caller) loop(ctx context.Context) {
	for ctx.Err() == nil {
		c.look(ctx)
		if len(c.list) > 0 {
			w, key := c.run.keys.pick(c.rng)
			c.send(ctx, w, key)
		}
		c.pause(ctx, time.Duration(c.rng.Int64N(int64(thinkMost))))
	}
}

func (c *caller) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// look asks for entry processes when the last answer is too old.
func (c *caller) look(ctx context.Context) {
	now := time.Now()
	if now.Before(c.until) {
		return
	}
	controls := c.run.site.Controls()
	for i := range controls {
		p := controls[(c.n+i)%len(controls)]
		callCtx, cancel := context.WithTimeout(ctx, orderTime/2)
		list, err := c.run.cfg.Wire.Locate(callCtx, p.Lookup(), c.region, c.domain)
		cancel()
		if err == nil && len(list) > 0 {
			c.list, c.until = list, now.Add(lookFor)
			if c.n%lastingEach == 0 {
				c.until = now.Add(lastingFor)
			}
			return
		}
	}
}

// send sends one request and notes its end. It returns the status.
func (c *caller) send(ctx context.Context, w corianderwing.WorkspaceID, key string) int {
	now := time.Now()
	c.count++
	q := Query{
		ID:       corianderwing.RequestID(fmt.Sprintf("c%d-%d", c.n, c.count)),
		Host:     host,
		Path:     fmt.Sprintf("/goods/%d?n=%d", c.rng.IntN(objects), c.count),
		Key:      key,
		Object:   fmt.Sprint(c.rng.IntN(objects)),
		Deadline: now.Add(callTime),
	}
	switch x := c.rng.Float64(); {
	case x < orderPart:
		q.Path = fmt.Sprintf("/orders/%d", c.count)
		q.Body = strings.Repeat(fmt.Sprintf("order %s ", q.ID), 1+c.rng.IntN(200))
	case x < orderPart+openPart:
		q.Path, q.Key, w = fmt.Sprintf("/open/%d", c.count), "", ""
	}
	addr := c.list[c.rng.IntN(len(c.list))]
	return c.try(ctx, addr, q, w)
}

func (c *caller) try(ctx context.Context, addr string, q Query, w corianderwing.WorkspaceID) int {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	r, err := c.run.cfg.Wire.Request(ctx, addr, q)
	if err != nil {
		c.run.ledger.Break(Alive, time.Now(), q.ID, "building a request: %v", err)
		return 0
	}
	// Without it, the client would send a request again by itself.
	r.GetBody = nil
	p := c.run.entryAt(addr)
	if p != nil {
		q.Entry = p.Name
	}
	c.run.ledger.Sent(q, w, time.Now())
	reply := Reply{ID: q.ID}
	resp, err := c.client.Do(r)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		reply.Status, reply.Body = resp.StatusCode, string(body)
		reply.Leaving = c.run.cfg.Wire.AnnouncesLeaving(resp.Header)
	}
	if err != nil {
		reply.Status, reply.Failure = 0, err.Error()
	}
	if p != nil {
		reply.Entry, reply.Stopping = p.Name, p.stopSince()
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		reply.Stopping = time.Time{}
	}
	c.run.ledger.Answered(reply, time.Now())
	if err != nil {
		c.until = time.Time{}
	}
	return reply.Status
}

// newCaller returns a caller of a failure domain.
func newCaller(r *run, n int, d corianderwing.DomainID, rng *rand.Rand) *caller {
	dialer := net.Dialer{Timeout: time.Second}
	return &caller{
		run: r, n: n, domain: d, region: r.site.domains[d], rng: rng,
		client: http.Client{Transport: &http.Transport{
			DialContext:        dialer.DialContext,
			DisableCompression: true,
			IdleConnTimeout:    time.Minute,
		}},
	}
}
