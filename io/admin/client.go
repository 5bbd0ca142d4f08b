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
	// attemptTimeout bounds one attempt, so that an unresponsive instance does
	// not use up the caller's deadline. It exceeds the duration of a leader
	// election, which takes up to 2 s.
	attemptTimeout = 5 * time.Second
	// minBackoff and maxBackoff bound the delay between rounds over all
	// addresses. It doubles after each round.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Client calls the operators' API. It tries the control addresses in turn,
// round after round, until one responds or ctx is done. All attempts of a change
// carry the same request id, so it is applied once even if a response is lost.
// A Client is safe for concurrent use.
type Client struct {
	addrs     []string
	http      *http.Client
	operator  string
	preferred atomic.Int64 // index of the address that responded last
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithHTTPClient sets the HTTP client.
func WithHTTPClient(c *http.Client) ClientOption { return func(a *Client) { a.http = c } }

// WithOperator sets the operator name recorded with changes.
func WithOperator(name string) ClientOption { return func(a *Client) { a.operator = name } }

// NewClient returns a client for the control instances at addrs, each in the
// form host:port.
func NewClient(addrs []string, options ...ClientOption) (*Client, error) {
	if len(addrs) == 0 {
		return nil, errors.New("no control address given")
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

// setDefaults sets the operator's name and a request id, so that all attempts
// carry the same id.
func (c *Client) setDefaults(change *Change) {
	if change.Request == "" {
		change.Request = NewRequestID()
	}
	if change.Operator == "" {
		change.Operator = c.operator
	}
}

// operation is an API call. Every attempt sends it unchanged.
type operation struct {
	method string
	path   string
	query  url.Values
	body   any
}

// do retries an operation until an instance gives a final response, and decodes
// the response.
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
		return res, fmt.Errorf("decoding the response to %s %s: %w", op.method, op.path, err)
	}
	return res, nil
}

// retry calls f with each address in turn until it succeeds, fails with a final
// error, or ctx is done. It starts with the address that responded last.
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

// unavailableError returns the last error if it has a code, which the command
// line needs for its exit status.
func unavailableError(ctx context.Context, last error) error {
	var e *corianderwing.Error
	if errors.As(last, &e) {
		return e
	}
	return fmt.Errorf("no control instance responded (%w): %w", ctx.Err(), last)
}

// isFinal reports whether an error must not be retried, because every instance
// would return it at any time. Errors without a code are network errors.
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
		return nil, fmt.Errorf("reading the response from %s: %w", addr, err)
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
		return nil, fmt.Errorf("creating a request to %s: %w", addr, err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return c.http.Do(req)
}

// responseError decodes the error of a response. A response without a code does
// not come from the API, so the client tries the next instance.
func responseError(addr, status string, data []byte) error {
	var e corianderwing.Error
	if err := json.Unmarshal(data, &e); err != nil || e.Code == 0 {
		return fmt.Errorf("%s responded %s without a result code", addr, status)
	}
	return &e
}
