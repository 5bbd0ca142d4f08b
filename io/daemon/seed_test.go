package daemon

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/state"
)

// seedGroup is a group of one replica. It reports the outcome of one proposal as
// unknown.
type seedGroup struct {
	machine *state.Machine
	index   corianderwing.Index
	calls   int
	failAt  int  // number of the call that fails
	applied bool // the command of that call is applied
	onFail  func()
}

func (g *seedGroup) Propose(_ context.Context, _ corianderwing.GroupID, c corianderwing.Command) (corianderwing.Result, error) {
	g.calls++
	if g.calls == g.failAt {
		if g.applied {
			g.apply(c)
		}
		g.onFail()
		return corianderwing.Result{}, corianderwing.Errorf(corianderwing.NoQuorum, "the outcome of the command is unknown")
	}
	return g.apply(c)
}

func (g *seedGroup) apply(c corianderwing.Command) (corianderwing.Result, error) {
	g.index++
	c.Now = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	data, err := state.EncodeCommand(c)
	if err != nil {
		return corianderwing.Result{}, err
	}
	return state.DecodeResult(g.machine.Apply(g.index, data))
}

// assignSeat raises the revision, as an entry instance does that starts meanwhile.
func (g *seedGroup) assignSeat(t *testing.T) {
	t.Helper()
	r, err := g.apply(corianderwing.Command{
		Request: "seat-e1", Kind: corianderwing.AssignSeat,
		Seat: &corianderwing.Seat{Domain: "r1-a", Instance: "e1"},
	})
	if err != nil || r.Error != nil {
		t.Fatal(err, r.Error)
	}
}

func seedCommands() []corianderwing.Command {
	all := []corianderwing.Command{
		{Kind: corianderwing.SetNode, Settings: &corianderwing.Settings{Seats: map[corianderwing.DomainID]int{"r1-a": 2}}},
		{Kind: corianderwing.SetNode, Path: corianderwing.Path{Workspace: "shop"}, Settings: &corianderwing.Settings{}},
		{Kind: corianderwing.SetNode, Path: corianderwing.Path{Workspace: "shop", Service: "goods"}, Settings: &corianderwing.Settings{}},
		{Kind: corianderwing.AddKey, Key: &corianderwing.Key{ID: "shop-1", Workspace: "shop", Hash: corianderwing.HashKey([]byte("secret"), "key")}},
	}
	for i := range all {
		all[i].Request = corianderwing.RequestID(fmt.Sprintf("seed-home-%d", i))
		all[i].Operator = "seed"
	}
	return all
}

func newSeeder(g *seedGroup) *seeder {
	return &seeder{group: "home", commands: seedCommands(), client: g, log: &log.Logger{Level: log.FatalLevel}}
}

// Guards against a seed that stays incomplete, without keys for example, after the
// outcome of one of its commands was unknown: a new attempt must neither take the part
// that is visible for the whole nor send a command with another base.
func TestSeedCompleteAfterUnknownOutcome(t *testing.T) {
	for failAt := range len(seedCommands()) {
		for _, applied := range []bool{false, true} {
			t.Run(fmt.Sprintf("command %d, applied %t", failAt, applied), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					g := &seedGroup{machine: state.New("home"), failAt: failAt + 1, applied: applied}
					g.onFail = func() { g.assignSeat(t) }
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					defer cancel()
					newSeeder(g).run(ctx)
					is.NoErr(ctx.Err())                             // the seeder ended by itself
					newSeeder(g).run(ctx)                           // that of another voter
					is.Equal(len(g.machine.View().Keys("shop")), 1) // the last command
					is.Equal(g.machine.View().Revision(), corianderwing.Revision(len(seedCommands())+1))
				})
			})
		}
	}
}

// Guards against a seed that changes a group which has a tree already.
func TestSeedLeavesTree(t *testing.T) {
	is := is.New(t)
	g := &seedGroup{machine: state.New("home")}
	r, err := g.apply(corianderwing.Command{Request: "op-1", Kind: corianderwing.SetNode, Path: corianderwing.Path{Workspace: "reef"}, Settings: &corianderwing.Settings{}})
	is.NoErr(err)
	is.True(r.Error == nil)
	newSeeder(g).run(t.Context())
	is.Equal(g.machine.View().Workspaces(), []corianderwing.WorkspaceID{"reef"})
	is.Equal(g.machine.View().Revision(), r.Revision)
}
