package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// Guards against refusing the requests of all workspaces for an interval of reports
// after a restart: a control instance that has shares of nothing yet, because no
// entry instance had asked for any, looked as if it had all that it needs.
func TestLacksBounds(t *testing.T) {
	is := is.New(t)
	a := NewAllocator(5*time.Second, time.Time{})
	is.True(!a.LacksBounds())
	a.Allocate("entry/1", []Demand{{Workspace: "w", Rate: 3}}, time.Unix(1000, 0))
	is.True(a.LacksBounds())
	a.SetBounds(map[corianderwing.WorkspaceID]int{"w": 10})
	is.True(!a.LacksBounds())
}
