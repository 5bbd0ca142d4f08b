package admin

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"corianderwing"
)

func treeURL(p corianderwing.Path) string {
	if p == (corianderwing.Path{}) {
		return "/v1/tree/"
	}
	return "/v1/tree/" + p.String()
}

func groupQuery(g corianderwing.GroupID) url.Values {
	if g == "" {
		return nil
	}
	return url.Values{"group": {string(g)}}
}

// values encodes the change as the query of a DELETE request.
func (c *Change) values() url.Values {
	v := url.Values{"request": {string(c.Request)}}
	if c.Group != "" {
		v.Set("group", string(c.Group))
	}
	if c.Operator != "" {
		v.Set("operator", c.Operator)
	}
	if c.Base != nil {
		v.Set("base", strconv.FormatUint(uint64(*c.Base), 10))
	}
	return v
}

// Node returns a node of the tree. The group may be empty if the path names a
// workspace or there is only one group.
func (c *Client) Node(ctx context.Context, g corianderwing.GroupID, p corianderwing.Path) (Node, error) {
	return do[Node](ctx, c, operation{method: http.MethodGet, path: treeURL(p), query: groupQuery(g)})
}

// Set creates a node or replaces its settings.
func (c *Client) Set(ctx context.Context, s SetNode) (Accepted, error) {
	c.setDefaults(&s.Change)
	return do[Accepted](ctx, c, operation{method: http.MethodPut, path: treeURL(s.Path), body: s})
}

// Delete removes a node and its descendants.
func (c *Client) Delete(ctx context.Context, d DeleteNode) (Accepted, error) {
	c.setDefaults(&d.Change)
	// The group of a workspace cannot be looked up after the workspace is
	// deleted, so a retry that looks it up again would not reach the stored
	// response. If the workspace does not exist, this may already be a retry:
	// the only group, or the one that the caller names, has the response.
	if d.Group == "" {
		n, err := c.Node(ctx, "", d.Path)
		if err != nil && corianderwing.CodeOf(err) != corianderwing.NotFound {
			return Accepted{}, err
		}
		d.Group = n.Group
	}
	return do[Accepted](ctx, c, operation{method: http.MethodDelete, path: treeURL(d.Path), query: d.values()})
}

// Keys returns the keys of a workspace.
func (c *Client) Keys(ctx context.Context, w corianderwing.WorkspaceID) (KeyList, error) {
	return do[KeyList](ctx, c, operation{method: http.MethodGet, path: "/v1/keys/" + string(w)})
}

// AddKey creates a key for a workspace.
func (c *Client) AddKey(ctx context.Context, k AddKey) (NewKey, error) {
	c.setDefaults(&k.Change)
	return do[NewKey](ctx, c, operation{method: http.MethodPost, path: "/v1/keys/" + string(k.Workspace), body: k})
}

// RevokeKey revokes a key.
func (c *Client) RevokeKey(ctx context.Context, k RevokeKey) (Accepted, error) {
	c.setDefaults(&k.Change)
	path := "/v1/keys/" + string(k.Workspace) + "/" + string(k.ID)
	return do[Accepted](ctx, c, operation{method: http.MethodDelete, path: path, query: k.values()})
}

// Drains returns the drains of a group, or of all groups.
func (c *Client) Drains(ctx context.Context, g corianderwing.GroupID) (DrainList, error) {
	return do[DrainList](ctx, c, operation{method: http.MethodGet, path: "/v1/drains", query: groupQuery(g)})
}

// Drain stops sending new requests to an upstream.
func (c *Client) Drain(ctx context.Context, d SetDrain) (Accepted, error) {
	c.setDefaults(&d.Change)
	return do[Accepted](ctx, c, operation{method: http.MethodPut, path: "/v1/drains/" + string(d.Upstream), body: d})
}

// Undrain ends the drain of an upstream, which then gets new requests again.
func (c *Client) Undrain(ctx context.Context, d EndDrain) (Accepted, error) {
	c.setDefaults(&d.Change)
	if d.Group == "" { // for the same reason as in Delete
		info, err := do[DrainInfo](ctx, c, operation{method: http.MethodGet, path: "/v1/drains/" + string(d.Upstream)})
		if err != nil && corianderwing.CodeOf(err) != corianderwing.NotFound {
			return Accepted{}, err
		}
		d.Group = info.Group
	}
	return do[Accepted](ctx, c, operation{method: http.MethodDelete, path: "/v1/drains/" + string(d.Upstream), query: d.values()})
}

// Moves returns the latest move of each pool of a group, or of all groups.
func (c *Client) Moves(ctx context.Context, g corianderwing.GroupID) (MoveList, error) {
	return do[MoveList](ctx, c, operation{method: http.MethodGet, path: "/v1/moves", query: groupQuery(g)})
}

// Move starts a version move of a pool.
func (c *Client) Move(ctx context.Context, m StartMove) (Accepted, error) {
	c.setDefaults(&m.Change)
	return do[Accepted](ctx, c, operation{method: http.MethodPost, path: "/v1/moves", body: m})
}

// Records returns the records that match a query.
func (c *Client) Records(ctx context.Context, q corianderwing.Query) (RecordList, error) {
	v := url.Values{}
	set := func(name, text string) {
		if text != "" {
			v.Set(name, text)
		}
	}
	set("workspace", string(q.Workspace))
	set("route", string(q.Route))
	set("request", string(q.Request))
	if q.Code != 0 {
		set("code", strconv.Itoa(int(q.Code)))
	}
	if !q.From.IsZero() {
		set("from", q.From.Format(time.RFC3339Nano))
	}
	if !q.To.IsZero() {
		set("to", q.To.Format(time.RFC3339Nano))
	}
	if q.Limit != 0 {
		set("most", strconv.Itoa(q.Limit))
	}
	return do[RecordList](ctx, c, operation{method: http.MethodGet, path: "/v1/records", query: v})
}

// Status returns the state of every group as known to one control instance.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return do[Status](ctx, c, operation{method: http.MethodGet, path: "/v1/status"})
}

// Change returns the commit and confirmation state of a revision.
func (c *Client) Change(ctx context.Context, g corianderwing.GroupID, r corianderwing.Revision) (ChangeState, error) {
	path := "/v1/change/" + strconv.FormatUint(uint64(r), 10)
	return do[ChangeState](ctx, c, operation{method: http.MethodGet, path: path, query: groupQuery(g)})
}

// Await blocks until every instance with an unexpired lease has confirmed a
// revision.
func (c *Client) Await(ctx context.Context, g corianderwing.GroupID, r corianderwing.Revision) error {
	for {
		s, err := c.Change(ctx, g, r)
		if err != nil {
			return err
		}
		if s.Confirmed {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("revision %d of group %s is not yet confirmed by every instance: %w", r, s.Group, ctx.Err())
		case <-time.After(minBackoff):
		}
	}
}
