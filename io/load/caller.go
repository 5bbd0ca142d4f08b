package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"corianderwing"
)

const (
	// maxAnswer bounds what is read of an answer.
	maxAnswer = 16 << 20
	// maxAddresses is how many instances a caller tries for one request.
	maxAddresses = 3
)

// advice is the answer to a lookup.
type advice struct {
	Use   []address `json:"use"`
	Other []address `json:"other"`
	Until time.Time `json:"until"`
}

type address struct {
	Addr string `json:"addr"`
}

// caller is a client of one workspace next to one entry instance. It caches the answer to
// its lookup until that expires, and turns to the alternates when an instance
// does not answer.
type caller struct {
	client    *http.Client
	workspace corianderwing.WorkspaceID
	key       string
	first     []string // instances to ask when nothing is known

	mu      sync.Mutex
	known   []string
	until   time.Time
	pending chan struct{} // closed at the end of the lookup under way
	err     error         // of the latest lookup
}

// lookupAhead is how long before the expiry the next lookup is sent, so that
// requests seldom wait for one.
const lookupAhead = time.Second

// addresses returns the instances to use, best first.
func (c *caller) addresses(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	if c.pending == nil && time.Now().After(c.until.Add(-lookupAhead)) {
		c.pending = make(chan struct{})
		go c.refresh(c.pending)
	}
	if time.Now().Before(c.until) {
		defer c.mu.Unlock()
		return c.known, nil
	}
	pending := c.pending
	c.mu.Unlock()
	select {
	case <-pending:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return nil, c.err
	}
	return c.known, nil
}

// refresh looks up the instances, asking the known ones first.
func (c *caller) refresh(done chan struct{}) {
	c.mu.Lock()
	ask := slices.Concat(c.known, c.first)
	c.mu.Unlock()
	var a advice
	err := errors.New("no entry instances")
	for _, addr := range ask {
		if a, err = c.lookup(addr); err == nil {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
	if err == nil {
		c.known = nil
		for _, one := range slices.Concat(a.Use, a.Other) {
			c.known = append(c.known, one.Addr)
		}
		c.until = a.Until
	}
	c.pending = nil
	close(done)
}

// demote puts an instance that failed last, until the next lookup.
func (c *caller) demote(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.Index(c.known, addr)
	if i < 0 {
		return
	}
	c.known = append(slices.Delete(slices.Clone(c.known), i, i+1), addr)
}

// lookupTimeout bounds one lookup, so that a silent instance does not use up
// the time for its alternates.
const lookupTimeout = 500 * time.Millisecond

func (c *caller) lookup(addr string) (advice, error) {
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	var a advice
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/-/lookup?workspace="+url.QueryEscape(string(c.workspace)), nil)
	if err != nil {
		return a, err
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return a, fmt.Errorf("status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(&a); err != nil {
		return a, err
	}
	if len(a.Use)+len(a.Other) == 0 {
		return a, errors.New("no instances in the answer")
	}
	return a, nil
}

// message is one request as it is sent.
type message struct {
	kind  *Kind
	path  string // as sent
	below string // path below the service, which the upstream sees and repeats
	order string // Idempotency-Key
	body  string
}

// failure names an outcome without a result code.
type failure string

// The failures.
const (
	answered failure = ""
	noAnswer failure = "none"   // no answer, or it ended early
	noCode   failure = "nocode" // an answer without Cw-Code
	foreign  failure = "foreign"
	notSent  failure = "unsent" // too many requests were under way
)

// outcome is the result of one request.
type outcome struct {
	code    corianderwing.Code
	run     corianderwing.Execution
	failure failure
}

// String returns the name under which the outcome is counted.
func (o outcome) String() string {
	if o.failure != answered {
		return string(o.failure)
	}
	return o.code.String()
}

// send sends a message, starting with the skip-th instance of the lookup. It
// goes on to the next instance only if this one surely did not run it, or if
// the message is an order, which cannot run twice.
func (c *caller) send(ctx context.Context, m message, skip int) outcome {
	addrs, err := c.addresses(ctx)
	if err != nil {
		return outcome{failure: noAnswer, run: corianderwing.NotExecuted}
	}
	o := outcome{failure: noAnswer, run: corianderwing.NotExecuted}
	for i := range min(maxAddresses, len(addrs)) {
		var next bool
		addr := addrs[(i+skip)%len(addrs)]
		o, next = c.try(ctx, m, addr)
		if o.failure == noAnswer {
			c.demote(addr)
		}
		if !next || ctx.Err() != nil {
			break
		}
	}
	return o
}

// try sends a message to one instance and reports whether another instance
// may be tried.
func (c *caller) try(ctx context.Context, m message, addr string) (o outcome, next bool) {
	r, err := http.NewRequestWithContext(ctx, m.kind.Method, "http://"+addr+m.path, strings.NewReader(m.body))
	if err != nil {
		return outcome{failure: noAnswer, run: corianderwing.NotExecuted}, false
	}
	r.GetBody = nil // the transport must not send it twice
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	if m.order != "" {
		r.Header.Set("Idempotency-Key", m.order)
	}
	resp, err := c.client.Do(r)
	if err != nil {
		if unsent(err) {
			return outcome{failure: noAnswer, run: corianderwing.NotExecuted}, true
		}
		return outcome{failure: noAnswer, run: corianderwing.ExecutionUnknown}, m.order != ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return outcome{failure: noAnswer, run: corianderwing.ExecutionUnknown}, m.order != ""
	}
	o = read(resp, body, m)
	return o, o.run == corianderwing.NotExecuted && (o.code == corianderwing.StaleSettings || o.code == corianderwing.Stopping)
}

// unsent reports whether no connection was opened.
func unsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// read judges an answer. That of an upstream must be to this very message.
func read(resp *http.Response, body []byte, m message) outcome {
	n, err := strconv.ParseUint(resp.Header.Get("Cw-Code"), 10, 16)
	if err != nil {
		return outcome{failure: noCode, run: corianderwing.ExecutionUnknown}
	}
	o := outcome{code: corianderwing.Code(n), run: corianderwing.Execution(resp.Header.Get("Cw-Run"))}
	if o.code >= 200 || resp.StatusCode >= http.StatusBadRequest || m.kind.Method == http.MethodHead {
		return o
	}
	var echo struct {
		Path  string `json:"path"`
		Order string `json:"order"`
	}
	if json.Unmarshal(body, &echo) != nil || echo.Path != m.below || echo.Order != m.order {
		o.failure = foreign
	}
	return o
}
