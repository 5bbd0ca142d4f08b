package admin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"corianderwing"
)

// maxEventSize is the maximum size of an event, in bytes. The largest event
// holds the settings of a change, so the limit exceeds maxBody.
const maxEventSize = 2 * maxBody

// Watch calls f with the events of a group after a revision until ctx ends or
// f fails. If after is nil, the first event is a snapshot of the current
// revision. When an instance fails or stops responding, Watch resumes on the
// next one after the last event passed to f.
func (c *Client) Watch(ctx context.Context, g corianderwing.GroupID, after *corianderwing.Revision, f func(Event) error) error {
	w := watcher{client: c, group: g, after: after, f: f}
	for {
		err := c.retry(ctx, func(addr string) error { return w.readStream(ctx, addr) })
		if w.callbackErr != nil {
			return w.callbackErr
		}
		if err != nil {
			return err
		}
	}
}

// watcher is the state of a Watch across reconnects.
type watcher struct {
	client      *Client
	group       corianderwing.GroupID
	after       *corianderwing.Revision
	f           func(Event) error
	callbackErr error // returned by f
}

// errStreamEnded is returned if an instance closes a watch without a new event.
var errStreamEnded = errors.New("the control instance closed the watch")

// readStream reads one connection to its end. It returns nil if it received a
// new event, so that the next attempt starts with the same instance.
func (w *watcher) readStream(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A healthy instance sends a line at least every keepAliveInterval.
	idleTimer := time.AfterFunc(3*keepAliveInterval, cancel)
	defer idleTimer.Stop()
	query := url.Values{}
	if w.group != "" {
		query.Set("group", string(w.group))
	}
	if w.after != nil {
		query.Set("after", strconv.FormatUint(uint64(*w.after), 10))
	}
	res, err := w.client.send(ctx, addr, operation{method: http.MethodGet, path: "/v1/watch", query: query}, nil)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(io.LimitReader(res.Body, maxBody))
		return responseError(addr, res.Status, data)
	}
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, maxEventSize)
	progressed := false
	for lines.Scan() {
		idleTimer.Reset(3 * keepAliveInterval)
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		isNew, err := w.handleEvent(lines.Bytes())
		if err != nil || w.callbackErr != nil {
			return err
		}
		progressed = progressed || isNew
	}
	if progressed {
		return nil
	}
	return errStreamEnded
}

// handleEvent passes an event to f unless f has received its revision. Events
// repeat after a reconnect to an instance that lags behind.
func (w *watcher) handleEvent(data []byte) (isNew bool, err error) {
	var e Event
	if err := json.Unmarshal(data, &e); err != nil {
		return false, fmt.Errorf("decoding an event: %w", err)
	}
	if w.after != nil && e.Revision <= *w.after {
		return false, nil
	}
	if w.callbackErr = w.f(e); w.callbackErr != nil {
		return false, nil
	}
	w.after = &e.Revision
	return true, nil
}
