package state_test

import (
	"fmt"
	"time"

	"corianderwing"
	"corianderwing/core/state"
)

// An operator who did not receive the response sends the change again and gets the
// result of the first attempt. The change of a second operator with the same base is
// rejected.
func ExampleMachine() {
	m := state.New("north")
	index := corianderwing.Index(0)
	propose := func(request corianderwing.RequestID, w corianderwing.WorkspaceID, base corianderwing.Revision) {
		index++
		data, _ := state.EncodeCommand(corianderwing.Command{
			Request:  request,
			Kind:     corianderwing.SetNode,
			Base:     base,
			Now:      time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC),
			Path:     corianderwing.Path{Workspace: w},
			Settings: &corianderwing.Settings{},
		})
		r, _ := state.DecodeResult(m.Apply(index, data))
		fmt.Println(request, "revision", r.Revision, "again", r.Duplicate, "error", r.Error != nil)
	}
	propose("op1-a", "reef", 0)
	propose("op1-a", "reef", 0)
	propose("op2-a", "lagoon", 0)
	fmt.Println(m.View().Workspaces())
	// Output:
	// op1-a revision 1 again false error false
	// op1-a revision 1 again true error false
	// op2-a revision 1 again false error true
	// [reef]
}

// An entry instance follows a group by applying its accepted changes, and requests a
// snapshot if it missed one.
func ExampleView_Update() {
	v := state.NewView("north")
	u := corianderwing.Update{Group: "north", Revision: 2, Command: &corianderwing.Command{
		Request: "op1-b", Kind: corianderwing.SetDrain, Drain: &corianderwing.Drain{Upstream: "loom-4"},
	}}
	_, err := v.Update(u)
	fmt.Println(err)
	u.Revision = 1
	v, err = v.Update(u)
	fmt.Println(v.Revision(), v.Drained("loom-4"), err)
	// Output:
	// the update does not follow the view: update to 2, view at 0
	// 1 true <nil>
}
