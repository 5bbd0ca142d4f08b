package state_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderwing"
	"corianderwing/core/state"
)

// TestMain sets the seed of the property-based tests to 1 unless the command line sets
// one, so that every run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

var startTime = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// sentCommand is a command with the result of its first application.
type sentCommand struct {
	command corianderwing.Command
	first   corianderwing.Result
}

// harness applies random commands to two replicas and a follower. At random times, the
// second replica is restored from a snapshot of the first.
type harness struct {
	a, b        *state.Machine
	follower    *state.View
	oldSnapshot corianderwing.Update // oldView when it was saved
	oldView     *state.View
	index       corianderwing.Index
	now         time.Time
	next        int
	sent        []sentCommand
	executions  map[string]int                  // number of executions of each order in the model
	resolved    map[string]corianderwing.Result // result of the ResolveOrder that set each order to done
	openClaims  []corianderwing.Order           // claims held by the model
}

func newMachine(t *rapid.T) *state.Machine {
	return state.New("north", state.WithUpdateWindow(6), state.WithViolationHandler(func(invariant, detail string) {
		t.Fatalf("invariant %q is violated: %s", invariant, detail)
	}))
}

func newHarness(t *rapid.T) *harness {
	return &harness{
		a:          newMachine(t),
		b:          newMachine(t),
		follower:   state.NewView("north"),
		now:        startTime,
		executions: map[string]int{},
		resolved:   map[string]corianderwing.Result{},
	}
}

// do applies a new command to both replicas.
func (g *harness) do(t *rapid.T, c corianderwing.Command) corianderwing.Result {
	g.next++
	c.Request = corianderwing.RequestID(fmt.Sprintf("r%d", g.next))
	r := g.apply(t, c)
	if r.Duplicate {
		t.Fatalf("new request %s is treated as a duplicate", c.Request)
	}
	g.sent = append(g.sent, sentCommand{c, r})
	return r
}

func (g *harness) apply(t *rapid.T, c corianderwing.Command) corianderwing.Result {
	g.index++
	g.now = g.now.Add(time.Duration(rapid.IntRange(-1, 3).Draw(t, "pass")) * time.Second)
	c.Now = g.now
	data, err := state.EncodeCommand(c)
	if err != nil {
		t.Fatal(err)
	}
	before := g.a.View().Revision()
	out := g.a.Apply(g.index, data)
	if other := g.b.Apply(g.index, data); !bytes.Equal(out, other) {
		t.Fatalf("replicas return different results: %x and %x", out, other)
	}
	if after := g.a.View().Revision(); after < before || after > before+1 {
		t.Fatalf("revision went from %d to %d", before, after)
	}
	r, err := state.DecodeResult(out)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// resend guards against a change that is applied twice because its response was lost.
func (g *harness) resend(t *rapid.T) {
	if len(g.sent) == 0 {
		t.Skip("nothing sent yet")
	}
	s := rapid.SampledFrom(g.sent).Draw(t, "resend")
	before := g.a.View().Revision()
	r := g.apply(t, s.command)
	if !r.Duplicate || g.a.View().Revision() != before {
		t.Fatalf("request %s was applied again at revision %d: %+v", s.command.Request, before, r)
	}
	r.Duplicate = false
	if !reflect.DeepEqual(r, s.first) {
		t.Fatalf("request %s returned %+v first and %+v when sent again", s.command.Request, s.first, r)
	}
}

// sameBase guards against two changes with the same base that both succeed.
func (g *harness) sameBase(t *rapid.T) {
	base := g.a.View().Revision()
	wins := 0
	for range 2 {
		c := treeChange(t)
		c.Base = base
		r := g.do(t, c)
		if r.Error == nil {
			wins++
		} else if wins == 1 && (r.Error.Code != corianderwing.RevisionConflict || r.Error.Revision != base+1) {
			t.Fatalf("the second of two changes with base %d returned %v", base, r.Error)
		}
	}
	if wins > 1 {
		t.Fatalf("%d changes with base %d succeeded", wins, base)
	}
}

func (g *harness) change(t *rapid.T) {
	c := treeChange(t)
	if rapid.Bool().Draw(t, "other") {
		c = otherChange(t)
	}
	c.Base = g.a.View().Revision()
	c.Base -= min(c.Base, corianderwing.Revision(rapid.IntRange(0, 3).Draw(t, "behind")))
	g.do(t, c)
}

var (
	workspaces = rapid.SampledFrom([]corianderwing.WorkspaceID{"reef", "lagoon"})
	upstreams  = rapid.SampledFrom([]corianderwing.UpstreamID{"u1", "u2"})
	instances  = rapid.SampledFrom([]corianderwing.InstanceID{"i1", "i2", "i3", "i4"})
	domains    = rapid.SampledFrom([]corianderwing.DomainID{"d1", "d2"})
	smallInt   = rapid.IntRange(1, 3)
)

func treeChange(t *rapid.T) corianderwing.Command {
	p := corianderwing.Path{Workspace: workspaces.Draw(t, "workspace")}
	if rapid.Bool().Draw(t, "deep") {
		p.Service = "order-desk"
	}
	switch rapid.IntRange(0, 6).Draw(t, "tree change") {
	case 0:
		return corianderwing.Command{Kind: corianderwing.DeleteNode, Path: p}
	case 1:
		by := startTime.Add(time.Hour)
		m := corianderwing.Move{Pool: "order-desk", From: "v1", To: "v2", By: by}
		return corianderwing.Command{Kind: corianderwing.StartMove, Move: &m}
	case 2:
		seats := map[corianderwing.DomainID]int{"d1": smallInt.Draw(t, "seats"), "d2": 2}
		return corianderwing.Command{Kind: corianderwing.SetNode, Settings: &corianderwing.Settings{Seats: seats}}
	}
	slow := corianderwing.Millis(smallInt.Draw(t, "slow"))
	return corianderwing.Command{Kind: corianderwing.SetNode, Path: p, Settings: &corianderwing.Settings{Slow: &slow}}
}

func otherChange(t *rapid.T) corianderwing.Command {
	kinds := []corianderwing.CommandKind{corianderwing.AddKey, corianderwing.RevokeKey, corianderwing.SetDrain, corianderwing.EndDrain, corianderwing.EndMove}
	c := corianderwing.Command{Kind: rapid.SampledFrom(kinds).Draw(t, "kind")}
	switch c.Kind {
	case corianderwing.AddKey, corianderwing.RevokeKey:
		id := smallInt.Draw(t, "key")
		c.Key = &corianderwing.Key{ID: corianderwing.KeyID(fmt.Sprint("k", id)), Workspace: workspaces.Draw(t, "workspace")}
		c.Key.Hash[0], c.Key.Hash[1] = byte(id), byte(len(c.Key.Workspace))
	case corianderwing.SetDrain, corianderwing.EndDrain:
		c.Drain = &corianderwing.Drain{Upstream: upstreams.Draw(t, "upstream")}
	default:
		c.Move = &corianderwing.Move{Pool: "order-desk", ID: corianderwing.RequestID(fmt.Sprint("r", smallInt.Draw(t, "move"))), Outcome: corianderwing.Done}
	}
	return c
}

// seat guards against assigning an instance a different seat than it already has, or
// the seat of another instance.
func (g *harness) seat(t *rapid.T) {
	s := corianderwing.Seat{Domain: domains.Draw(t, "domain"), Instance: instances.Draw(t, "instance")}
	if rapid.IntRange(0, 3).Draw(t, "leave") == 0 {
		g.do(t, corianderwing.Command{Kind: corianderwing.ReleaseSeat, Seat: &s})
		return
	}
	before, had := g.a.View().Seat(s.Instance)
	r := g.do(t, corianderwing.Command{Kind: corianderwing.AssignSeat, Seat: &s})
	if had && before.Domain == s.Domain && (r.Error != nil || *r.Seat != before) {
		t.Fatalf("instance %s had seat %+v and was assigned %+v", s.Instance, before, r)
	}
	for _, other := range g.a.View().Seats() {
		if r.Seat != nil && other.Instance != s.Instance && other.Domain == r.Seat.Domain && other.Index == r.Seat.Index {
			t.Fatalf("instances %s and %s share seat %+v", other.Instance, s.Instance, r.Seat)
		}
	}
}

// claim guards against an order that two requests execute, and against a done order
// that does not return its stored response.
func (g *harness) claim(t *rapid.T) {
	o := corianderwing.Order{
		Workspace:   workspaces.Draw(t, "workspace"),
		Key:         fmt.Sprint("key", smallInt.Draw(t, "order")),
		Fingerprint: uint64(rapid.IntRange(1, 8).Draw(t, "print")) / 8,
		Holder:      corianderwing.RequestID(fmt.Sprint("h", g.next)),
	}
	r := g.do(t, corianderwing.Command{Kind: corianderwing.ClaimOrder, Order: &o})
	id := fmt.Sprint(o.Workspace, "/", o.Key)
	switch {
	case r.Error != nil:
	case r.Order.State == corianderwing.OrderDone:
		if first := g.resolved[id].Order; !reflect.DeepEqual(first, r.Order) {
			t.Fatalf("order %s was resolved with %+v and returned %+v", id, first, r.Order)
		}
	case r.Order.Holder == o.Holder:
		g.openClaims = append(g.openClaims, *r.Order)
	}
}

// resolve sets one of the model's claims to done or free. It counts a done order as
// executed.
func (g *harness) resolve(t *rapid.T) {
	if len(g.openClaims) == 0 {
		t.Skip("no claim is held")
	}
	i := rapid.IntRange(0, len(g.openClaims)-1).Draw(t, "claim")
	o := g.openClaims[i]
	g.openClaims = append(g.openClaims[:i:i], g.openClaims[i+1:]...)
	id := fmt.Sprint(o.Workspace, "/", o.Key)
	o.State = corianderwing.OrderFree
	if rapid.Bool().Draw(t, "done") {
		o.State = corianderwing.OrderDone
		o.Response = &corianderwing.StoredResponse{Status: 200, Body: []byte(o.Holder), Header: map[string][]string{"B": {"2"}, "A": {"1"}}}
		g.executions[id]++
	}
	r := g.do(t, corianderwing.Command{Kind: corianderwing.ResolveOrder, Order: &o})
	if r.Error != nil {
		t.Fatalf("resolving a held claim: %v", r.Error)
	}
	if o.State == corianderwing.OrderDone {
		g.resolved[id] = r
	}
	if g.executions[id] > 1 {
		t.Fatalf("order %s was executed %d times", id, g.executions[id])
	}
	nonHolder := o
	nonHolder.Holder = "stranger"
	if r := g.do(t, corianderwing.Command{Kind: corianderwing.ResolveOrder, Order: &nonHolder}); r.Error == nil {
		t.Fatalf("a request without the claim resolved order %s", id)
	}
}

// catchUp guards against a follower that differs from the replica after it applied
// changes or a snapshot.
func (g *harness) catchUp(t *rapid.T) {
	updates, ok := g.a.Updates(g.follower.Revision())
	if !ok {
		u, err := g.a.View().Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		updates = []corianderwing.Update{u}
	}
	for _, u := range updates {
		next, err := g.follower.Update(u)
		if err != nil {
			t.Fatalf("update to revision %d: %v", u.Revision, err)
		}
		g.follower = next
	}
	want, err := g.a.View().Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if got, err := g.follower.Snapshot(); err != nil || !bytes.Equal(got.Snapshot, want.Snapshot) {
		t.Fatalf("the follower at revision %d differs from the replica (%v)", g.follower.Revision(), err)
	}
}

// keepView saves the current view. check then guards against a later change that
// modifies it while a request in progress may still read it.
func (g *harness) keepView(t *rapid.T) {
	u, err := g.a.View().Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	g.oldView, g.oldSnapshot = g.a.View(), u
}

// restore guards against state that is missing from a snapshot.
func (g *harness) restore(t *rapid.T) {
	data, err := g.a.Save()
	if err != nil {
		t.Fatal(err)
	}
	g.b = newMachine(t)
	if err := g.b.Restore(data); err != nil {
		t.Fatal(err)
	}
}

func (g *harness) check(t *rapid.T) {
	a, errA := g.a.Save()
	b, errB := g.b.Save()
	if errA != nil || errB != nil || !bytes.Equal(a, b) {
		t.Fatalf("replicas differ after entry %d (%v, %v)", g.index, errA, errB)
	}
	if now, err := g.oldView.WithoutCache().Snapshot(); err != nil || !reflect.DeepEqual(now, g.oldSnapshot) {
		t.Fatalf("the view of revision %d changed after entry %d (%v)", g.oldSnapshot.Revision, g.index, err)
	}
}

// TestMachine applies random commands. The comment of each action names the failure it
// guards against.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newHarness(t)
		g.keepView(t)
		t.Repeat(map[string]func(*rapid.T){
			"":         g.check,
			"change":   g.change,
			"samebase": g.sameBase,
			"resend":   g.resend,
			"seat":     g.seat,
			"claim":    g.claim,
			"settle":   g.resolve,
			"catchup":  g.catchUp,
			"restore":  g.restore,
			"hold":     g.keepView,
		})
	})
}
