package admin

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"corianderwing"
)

// Guards against unintended changes of responses, a status that does not match
// its code, an error message without the field or its allowed values, and a key
// hash or another group's data in a response. Requests run in order on one fleet.
func TestAPI(t *testing.T) {
	steps := [][3]string{
		{"PUT", "/v1/tree/reef", `{"base": 0, "request": "a1", "settings": {"rate": 50}}`},
		{"PUT", "/v1/tree/reef", `{"group": "north", "base": 0, "request": "a1", "operator": "ann", "settings": {"rate": 50}}`},
		{"PUT", "/v1/tree/reef", `{"group": "north", "base": 0, "request": "a1", "operator": "ann", "settings": {"rate": 50}}`},
		{"PUT", "/v1/tree/reef", `{"base": 0, "request": "a2", "settings": {"rate": 60}}`},
		{"PUT", "/v1/tree/reef", `{"group": "south", "base": 0, "request": "a3", "settings": {}}`},
		{"PUT", "/v1/tree/reef/order-desk", `{"base": 1, "request": "a4", "settings": {"slow": 200}}`},
		{"PUT", "/v1/tree/reef/order-desk/place", `{"base": 2, "request": "a5", "settings": {"once": true, "prefix": "/orders"}}`},
		{"GET", "/v1/tree/reef/order-desk", ``},
		{"GET", "/v1/tree/?group=north", ``},
		{"GET", "/v1/tree/none?group=north&deep=1", ``},
		{"GET", "/v1/tree/none?group=north", ``},
		{"GET", "/v1/tree/reef/a/b/c", ``},
		{"PUT", "/v1/tree/reef", `{"request": "A", "settings": {}}`},
		{"PUT", "/v1/tree/reef", `{"base": 3, "request": "b1"}`},
		{"PUT", "/v1/tree/reef", `{"base": 3, "request": "b1", "settings": {"rate": -1, "tries": 9}}`},
		{"PUT", "/v1/tree/reef", `{"base": 3, "request": "b1", "settings": {"rates": 1}}`},
		{"PUT", "/v1/tree/reef", `{"base": 3, "request": "b1", "settings": {"rate": "1"}}`},
		{"PUT", "/v1/tree/reef", `{"base": 3, "request": "b1", "settings": {"tries": 1.5}}`},
		{"PUT", "/v1/tree/reef", `{"base": 3, "request": "b1", "settings": {"rate": 1, "rate": 2}}`},
		{"PUT", "/v1/tree/reef", `{"base": 3, "request": "b1", "settings": {"Rate": 1}}`},
		{"PUT", "/v1/tree/reef", `{"base": 3, "request": "b1", "settings": {}} {}`},
		{"PUT", "/v1/tree/reef", `{"base": 3`},
		{"PUT", "/v1/tree/reef", "{\"operator\": \"\xff\"}"},
		{"PUT", "/v1/tree/reef", `"` + strings.Repeat("x", maxBody) + `"`},
		{"POST", "/v1/keys/reef", `{"request": "k1", "label": "front desk"}`},
		{"POST", "/v1/keys/reef", `{"request": "k1", "label": "front desk"}`},
		{"POST", "/v1/keys/reef", `{"request": "k2", "id": "loom"}`},
		{"POST", "/v1/keys/none", `{"group": "north", "request": "k3"}`},
		{"DELETE", "/v1/keys/reef/loom?request=k4", ``},
		{"DELETE", "/v1/keys/reef/none?request=k5", ``},
		{"GET", "/v1/keys/reef", ``},
		{"GET", "/v1/keys/none", ``},
		{"PUT", "/v1/drains/loom-4", `{"request": "d1"}`},
		{"PUT", "/v1/drains/loom-4", `{"group": "south", "request": "d1"}`},
		{"GET", "/v1/drains", ``},
		{"GET", "/v1/drains/loom-4", ``},
		{"GET", "/v1/drains?group=west", ``},
		{"DELETE", "/v1/drains/loom-4?request=d2", ``},
		{"DELETE", "/v1/drains/loom-4?request=d3", ``},
		{"POST", "/v1/moves", `{"group": "north", "base": 6, "request": "m1", "pool": "order-desk", "from": "v1", "to": "v2", "by": "2026-12-04T08:00:00Z"}`},
		{"POST", "/v1/moves", `{"group": "north", "base": 6, "request": "m2", "pool": "order-desk", "from": "v1", "to": "v3", "by": "2026-12-04T08:00:00Z"}`},
		{"POST", "/v1/moves", `{"group": "north", "base": 7, "request": "m3", "pool": "looms", "from": "v1", "to": "v3", "by": "2026-12-04T05:00:00Z"}`},
		{"GET", "/v1/moves?pool=order-desk", ``},
		{"GET", "/v1/records?workspace=reef&code=300&from=2026-12-04T05:00:00Z&most=5", ``},
		{"GET", "/v1/records?code=999&from=noon&most=0&colour=red&route=a&route=b", ``},
		{"GET", "/v1/status", ``},
		{"GET", "/v1/change/7?group=north", ``},
		{"GET", "/v1/change/8?group=north", ``},
		{"GET", "/v1/change/x", ``},
		{"DELETE", "/v1/tree/reef/order-desk?request=z1", ``},
		{"DELETE", "/v1/tree/reef/order-desk?request=z1&base=7", ``},
		{"PATCH", "/v1/tree/reef", ``},
		{"POST", "/v1/status", ``},
		{"GET", "/v2", ``},
	}
	f := newFakeGroups(t, "north", "south")
	api := New(f, f, secret)
	var out bytes.Buffer
	for _, s := range steps {
		r := httptest.NewRequest(s[0], s[1], strings.NewReader(s[2]))
		w := httptest.NewRecorder()
		api.ServeHTTP(w, r)
		body := s[2][:min(len(s[2]), 200)]
		fmt.Fprintf(&out, "%s %s %q\n\t%d %s\t%s", s[0], s[1], body, w.Code, w.Header().Get("Cw-Code"), w.Body)
	}
	goldie.New(t).Assert(t, "api", out.Bytes())
	checkNoKeyHash(t, f, out.Bytes())
}

func checkNoKeyHash(t *testing.T, f *fakeGroups, shown []byte) {
	t.Helper()
	keys := f.machines["north"].View().Keys("reef")
	if len(keys) == 0 {
		t.Fatal("no keys to check")
	}
	for _, k := range keys {
		numbers, _ := json.Marshal(k.Hash)
		for _, form := range []string{hex.EncodeToString(k.Hash[:]), base64.StdEncoding.EncodeToString(k.Hash[:]), string(numbers)} {
			if bytes.Contains(shown, []byte(form)) {
				t.Fatalf("a response contains the hash of key %s", k.ID)
			}
		}
	}
}

func newClient(t *testing.T, n *fakeTransport, addrs ...string) *Client {
	t.Helper()
	c, err := NewClient(addrs, WithHTTPClient(&http.Client{Transport: n}), WithOperator("ann"))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against a retry after a lost response that creates a second key or
// returns a secret other than the stored one.
func TestLostResponse(t *testing.T) {
	is := is.New(t)
	f := newFakeGroups(t, "north")
	api := New(f, f, secret)
	n := &fakeTransport{handlers: map[string]http.Handler{"c1": api, "c2": api}}
	c := newClient(t, n, "c1", "c2")
	base := corianderwing.Revision(0)
	_, err := c.Set(t.Context(), SetNode{Change: Change{Base: &base}, Path: corianderwing.Path{Workspace: "reef"}, Settings: &corianderwing.Settings{}})
	is.NoErr(err)
	n.dropResponses = 1
	key, err := c.AddKey(t.Context(), AddKey{Workspace: "reef"})
	is.NoErr(err)
	is.True(key.Duplicate)
	is.Equal(n.requested, []string{"c1", "c1", "c2"})
	stored := f.machines["north"].View().Keys("reef")
	is.Equal(len(stored), 1)
	is.Equal(stored[0].Hash, corianderwing.HashKey(secret, key.Secret))
}

// Guards against a retried deletion that fails because the group is looked up by
// the object that the first attempt deleted.
func TestLostResponseToDelete(t *testing.T) {
	is := is.New(t)
	f := newFakeGroups(t, "north", "south")
	api := New(f, f, secret)
	n := &fakeTransport{handlers: map[string]http.Handler{"c1": api}}
	c := newClient(t, n, "c1")
	base := corianderwing.Revision(0)
	reef := corianderwing.Path{Workspace: "reef"}
	_, err := c.Set(t.Context(), SetNode{Change: Change{Group: "south", Base: &base}, Path: reef, Settings: &corianderwing.Settings{}})
	is.NoErr(err)
	_, err = c.Drain(t.Context(), SetDrain{Change: Change{Group: "south"}, Upstream: "loom-4"})
	is.NoErr(err)
	f.loseNext = n
	done, err := c.Undrain(t.Context(), EndDrain{Upstream: "loom-4"})
	is.NoErr(err)
	is.True(done.Duplicate)
	f.loseNext = n
	base = done.Revision
	done, err = c.Delete(t.Context(), DeleteNode{Change: Change{Base: &base}, Path: reef})
	is.NoErr(err)
	is.True(done.Duplicate)
}

// Guards against a repeated deletion that gets a response other than the first
// one if the operator does not name the only group.
func TestDuplicateDelete(t *testing.T) {
	is := is.New(t)
	f := newFakeGroups(t, "north")
	api := New(f, f, secret)
	c := newClient(t, &fakeTransport{handlers: map[string]http.Handler{"c1": api}}, "c1")
	base := corianderwing.Revision(0)
	reef := corianderwing.Path{Workspace: "reef"}
	_, err := c.Set(t.Context(), SetNode{Change: Change{Base: &base}, Path: reef, Settings: &corianderwing.Settings{}})
	is.NoErr(err)
	_, err = c.Drain(t.Context(), SetDrain{Upstream: "loom-4"})
	is.NoErr(err)
	undrain := EndDrain{Change: Change{Request: "u1"}, Upstream: "loom-4"}
	first, err := c.Undrain(t.Context(), undrain)
	is.NoErr(err)
	again, err := c.Undrain(t.Context(), undrain)
	is.NoErr(err)
	is.True(again.Duplicate)
	is.Equal(again.Revision, first.Revision)
	base = first.Revision
	drop := DeleteNode{Change: Change{Request: "p1", Base: &base}, Path: reef}
	first, err = c.Delete(t.Context(), drop)
	is.NoErr(err)
	again, err = c.Delete(t.Context(), drop)
	is.NoErr(err)
	is.True(again.Duplicate)
	is.Equal(again.Revision, first.Revision)
}

// Guards against a client that does not fail over from an instance that is down,
// unresponsive or without a leader, and one that retries after a final error.
func TestClientFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, leaderless := newFakeGroups(t, "north"), newFakeGroups(t, "north")
		leaderless.proposeErr = corianderwing.Errorf(corianderwing.NoLeader, "")
		n := &fakeTransport{silent: "silent", handlers: map[string]http.Handler{
			"none": New(leaderless, leaderless, secret),
			"good": New(f, f, secret),
		}}
		c := newClient(t, n, "gone", "silent", "none", "good")
		began := time.Now()
		_, err := c.Drain(t.Context(), SetDrain{Upstream: "loom-4"})
		is.NoErr(err)
		is.Equal(time.Since(began), attemptTimeout)
		is.Equal(n.requested, []string{"gone", "silent", "none", "good"})

		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err = c.Undrain(ctx, EndDrain{Upstream: "none"})
		is.Equal(corianderwing.CodeOf(err), corianderwing.NotFound)
		// The group of the drain is looked up, then the change is sent.
		is.Equal(n.requested[4:], []string{"good", "good"})

		// If no instance has a leader, the client retries with backoff until
		// ctx is done, and returns the code.
		n.requested = nil
		c = newClient(t, n, "none")
		ctx, cancel = context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err = c.Drain(ctx, SetDrain{Upstream: "loom-4"})
		is.Equal(corianderwing.CodeOf(err), corianderwing.NoLeader)
		// Attempts after 0, 0.1, 0.3, 0.7, 1.5, 3.1, 5.1, 7.1 and 9.1 s.
		is.Equal(len(n.requested), 9)
	})
}

// Guards against lost or duplicate events when the connection ends or the next
// instance repeats events, and against a key hash in an event.
func TestWatch(t *testing.T) {
	is := is.New(t)
	f := newFakeGroups(t, "north")
	f.maxUpdates, f.repeatLast = 3, true
	server := httptest.NewServer(New(f, f, secret))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	c, err := NewClient([]string{addr})
	is.NoErr(err)
	base := corianderwing.Revision(0)
	reef := corianderwing.Path{Workspace: "reef"}
	_, err = c.Set(t.Context(), SetNode{Change: Change{Base: &base, Request: "w"}, Path: reef, Settings: &corianderwing.Settings{}})
	is.NoErr(err)

	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	enough := errors.New("enough")
	var seen []Event
	err = c.Watch(ctx, "", nil, func(e Event) error {
		seen = append(seen, e)
		if len(seen) == 1 {
			_, err := c.AddKey(ctx, AddKey{Change: Change{Request: "k"}, Workspace: "reef"})
			is.NoErr(err)
			for i := range 5 {
				_, err = c.Drain(ctx, SetDrain{Upstream: corianderwing.UpstreamID(fmt.Sprint("u", i))})
				is.NoErr(err)
			}
		}
		if e.Revision == 7 || len(seen) > 20 {
			return enough
		}
		return nil
	})
	is.Equal(err, enough)
	var revisions []corianderwing.Revision
	for _, e := range seen {
		revisions = append(revisions, e.Revision)
	}
	is.Equal(revisions, []corianderwing.Revision{1, 2, 3, 4, 5, 6, 7})
	is.Equal(seen[0].Kind, Snapshot)
	is.Equal(seen[1].Key.Workspace, reef.Workspace)
	shown, err := json.Marshal(seen)
	is.NoErr(err)
	checkNoKeyHash(t, f, shown)
}

// Guards against a watch that hangs on an unresponsive connection, and one that
// disconnects from a healthy instance because there are no changes.
func TestSilentWatchReconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeGroups(t, "north")
		p := &streamTransport{handler: New(f, f, secret), silentConns: 1}
		c, err := NewClient([]string{"c1"}, WithHTTPClient(&http.Client{Transport: p}))
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		first := make(chan time.Time, 1)
		began := time.Now()
		go func() {
			ended <- c.Watch(ctx, "", nil, func(Event) error {
				first <- time.Now()
				return nil
			})
		}()
		is.Equal((<-first).Sub(began), 3*keepAliveInterval+minBackoff)
		time.Sleep(time.Hour) // virtual
		is.Equal(p.requests, 2)
		cancel()
		is.True(errors.Is(<-ended, context.Canceled))
	})
}

// Guards against a panic of the decoder, an error without a code, and accepted
// input that decodes differently after a round trip.
func FuzzDecodeStrict(f *testing.F) {
	for _, s := range []string{
		`{"base": 3, "request": "b1", "settings": {"rate": 1.5, "methods": ["GET"], "seats": {"d": 2}}}`,
		`{"a": {"a": 1}, "b": [{"a": 1}, {"a": 1}], "a": 2}`, `{"Base": 1}`, `{} {}`, `[`, `null`, `{"base": 18446744073709551616}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var got SetNode
		if err := decodeStrict(data, &got); err != nil {
			if corianderwing.CodeOf(err) != corianderwing.InvalidInput {
				t.Fatalf("%q: %v", data, err)
			}
			return
		}
		again, err := json.Marshal(got)
		if err != nil {
			t.Fatal(err)
		}
		var second SetNode
		if err := decodeStrict(again, &second); err != nil {
			t.Fatalf("%q was accepted but its encoding %q is rejected: %v", data, again, err)
		}
		if third, _ := json.Marshal(second); !bytes.Equal(again, third) {
			t.Fatalf("%q decodes to %s, then to %s", data, again, third)
		}
	})
}
