package state_test

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/state"
)

// replica is a single replica whose clock is controlled by the test.
type replica struct {
	t     *testing.T
	m     *state.Machine
	index corianderwing.Index
	now   time.Time
}

func newReplica(t *testing.T, options ...state.Option) *replica {
	options = append(options, state.WithViolationHandler(func(invariant, detail string) {
		t.Errorf("invariant %q is violated: %s", invariant, detail)
	}))
	o := &replica{t: t, m: state.New("north", options...), now: startTime}
	o.ok("w", corianderwing.Command{Kind: corianderwing.SetNode, Path: corianderwing.Path{Workspace: "reef"}, Settings: &corianderwing.Settings{}})
	return o
}

func (o *replica) do(request string, c corianderwing.Command) corianderwing.Result {
	o.t.Helper()
	o.index++
	c.Request, c.Now = corianderwing.RequestID(request), o.now
	data, err := state.EncodeCommand(c)
	if err != nil {
		o.t.Fatal(err)
	}
	r, err := state.DecodeResult(o.m.Apply(o.index, data))
	if err != nil {
		o.t.Fatal(err)
	}
	return r
}

func (o *replica) ok(request string, c corianderwing.Command) corianderwing.Result {
	o.t.Helper()
	r := o.do(request, c)
	if r.Error != nil {
		o.t.Fatalf("%s: %v", request, r.Error)
	}
	return r
}

func code(r corianderwing.Result) corianderwing.Code {
	if r.Error == nil {
		return corianderwing.OK
	}
	return r.Error.Code
}

func drain(u string) corianderwing.Command {
	return corianderwing.Command{Kind: corianderwing.SetDrain, Drain: &corianderwing.Drain{Upstream: corianderwing.UpstreamID(u)}}
}

func order(kind corianderwing.CommandKind, key string, s corianderwing.OrderState, a *corianderwing.StoredResponse) corianderwing.Command {
	return corianderwing.Command{Kind: kind, Order: &corianderwing.Order{Workspace: "reef", Key: key, Holder: "h", State: s, Response: a}}
}

// Guards against a request table that grows without limit, evicts new entries first, or
// lets orders evict the results of operators' changes.
func TestRequestTableIsBounded(t *testing.T) {
	is := is.New(t)
	o := newReplica(t, state.WithMaxRequests(3))
	for i := range 3 {
		o.ok(fmt.Sprint("d", i), drain(fmt.Sprint("u", i)))
	}
	for i := range 9 {
		o.ok(fmt.Sprint("c", i), order(corianderwing.ClaimOrder, fmt.Sprint("k", i), "", nil))
	}
	is.True(o.do("d0", drain("u0")).Duplicate)
	o.ok("d3", drain("u3"))
	is.True(o.do("d1", drain("u1")).Duplicate)
	is.True(!o.do("d0", drain("u0")).Duplicate)
	o.now = o.now.Add(24 * time.Hour)
	is.True(!o.do("d3", drain("u3")).Duplicate)
}

// Guards against silently ignoring a different change that reuses a request id.
func TestRequestIDReuse(t *testing.T) {
	is := is.New(t)
	o := newReplica(t)
	o.ok("r", drain("u1"))
	is.Equal(code(o.do("r", drain("u2"))), corianderwing.InvalidInput)
	is.True(!o.m.View().Drained("u2"))
}

// Guards against evicting a claim while its order could be sent again, and against free
// orders that fill the table.
func TestOrderTableIsBounded(t *testing.T) {
	is := is.New(t)
	o := newReplica(t, state.WithMaxOrders(2))
	done := &corianderwing.StoredResponse{Status: 201}
	o.ok("1", order(corianderwing.ClaimOrder, "a", "", nil))
	o.ok("2", order(corianderwing.ResolveOrder, "a", corianderwing.OrderDone, done))
	o.ok("3", order(corianderwing.ClaimOrder, "b", "", nil))
	is.Equal(code(o.do("4", order(corianderwing.ClaimOrder, "c", "", nil))), corianderwing.ClaimUndecided)
	o.ok("5", order(corianderwing.ResolveOrder, "b", corianderwing.OrderFree, nil))
	o.ok("6", order(corianderwing.ClaimOrder, "c", "", nil))
	o.now = o.now.Add(24*time.Hour - 1)
	is.Equal(o.ok("7", order(corianderwing.ClaimOrder, "a", "", nil)).Order.Response, done)
	o.now = o.now.Add(1)
	is.Equal(o.ok("8", order(corianderwing.ClaimOrder, "a", "", nil)).Order.State, corianderwing.OrderOpen)
}

// Guards against a new leader whose clock is behind: entries would no longer be sorted
// by age, and expiry would stop at the first one that is not expired.
func TestClockGoesBackwards(t *testing.T) {
	is := is.New(t)
	o := newReplica(t)
	o.ok("1", order(corianderwing.ClaimOrder, "a", "", nil))
	o.now = o.now.Add(-time.Hour)
	is.Equal(o.ok("2", order(corianderwing.ClaimOrder, "b", "", nil)).Order.Since, startTime)
	o.ok("3", drain("u1"))
	is.Equal(o.m.View().Drains()[0].Since, startTime)
}

// Guards against large responses that fill the memory of every replica.
func TestLargeResponseIsNotStored(t *testing.T) {
	is := is.New(t)
	o := newReplica(t)
	for i, extra := range []int{0, 1} {
		key := fmt.Sprint("k", i)
		a := &corianderwing.StoredResponse{Status: 200, Header: map[string][]string{"X": {"y"}}, Body: make([]byte, int(corianderwing.MaxStoredResponse)-2+extra)}
		o.ok(key+"c", order(corianderwing.ClaimOrder, key, "", nil))
		r := o.ok(key+"s", order(corianderwing.ResolveOrder, key, corianderwing.OrderDone, a))
		is.Equal(r.Order.Response.Truncated, extra > 0)
		is.Equal(len(r.Order.Response.Body) == 0, extra > 0)
		is.Equal(r.Order.Response.Status, 200)
	}
}

// Guards against a delayed duplicate of a claim that reopens an order, which no request
// would then resolve.
func TestDuplicateClaimDoesNotReopen(t *testing.T) {
	is := is.New(t)
	o := newReplica(t)
	o.ok("r", order(corianderwing.ClaimOrder, "k", "", nil))
	o.ok("r", order(corianderwing.ResolveOrder, "k", corianderwing.OrderFree, nil))
	is.True(o.ok("r", order(corianderwing.ClaimOrder, "k", "", nil)).Duplicate)
	is.True(!o.ok("r2", order(corianderwing.ClaimOrder, "k", "", nil)).Duplicate)
}

func closed(changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	default:
		return false
	}
}

// Guards against a watcher that misses a change: Updates must be exact at the end of
// the window, and the channel must close on every change and at no other time.
func TestUpdateWindow(t *testing.T) {
	is := is.New(t)
	o := newReplica(t, state.WithUpdateWindow(2))
	changed := o.m.Changed()
	o.ok("d1", drain("u1"))
	is.True(closed(changed))
	changed = o.m.Changed()
	o.ok("d1", drain("u1"))
	o.ok("c", order(corianderwing.ClaimOrder, "k", "", nil))
	is.True(!closed(changed))
	o.ok("d2", drain("u2"))
	updates, ok := o.m.Updates(1)
	is.True(ok)
	is.Equal(len(updates), 2)
	is.Equal(updates[0].Revision, corianderwing.Revision(2))
	_, ok = o.m.Updates(0)
	is.True(!ok)
	updates, ok = o.m.Updates(9)
	is.True(ok && len(updates) == 0)
}

// Guards against a follower that returns to an older revision or skips a change.
func TestUpdateOrder(t *testing.T) {
	is := is.New(t)
	o := newReplica(t)
	o.ok("d1", drain("u1"))
	updates, _ := o.m.Updates(0)
	snapshot, err := o.m.View().Snapshot()
	is.NoErr(err)
	_, err = state.NewView("north").Update(updates[1])
	is.True(errors.Is(err, state.ErrGap))
	v, err := state.NewView("north").Update(updates[0])
	is.NoErr(err)
	_, err = v.Update(updates[0])
	is.True(errors.Is(err, state.ErrStale))
	v, err = v.Update(snapshot)
	is.NoErr(err)
	old, err := state.NewView("north").Snapshot()
	is.NoErr(err)
	_, err = v.Update(old)
	is.True(errors.Is(err, state.ErrStale))
	_, err = state.NewView("south").Update(snapshot)
	is.True(err != nil)
}

// Guards against a new workspace that accepts the keys of a deleted one with the same
// id.
func TestKeysAreDeletedWithWorkspace(t *testing.T) {
	is := is.New(t)
	o := newReplica(t)
	key := corianderwing.Key{ID: "k", Workspace: "reef", Hash: corianderwing.KeyHash{1}}
	o.ok("a", corianderwing.Command{Kind: corianderwing.AddKey, Key: &key})
	_, ok := o.m.View().Key(key.Hash)
	is.True(ok)
	path := corianderwing.Path{Workspace: "reef"}
	o.ok("b", corianderwing.Command{Kind: corianderwing.DeleteNode, Base: 2, Path: path})
	o.ok("c", corianderwing.Command{Kind: corianderwing.SetNode, Base: 3, Path: path, Settings: &corianderwing.Settings{}})
	_, ok = o.m.View().Key(key.Hash)
	is.True(!ok)
}

// Guards against a panic on corrupt entries and snapshots, against an invalid command
// that changes the state, and against a result that a peer cannot decode.
func FuzzApply(f *testing.F) {
	for _, c := range []corianderwing.Command{
		drain("u1"),
		order(corianderwing.ClaimOrder, "k", "", nil),
		order(corianderwing.ResolveOrder, "k", corianderwing.OrderDone, &corianderwing.StoredResponse{Status: 200}),
		{Kind: corianderwing.SetNode, Settings: &corianderwing.Settings{Seats: map[corianderwing.DomainID]int{"d": 1}}},
		{Kind: corianderwing.StartMove, Move: &corianderwing.Move{Pool: "p", From: "a", To: "b", By: startTime.Add(time.Hour)}},
	} {
		c.Request, c.Now = "r", startTime
		data, err := state.EncodeCommand(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add(corruptSnapshot(f))
	f.Fuzz(func(t *testing.T, data []byte) {
		m := state.New("north", state.WithViolationHandler(func(invariant, detail string) { t.Fatalf("%s: %s", invariant, detail) }))
		r, err := state.DecodeResult(m.Apply(1, data))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := state.DecodeCommand(data); err != nil && r.Error.Code != corianderwing.InvalidInput {
			t.Fatalf("invalid command returned %+v", r)
		}
		saved, err := m.Save()
		if err != nil {
			t.Fatal(err)
		}
		other := state.New("north")
		if err := other.Restore(saved); err != nil {
			t.Fatal(err)
		}
		if again, err := other.Save(); err != nil || !bytes.Equal(again, saved) {
			t.Fatalf("restored state differs (%v)", err)
		}
		_ = state.New("north").Restore(data)
	})
}

// corruptSnapshot returns a snapshot in which an applied request is replaced by null.
func corruptSnapshot(t testing.TB) []byte {
	m := state.New("north")
	c := drain("u1")
	c.Request, c.Now = "r", startTime
	data, err := state.EncodeCommand(c)
	if err != nil {
		t.Fatal(err)
	}
	m.Apply(1, data)
	saved, err := m.Save()
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]any
	if err := cbor.Unmarshal(saved, &fields); err != nil {
		t.Fatal(err)
	}
	fields["changes"] = []any{nil}
	if saved, err = cbor.Marshal(fields); err != nil {
		t.Fatal(err)
	}
	return saved
}

// Guards against a corrupt snapshot that is accepted or partially restored.
func TestDamagedSnapshot(t *testing.T) {
	is := is.New(t)
	o := newReplica(t)
	before, err := o.m.Save()
	is.NoErr(err)
	is.True(o.m.Restore(corruptSnapshot(t)) != nil)
	is.True(o.m.Restore(before[:len(before)/2]) != nil)
	is.True(state.New("south").Restore(before) != nil)
	after, err := o.m.Save()
	is.NoErr(err)
	is.Equal(before, after)
}
