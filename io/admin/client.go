package admin

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"corianderwing"
)

const (
	// attemptTimeout bounds one try, so that a silent instance does not use up the
	// caller's time. It exceeds an election, which takes up to 2 s.
	attemptTimeout = 5 * time.Second
	// minBackoff and lastPause bound the wait after all addresses have failed
	// once. It doubles from one round to the next.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Client calls the operators' API. It tries one control address after the
// other, and again from the first, until one answers or ctx ends. A change is
// sent each time with the same request id, so it is applied once even if an
// answer was lost. A Client is safe for concurrent use.
type Client struct {
	addrs     []string
	http      *http.Client
	operator  string
	preferred atomic.Int64 // index of the address that answered last
}

// ClientOption changes a Client.
type ClientOption func(*Client)

// WithHTTPClient sets the HTTP client to use.
func WithHTTPClient(c *http.Client) ClientOption { return func(a *Client) { a.http = c } }

// WithOperator sets the operator's name that changes carry.
func WithOperator(name string) ClientOption { return func(a *Client) { a.operator = name } }

// NewClient returns a client of the control instances at addrs, each a
// host:port.
func NewClient(addrs []string, options ...ClientOption) (*Client, error) {
	if len(addrs) == 0 {
		return nil, errors.New("no control address is given")
	}
	c := &Client{addrs: slices.Clone(addrs), http: &http.Client{}}
	for _, o := range options {
		o(c)
	}
	return c, nil
}

// NewRequestID returns a new request id for a change.
func NewRequestID() corianderwing.RequestID {
	return corianderwing.RequestID(strings.ToLower(rand.Text()))
}

// setDefaults completes a change with a request id, so that every try carries the
// same one, and the operator's name.
func (c *Client) setDefaults(change *Change) {
	if change.Request == "" {
		change.Request = NewRequestID()
	}
	if change.Operator == "" {
		change.Operator = c.operator
	}
}

// operation is one operation, which is sent unchanged with each try.
type operation struct {
	method string
	path   string
	query  url.Values
	body   any
}

// do sends a call until an instance gives a final answer, and decodes it.
func do[Res any](ctx context.Context, c *Client, op operation) (Res, error) {
	var res Res
	var body []byte
	if op.body != nil {
		data, err := json.Marshal(op.body)
		if err != nil {
			return res, fmt.Errorf("encoding a request: %w", err)
		}
		body = data
	}
	var data []byte
	err := c.retry(ctx, func(addr string) error {
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
		got, err := c.attempt(attemptCtx, addr, op, body)
		data = got
		return err
	})
	if err != nil {
		return res, err
	}
	if err := json.Unmarshal(data, &res); err != nil {
		return res, fmt.Errorf("decoding the answer of %s %s: %w", op.method, op.path, err)
	}
	return res, nil
}

// retry calls f with one address after the other until it succeeds, fails with
// a final error, or ctx ends. It begins with the address that answered last.
func (c *Client) retry(ctx context.Context, f func(addr string) error) error {
	backoff := minBackoff
	first := int(c.preferred.Load())
	for {
		var lastErr error
		for i := range c.addrs {
			idx := (first + i) % len(c.addrs)
			err := f(c.addrs[idx])
			if err == nil || isFinal(err) {
				c.preferred.Store(int64(idx))
				return err
			}
			lastErr = err
			if ctx.Err() != nil {
				return unavailableError(ctx, lastErr)
			}
		}
		select {
		case <-ctx.Done():
			return unavailableError(ctx, lastErr)
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// unavailableError keeps the code of the last failure, if it has one, for the exit
// status of a command.
func unavailableError(ctx context.Context, last error) error {
	var e *corianderwing.Error
	if errors.As(last, &e) {
		return e
	}
	return fmt.Errorf("no control instance answered (%w): %w", ctx.Err(), last)
}

// isFinal reports whether another instance, or the same one later, would give
// the same answer. Errors without a code come from the network.
func isFinal(err error) bool {
	var e *corianderwing.Error
	if !errors.As(err, &e) {
		return false
	}
	switch e.Code {
	case corianderwing.NoLeader, corianderwing.NoQuorum, corianderwing.StaleSettings, corianderwing.Stopping:
		return false
	}
	return true
}

func (c *Client) attempt(ctx context.Context, addr string, op operation, body []byte) ([]byte, error) {
	res, err := c.send(ctx, addr, op, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, fmt.Errorf("reading the answer of %s: %w", addr, err)
	}
	if res.StatusCode != http.StatusOK {
		return nil, responseError(addr, res.Status, data)
	}
	return data, nil
}

func (c *Client) send(ctx context.Context, addr string, op operation, body []byte) (*http.Response, error) {
	u := url.URL{Scheme: "http", Host: addr, Path: op.path, RawQuery: op.query.Encode()}
	req, err := http.NewRequestWithContext(ctx, op.method, u.String(), bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("making a request for %s: %w", addr, err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return c.http.Do(req)
}

// responseError returns the error in an answer. An answer without one does not come
// from the API, so the next instance is tried.
func responseError(addr, status string, data []byte) error {
	var e corianderwing.Error
	if err := json.Unmarshal(data, &e); err != nil || e.Code == 0 {
		return fmt.Errorf("%s answered %s without a result code", addr, status)
	}
	return &e
}
